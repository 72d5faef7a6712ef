package ctl

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestExplainNamesTheCause(t *testing.T) {
	c := qt.New(t)
	path := filepath.Join(c.TempDir(), "entry.log")
	log := strings.Join([]string{
		`{"request":"a1","msg":"request ended","outcome":"overload","status":503,"ms":210,"instance":"edge-1","time":"2"}`,
		`12.5 edge-2 {"request":"a2","msg":"request ended","outcome":"broken_off","status":0,"ms":900,"instance":"edge-2","time":"1","attempts":[{"instance":"i-1","outcome":"broken"}]}`,
		`{"request":"a3","msg":"request ended","outcome":"timeout","status":504,"ms":900,"instance":"edge-2","time":"1","attempts":[{"instance":"i-9","outcome":"silent"}]}`,
		`{"request":"a4","msg":"request ended","outcome":"blocked_prompt","status":503,"instance":"edge-2","time":"1","blocked_part":"5c1e07a2"}`,
		`{"request":"a5","msg":"request ended","outcome":"unknown","status":502,"instance":"edge-2","time":"1","shared_parts":["5c1e07a2","91bd3f06"],"attempts":[{"instance":"i-3","outcome":"crash_suspect"}]}`,
		`not a log line with a1`,
	}, "\n")
	c.Assert(os.WriteFile(path, []byte(log), 0o600), qt.IsNil)
	for id, want := range map[string]string{"a1": "all slots", "a2": "broke off at i-1", "a3": "while i-9 was still working", "a4": "the part 5c1e07a2 of the prompt", "a5": "5c1e07a2, 91bd3f06\n  cause: i-3 crashed"} {
		command := explainCommand()
		var out bytes.Buffer
		command.SetOut(&out)
		command.SetArgs([]string{id, path})
		c.Assert(command.Execute(), qt.IsNil)
		c.Check(strings.Contains(out.String(), want), qt.IsTrue, qt.Commentf("%s: %s", id, out.String()))
	}
	command := explainCommand()
	command.SilenceErrors, command.SilenceUsage = true, true
	command.SetArgs([]string{"missing", path})
	c.Assert(command.Execute(), qt.IsNotNil)
}

package ctl

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/failure"
	"plantainrelay/platform/standin"
)

func TestSettingsAreChecked(t *testing.T) {
	c := qt.New(t)
	check := func(text string) (string, error) {
		path := filepath.Join(c.TempDir(), "boot.toml")
		c.Assert(os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
		command := settingsCommand()
		command.SilenceErrors, command.SilenceUsage = true, true
		var out bytes.Buffer
		command.SetOut(&out)
		command.SetArgs([]string{"check", path})
		err := command.Execute()
		return out.String(), err
	}
	valid := standin.Settings{Instance: "side-a-1", IP: "10.0.0.1", Zone: "a", Zones: map[string]string{"a": "north"}, Store: "10.0.0.9:80", Backend: "10.0.0.1:81", Pool: "m", GraceS: 8}
	out, err := check(valid.Encode())
	c.Assert(err, qt.IsNil)
	c.Assert(out, qt.Equals, "the settings of agent side-a-1 in availability zone a are valid\n")
	invalid := valid
	invalid.IP, invalid.GraceS = "here", 0
	_, err = check(invalid.Encode())
	c.Assert(failure.Is(err, failure.Invalid), qt.IsTrue)
	c.Assert(strings.Contains(err.Error(), "Ip") && strings.Contains(err.Error(), "GraceS"), qt.IsTrue, qt.Commentf("%v", err))
}

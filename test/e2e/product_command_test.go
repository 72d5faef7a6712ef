package e2e_test

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// runProgram runs a program and returns its combined output and exit code.
func runProgram(t *testing.T, program string, args ...string) (string, int) {
	t.Helper()
	out, err := exec.Command(filepath.Join(binDir, program), args...).CombinedOutput()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		t.Fatal(err)
	}
	if exit != nil {
		return string(out), exit.ExitCode()
	}
	return string(out), 0
}

// TestInvalidSettingsPreventStart checks that each daemon reports every invalid
// setting and exits with code 2, with and without --check-settings.
func TestInvalidSettingsPreventStart(t *testing.T) {
	c := qt.New(t)
	path := filepath.Join(t.TempDir(), "bad.ini")
	c.Assert(os.WriteFile(path, []byte("[listen]\ncontrol = here\n[shutdown]\ndrain_limit = 5\n[nonsense]\n"), 0o600), qt.IsNil)
	for _, program := range []string{"plantain-entry", "plantain-agent"} {
		for _, args := range [][]string{{"--settings", path}, {"--settings", path, "--check-settings"}} {
			out, code := runProgram(t, program, args...)
			c.Check(code, qt.Equals, 2, qt.Commentf("%s", out))
			for _, wanted := range []string{"[listen] control", "[shutdown] drain_limit", "[nonsense]", "[instance] name", "[fleet] key_file"} {
				c.Check(strings.Contains(out, wanted), qt.IsTrue, qt.Commentf("%s lacks %s:\n%s", program, wanted, out))
			}
		}
	}
}

// TestExitCodes checks the exit codes that scripts rely on.
func TestExitCodes(t *testing.T) {
	dir := t.TempDir()
	token := filepath.Join(dir, "token")
	qt.Assert(t, os.WriteFile(token, []byte("guess"), 0o600), qt.IsNil)
	for _, sample := range []struct {
		args []string
		code int
	}{
		{[]string{"version"}, 0},
		{[]string{"--help"}, 0},
		{[]string{"completion", "bash"}, 0},
		{[]string{"status", "--nonsense"}, 2},
		{[]string{"nonsense"}, 2},
		{[]string{"table", "validate"}, 2},
		{[]string{"table", "validate", filepath.Join(dir, "absent")}, 2},
		{[]string{"usage", "--from", "yesterday", "--token-file", token}, 2},
		{[]string{"usage", "--output", "yaml", "--token-file", token}, 2},
		{[]string{"status", "--server", "http://127.0.0.1:1", "--token-file", token}, 5},
	} {
		out, code := runProgram(t, "plantainctl", sample.args...)
		qt.Check(t, code, qt.Equals, sample.code, qt.Commentf("%v: %s", sample.args, out))
	}
}

// TestHelpShowsExamples checks that the help text of each plantainctl command
// holds usage examples.
func TestHelpShowsExamples(t *testing.T) {
	for _, args := range [][]string{{"table", "get"}, {"table", "apply"}, {"table", "validate"}, {"status"}, {"usage"}} {
		out, code := runProgram(t, "plantainctl", append(args, "--help")...)
		qt.Check(t, code, qt.Equals, 0)
		qt.Check(t, strings.Contains(out, "Examples:\n  plantainctl "+strings.Join(args, " ")), qt.IsTrue, qt.Commentf("%s", out))
	}
}

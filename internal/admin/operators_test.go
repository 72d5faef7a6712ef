package admin

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestOperatorsFile checks that each key of the file counts or is reported, also those
// above the first section, where a forgotten section name puts them.
func TestOperatorsFile(t *testing.T) {
	c := qt.New(t)
	digest := strings.Repeat("ab", 32)
	load := func(text string) error {
		path := filepath.Join(t.TempDir(), "operators.ini")
		c.Assert(os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
		_, err := LoadOperators(path)
		return err
	}
	valid := "[operator a]\nrole = editor\ntoken_sha256 = " + digest + "\n"
	c.Check(load(valid), qt.IsNil)
	c.Check(load("# only a comment\n"+valid), qt.IsNil)
	c.Check(load("role = viewer\ntoken_sha256 = "+digest+"\n"+valid), qt.IsNotNil)
	c.Check(load("[operator a]\nrole = owner\ntoken_sha256 = "+digest+"\n"), qt.IsNotNil)
	c.Check(load("[operator a]\nrole = viewer\n"), qt.IsNotNil)
}

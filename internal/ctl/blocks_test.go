package ctl

import (
	"bytes"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/failure"
	"plantainrelay/platform/standin"
)

func TestBlocks(t *testing.T) {
	c := qt.New(t)
	store := standin.NewStore()
	server := httptest.NewServer(store)
	defer server.Close()
	run := func(args ...string) (string, error) {
		root := New()
		root.SilenceErrors, root.SilenceUsage = true, true
		var out bytes.Buffer
		root.SetOut(&out)
		root.SetArgs(append([]string{"blocks"}, args...))
		err := root.Execute()
		return out.String(), err
	}
	address := strings.TrimPrefix(server.URL, "http://")
	_, err := run("list")
	c.Assert(failure.Is(err, failure.Invalid), qt.IsTrue)
	_, err = run("lift", "5c1e07a2", "--store", address)
	c.Assert(failure.Is(err, failure.NotFound), qt.IsTrue)
	_, err = run("add", "5c1e07a2", "--store", address)
	c.Assert(failure.Is(err, failure.Invalid), qt.IsTrue)

	out, err := run("add", "5C1E07A2", "--model", "m", "--store", address)
	c.Assert(err, qt.IsNil)
	c.Assert(out, qt.Equals, "part 5c1e07a2 of model m is blocked (version 1)\n")
	out, err = run("list", "--store", address)
	c.Assert(err, qt.IsNil)
	c.Assert(strings.Fields(strings.SplitN(out, "\n", 2)[1]), qt.DeepEquals, []string{"m", "5c1e07a2", "blocked", "0", "0", "1"})
	for range 2 {
		out, err = run("lift", "5c1e07a2", "--store", address)
		c.Assert(err, qt.IsNil)
		c.Assert(out, qt.Equals, "part 5c1e07a2 of model m is lifted (version 2)\n")
	}
	_, err = run("add", "5c1e07a2", "--model", "other", "--store", address)
	c.Assert(err, qt.IsNil)
	_, err = run("lift", "5c1e07a2", "--store", address)
	c.Assert(failure.Is(err, failure.Invalid), qt.IsTrue)
	out, err = run("list", "--store", address, "--output", "json")
	c.Assert(err, qt.IsNil)
	c.Assert(strings.Count(out, `"Model"`), qt.Equals, 2)
}

// Package examples_test checks the sample settings files in this directory.
package examples_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/admin"
	"plantainrelay/internal/agent"
	"plantainrelay/internal/entry"
	"plantainrelay/internal/gateway"
	"plantainrelay/internal/settings"
	"plantainrelay/internal/tabletext"
)

var samples = []struct {
	file string
	read func(*settings.Reader) error
}{
	{"plantain-entry.ini", func(r *settings.Reader) error { _, err := entry.ReadSettings(r); return err }},
	{"plantain-agent.ini", func(r *settings.Reader) error { _, err := agent.ReadSettings(r); return err }},
}

// sampleText copies the files that a sample refers to into dir and returns the
// sample's text with the paths changed to dir.
func sampleText(t *testing.T, file, dir string) string {
	t.Helper()
	raw, err := os.ReadFile(file)
	qt.Assert(t, err, qt.IsNil)
	for _, name := range []string{"operators.ini", "customers.ini"} {
		content, err := os.ReadFile(name)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, os.WriteFile(filepath.Join(dir, name), content, 0o600), qt.IsNil)
	}
	qt.Assert(t, os.WriteFile(filepath.Join(dir, "fleet.key"), []byte("secret"), 0o600), qt.IsNil)
	return strings.ReplaceAll(string(raw), "/etc/plantainrelay", dir)
}

func TestSamplesAreValid(t *testing.T) {
	for _, sample := range samples {
		r, err := settings.Parse(sample.file, []byte(sampleText(t, sample.file, t.TempDir())))
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, sample.read(r), qt.IsNil)
	}
}

func TestSamplesContainEveryKey(t *testing.T) {
	for _, sample := range samples {
		text := sampleText(t, sample.file, t.TempDir())
		r, err := settings.Parse(sample.file, []byte(text))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, sample.read(r), qt.IsNil)
		for _, key := range r.Keys() {
			qt.Check(t, containsKey(text, key), qt.IsTrue, qt.Commentf("%s lacks [%s] %s", sample.file, key.Section, key.Name))
		}
	}
}

// containsKey reports whether the key appears in its section, set or commented
// out.
func containsKey(text string, key settings.Key) bool {
	_, section, found := strings.Cut(text, "\n["+key.Section+"]\n")
	section, _, _ = strings.Cut(section, "\n[")
	line := regexp.MustCompile(`(?m)^(; )?` + regexp.QuoteMeta(key.Name) + ` = `)
	return found && line.MatchString(section)
}

// TestCommentedValuesAreDefaults checks that the commented-out values are the
// defaults: uncommenting them must not change the settings.
func TestCommentedValuesAreDefaults(t *testing.T) {
	dir := t.TempDir()
	fileKey := regexp.MustCompile(`(?m)^; (\w+_file) = .*$`)
	for _, file := range []string{"plantain-entry.ini", "plantain-agent.ini"} {
		defaults := fileKey.ReplaceAllString(sampleText(t, file, dir), "")
		explicit := strings.ReplaceAll(defaults, "\n; ", "\n")
		qt.Check(t, readSample(t, file, explicit), qt.DeepEquals, readSample(t, file, defaults))
	}
}

func readSample(t *testing.T, file, text string) any {
	t.Helper()
	r, err := settings.Parse(file, []byte(text))
	qt.Assert(t, err, qt.IsNil)
	var result any
	if strings.Contains(file, "entry") {
		result, err = entry.ReadSettings(r)
	} else {
		result, err = agent.ReadSettings(r)
	}
	qt.Assert(t, err, qt.IsNil)
	return result
}

func TestOtherSamplesAreValid(t *testing.T) {
	c := qt.New(t)
	_, err := admin.LoadOperators("operators.ini")
	c.Check(err, qt.IsNil)
	_, err = gateway.LoadTokenIdentifier("customers.ini")
	c.Check(err, qt.IsNil)
	raw, err := os.ReadFile("tables.ini")
	c.Assert(err, qt.IsNil)
	_, err = tabletext.Parse(raw)
	c.Check(err, qt.IsNil)
}

// TestAllProblemsAreReportedTogether checks that one error lists every problem
// of a file with its section, key and allowed values, and that it contains no
// secret.
func TestAllProblemsAreReportedTogether(t *testing.T) {
	c := qt.New(t)
	dir := t.TempDir()
	c.Assert(os.WriteFile(filepath.Join(dir, "fleet.key"), []byte("hidden"), 0o600), qt.IsNil)
	text := `[instance]
name = entry-1
[fleet]
key_file = ` + dir + `/fleet.key
[listen]
control = 127.0.0.1:1
public = 127.0.0.1:1
admin = localhost
max_connections = many
[requests]
max_body = 8
max_silence = 1s
ask_interval = 2s
max_wait = 3
[customers]
keys_file = /nonexistent
trust_header = yes
[tls]
callers_certificate_file = /nonexistent
[shutdown]
drain_limt = 3s
[extra]
`
	r, err := settings.Parse("bad.ini", []byte(text))
	c.Assert(err, qt.IsNil)
	_, err = entry.ReadSettings(r)
	c.Assert(err, qt.IsNotNil)
	for _, wanted := range []string{
		"[instance] availability_zone: missing",
		"[instance] region: missing",
		"[listen] public: the same as [listen] control",
		"[listen] admin: \"localhost\" is not an address; set it to an IP address and a port",
		"[listen] max_connections: \"many\" is not a whole number; set it to a whole number from 16 to 65536",
		"[requests] max_body: \"8\" is not a size with a unit; set it to a size with a unit (B, KiB, MiB, GiB)",
		"[requests] max_wait: \"3\" is not a time with a unit",
		"[requests] ask_interval: not below max_silence",
		"[customers] trust_header: contradicts keys_file",
		"[tls] callers_key_file: missing",
		"[shutdown] drain_limt: unknown key; set it to nothing: remove the key (known keys: drain_limit, leave_delay)",
		"[extra] *: unknown section",
		"[platform] store_url: missing",
		"[admin] operators_file: missing",
	} {
		c.Check(strings.Contains(err.Error(), "bad.ini: "+wanted), qt.IsTrue, qt.Commentf("%s\nlacks: %s", err, wanted))
	}
	c.Check(strings.Contains(err.Error(), "hidden"), qt.IsFalse)
}

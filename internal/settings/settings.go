// Package settings reads INI settings files and checks every key. A Reader
// collects all problems of a file, so that an operator sees them at once.
package settings

import (
	"fmt"
	"net"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"plantainrelay/internal/failure"
)

// Problem is one violation found in a settings file.
type Problem struct {
	File    string
	Section string
	Key     string
	Cause   string
	Allowed string
}

// String formats the problem with its remedy on one line.
func (p Problem) String() string {
	return fmt.Sprintf("%s: [%s] %s: %s; set it to %s", p.File, p.Section, p.Key, p.Cause, p.Allowed)
}

// Reader reads typed keys from one settings file and collects problems.
type Reader struct {
	file     string
	data     *ini.File
	known    map[string]map[string]bool
	problems []Problem
}

// maxFileBytes bounds the size of a settings file.
const maxFileBytes = 1 << 20

// Open parses the settings file at path. It returns a failure.Invalid error
// when the file cannot be read or is not INI.
func Open(path string) (*Reader, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, failure.Wrap(err, failure.Invalid, "name an existing file with --settings", "settings file %s cannot be read", path)
	}
	if info.Size() > maxFileBytes {
		return nil, failure.New(failure.Invalid, "shorten the file", "settings file %s is larger than %d bytes", path, maxFileBytes)
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, failure.Wrap(err, failure.Invalid, "make the file readable", "settings file %s cannot be read", path)
	}
	return Parse(path, raw)
}

// Parse parses raw INI text; name is the file name for messages.
func Parse(name string, raw []byte) (*Reader, error) {
	data, err := ini.LoadSources(ini.LoadOptions{SpaceBeforeInlineComment: true}, raw)
	if err != nil {
		return nil, failure.Wrap(err, failure.Invalid, "write it as [section] and key = value lines", "settings file %s is not valid INI", name)
	}
	return &Reader{file: name, data: data, known: map[string]map[string]bool{}}, nil
}

// AddProblem records a problem. Callers use it for rules that span several keys.
func (r *Reader) AddProblem(section, key, cause, allowed string) {
	r.problems = append(r.problems, Problem{File: r.file, Section: section, Key: key, Cause: cause, Allowed: allowed})
}

func (r *Reader) lookup(section, key, fallback string) string {
	if r.known[section] == nil {
		r.known[section] = map[string]bool{}
	}
	r.known[section][key] = true
	if !r.data.HasSection(section) || !r.data.Section(section).HasKey(key) {
		return fallback
	}
	return strings.TrimSpace(r.data.Section(section).Key(key).String())
}

// String returns the key's text, or fallback when it is absent.
func (r *Reader) String(section, key, fallback string) string {
	return r.lookup(section, key, fallback)
}

// Required returns the key's text and records a problem when it is empty.
func (r *Reader) Required(section, key, allowed string) string {
	value := r.lookup(section, key, "")
	if value == "" {
		r.AddProblem(section, key, "missing", allowed)
	}
	return value
}

// Choice returns the key's text, which must be one of choices.
func (r *Reader) Choice(section, key, fallback string, choices ...string) string {
	value := r.lookup(section, key, fallback)
	if !slices.Contains(choices, value) {
		r.AddProblem(section, key, fmt.Sprintf("%q is not allowed", value), "one of "+strings.Join(choices, ", "))
	}
	return value
}

// Int returns the key as a whole number within [low, high].
func (r *Reader) Int(section, key string, fallback, low, high int64) int64 {
	text := r.lookup(section, key, strconv.FormatInt(fallback, 10))
	allowed := fmt.Sprintf("a whole number from %d to %d", low, high)
	value, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		r.AddProblem(section, key, fmt.Sprintf("%q is not a whole number", text), allowed)
		return fallback
	}
	if value < low || value > high {
		r.AddProblem(section, key, fmt.Sprintf("%d is out of range", value), allowed)
		return fallback
	}
	return value
}

// Duration returns the key as a duration with a unit, within [low, high].
func (r *Reader) Duration(section, key string, fallback, low, high time.Duration) time.Duration {
	text := r.lookup(section, key, fallback.String())
	allowed := fmt.Sprintf("a time with a unit, such as 500ms or 2s, from %s to %s", low, high)
	value, err := time.ParseDuration(text)
	if err != nil {
		r.AddProblem(section, key, fmt.Sprintf("%q is not a time with a unit", text), allowed)
		return fallback
	}
	if value < low || value > high {
		r.AddProblem(section, key, fmt.Sprintf("%s is out of range", value), allowed)
		return fallback
	}
	return value
}

// byteUnits maps the accepted size suffixes to their factor in bytes.
var byteUnits = []struct {
	suffix string
	factor int64
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"B", 1}}

// Bytes returns the key as a size in bytes, written as 64KiB, 8MiB, 1GiB or
// 100B, within [low, high] bytes.
func (r *Reader) Bytes(section, key string, fallback, low, high int64) int64 {
	text := r.lookup(section, key, strconv.FormatInt(fallback, 10)+"B")
	allowed := fmt.Sprintf("a size with a unit (B, KiB, MiB, GiB) from %dB to %dB", low, high)
	value, ok := parseBytes(text)
	if !ok {
		r.AddProblem(section, key, fmt.Sprintf("%q is not a size with a unit", text), allowed)
		return fallback
	}
	if value < low || value > high {
		r.AddProblem(section, key, fmt.Sprintf("%s is out of range", text), allowed)
		return fallback
	}
	return value
}

func parseBytes(text string) (int64, bool) {
	for _, unit := range byteUnits {
		digits, found := strings.CutSuffix(text, unit.suffix)
		if !found {
			continue
		}
		value, err := strconv.ParseInt(strings.TrimSpace(digits), 10, 64)
		if err != nil || value < 0 || value > (1<<62)/unit.factor {
			return 0, false
		}
		return value * unit.factor, true
	}
	return 0, false
}

// Address returns the key as an "IP:port" address.
func (r *Reader) Address(section, key string) string {
	const allowed = "an IP address and a port, such as 127.0.0.1:8080"
	text := r.Required(section, key, allowed)
	if text == "" {
		return ""
	}
	host, port, err := net.SplitHostPort(text)
	number, numberErr := strconv.ParseUint(port, 10, 16)
	if err != nil || net.ParseIP(host) == nil || numberErr != nil || number == 0 {
		r.AddProblem(section, key, fmt.Sprintf("%q is not an address", text), allowed)
		return ""
	}
	return text
}

// URL returns the key as an absolute http or https URL without a final slash.
func (r *Reader) URL(section, key string) string {
	const allowed = "an absolute URL, such as http://127.0.0.1:9000"
	text := r.Required(section, key, allowed)
	if text == "" {
		return ""
	}
	parsed, err := url.Parse(text)
	if err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
		r.AddProblem(section, key, fmt.Sprintf("%q is not an absolute URL", text), allowed)
		return ""
	}
	return strings.TrimSuffix(text, "/")
}

// Key is a key with the value that was read from it.
type Key struct {
	Section, Name, Value string
}

// RequireDistinct records a problem for each key that repeats the value of an
// earlier one. Empty values are not compared.
func (r *Reader) RequireDistinct(keys ...Key) {
	for i, key := range keys {
		for _, earlier := range keys[:i] {
			if key.Value != "" && key.Value == earlier.Value {
				r.AddProblem(key.Section, key.Name, fmt.Sprintf("the same as [%s] %s", earlier.Section, earlier.Name), "another value than "+key.Value)
			}
		}
	}
}

// Keys returns all keys that have been read, with their sections but without
// values.
func (r *Reader) Keys() []Key {
	var keys []Key
	for section, names := range r.known {
		for name := range names {
			keys = append(keys, Key{Section: section, Name: name})
		}
	}
	return keys
}

// Secret reads the file that the key names and returns its trimmed content. An
// absent key gives an empty secret. Messages never contain the secret.
func (r *Reader) Secret(section, key string) string {
	path := r.lookup(section, key, "")
	if path == "" {
		return ""
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		r.AddProblem(section, key, fmt.Sprintf("file %q cannot be read", path), "the path of a readable file that holds the secret")
		return ""
	}
	secret := strings.TrimSpace(string(raw))
	if secret == "" {
		r.AddProblem(section, key, fmt.Sprintf("file %q is empty", path), "the path of a file that holds the secret")
	}
	return secret
}

// Finish returns all problems found, including unknown sections and keys, as one
// failure.Invalid error, or nil if there are none.
func (r *Reader) Finish() error {
	r.reportUnknownKeys()
	if len(r.problems) == 0 {
		return nil
	}
	lines := make([]string, len(r.problems))
	for i, problem := range r.problems {
		lines[i] = problem.String()
	}
	return failure.New(failure.Invalid, "correct the lines above; nothing was started",
		"%d problem(s) in the settings:\n%s\n", len(lines), strings.Join(lines, "\n"))
}

func (r *Reader) reportUnknownKeys() {
	for _, section := range r.data.Sections() {
		name := section.Name()
		if r.known[name] == nil {
			r.reportUnknownSection(section)
			continue
		}
		for _, key := range section.KeyStrings() {
			if !r.known[name][key] {
				r.AddProblem(name, key, "unknown key", "nothing: remove the key (known keys: "+sortedKeys(r.known[name])+")")
			}
		}
	}
}

func (r *Reader) reportUnknownSection(section *ini.Section) {
	if section.Name() == ini.DefaultSection && len(section.Keys()) == 0 {
		return
	}
	sections := map[string]bool{}
	for name := range r.known {
		sections[name] = true
	}
	r.AddProblem(section.Name(), "*", "unknown section", "nothing: remove the section (known sections: "+sortedKeys(sections)+")")
}

func sortedKeys(set map[string]bool) string {
	names := make([]string, 0, len(set))
	for name := range set {
		names = append(names, name)
	}
	slices.Sort(names)
	return strings.Join(names, ", ")
}

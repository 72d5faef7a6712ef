// Package imports_test checks two rules for the source code. Decision packages do
// no I/O, read no clock, draw no random numbers and start no goroutines. Only the
// platform adapter uses the names of the users' platform.
package imports_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// decisionPackages hold pure logic: they take events and the current time as
// arguments and return actions.
var decisionPackages = []string{
	"admission", "balance", "blocklist", "burn", "catalog", "delta", "dispatch", "drain", "duty", "intake", "member", "ownership",
	"peers", "placement", "promptcache", "propagate", "replica", "rollout", "swarm", "table", "usage", "weights",
}

// modulePrefix is the prefix of the import paths of this module's internal
// packages.
const modulePrefix = "plantainrelay/internal/"

// allowedInternalImports lists the other packages of this module that decision
// packages may import.
var allowedInternalImports = map[string]bool{"failure": true}

var forbiddenImports = []string{"net", "os", "syscall", "io/fs", "database/sql", "github.com/zeromicro", "github.com/sirupsen"}

var forbiddenCalls = map[string]map[string]bool{
	"time": {"Now": true, "Sleep": true, "After": true, "AfterFunc": true, "Tick": true, "NewTimer": true, "NewTicker": true, "Since": true, "Until": true},
	"rand": {"Int": true, "IntN": true, "Intn": true, "N": true, "Float64": true, "Perm": true, "Shuffle": true, "Uint64": true, "Int64N": true, "Read": true},
	"uuid": {"New": true, "NewString": true},
}

func TestDecisionPackagesDoNoIO(t *testing.T) {
	var patterns []string
	for _, name := range decisionPackages {
		patterns = append(patterns, filepath.Join("..", "..", "internal", name, "*.go"))
	}
	checkSources(t, patterns, violations)
}

// checkSources checks that find returns nothing for each of the files, tests left out, and that
// there are such files.
func checkSources(t *testing.T, patterns []string, find func(t *testing.T, name, source string) []string) {
	c := qt.New(t)
	checked := 0
	for _, pattern := range patterns {
		files, err := filepath.Glob(pattern)
		c.Assert(err, qt.IsNil)
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			source, err := os.ReadFile(file)
			c.Assert(err, qt.IsNil)
			c.Check(find(t, file, string(source)), qt.HasLen, 0)
			checked++
		}
	}
	c.Assert(checked > 0, qt.IsTrue)
}

func TestViolationsAreFound(t *testing.T) {
	for _, source := range []string{
		`package p; import _ "net"`,
		`package p; import _ "net/http"`,
		`package p; import _ "os"`,
		`package p; import _ "plantainrelay/internal/peer"`,
		`package p; import "time"; var now = time.Now()`,
		`package p; import "math/rand/v2"; var n = rand.IntN(3)`,
		`package p; func f() { go f() }`,
	} {
		qt.Check(t, violations(t, "sample.go", source), qt.HasLen, 1, qt.Commentf("%s", source))
	}
}

func violations(t *testing.T, name, source string) []string {
	file, err := parser.ParseFile(token.NewFileSet(), name, source, parser.SkipObjectResolution)
	qt.Assert(t, err, qt.IsNil)
	var found []string
	for _, spec := range file.Imports {
		if path := strings.Trim(spec.Path.Value, `"`); isForbiddenImport(path) {
			found = append(found, name+" imports "+path)
		}
	}
	ast.Inspect(file, func(node ast.Node) bool {
		switch typed := node.(type) {
		case *ast.GoStmt:
			found = append(found, name+" starts a goroutine")
		case *ast.SelectorExpr:
			if base, ok := typed.X.(*ast.Ident); ok && forbiddenCalls[base.Name][typed.Sel.Name] {
				found = append(found, name+" uses "+base.Name+"."+typed.Sel.Name)
			}
		}
		return true
	})
	return found
}

func isForbiddenImport(path string) bool {
	if name, found := strings.CutPrefix(path, modulePrefix); found {
		return !allowedInternalImports[name] && !isDecisionPackage(name)
	}
	for _, prefix := range forbiddenImports {
		if path == prefix || strings.HasPrefix(path, prefix+"/") {
			return true
		}
	}
	return false
}

func isDecisionPackage(name string) bool {
	for _, decision := range decisionPackages {
		if name == decision {
			return true
		}
	}
	return false
}

// clientPackage holds the only transport of HTTP clients. Others would take the part of a response
// whose connection was reset, or a response with a malformed head, for a whole one.
const clientPackage = "message"

// TestClientsUseOneTransport guards against clients that do not check responses. Test programs may
// have such clients.
func TestClientsUseOneTransport(t *testing.T) {
	checkSources(t, []string{"../../internal/*/*.go", "../../platform/*.go", "../../cmd/*/*.go"}, func(t *testing.T, name, source string) []string {
		if filepath.Base(filepath.Dir(name)) == clientPackage {
			return nil
		}
		return otherTransports(t, name, source)
	})
}

func TestOtherTransportsAreFound(t *testing.T) {
	for _, source := range []string{
		`package p; import "net/http"; var t = &http.Transport{}`,
		`package p; import "net/http"; var t http.RoundTripper = http.DefaultTransport`,
		`package p; import "net/http"; var r, err = http.Get("http://x")`,
		`package p; import "net/http"; var c = &http.Client{}`,
		`package p; import "net/http"; var r, err = http.ReadResponse(nil, nil)`,
	} {
		qt.Check(t, otherTransports(t, "sample.go", source), qt.HasLen, 1, qt.Commentf("%s", source))
	}
}

// otherTransports finds uses of transports of net/http, and clients without a transport.
func otherTransports(t *testing.T, name, source string) []string {
	file, err := parser.ParseFile(token.NewFileSet(), name, source, parser.SkipObjectResolution)
	qt.Assert(t, err, qt.IsNil)
	forbidden := map[string]bool{"Transport": true, "DefaultTransport": true, "Get": true, "Head": true, "Post": true, "PostForm": true, "ReadResponse": true}
	isHTTP := func(node ast.Node, name string) bool {
		selector, ok := node.(*ast.SelectorExpr)
		if !ok {
			return false
		}
		base, ok := selector.X.(*ast.Ident)
		return ok && base.Name == "http" && selector.Sel.Name == name
	}
	var found []string
	ast.Inspect(file, func(node ast.Node) bool {
		switch typed := node.(type) {
		case *ast.SelectorExpr:
			if forbidden[typed.Sel.Name] && isHTTP(typed, typed.Sel.Name) {
				found = append(found, name+" uses http."+typed.Sel.Name)
			}
		case *ast.CompositeLit:
			if isHTTP(typed.Type, "Client") && !setsField(typed, "Transport") {
				found = append(found, name+" has a client without a transport")
			}
		}
		return true
	})
	return found
}

func setsField(literal *ast.CompositeLit, name string) bool {
	for _, element := range literal.Elts {
		if pair, ok := element.(*ast.KeyValueExpr); ok {
			if key, ok := pair.Key.(*ast.Ident); ok && key.Name == name {
				return true
			}
		}
	}
	return false
}

// platformNames are names from the interfaces of the users' platform. Only
// platform/ may use them.
var platformNames = []string{
	"Response-Seal", "Not-Executed", "Expect-Instance", "Expect-Version", "Attempt-Id", "Deadline-Ms", "X-Api-Key", "Token-Usage",
	"Instance-Id", "Server-Load", "Store-Era", "FullCreditMs", "GapTargetMs", "ColdLeftMs", "ApiKeys", "PLANTAINRELAY_BOOT", "ConfigApplyMs",
	`"/v1/objects`, `/v1/report"`, `"/v1/order`, `"/v1/stage`, `"/v1/resolve`, `"/v1/readiness`, "ItemCount", "SwitchMode",
}

// TestOnlyPlatformPackageUsesPlatformNames searches for the platform's names in
// cmd and internal. Test files are excluded because they use the platform's
// protocol.
func TestOnlyPlatformPackageUsesPlatformNames(t *testing.T) {
	c := qt.New(t)
	checked := 0
	for _, root := range []string{"cmd", "internal"} {
		err := filepath.WalkDir(filepath.Join("..", "..", root), func(path string, entry os.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			source, err := os.ReadFile(path)
			if err != nil {
				return err
			}
			for _, name := range platformNames {
				c.Check(strings.Contains(string(source), name), qt.IsFalse, qt.Commentf("%s contains %s", path, name))
			}
			checked++
			return nil
		})
		c.Assert(err, qt.IsNil)
	}
	c.Assert(checked > 0, qt.IsTrue)
}

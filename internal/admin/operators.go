// Package admin implements the administration API, with which operators read,
// validate and edit the tables and query the state of the fleet.
package admin

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"net/http"
	"strings"

	"gopkg.in/ini.v1"

	"plantainrelay/internal/failure"
)

// Role defines the permissions of an operator.
type Role string

// The roles. An editor has all permissions of a viewer.
const (
	RoleViewer Role = "viewer"
	RoleEditor Role = "editor"
)

// Operator is a person who administers the tables.
type Operator struct {
	Name string
	Role Role
	// tokenHash is the SHA-256 digest of the operator's bearer token.
	tokenHash []byte
}

// Operators holds the operators who may use the administration API.
type Operators struct {
	operators []Operator
}

// LoadOperators reads the operators file, which contains an INI section
// [operator NAME] with the keys role and token_sha256 for each operator.
func LoadOperators(path string) (*Operators, error) {
	file, err := ini.Load(path)
	if err != nil {
		return nil, failure.Wrap(err, failure.Invalid, "set operators_file to a readable INI file", "the operators file %s cannot be read", path)
	}
	operators := &Operators{}
	var problems []string
	for _, section := range file.Sections() {
		if section.Name() == ini.DefaultSection && len(section.Keys()) == 0 {
			continue
		}
		operator, problem := parseOperator(section)
		if problem != "" {
			problems = append(problems, fmt.Sprintf("%s: [%s] %s", path, section.Name(), problem))
			continue
		}
		operators.operators = append(operators.operators, operator)
	}
	if len(problems) > 0 {
		return nil, failure.New(failure.Invalid, "correct the lines above; nothing was started",
			"%d problem(s) in the operators file:\n%s\n", len(problems), strings.Join(problems, "\n"))
	}
	return operators, nil
}

func parseOperator(section *ini.Section) (Operator, string) {
	name, found := strings.CutPrefix(section.Name(), "operator ")
	if !found || name == "" {
		return Operator{}, "unknown section; use [operator NAME]"
	}
	role := Role(section.Key("role").String())
	if role != RoleViewer && role != RoleEditor {
		return Operator{}, "role: set it to viewer or editor"
	}
	hash, err := hex.DecodeString(section.Key("token_sha256").String())
	if err != nil || len(hash) != sha256.Size {
		return Operator{}, "token_sha256: set it to the SHA-256 digest of the token in hexadecimal"
	}
	return Operator{Name: name, Role: role, tokenHash: hash}, ""
}

// authenticate returns the operator whose bearer token the request carries. It
// compares with every token, in constant time each, so that the time does not
// depend on which token matches.
func (o *Operators) authenticate(r *http.Request) (Operator, bool) {
	token, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !found {
		return Operator{}, false
	}
	hash := sha256.Sum256([]byte(token))
	identified, ok := Operator{}, false
	for _, operator := range o.operators {
		if subtle.ConstantTimeCompare(hash[:], operator.tokenHash) == 1 {
			identified, ok = operator, true
		}
	}
	return identified, ok
}

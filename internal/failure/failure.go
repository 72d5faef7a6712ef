// Package failure defines the errors that all packages of plantainrelay return.
// Each error has a kind, which programs act on, and a remedy, which people act
// on.
package failure

import (
	"errors"
	"fmt"

	"github.com/samber/oops"
)

// Kind classifies an error by how the receiver can handle it.
type Kind string

// The kinds of error.
const (
	// Invalid means that the input violates a documented rule.
	Invalid Kind = "invalid"
	// Refused means that the request is well formed but not permitted now.
	Refused Kind = "refused"
	// Conflict means that another writer changed the object first.
	Conflict Kind = "conflict"
	// NotFound means that the named object does not exist.
	NotFound Kind = "not_found"
	// Unauthorized means that the credentials are missing, wrong or
	// insufficient.
	Unauthorized Kind = "unauthorized"
	// NotReachable means that the request was not delivered.
	NotReachable Kind = "not_reachable"
	// Unknown means that the request may or may not have taken effect.
	Unknown Kind = "unknown"
	// Internal means a bug in this program.
	Internal Kind = "internal"
)

// New returns an error of the given kind. The message ends with the remedy.
func New(kind Kind, remedy, format string, args ...any) error {
	return oops.Code(string(kind)).Hint(remedy).Errorf("%s; %s", fmt.Sprintf(format, args...), remedy)
}

// Wrap returns an error of the given kind with err as its cause. It returns
// nil when err is nil.
func Wrap(err error, kind Kind, remedy, format string, args ...any) error {
	if err == nil {
		return nil
	}
	return oops.Code(string(kind)).Hint(remedy).Wrapf(err, "%s (%s)", fmt.Sprintf(format, args...), remedy)
}

// KindOf returns the kind of err: Internal if err has none, and the empty kind
// if err is nil.
func KindOf(err error) Kind {
	if err == nil {
		return ""
	}
	var typed oops.OopsError
	if !errors.As(err, &typed) {
		return Internal
	}
	code, ok := typed.Code().(string)
	if !ok {
		return Internal
	}
	return Kind(code)
}

// Is reports whether err is of the given kind.
func Is(err error, kind Kind) bool {
	return KindOf(err) == kind
}

// Remedy returns the remedy of err, or an empty string if it has none.
func Remedy(err error) string {
	var typed oops.OopsError
	if !errors.As(err, &typed) {
		return ""
	}
	return typed.Hint()
}

package replica

import (
	"cmp"
	"fmt"
)

// Revision is a position in the history of the store. The store counts its changes in
// Number and, when it is restored from an older copy of itself, goes on in the next Era
// from the number of that copy. The same Number in two eras is two different changes. The
// zero value is before any other revision.
type Revision struct {
	Era    int64
	Number int64
}

// Compare returns -1, 0 or 1 when r is before, equal to or after other. The era goes
// first.
func (r Revision) Compare(other Revision) int {
	return cmp.Or(cmp.Compare(r.Era, other.Era), cmp.Compare(r.Number, other.Number))
}

// After reports whether r is after other.
func (r Revision) After(other Revision) bool { return r.Compare(other) > 0 }

// Max returns the later one of two revisions.
func (r Revision) Max(other Revision) Revision {
	if other.After(r) {
		return other
	}
	return r
}

// String returns "era/number", and only the number in a store that was never restored.
func (r Revision) String() string {
	if r.Era == 0 {
		return fmt.Sprint(r.Number)
	}
	return fmt.Sprintf("%d/%d", r.Era, r.Number)
}

package delta_test

import (
	"bytes"
	"testing"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/delta"
)

// FuzzDecode checks that no input stops the process or exceeds the limit.
func FuzzDecode(f *testing.F) {
	base := bytes.Repeat([]byte("route"), 300)
	for _, base := range [][]byte{nil, base} {
		encoded, err := delta.Encode([]byte("routeroutepool"), base)
		qt.Assert(f, err, qt.IsNil)
		f.Add(encoded, base)
	}
	f.Fuzz(func(t *testing.T, encoded, base []byte) {
		decoded, err := delta.Decode(encoded, base, maxBytes)
		if err == nil && len(decoded) > maxBytes {
			t.Fatalf("%d bytes", len(decoded))
		}
	})
}

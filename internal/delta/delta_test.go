package delta_test

import (
	"bytes"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"plantainrelay/internal/delta"
)

const maxBytes = 1 << 20

// TestDocumentsAreTheSameAfterDecoding checks both forms for all kinds of documents and bases.
func TestDocumentsAreTheSameAfterDecoding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		piece := rapid.SliceOfN(rapid.Byte(), 0, 2000)
		base := bytes.Repeat(piece.Draw(t, "base"), rapid.IntRange(0, 40).Draw(t, "repetitions"))
		from := rapid.IntRange(0, len(base)).Draw(t, "from")
		body := append(append(piece.Draw(t, "start"), base[from:]...), piece.Draw(t, "end")...)
		for _, base := range [][]byte{nil, base} {
			encoded, err := delta.Encode(body, base)
			if err != nil {
				t.Fatal(err)
			}
			decoded, err := delta.Decode(encoded, base, maxBytes)
			if err != nil || !bytes.Equal(decoded, body) {
				t.Fatalf("%d bytes of %d, %v", len(decoded), len(body), err)
			}
		}
	})
}

// TestLargeDocumentIsRejected guards against a few bytes that fill the memory when decoded.
func TestLargeDocumentIsRejected(t *testing.T) {
	encoded, err := delta.Encode(make([]byte, maxBytes+1), nil)
	qt.Assert(t, err, qt.IsNil)
	_, err = delta.Decode(encoded, nil, maxBytes)
	qt.Assert(t, err, qt.IsNotNil)
}

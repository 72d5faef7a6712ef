package usage_test

import (
	"testing"

	"plantainrelay/internal/member"
	"plantainrelay/internal/usage"
)

// FuzzDocument checks that any document from the store is either rejected or
// can be merged, encoded, decoded again and summed up.
func FuzzDocument(f *testing.F) {
	f.Add([]byte(`{"keys":[{"customer":"a","pool":"b","version":"c"}],"live":[{"source":"s","role":"entry","hour":5,"rows":[[0,1,2,3,4,5]]}],"sums":[{"role":"agent","from":1,"to":4,"rows":[[0,1,0,0,0,0]]}],"folded":[{"source":"s","hour":4}]}`))
	f.Add([]byte(`{"keys":null,"live":[{"rows":[[7]]}]}`))
	f.Add([]byte(``))
	f.Fuzz(func(t *testing.T, raw []byte) {
		document, err := usage.Decode(raw)
		if err != nil {
			return
		}
		document.Merge(usage.Report{Source: usage.Source{Name: "x", Role: member.RoleEntry}, Hour: 3, Closed: true,
			Rows: []usage.Row{{Key: usage.Key{Customer: "a"}, Counts: usage.Counts{Done: 1}}}})
		encoded, err := document.Encode(len(raw) + 4096)
		if err != nil {
			return
		}
		if _, err := usage.Decode(encoded); err != nil {
			t.Fatalf("an encoded document cannot be decoded: %v", err)
		}
		usage.NewSummary(0, 10).Add(document)
	})
}

// FuzzStreamTokens checks that the count does not depend on how a stream is
// split into writes.
func FuzzStreamTokens(f *testing.F) {
	f.Add([]byte("data: a\n\nevent: done\ndata: b\n\n"), 3)
	f.Add([]byte("\r\n\r\ndata:\n\n\n"), 1)
	f.Fuzz(func(t *testing.T, stream []byte, cut int) {
		var whole, parts usage.TokenCounter
		_, _ = whole.Write(stream)
		cut = max(0, min(cut, len(stream)))
		_, _ = parts.Write(stream[:cut])
		_, _ = parts.Write(stream[cut:])
		if whole.Count() != parts.Count() {
			t.Fatalf("counted %d tokens in one write, %d in two writes", whole.Count(), parts.Count())
		}
	})
}

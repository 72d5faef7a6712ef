package beat

import (
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestMessageRoundTrip(t *testing.T) {
	c := qt.New(t)
	sent := &Message{
		Role: Agent, Instance: "edge-1", Host: "10.0.0.1", Start: 7, Sequence: 9, Ready: true,
		Collections: []CollectionState{{Known: true, Content: 5, AgeMs: 100}}, Loads: map[string]Load{"i-1": {Count: 3, Unread: 1200}},
		Releases: []Release{{Model: "m", Version: 2, AgeMs: 40}}, Report: &EngineReport{Born: 5, Loaded: 2, Pace: 1.5},
	}
	raw, err := encode(sent)
	c.Assert(err, qt.IsNil)
	got, _, err := decode(raw)
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.DeepEquals, sent)
}

func TestMessageWithoutAnAddressIsRejected(t *testing.T) {
	raw, err := encode(&Message{Host: "nowhere"})
	qt.Assert(t, err, qt.IsNil)
	_, _, err = decode(raw)
	qt.Assert(t, err, qt.IsNotNil)
}

// FuzzMessage checks that decode accepts or rejects any datagram without a panic,
// and accepts none without an address.
func FuzzMessage(f *testing.F) {
	raw, err := encode(&Message{Host: "10.0.0.1", Hosts: []string{"10.0.0.2"}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Add([]byte{0x9f, 0xc1})
	end, err := encode(trailer{Epoch: 7, Sent: 1_000, EchoEpoch: 9, EchoSent: 500, Elapsed: 20})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(slices.Concat(raw, end))
	f.Fuzz(func(t *testing.T, raw []byte) {
		if m, _, err := decode(raw); err == nil && m.Host == "" {
			t.Fatal("a message without an address was accepted")
		}
	})
}

package loader

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/clock"
	"plantainrelay/internal/copies"
	"plantainrelay/internal/replica"
	"plantainrelay/platform"
	"plantainrelay/platform/standin"
)

// applyDocument makes a document the only one of its collection.
func (a *agent) applyDocument(kind platform.Kind, name string, body []byte) {
	revision := replica.Revision{Number: a.copies.AsOf(kind).Number + 1}
	change := replica.Change{Whole: true, AsOf: revision, Documents: []replica.Document{{Name: name, Revision: revision, Body: body}}}
	a.copies.ApplyFromPeer(kind, change, clock.Now(), "peer")
}

// TestReleaseOutranksServedVersions guards against agents that wait for good for a version that
// only an odd entry of the list names, and load no released one (review/3).
func TestReleaseOutranksServedVersions(t *testing.T) {
	const released, odd = 1, 7
	weights := standin.Weights{Model: model, Chunks: 4, ChunkBytes: 8, Layers: 1}
	table := standin.Table{Version: 1, Pools: []standin.Pool{{Name: "s", Slots: 4, Weights: &weights}}}
	entry := fmt.Appendf(nil, `{"Service":"s","Address":"10.0.0.9:1","State":"ready","Models":[{"Name":%q,"Version":%d}]}`, model, odd)
	for name, kinds := range map[string][]platform.Kind{
		"release first": {platform.Releases, platform.Backends},
		"entry first":   {platform.Backends, platform.Releases},
		"entry again":   {platform.Backends, platform.Releases, platform.Backends},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			a, _ := newTestAgent(t)
			a.settings.Pool, a.target = "s", target{}
			a.copies = copies.New(copies.Config{Log: a.log, Changed: a.decodeCollections})
			a.applyDocument(platform.Tables, platform.TableName, standin.EncodeDocument(table.Encode()))
			for _, kind := range kinds {
				if kind == platform.Releases {
					a.applyDocument(kind, model, standin.EncodeDocument(standin.EncodeRelease(model, released)))
				} else {
					a.applyDocument(kind, "odd", entry)
				}
			}
			c.Assert(a.target.version, qt.Equals, int64(released))
			a.applyDocument(platform.Releases, model, standin.EncodeDocument(standin.EncodeRelease(model, released+1)))
			c.Assert(a.target.version, qt.Equals, int64(released+1))
		})
	}
}

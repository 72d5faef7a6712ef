package replica_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"plantainrelay/internal/replica"
)

// in returns a change of an era, with its documents.
func in(era int64, change replica.Change) replica.Change {
	change.AsOf.Era = era
	for i := range change.Documents {
		change.Documents[i].Revision.Era = era
	}
	return change
}

func versioned(name string, number, version int64) replica.Document {
	d := document(name, number)
	d.Version = version
	return d
}

func names(r *replica.Replica) (names []string) {
	for _, name := range []string{"a", "b", "c"} {
		if _, found := r.Documents()[name]; found {
			names = append(names, name)
		}
	}
	return names
}

// TestRestoredStoreReplacesLostContent guards against a copy that keeps documents that
// the restored store has lost, and rejects new ones whose revisions were given out before.
func TestRestoredStoreReplacesLostContent(t *testing.T) {
	c := qt.New(t)
	r := replica.New()
	r.Apply(in(1, whole(10, document("a", 9), document("b", 10))), epoch)
	c.Assert(r.Apply(in(2, whole(5, document("a", 4))), epoch), qt.HasLen, 2)
	c.Assert(names(r), qt.DeepEquals, []string{"a"})
	c.Assert(r.Content(), qt.Equals, replica.Revision{Era: 2, Number: 4})
	c.Assert(r.Apply(in(2, replica.Change{AsOf: at(9), Documents: []replica.Document{document("c", 9)}}), epoch), qt.HasLen, 1)
	c.Assert(names(r), qt.DeepEquals, []string{"a", "c"})
}

// TestEarlierEraNeverOverwrites guards against a delayed response of the old store, or a
// peer that is an era behind, that brings lost content back.
func TestEarlierEraNeverOverwrites(t *testing.T) {
	c := qt.New(t)
	r := replica.New()
	r.Apply(in(2, whole(5, document("a", 4))), epoch)
	for _, delayed := range []replica.Change{
		in(1, whole(10, document("a", 9), document("b", 10))),
		in(1, replica.Change{AsOf: at(11), Documents: []replica.Document{document("b", 11)}}),
		in(1, replica.Change{AsOf: at(12), Documents: []replica.Document{{Name: "a", Revision: at(12), Removed: true}}}),
	} {
		c.Check(r.Apply(delayed, epoch.Add(time.Second)), qt.HasLen, 0)
	}
	c.Assert(names(r), qt.DeepEquals, []string{"a"})
	c.Assert(r.AsOf(), qt.Equals, replica.Revision{Era: 2, Number: 5})
	c.Assert(r.Proof(), qt.Equals, epoch)
}

// TestChangesOfANewEraNeedAListing guards against changes of the restored store that are
// applied to documents that it has lost, because its revisions have passed those known.
func TestChangesOfANewEraNeedAListing(t *testing.T) {
	c := qt.New(t)
	r := replica.New()
	r.Apply(in(1, whole(10, document("a", 9))), epoch)
	c.Assert(r.Apply(in(2, replica.Change{AsOf: at(12), Documents: []replica.Document{document("b", 12)}}), epoch.Add(time.Second)), qt.HasLen, 0)
	c.Assert(names(r), qt.DeepEquals, []string{"a"})
	c.Assert(r.Proof(), qt.Equals, epoch)
}

// TestProofCountsForItsEra guards against documents of a restored store that count as
// current because those of the earlier era, with the same revision, were.
func TestProofCountsForItsEra(t *testing.T) {
	c := qt.New(t)
	r := replica.New()
	r.Apply(in(1, whole(10, document("a", 9))), epoch.Add(2*time.Second))
	r.Apply(in(2, whole(9, document("a", 9))), epoch)
	c.Assert(r.Proof(), qt.Equals, epoch)
	r.RecordProof(replica.Revision{Era: 1, Number: 9}, epoch.Add(3*time.Second))
	c.Assert(r.Proof(), qt.Equals, epoch)
	proof, known := r.ProofOf(replica.Revision{Era: 1, Number: 9})
	c.Assert(known, qt.IsTrue)
	c.Assert(proof, qt.Equals, epoch.Add(2*time.Second))
}

// TestEraThatRisesTwice guards against a process that was paused during a restore and
// learns of it after the next one, or in the wrong order.
func TestEraThatRisesTwice(t *testing.T) {
	c := qt.New(t)
	r := replica.New()
	r.Apply(in(1, whole(10, document("a", 9))), epoch)
	r.Apply(in(3, whole(4, document("b", 3))), epoch)
	c.Assert(r.Apply(in(2, whole(7, document("c", 6))), epoch), qt.HasLen, 0)
	c.Assert(names(r), qt.DeepEquals, []string{"b"})
}

// TestPeerOfAnotherEraIsSentEverything guards against a peer that gets only the changes
// since a revision of another era.
func TestPeerOfAnotherEraIsSentEverything(t *testing.T) {
	c := qt.New(t)
	r := replica.New()
	r.Apply(in(2, whole(5, document("a", 4))), epoch)
	c.Assert(r.Since(replica.Revision{Era: 1, Number: 10}).Whole, qt.IsTrue)
	c.Assert(r.Since(replica.Revision{Era: 3, Number: 1}).Documents, qt.HasLen, 1)
	c.Assert(r.Since(replica.Revision{Era: 2, Number: 5}).Whole, qt.IsFalse)
}

// TestHigherVersionOutlivesARestore guards against a revoked key that is accepted again
// because the store was restored to tables from before its revocation.
func TestHigherVersionOutlivesARestore(t *testing.T) {
	c := qt.New(t)
	r := replica.New()
	r.Apply(in(1, whole(10, versioned("a", 9, 5))), epoch)
	r.Apply(in(2, whole(5, versioned("a", 4, 4))), epoch)
	c.Assert(r.Documents()["a"].Version, qt.Equals, int64(5))
	r.Apply(in(3, whole(3)), epoch)
	c.Assert(r.Documents()["a"].Version, qt.Equals, int64(5))
	r.Apply(in(3, replica.Change{AsOf: at(6), Documents: []replica.Document{versioned("a", 6, 6)}}), epoch)
	c.Assert(r.Documents()["a"].Version, qt.Equals, int64(6))
	c.Assert(r.Since(at(1)).Retained, qt.HasLen, 0)
}

// TestStartingProcessLearnsTheHigherVersion guards against a process that starts after a
// restore and accepts a revoked key, since the store and its own copy lack the revocation.
func TestStartingProcessLearnsTheHigherVersion(t *testing.T) {
	c := qt.New(t)
	behind, peer, starting := replica.New(), replica.New(), replica.New()
	behind.Apply(in(1, whole(10, versioned("a", 9, 5))), epoch)
	for _, restored := range []*replica.Replica{peer, starting} {
		restored.Apply(in(2, whole(5, versioned("a", 4, 4))), epoch)
	}
	c.Assert(behind.Versions() > peer.Versions(), qt.IsTrue)
	peer.Apply(behind.Since(peer.AsOf()), epoch)
	c.Assert(peer.Documents()["a"].Version, qt.Equals, int64(5))
	c.Assert(peer.AsOf(), qt.Equals, replica.Revision{Era: 2, Number: 5})
	c.Assert(peer.Content(), qt.Equals, starting.Content())
	c.Assert(peer.Versions() > starting.Versions(), qt.IsTrue)
	starting.Apply(peer.Since(starting.AsOf()), epoch)
	c.Assert(starting.Documents()["a"].Version, qt.Equals, int64(5))
}

// TestCopiesConvergeAcrossRestores lets copies read the store or each other in any order
// while it is restored. No copy may go back to an earlier revision, nor a document to a
// lower version of its own, and each must end with the documents of the store.
func TestCopiesConvergeAcrossRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := struct {
			asOf      replica.Revision
			documents map[string]replica.Document
		}{replica.Revision{Number: 1}, map[string]replica.Document{}}
		older, version := state, int64(0)
		copies := []*replica.Replica{replica.New(), replica.New(), replica.New()}
		lastAsOf, lastVersion := make([]replica.Revision, len(copies)), make([]int64, len(copies))
		write := func(name string, version int64) {
			documents := map[string]replica.Document{}
			for name, document := range state.documents {
				documents[name] = document
			}
			state.asOf.Number++
			documents[name] = replica.Document{Name: name, Revision: state.asOf, Version: version, Body: fmt.Append(nil, state.asOf)}
			state.documents = documents
		}
		list := func() replica.Change {
			change := replica.Change{Whole: true, AsOf: state.asOf}
			for _, document := range state.documents {
				change.Documents = append(change.Documents, document)
			}
			return change
		}
		check := func(i int) {
			if lastAsOf[i].After(copies[i].AsOf()) {
				t.Fatalf("copy %d went back from %s to %s", i, lastAsOf[i], copies[i].AsOf())
			}
			if held := copies[i].Documents()["a"].Version; held < lastVersion[i] {
				t.Fatalf("copy %d went back from version %d to %d", i, lastVersion[i], held)
			}
			lastAsOf[i], lastVersion[i] = copies[i].AsOf(), copies[i].Documents()["a"].Version
		}
		pull := func(from, to int) {
			if copies[from].Known() {
				copies[to].Apply(copies[from].Since(copies[to].AsOf()), epoch)
				check(to)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"write":  func(t *rapid.T) { write(rapid.SampledFrom([]string{"b", "c"}).Draw(t, "name"), 0) },
			"edit":   func(*rapid.T) { version++; write("a", version) },
			"backup": func(*rapid.T) { older = state },
			"restore": func(*rapid.T) {
				era := state.asOf.Era + 1
				state = older
				state.asOf.Era = era
				documents := map[string]replica.Document{}
				for name, document := range older.documents {
					document.Revision.Era = era
					documents[name] = document
				}
				state.documents = documents
			},
			"read": func(t *rapid.T) {
				i := rapid.IntRange(0, len(copies)-1).Draw(t, "copy")
				copies[i].Apply(list(), epoch)
				check(i)
			},
			"pull": func(t *rapid.T) {
				pull(rapid.IntRange(0, 2).Draw(t, "from"), rapid.IntRange(0, 2).Draw(t, "to"))
			},
		})
		version++
		write("a", version)
		copies[0].Apply(list(), epoch)
		check(0)
		pull(0, 1)
		for _, held := range copies[:2] {
			if len(held.Documents()) != len(state.documents) {
				t.Fatalf("a copy has %d documents, the store has %d", len(held.Documents()), len(state.documents))
			}
			for name, want := range state.documents {
				if got := held.Documents()[name]; got.Revision != want.Revision || string(got.Body) != string(want.Body) {
					t.Fatalf("a copy has %s of %s, the store has %s", got.Revision, name, want.Revision)
				}
			}
		}
	})
}

package replica_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"plantainrelay/internal/replica"
)

var epoch = time.Unix(1_000, 0)

func at(number int64) replica.Revision { return replica.Revision{Number: number} }

func document(name string, number int64) replica.Document {
	return replica.Document{Name: name, Revision: at(number), Body: []byte(name)}
}

func whole(number int64, documents ...replica.Document) replica.Change {
	return replica.Change{Whole: true, AsOf: at(number), Documents: documents}
}

func TestCopyKeepsTheHighestRevision(t *testing.T) {
	c := qt.New(t)
	r := replica.New()
	c.Assert(r.Apply(whole(10, document("a", 9)), epoch), qt.HasLen, 1)
	c.Assert(r.Apply(whole(8, document("a", 7), document("b", 8)), epoch.Add(time.Second)), qt.HasLen, 0)
	c.Assert(r.Documents()["a"].Revision, qt.Equals, at(9))
	c.Assert(r.Proof(), qt.Equals, epoch)
}

func TestChangesBeforeAListingAreIgnored(t *testing.T) {
	c := qt.New(t)
	r := replica.New()
	c.Assert(r.Apply(replica.Change{AsOf: at(5), Documents: []replica.Document{document("a", 5)}}, epoch), qt.HasLen, 0)
	c.Assert(r.Known(), qt.IsFalse)
}

func TestListingRemovesMissingDocuments(t *testing.T) {
	c := qt.New(t)
	r := replica.New()
	r.Apply(whole(10, document("a", 9), document("b", 10)), epoch)
	changed := r.Apply(whole(12, document("b", 10)), epoch)
	c.Assert(changed, qt.DeepEquals, []replica.Document{{Name: "a", Revision: at(12), Removed: true}})
	// A delayed older revision does not restore a removed document.
	r.Apply(replica.Change{AsOf: at(13), Documents: []replica.Document{document("a", 11)}}, epoch)
	_, found := r.Documents()["a"]
	c.Assert(found, qt.IsFalse)
}

func TestProofRequiresEqualContent(t *testing.T) {
	c := qt.New(t)
	r := replica.New()
	r.Apply(whole(10, document("a", 9)), epoch)
	r.RecordProof(at(8), epoch.Add(time.Second))
	c.Assert(r.Proof(), qt.Equals, epoch)
	r.RecordProof(at(9), epoch.Add(time.Second))
	c.Assert(r.Proof(), qt.Equals, epoch.Add(time.Second))
	r.RecordProof(at(9), epoch)
	c.Assert(r.Proof(), qt.Equals, epoch.Add(time.Second))
}

// TestCopiesConvergeThroughPeers lets copies read the store or each other in any
// order. Each must end with the documents of the store, and no document may be
// replaced by an older revision.
func TestCopiesConvergeThroughPeers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := map[string]replica.Document{}
		revision := int64(1)
		copies := []*replica.Replica{replica.New(), replica.New(), replica.New()}
		seen := make([]map[string]replica.Revision, len(copies))
		for i := range seen {
			seen[i] = map[string]replica.Revision{}
		}
		list := func() replica.Change {
			change := replica.Change{Whole: true, AsOf: at(revision)}
			for _, held := range store {
				change.Documents = append(change.Documents, held)
			}
			return change
		}
		check := func(i int) {
			for name, held := range copies[i].Documents() {
				if seen[i][name].After(held.Revision) {
					t.Fatalf("copy %d replaced %s by an older revision", i, name)
				}
				seen[i][name] = held.Revision
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"write": func(t *rapid.T) {
				revision++
				name := fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "name"))
				store[name] = document(name, revision)
			},
			"remove": func(t *rapid.T) {
				revision++
				delete(store, fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "name")))
			},
			"read": func(t *rapid.T) {
				i := rapid.IntRange(0, len(copies)-1).Draw(t, "copy")
				copies[i].Apply(list(), epoch)
				check(i)
			},
			"pull": func(t *rapid.T) {
				from, to := rapid.IntRange(0, 2).Draw(t, "from"), rapid.IntRange(0, 2).Draw(t, "to")
				if copies[from].Known() {
					copies[to].Apply(copies[from].Since(copies[to].AsOf()), epoch)
					check(to)
				}
			},
		})
		copies[0].Apply(list(), epoch)
		copies[1].Apply(copies[0].Since(copies[1].AsOf()), epoch)
		for _, held := range copies[:2] {
			if len(held.Documents()) != len(store) {
				t.Fatalf("a copy has %d documents, the store has %d", len(held.Documents()), len(store))
			}
			for name, want := range store {
				if held.Documents()[name].Revision != want.Revision {
					t.Fatalf("a copy has revision %s of %s, the store has %s", held.Documents()[name].Revision, name, want.Revision)
				}
			}
		}
	})
}

// TestProofOfThePreviousCopy checks that the proof of the copy before the latest
// change stays as it was and is not renewed by the proof of the change.
func TestProofOfThePreviousCopy(t *testing.T) {
	c := qt.New(t)
	r := replica.New()
	r.Apply(whole(10, document("a", 9)), epoch)
	r.RecordProof(at(9), epoch.Add(time.Second))
	r.Apply(whole(12, document("a", 12)), epoch.Add(5*time.Second))
	proof, known := r.ProofOf(at(9))
	c.Assert(known, qt.IsTrue)
	c.Assert(proof, qt.Equals, epoch.Add(time.Second))
	proof, known = r.ProofOf(at(12))
	c.Assert(known, qt.IsTrue)
	c.Assert(proof, qt.Equals, epoch.Add(5*time.Second))
	_, known = r.ProofOf(at(8))
	c.Assert(known, qt.IsFalse)
}

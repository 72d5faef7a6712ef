package relay

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/clock"
	"plantainrelay/internal/copies"
	"plantainrelay/internal/placement"
	"plantainrelay/internal/replica"
	"plantainrelay/platform"
	"plantainrelay/platform/standin"
)

// listing returns a whole listing of an era.
func listing(era, number int64, documents ...replica.Document) replica.Change {
	change := replica.Change{Whole: true, AsOf: replica.Revision{Era: era, Number: number}, Documents: documents}
	for i := range change.Documents {
		change.Documents[i].Revision = change.AsOf
	}
	return change
}

// tables returns the document of the tables at a version, with one key.
func tables(version int64, key string) replica.Document {
	body := strings.Replace(standin.EntryTestTable, `"Version":3`, fmt.Sprintf(`"Version":%d`, version), 1)
	return replica.Document{Name: platform.TableName, Version: version, Body: []byte(strings.Replace(body, `"good"`, `"`+key+`"`, 1))}
}

func (f *fixture) statusWithKey(c *qt.C, key string) int {
	response, _, err := f.do(http.MethodPost, "/once/", func(r *http.Request) { r.Header.Set(standin.HeaderKey, key) })
	c.Assert(err, qt.IsNil)
	return response.StatusCode
}

// TestRevokedKeyStaysRevokedAfterARestore guards against requests with a revoked key, and
// against refusals of all others: the restored store has the tables from before the
// revocation until the operator writes again.
func TestRevokedKeyStaysRevokedAfterARestore(t *testing.T) {
	c := qt.New(t)
	f := newFixture(t, answerOK)
	v := f.frontend.view
	v.copies.ApplyFromPeer(platform.Tables, listing(0, 9, tables(9, "new")), clock.Now().Add(-time.Minute), "peer")
	v.copies.ApplyFromPeer(platform.Tables, listing(1, 5, tables(5, "good")), clock.Now(), "peer")
	c.Assert(f.statusWithKey(c, "good"), qt.Equals, http.StatusUnauthorized)
	c.Assert(f.statusWithKey(c, "new"), qt.Equals, http.StatusOK)
	c.Assert(v.proofAge() < time.Minute, qt.IsTrue, qt.Commentf("%s", v.proofAge()))
	v.copies.ApplyFromPeer(platform.Tables, listing(1, 6, tables(10, "newest")), clock.Now(), "peer")
	c.Assert(f.statusWithKey(c, "newest"), qt.Equals, http.StatusOK)
	c.Assert(f.statusWithKey(c, "new"), qt.Equals, http.StatusUnauthorized)
}

// TestStartingEntryLearnsOfARevocationFromPeers guards against requests with a revoked key
// at an entry that starts after a restore: the store does not have the revocation, and its
// peers have it only from the earlier era.
func TestStartingEntryLearnsOfARevocationFromPeers(t *testing.T) {
	c := qt.New(t)
	f := newFixture(t, answerOK)
	f.frontend.view.copies.ApplyFromPeer(platform.Tables, listing(1, 12, tables(5, "good")), clock.Now(), "store")
	c.Assert(f.statusWithKey(c, "good"), qt.Equals, http.StatusOK)
	peer := copies.New(copies.Config{Log: f.frontend.log, Changed: func(platform.Kind) {}})
	peer.ApplyFromPeer(platform.Tables, listing(0, 9, tables(9, "new")), clock.Now(), "store")
	peer.ApplyFromPeer(platform.Tables, listing(1, 12, tables(5, "good")), clock.Now(), "store")
	c.Assert(f.frontend.view.copies.PeerStateReceived(platform.Tables, peer.CollectionState(platform.Tables), clock.Now(), "peer"), qt.IsTrue)
	change, _, _ := peer.Since(platform.Tables, f.frontend.view.copies.AsOf(platform.Tables))
	f.frontend.view.copies.ApplyFromPeer(platform.Tables, change, clock.Now(), "peer")
	c.Assert(f.statusWithKey(c, "good"), qt.Equals, http.StatusUnauthorized)
}

// TestReleasesNeverGoBackAfterARestore guards against weights of an older version: the
// restored store names it until the operator writes again.
func TestReleasesNeverGoBackAfterARestore(t *testing.T) {
	c := qt.New(t)
	release := func(version int64) replica.Document {
		return replica.Document{Name: "m", Version: version, Body: fmt.Appendf(nil, `{"Model":"m","Version":%d}`, version)}
	}
	v := newFixture(t).frontend.view
	v.copies.ApplyFromPeer(platform.Releases, listing(0, 9, release(4)), clock.Now(), "store")
	v.copies.ApplyFromPeer(platform.Releases, listing(1, 12, release(3)), clock.Now(), "store")
	c.Assert(v.releases.Load().TargetVersion("m"), qt.Equals, int64(4))
	starting := newFixture(t).frontend.view
	starting.copies.ApplyFromPeer(platform.Releases, listing(1, 12, release(3)), clock.Now(), "store")
	change, _, _ := v.copies.Since(platform.Releases, starting.copies.AsOf(platform.Releases))
	starting.copies.ApplyFromPeer(platform.Releases, change, clock.Now(), "peer")
	c.Assert(starting.releases.Load().TargetVersion("m"), qt.Equals, int64(4))
}

// TestRestoredListKeepsNewInstancesInUse guards against the loss of instances that have
// registered since the copy was made and have not yet written to the restored store.
func TestRestoredListKeepsNewInstancesInUse(t *testing.T) {
	c := qt.New(t)
	f := newFixture(t, answerOK)
	v := f.frontend.view
	choose := func(now time.Time) bool {
		_, found := v.scheduler.fleet.Choose(placement.Requirements{Pool: "s", Tried: map[string]bool{}}, now)
		return found
	}
	v.copies.ApplyFromPeer(platform.Backends, listing(1, 5), clock.Now(), "store")
	c.Assert(choose(clock.Now()), qt.IsTrue)
	v.scheduler.fleet.Expire(clock.Now().Add(missingGracePeriod))
	c.Assert(choose(clock.Now()), qt.IsFalse, qt.Commentf("not written again in time"))
}

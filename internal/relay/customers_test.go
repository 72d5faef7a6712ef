package relay

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/clock"
	"plantainrelay/internal/copies"
	"plantainrelay/internal/replica"
	"plantainrelay/platform"
	"plantainrelay/platform/standin"
)

// tablesWithKeys returns the document of the tables at a version with these keys of customers;
// nil leaves out the list of customers.
func tablesWithKeys(version int64, keys map[string][]string) replica.Document {
	encoded := standin.Table{
		Version: version, Keys: keys, Pools: []standin.Pool{{Name: "s"}},
		Routes: []standin.Route{{Name: "once", Host: testHost, PathPrefix: "/once/", Pool: "s", Kind: standin.NonIdempotent, Timeout: 3 * time.Second, Objective: 200 * time.Millisecond}},
	}.Encode()
	return replica.Document{Name: platform.TableName, Version: version, Body: standin.EncodeDocument(encoded)}
}

// TestEmptyListOfCustomersAllowsNoKey guards against routes that are open to all callers: the
// operator has taken the last customer with its key away.
func TestEmptyListOfCustomersAllowsNoKey(t *testing.T) {
	c := qt.New(t)
	f := newFixture(t, answerOK)
	v := f.frontend.view
	requireStatus := func(want int, state string) {
		for _, key := range []string{"good", "never", ""} {
			c.Check(f.statusWithKey(c, key), qt.Equals, want, qt.Commentf("key %q, %s", key, state))
		}
	}
	v.copies.ApplyFromPeer(platform.Tables, listing(0, 9, tablesWithKeys(9, map[string][]string{})), clock.Now(), "store")
	requireStatus(http.StatusUnauthorized, "read from the store")

	v.copies.ApplyFromPeer(platform.Tables, listing(1, 5, tables(5, "good")), clock.Now(), "store")
	requireStatus(http.StatusUnauthorized, "the store was restored from a copy with the key")

	v.copies.ApplyFromPeer(platform.Tables, listing(1, 6, tablesWithKeys(10, map[string][]string{"firm": {}})), clock.Now(), "store")
	requireStatus(http.StatusUnauthorized, "a customer without keys")

	v.copies.ApplyFromPeer(platform.Tables, listing(1, 7, tablesWithKeys(11, nil)), clock.Now(), "store")
	requireStatus(http.StatusOK, "tables without the list")
}

// TestStartingEntryTakesOverAnEmptyListOfCustomers guards against routes that are open at an
// entry that starts: it has the tables from another entry, which must keep an empty list
// apart from none.
func TestStartingEntryTakesOverAnEmptyListOfCustomers(t *testing.T) {
	c := qt.New(t)
	f := newFixture(t, answerOK)
	peer := copies.New(copies.Config{Log: f.frontend.log, Changed: func(platform.Kind) {}})
	peer.ApplyFromPeer(platform.Tables, listing(0, 9, tablesWithKeys(9, map[string][]string{})), clock.Now(), "store")
	change, _, _ := peer.Since(platform.Tables, f.frontend.view.copies.AsOf(platform.Tables))
	f.frontend.view.copies.ApplyFromPeer(platform.Tables, change, clock.Now(), "peer")
	c.Assert(f.statusWithKey(c, "good"), qt.Equals, http.StatusUnauthorized)
	c.Assert(f.statusWithKey(c, ""), qt.Equals, http.StatusUnauthorized)
}

package relay

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"plantainrelay/internal/catalog"
	"plantainrelay/internal/clock"
	"plantainrelay/internal/placement"
	"plantainrelay/platform/standin"
)

// addRelease makes a further version known now.
func (f *engineFixture) addRelease(version int64) {
	view := f.frontend.view
	view.releasesMu.Lock()
	defer view.releasesMu.Unlock()
	releases, _ := view.releases.Load().Add(catalog.Release{Model: modelName, Version: version}, false, clock.Now())
	view.releases.Store(releases)
}

// boundChange is what happens while a request that was ended for the version bound waits for an
// instance. isLost says that no instance can take it any more.
type boundChange struct {
	isLost bool
	apply  func(f *engineFixture)
}

var boundChanges = map[string]boundChange{
	"nothing": {false, func(*engineFixture) {}},
	"route moved": {false, func(f *engineFixture) {
		f.table.Pools = append(f.table.Pools, standin.Pool{Name: otherPool})
		f.table.Routes[0].Pool = otherPool
		f.renewTables()
	}},
	"route removed": {false, func(f *engineFixture) {
		f.table.Routes = nil
		f.renewTables()
	}},
	"key removed": {false, func(f *engineFixture) {
		f.table.Keys = map[string][]string{"firm": {"another"}}
		f.renewTables()
	}},
	"time limit shorter": {false, func(f *engineFixture) {
		f.table.Routes[0].Timeout = 300 * time.Millisecond
		f.renewTables()
	}},
	"pool removed and restored": {false, func(f *engineFixture) {
		pools := f.table.Pools
		f.table.Version++
		f.table.Pools = nil
		f.renewTables()
		f.table.Version++
		f.table.Pools = pools
		f.renewTables()
		f.list(1)
	}},
	"release in the same second": {false, func(f *engineFixture) { f.addRelease(3) }},
	"route moved and release": {false, func(f *engineFixture) {
		f.table.Pools = append(f.table.Pools, standin.Pool{Name: otherPool})
		f.table.Routes[0].Pool = otherPool
		f.renewTables()
		f.addRelease(3)
	}},
	// The request may have run, which 503 and 404 would deny.
	"pool removed": {true, func(f *engineFixture) {
		f.table.Routes, f.table.Pools = nil, []standin.Pool{{Name: otherPool}}
		f.renewTables()
	}},
}

// TestRequestEndedForTheVersionBoundBesideAChange guards against requests that wait for an
// instance with newer weights and are dropped, or refused as not run, because the tables change
// or another version is released meanwhile (incident 0013).
func TestRequestEndedForTheVersionBoundBesideAChange(t *testing.T) {
	const objective, events, shortage = time.Second, 4, 800 * time.Millisecond
	for name, change := range boundChanges {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			f := newEngineFixture(t, 1)
			f.addEngine(t, "i-1", 2)
			f.table.Routes[0].Timeout, f.table.Routes[0].Objective = 7*time.Second, objective
			f.renewTables()
			f.engines[0].SetFaults(standin.BackendFaults{Hang: true})
			const period = 1500 * time.Millisecond
			f.release(period)
			time.AfterFunc(period+sendMargin, func() {
				f.table.Version++
				change.apply(f)
			})
			time.AfterFunc(period+sendMargin+shortage, func() { f.list(2) })
			sent := time.Now()
			response, body, err := f.writeWithin(6*time.Second, "ended", events, firstPart)
			c.Assert(err, qt.IsNil)
			c.Check(time.Since(sent) > period+sendMargin-cancelMargin, qt.IsTrue)
			comment := qt.Commentf("status %d after %s: %s", response.StatusCode, time.Since(sent), body)
			if change.isLost {
				c.Assert(response.StatusCode == http.StatusBadGateway || response.StatusCode == http.StatusGatewayTimeout, qt.IsTrue, comment)
				return
			}
			c.Assert(response.StatusCode, qt.Equals, http.StatusOK, comment)
			c.Assert(strings.Count(body, "id: "), qt.Equals, events, comment)
		})
	}
}

// TestRequestBetweenReleasesEndsWithTheFirstBound guards against requests that stay on their
// weights for as long as the newest of several releases allows, though the bound of an earlier
// one has ended (incident 0013).
func TestRequestBetweenReleasesEndsWithTheFirstBound(t *testing.T) {
	c := qt.New(t)
	const period, left, events = 3 * time.Second, 300 * time.Millisecond, 4
	f := newEngineFixture(t, 0)
	for i, version := range []int64{2, 3} {
		f.addEngine(t, fmt.Sprintf("i-%d", i), version)
	}
	f.list(1)
	f.table.Routes[0].Timeout, f.table.Routes[0].Objective = 7*time.Second, time.Second
	f.renewTables()
	now := clock.Now()
	firstEnd := now.Add(left)
	releases := placement.NewReleases(period, time.Second)
	for _, one := range []struct {
		version int64
		seen    time.Time
	}{{2, now.Add(-time.Minute)}, {3, firstEnd.Add(-period)}, {4, now}} {
		releases, _ = releases.Add(catalog.Release{Model: modelName, Version: one.version}, false, one.seen)
	}
	until, limited := releases.AllowedUntil(modelName, 2)
	c.Assert(limited && until.Equal(firstEnd), qt.IsTrue)
	c.Assert(releases.MinVersion(modelName, firstEnd.Add(-1)), qt.Equals, int64(2))
	c.Assert(releases.MinVersion(modelName, firstEnd), qt.Equals, int64(3))
	c.Assert(releases.MinVersion(modelName, now.Add(period)), qt.Equals, int64(4))
	f.frontend.view.releases.Store(releases)
	f.engines[0].SetFaults(standin.BackendFaults{Hang: true})
	time.AfterFunc(left+sendMargin/2, func() { f.list(2) })
	log := logtest.NewLocal(f.frontend.log.Logger)
	response, body, err := f.writeWithin(6*time.Second, "between", events, firstPart)
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusOK, qt.Commentf("%s", body))
	c.Assert(strings.Count(body, "id: "), qt.Equals, events)
	attempts := log.LastEntry().Data["attempts"].([]attemptRecord)
	c.Assert(attempts, qt.HasLen, 2)
	c.Check(attempts[0].EndedFor, qt.Equals, endedForVersionBound)
	c.Check(attempts[0].StartLimitMs <= (left+sendMargin-cancelMargin).Milliseconds(), qt.IsTrue, qt.Commentf("%d ms", attempts[0].StartLimitMs))
	c.Check(attempts[1].Version, qt.Equals, int64(3))
	c.Check(attempts[1].StartLimitMs > 0, qt.IsTrue)
	c.Check(attempts[1].StartLimitMs <= (period+sendMargin-cancelMargin).Milliseconds(), qt.IsTrue, qt.Commentf("%d ms", attempts[1].StartLimitMs))
}

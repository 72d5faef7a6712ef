package relay

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"plantainrelay/internal/beat"
	"plantainrelay/internal/catalog"
	"plantainrelay/internal/clock"
	"plantainrelay/internal/copies"
	"plantainrelay/internal/placement"
	"plantainrelay/internal/replica"
	"plantainrelay/platform"
	"plantainrelay/platform/standin"
)

// TestStaleTablesRejectWithRetryAfter covers an entry without a connection to the
// store: it cannot know whether a key was revoked or a route was added.
func TestStaleTablesRejectWithRetryAfter(t *testing.T) {
	c := qt.New(t)
	f := newFixture(t, answerOK)
	f.frontend.revokeBound.Store(int64(revokeMargin))
	response, _, err := f.do(http.MethodPost, "/once/")
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(response.Header.Get("Retry-After"), qt.Equals, "1.00")
}

// TestFinalDenialNeedsTablesWithinTheChangeBound guards against a final denial of a
// request that a recent change allows. Tables whose proof is older than the bound on
// changes may lack a change that must already be in force.
func TestFinalDenialNeedsTablesWithinTheChangeBound(t *testing.T) {
	c := qt.New(t)
	f := newFixture(t, answerOK)
	const apply = 2 * time.Second
	f.frontend.setBounds(platform.Bounds{ConfigApplyTime: apply, KeyRevokeTime: 5 * time.Second})
	status := func(age time.Duration, path, key string) int {
		active := *f.frontend.view.active.Load()
		f.frontend.view.active.Store(&activeTables{Table: active.Table, content: replica.Revision{Number: -1}, proof: clock.Now().Add(-age)})
		response, _, err := f.do(http.MethodPost, path, func(r *http.Request) { r.Header.Set(standin.HeaderKey, key) })
		c.Assert(err, qt.IsNil)
		return response.StatusCode
	}
	c.Assert(status(time.Second, "/unknown/", "good"), qt.Equals, http.StatusNotFound)
	c.Assert(status(time.Second, "/once/", "bad"), qt.Equals, http.StatusUnauthorized)
	c.Assert(status(apply, "/unknown/", "good"), qt.Equals, http.StatusServiceUnavailable)
	c.Assert(status(apply, "/once/", "bad"), qt.Equals, http.StatusServiceUnavailable)
	c.Assert(status(apply, "/once/", "good"), qt.Equals, http.StatusOK)
}

func TestMissingTablesCauseNoFinalDenial(t *testing.T) {
	c := qt.New(t)
	f := newFixture(t, answerOK)
	f.frontend.view.active.Store(nil)
	response, _, err := f.do(http.MethodPost, "/once/")
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
}

// TestProofBelongsToTheActiveTables guards against serving by tables of unknown age:
// the copy already holds a newer, proven revision that is not in force yet.
func TestProofBelongsToTheActiveTables(t *testing.T) {
	c := qt.New(t)
	var runs atomic.Int32
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		answerOK(w, r)
	})
	v := f.frontend.view
	f.frontend.revokeBound.Store(int64(5 * time.Second))
	unblock := make(chan struct{})
	var listed []replica.Document
	for _, document := range v.copies.Documents(platform.Backends) {
		listed = append(listed, document)
	}
	v.copies = copies.New(copies.Config{Log: v.log, Changed: func(kind platform.Kind) {
		if v.copies.AsOf(kind).Number > 1 {
			<-unblock
		}
		v.handleChange(kind)
	}})
	table := replica.Document{Name: platform.TableName, Revision: replica.Revision{Number: 1}, Body: []byte(standin.EntryTestTable)}
	v.copies.ApplyFromPeer(platform.Tables, replica.Change{Whole: true, AsOf: replica.Revision{Number: 1}, Documents: []replica.Document{table}}, clock.Now().Add(-7*time.Second), "peer")
	v.copies.ApplyFromPeer(platform.Backends, replica.Change{Whole: true, AsOf: replica.Revision{Number: 1}, Documents: listed}, clock.Now(), "peer")
	newer := replica.Document{Name: platform.TableName, Revision: replica.Revision{Number: 2}, Body: []byte(strings.Replace(standin.EntryTestTable, `"good"`, `"other"`, 1))}
	applied := make(chan struct{})
	go func() {
		defer close(applied)
		v.copies.ApplyFromPeer(platform.Tables, replica.Change{Whole: true, AsOf: replica.Revision{Number: 2}, Documents: []replica.Document{newer}}, clock.Now(), "peer")
	}()
	for v.copies.AsOf(platform.Tables).Number < 2 {
		time.Sleep(time.Millisecond)
	}
	response, _, err := f.do("POST", "/once/1")
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(runs.Load(), qt.Equals, int32(0))
	close(unblock)
	<-applied
	c.Assert(v.proofAge() < 5*time.Second, qt.IsTrue)
}

// TestUndecodableTablesDoNotRenewTheProof checks that the proof of the tables in
// force keeps aging when newer tables can't be decoded, since those may revoke keys.
func TestUndecodableTablesDoNotRenewTheProof(t *testing.T) {
	c := qt.New(t)
	f := newFixture(t, answerOK)
	v := f.frontend.view
	garbled := replica.Document{Name: platform.TableName, Revision: replica.Revision{Number: 2}, Body: []byte("{")}
	v.copies.ApplyFromPeer(platform.Tables, replica.Change{Whole: true, AsOf: replica.Revision{Number: 2}, Documents: []replica.Document{garbled}}, clock.Now().Add(time.Minute), "peer")
	c.Assert(v.table(), qt.IsNotNil, qt.Commentf("the last valid tables stay in force"))
	c.Assert(v.proofAge() >= 0, qt.IsTrue, qt.Commentf("%s", v.proofAge()))
}

// TestBackendListIsNeverReplacedByAnOlderOne guards against an older list of backend
// servers that replaces a newer one: a change of the tables and a change of the list
// both decode it concurrently, and a long list takes longer.
func TestBackendListIsNeverReplacedByAnOlderOne(t *testing.T) {
	c := qt.New(t)
	listEntry := func(name string, revision int64) replica.Document {
		body := standin.EntryTestBackend(fmt.Sprintf("10.0.0.1:%d", revision))
		return replica.Document{Name: name, Revision: replica.Revision{Number: revision}, Body: []byte(body)}
	}
	var long []replica.Document
	for i := range 1_000 {
		long = append(long, listEntry(fmt.Sprintf("i-%d", i), 2))
	}
	for range 20 {
		v := newFixture(t).frontend.view
		v.copies.ApplyFromPeer(platform.Backends, replica.Change{Whole: true, AsOf: replica.Revision{Number: 2}, Documents: long}, clock.Now(), "peer")
		var handlers sync.WaitGroup
		handlers.Go(func() {
			table := []replica.Document{{Name: platform.TableName, Revision: replica.Revision{Number: 2}, Body: []byte(standin.EntryTestTable)}}
			v.copies.ApplyFromPeer(platform.Tables, replica.Change{Whole: true, AsOf: replica.Revision{Number: 2}, Documents: table}, clock.Now(), "peer")
		})
		for v.copies.AsOf(platform.Tables).Number < 2 {
			time.Sleep(100 * time.Microsecond)
		}
		v.copies.ApplyFromPeer(platform.Backends, replica.Change{Whole: true, AsOf: replica.Revision{Number: 3}, Documents: []replica.Document{listEntry("i-1", 3)}}, clock.Now(), "peer")
		handlers.Wait()
		choice, found := v.scheduler.fleet.Choose(placement.Requirements{Pool: "s", Tried: map[string]bool{}}, clock.Now())
		c.Assert(found, qt.IsTrue)
		c.Assert(choice.Backend.Address, qt.Equals, "10.0.0.1:3")
	}
}

// TestVersionLimitsAreLogged checks that the log shows which releases an entry learned
// from others, and since when it refuses older versions.
func TestVersionLimitsAreLogged(t *testing.T) {
	c := qt.New(t)
	logger, hook := logtest.NewNullLogger()
	v := newView(nil, nil, time.Minute, time.Second, logrus.NewEntry(logger))
	releases, _ := v.releases.Load().Add(catalog.Release{Model: "m", Version: 2}, false, clock.Now())
	v.releases.Store(releases)
	v.recordVersionLimits(clock.Now())
	c.Assert(hook.AllEntries(), qt.HasLen, 0)
	v.mergeReleaseAges("10.0.0.9", []beat.Release{{Model: "m", Version: 2, AgeMs: time.Minute.Milliseconds()}}, clock.Now())
	c.Assert(hook.LastEntry().Message, qt.Equals, "a peer reported the age of a release")
	c.Assert(hook.LastEntry().Data["peer"], qt.Equals, "10.0.0.9")
	v.recordVersionLimits(clock.Now())
	c.Assert(hook.LastEntry().Message, qt.Equals, "oldest allowed version changed")
	c.Assert(hook.LastEntry().Data["min_version"], qt.Equals, int64(2))
	v.recordVersionLimits(clock.Now())
	c.Assert(hook.AllEntries(), qt.HasLen, 2)
}

// TestAttemptOnOldWeightsEndsWithTheBound guards against a request that was sent in time
// and begins on old weights after the bound of the next version has ended, because the
// engine is slow. This one may not be repeated; see TestRequestEndedForTheVersionBound... for
// others.
func TestAttemptOnOldWeightsEndsWithTheBound(t *testing.T) {
	c := qt.New(t)
	f := newFixture(t, func(_ http.ResponseWriter, r *http.Request) {
		// The server notices a closed connection only after the body has been read.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	})
	f.loadWeights(1)
	f.frontend.view.releases.Store(newRelease(200*time.Millisecond, "m", 2))
	response, _, err := f.do(http.MethodPost, "/fixed/")
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusBadGateway, qt.Commentf("not 504 at the end of the route's timeout"))
}

// TestReleaseFoundAfterAPauseIsNotNew guards against old weights after their bound: a paused
// entry finds a release that came while it stood still and counts its age from then.
func TestReleaseFoundAfterAPauseIsNotNew(t *testing.T) {
	c := qt.New(t)
	logger, _ := logtest.NewNullLogger()
	v := newView(nil, nil, time.Minute, time.Second, logrus.NewEntry(logger))
	v.copies = copies.New(copies.Config{Log: v.log, Changed: v.handleChange})
	apply := func(version int64) {
		document := replica.Document{Name: "m", Revision: replica.Revision{Number: version}, Body: []byte(standin.EntryTestRelease("m", version))}
		v.copies.ApplyFromPeer(platform.Releases, replica.Change{Whole: true, AsOf: replica.Revision{Number: version}, Documents: []replica.Document{document}}, clock.Now(), "store")
	}
	estimated := func() bool {
		ages := v.releaseAges(clock.Now())
		return ages[len(ages)-1].Estimated
	}
	apply(1)
	c.Assert(estimated(), qt.IsTrue)
	now := clock.Now()
	v.recordVersionLimits(now)
	apply(2)
	c.Assert(estimated(), qt.IsFalse)
	v.recordVersionLimits(now.Add(-time.Minute))
	apply(3)
	c.Assert(estimated(), qt.IsTrue, qt.Commentf("nothing ran for a minute"))
	v.recordVersionLimits(clock.Now())
	apply(4)
	c.Assert(estimated(), qt.IsTrue, qt.Commentf("the pause has just ended"))
}

// TestAttemptIsNotSentOnceItsVersionIsTooOld guards against a request that is sent to old
// weights because the process was held up after the request had been placed.
func TestAttemptIsNotSentOnceItsVersionIsTooOld(t *testing.T) {
	c := qt.New(t)
	var requests atomic.Int32
	f := newFixture(t, func(http.ResponseWriter, *http.Request) { requests.Add(1) })
	releases, _ := placement.NewReleases(time.Second, time.Second).Add(catalog.Release{Model: "m", Version: 2}, false, clock.Now().Add(-time.Minute))
	f.frontend.view.releases.Store(releases)
	x := &exchange{
		frontend: f.frontend, r: httptest.NewRequest(http.MethodPost, "/fixed/", nil), model: "m", deadline: clock.Now().Add(time.Minute),
		table: f.frontend.view.table(), route: &catalog.Route{Kind: catalog.Streaming},
	}
	placed := f.frontend.view.backendDecoder.Decode(f.frontend.view.copies.Documents(platform.Backends), x.table)[0]
	c.Assert(x.attempt(t.Context(), placement.Choice{Backend: placed, Version: 1}, &attemptRecord{}), qt.Equals, notSent)
	c.Assert(requests.Load(), qt.Equals, int32(0))
}

// TestReportsReadAfterAPauseAreEstimates guards against old weights after their bound: a
// report that waited while this process stood still makes a release younger than it is.
func TestReportsReadAfterAPauseAreEstimates(t *testing.T) {
	c := qt.New(t)
	logger, _ := logtest.NewNullLogger()
	v := newView(nil, nil, time.Minute, time.Second, logrus.NewEntry(logger))
	now := clock.Now()
	releases, _ := v.releases.Load().Add(catalog.Release{Model: "m", Version: 3}, false, now.Add(-2*time.Minute))
	v.releases.Store(releases)
	v.recordVersionLimits(now.Add(-time.Minute))
	v.mergeReleaseAges("10.0.0.2", []beat.Release{{Model: "m", Version: 2}}, now)
	c.Assert(v.releaseAges(now.Add(-2 * time.Minute))[0].Estimated, qt.IsTrue)
}

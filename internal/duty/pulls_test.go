package duty_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/duty"
	"plantainrelay/internal/replica"
)

// newer is the content of a peer that has newer documents.
var newer = replica.Revision{Number: 2}

// begin reports that a peer has newer documents, and returns the pull from it that begins, if any.
func begin(pulls *duty.Pulls, host string, now time.Time) (duty.Pull, bool) {
	pulls.Reported(duty.Source{Host: host, Content: newer}, now)
	pull, begun := pulls.Next(now)
	return pull, begun && pull.Host == host
}

// TestFrequentChangesArePulledAtIntervals guards against overloading the link with large
// tables that change several times a second: a process that needs little of them does
// not pull each change.
func TestFrequentChangesArePulledAtIntervals(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	pulls := duty.NewPulls(duty.PullPlan{MinInterval: 10 * time.Second, MaxConcurrent: 1})
	failing, begun := begin(pulls, "peer", now)
	c.Assert(begun, qt.IsTrue)
	pulls.Ended(failing, now, false)
	now = now.Add(duty.PullRetryDelay)
	pull, begun := begin(pulls, "peer", now)
	c.Assert(begun, qt.IsTrue, qt.Commentf("the first pull failed"))
	pulls.Ended(pull, now, true)
	_, begun = begin(pulls, "peer", now.Add(time.Second))
	c.Assert(begun, qt.IsFalse)
	_, begun = begin(pulls, "peer", now.Add(10*time.Second))
	c.Assert(begun, qt.IsTrue)

	unlimited := duty.NewPulls(duty.PullPlan{MaxConcurrent: 1})
	pull, begun = begin(unlimited, "peer", now)
	c.Assert(begun, qt.IsTrue)
	unlimited.Ended(pull, now, true)
	_, begun = begin(unlimited, "other", now.Add(time.Millisecond))
	c.Assert(begun, qt.IsTrue)
}

// TestHangingPeerDoesNotDelayChanges guards against changes that arrive late because the
// first peer that reported them hangs or has become unreachable.
func TestHangingPeerDoesNotDelayChanges(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	pulls := duty.NewPulls(duty.PullPlan{MaxConcurrent: 2})
	_, begun := begin(pulls, "hanging", now)
	c.Assert(begun, qt.IsTrue)
	_, begun = begin(pulls, "b", now.Add(duty.PullHedgeDelay/2))
	c.Assert(begun, qt.IsFalse, qt.Commentf("one pull is enough"))
	pulls.Reported(duty.Source{Host: "hanging", Content: newer}, now.Add(duty.PullHedgeDelay))
	b, begun := pulls.Next(now.Add(duty.PullHedgeDelay))
	c.Assert(begun && b.Host == "b", qt.IsTrue, qt.Commentf("the hanging one is not asked again"))
	_, begun = begin(pulls, "c", now.Add(3*duty.PullHedgeDelay))
	c.Assert(begun, qt.IsFalse, qt.Commentf("no more than two at once"))
	pulls.Ended(b, now, true)
	_, begun = begin(pulls, "c", now.Add(3*duty.PullHedgeDelay))
	c.Assert(begun, qt.IsTrue)
}

// TestFurtherPullsUseNewConnections guards against calls that hang one after the other because
// the connections to several peers have gone silent.
func TestFurtherPullsUseNewConnections(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	pulls := duty.NewPulls(duty.PullPlan{MaxConcurrent: 4})
	for _, host := range []string{"a", "b", "c"} {
		pulls.Reported(duty.Source{Host: host, Content: newer}, now)
	}
	first, begun := pulls.Next(now)
	c.Assert(begun && !first.NewConnection, qt.IsTrue)
	second, begun := pulls.Next(now.Add(duty.PullHedgeDelay))
	c.Assert(begun && second.NewConnection && second.Host != first.Host, qt.IsTrue)
	pulls.Ended(second, now.Add(duty.PullHedgeDelay), false)
	third, begun := pulls.Next(now.Add(2 * duty.PullHedgeDelay))
	c.Assert(begun && third.NewConnection, qt.IsTrue)
	now = now.Add(duty.PullTimeout)
	pulls.Ended(first, now, false)
	pulls.Ended(third, now, false)
	fourth, begun := begin(pulls, "d", now)
	c.Assert(begun && fourth.NewConnection, qt.IsTrue, qt.Commentf("after failures"))
	pulls.Ended(fourth, now, true)
	fifth, begun := begin(pulls, "e", now)
	c.Assert(begun && !fifth.NewConnection, qt.IsTrue, qt.Commentf("after a success"))
}

// TestOnlySourceIsAskedAgain guards against a change that waits for the timeout of a pull because
// only the peer that does not answer is known to have it.
func TestOnlySourceIsAskedAgain(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	pulls := duty.NewPulls(duty.PullPlan{MaxConcurrent: 4})
	first, begun := begin(pulls, "only", now)
	c.Assert(begun, qt.IsTrue)
	_, begun = pulls.Next(now.Add(duty.PullHedgeDelay - 1))
	c.Assert(begun, qt.IsFalse)
	again, begun := pulls.Next(now.Add(duty.PullHedgeDelay))
	c.Assert(begun && again.NewConnection, qt.IsTrue)
	pulls.Ended(first, now.Add(duty.PullTimeout), false)
	c.Assert(pulls.InProgress(), qt.Equals, 1, qt.Commentf("the second pull goes on"))
}

// TestSourcesOfTheOwnZoneAreAskedFirst guards against the same documents crossing the links
// between availability zones many times.
func TestSourcesOfTheOwnZoneAreAskedFirst(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	pulls := duty.NewPulls(duty.PullPlan{MaxConcurrent: 1})
	pulls.Reported(duty.Source{Host: "near", Near: true, Content: newer}, now)
	pulls.Reported(duty.Source{Host: "far", Content: newer}, now.Add(time.Millisecond))
	now = now.Add(time.Millisecond)
	for _, host := range []string{"near", "far"} {
		pull, begun := pulls.Next(now)
		c.Assert(begun, qt.IsTrue)
		c.Assert(pull.Host, qt.Equals, host)
		pulls.Ended(pull, now, false)
	}
	_, begun := pulls.Next(now)
	c.Assert(begun, qt.IsFalse, qt.Commentf("both have just failed"))
	pulls.Updated(newer, 0)
	_, begun = pulls.Next(now.Add(duty.PullRetryDelay))
	c.Assert(begun, qt.IsFalse, qt.Commentf("nobody has anything newer"))
}

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

// begin reports that a peer has newer documents, and whether a pull from it begins.
func begin(pulls *duty.Pulls, host string, now time.Time) bool {
	pulls.Reported(duty.Source{Host: host, Content: newer}, now)
	pull, begun := pulls.Next(now)
	return begun && pull.Host == host
}

// TestFrequentChangesArePulledAtIntervals guards against overloading the link with large
// tables that change several times a second: a process that needs little of them does
// not pull each change.
func TestFrequentChangesArePulledAtIntervals(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	pulls := duty.NewPulls(duty.PullPlan{MinInterval: 10 * time.Second, MaxConcurrent: 1})
	c.Assert(begin(pulls, "peer", now), qt.IsTrue)
	pulls.Ended("peer", now, now, false)
	c.Assert(begin(pulls, "peer", now.Add(duty.PullRetryDelay)), qt.IsTrue, qt.Commentf("the first pull failed"))
	pulls.Ended("peer", now, now, true)
	c.Assert(begin(pulls, "peer", now.Add(time.Second)), qt.IsFalse)
	c.Assert(begin(pulls, "peer", now.Add(10*time.Second)), qt.IsTrue)
	unlimited := duty.NewPulls(duty.PullPlan{MaxConcurrent: 1})
	c.Assert(begin(unlimited, "peer", now), qt.IsTrue)
	unlimited.Ended("peer", now, now, true)
	c.Assert(begin(unlimited, "other", now.Add(time.Millisecond)), qt.IsTrue)
}

// TestHangingPeerDoesNotDelayChanges guards against changes that arrive late because the
// first peer that reported them hangs or has become unreachable.
func TestHangingPeerDoesNotDelayChanges(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	pulls := duty.NewPulls(duty.PullPlan{MaxConcurrent: 2})
	c.Assert(begin(pulls, "hanging", now), qt.IsTrue)
	c.Assert(begin(pulls, "b", now.Add(duty.PullHedgeDelay/2)), qt.IsFalse, qt.Commentf("one pull is enough"))
	c.Assert(begin(pulls, "hanging", now.Add(duty.PullHedgeDelay)), qt.IsFalse)
	// The call above has asked b.
	c.Assert(pulls.InProgress(), qt.Equals, 2)
	c.Assert(begin(pulls, "c", now.Add(3*duty.PullHedgeDelay)), qt.IsFalse, qt.Commentf("no more than two at once"))
	pulls.Ended("b", now, now, true)
	c.Assert(begin(pulls, "c", now.Add(3*duty.PullHedgeDelay)), qt.IsTrue)
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
	pulls.Ended(second.Host, now, now.Add(duty.PullHedgeDelay), false)
	third, begun := pulls.Next(now.Add(2 * duty.PullHedgeDelay))
	c.Assert(begun && third.NewConnection, qt.IsTrue)
	pulls.Ended(first.Host, now, now.Add(duty.PullTimeout), false)
	pulls.Ended(third.Host, now, now.Add(duty.PullTimeout), false)
	pulls.Reported(duty.Source{Host: "d", Content: newer}, now.Add(duty.PullTimeout))
	fourth, begun := pulls.Next(now.Add(duty.PullTimeout))
	c.Assert(begun && fourth.NewConnection && fourth.Host == "d", qt.IsTrue, qt.Commentf("after failures"))
	pulls.Ended("d", now, now, true)
	fifth, begun := pulls.Next(now.Add(2 * duty.PullTimeout))
	c.Assert(begun && !fifth.NewConnection, qt.IsTrue, qt.Commentf("after a success"))
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
		pulls.Ended(host, now, now, false)
	}
	_, begun := pulls.Next(now)
	c.Assert(begun, qt.IsFalse, qt.Commentf("both have just failed"))
	pulls.Updated(newer, 0)
	_, begun = pulls.Next(now.Add(duty.PullRetryDelay))
	c.Assert(begun, qt.IsFalse, qt.Commentf("nobody has anything newer"))
}

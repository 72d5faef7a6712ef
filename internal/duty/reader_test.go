package duty_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/duty"
)

var (
	epoch = time.Unix(1_000, 0)
	plan  = duty.Plan{WatchTimeout: time.Second, MaxProofAge: 3 * time.Second, StartupPeerWait: 500 * time.Millisecond}
	fresh = duty.CopyState{Known: true, Age: 100 * time.Millisecond}
)

func reasonOf(r *duty.Reader, held duty.CopyState, assigned bool, now time.Time) duty.Reason {
	reason, _ := r.Next(held, assigned, now)
	return reason
}

func TestReasonsForReading(t *testing.T) {
	c := qt.New(t)
	r := duty.NewReader(plan, epoch)
	c.Assert(reasonOf(r, duty.CopyState{}, true, epoch), qt.Equals, duty.None)
	c.Assert(reasonOf(r, duty.CopyState{}, false, epoch.Add(time.Second)), qt.Equals, duty.NoCopy)
	c.Assert(reasonOf(r, fresh, false, epoch), qt.Equals, duty.None)
	c.Assert(reasonOf(r, fresh, true, epoch), qt.Equals, duty.AssignedWatcher)
	c.Assert(reasonOf(r, duty.CopyState{Known: true, Age: 4 * time.Second}, false, epoch), qt.Equals, duty.StaleCopy)
}

// TestFirstCallOfAnAssignedWatcherIsShort checks that an entry that is newly assigned to
// watch the store soon learns whether it can read it.
func TestFirstCallOfAnAssignedWatcherIsShort(t *testing.T) {
	c := qt.New(t)
	r := duty.NewReader(plan, epoch)
	_, wait := r.Next(fresh, true, epoch)
	c.Assert(wait < 100*time.Millisecond, qt.IsTrue)
	r.CallStarted(duty.AssignedWatcher, wait, epoch)
	r.CallSucceeded()
	_, wait = r.Next(fresh, true, epoch)
	c.Assert(wait, qt.Equals, plan.WatchTimeout)
	c.Assert(reasonOf(r, fresh, false, epoch), qt.Equals, duty.None)
	_, wait = r.Next(fresh, true, epoch)
	c.Assert(wait < 100*time.Millisecond, qt.IsTrue, qt.Commentf("another entry was the watcher meanwhile"))
}

func TestUnresponsiveStoreIsUnavailableBeforeTheCallEnds(t *testing.T) {
	c := qt.New(t)
	r := duty.NewReader(plan, epoch)
	r.CallStarted(duty.AssignedWatcher, plan.WatchTimeout, epoch)
	c.Assert(r.StoreUnavailable(epoch.Add(plan.WatchTimeout)), qt.IsFalse)
	c.Assert(r.StoreUnavailable(epoch.Add(plan.WatchTimeout+duty.OverdueDelay+time.Millisecond)), qt.IsTrue)
	r.CallSucceeded()
	c.Assert(r.StoreUnavailable(epoch.Add(time.Minute)), qt.IsFalse)
}

// TestUnavailableStoreIsProbedAtIntervals checks that a store that others can read is
// not called in vain many times a second, and that a process that is never assigned to
// watch it does not probe it.
func TestUnavailableStoreIsProbedAtIntervals(t *testing.T) {
	c := qt.New(t)
	r, agent := duty.NewReader(plan, epoch), duty.NewReader(duty.Plan{MaxProofAge: time.Second}, epoch)
	for _, reader := range []*duty.Reader{r, agent} {
		reader.CallStarted(duty.StaleCopy, 0, epoch)
		reader.CallFailed(epoch, 1)
	}
	probes := 0
	for now := epoch; now.Before(epoch.Add(20 * time.Second)); now = now.Add(100 * time.Millisecond) {
		if reasonOf(r, fresh, false, now) == duty.Probing {
			probes++
			r.CallFailed(now, 0.5)
		}
		c.Assert(reasonOf(agent, fresh, false, now) == duty.Probing, qt.IsFalse)
	}
	c.Assert(probes, qt.Equals, 9)
	c.Assert(r.StoreUnavailable(epoch), qt.IsTrue)
}

// TestPlanFollowsTheSettings checks that bounds can change while a process runs.
func TestPlanFollowsTheSettings(t *testing.T) {
	c := qt.New(t)
	old := duty.CopyState{Known: true, Age: 2 * time.Second}
	r := duty.NewReader(duty.TablesPlan(3*time.Second), epoch)
	c.Assert(reasonOf(r, old, false, epoch), qt.Equals, duty.None)
	r.SetPlan(duty.TablesPlan(2 * time.Second))
	c.Assert(reasonOf(r, old, false, epoch), qt.Equals, duty.StaleCopy)
}

package duty_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/duty"
)

var (
	epoch = time.Unix(1_000, 0)
	plan  = duty.Plan{Wait: time.Second, MaxAge: 3 * time.Second, FirstNews: 500 * time.Millisecond}
	fresh = duty.Copy{Known: true, Age: 100 * time.Millisecond}
)

func reasonOf(r *duty.Reader, held duty.Copy, onDuty bool, now time.Time) duty.Reason {
	reason, _ := r.Next(held, onDuty, now)
	return reason
}

func TestReasonsForReading(t *testing.T) {
	c := qt.New(t)
	r := duty.NewReader(plan, epoch)
	c.Assert(reasonOf(r, duty.Copy{}, true, epoch), qt.Equals, duty.None)
	c.Assert(reasonOf(r, duty.Copy{}, false, epoch.Add(time.Second)), qt.Equals, duty.NothingKnown)
	c.Assert(reasonOf(r, fresh, false, epoch), qt.Equals, duty.None)
	c.Assert(reasonOf(r, fresh, true, epoch), qt.Equals, duty.OnDuty)
	c.Assert(reasonOf(r, duty.Copy{Known: true, Age: 4 * time.Second}, false, epoch), qt.Equals, duty.OldCopy)
}

// TestFirstCallOnDutyIsShort: an entry that takes a duty over learns soon whether it
// can carry it out.
func TestFirstCallOnDutyIsShort(t *testing.T) {
	c := qt.New(t)
	r := duty.NewReader(plan, epoch)
	_, wait := r.Next(fresh, true, epoch)
	c.Assert(wait < 100*time.Millisecond, qt.IsTrue)
	r.Began(duty.OnDuty, wait, epoch)
	r.Succeeded()
	_, wait = r.Next(fresh, true, epoch)
	c.Assert(wait, qt.Equals, plan.Wait)
	c.Assert(reasonOf(r, fresh, false, epoch), qt.Equals, duty.None)
	_, wait = r.Next(fresh, true, epoch)
	c.Assert(wait < 100*time.Millisecond, qt.IsTrue, qt.Commentf("the duty was another's meanwhile"))
}

func TestSilentStoreIsLostBeforeTheCallEnds(t *testing.T) {
	c := qt.New(t)
	r := duty.NewReader(plan, epoch)
	r.Began(duty.OnDuty, plan.Wait, epoch)
	c.Assert(r.Lost(epoch.Add(plan.Wait)), qt.IsFalse)
	c.Assert(r.Lost(epoch.Add(plan.Wait+duty.Overdue+time.Millisecond)), qt.IsTrue)
	r.Succeeded()
	c.Assert(r.Lost(epoch.Add(time.Minute)), qt.IsFalse)
}

// TestLostStoreIsProbedNowAndThen: what others can read is not asked in vain many
// times a second, and an entry that has no duty ever does not probe.
func TestLostStoreIsProbedNowAndThen(t *testing.T) {
	c := qt.New(t)
	r, agent := duty.NewReader(plan, epoch), duty.NewReader(duty.Plan{MaxAge: time.Second}, epoch)
	for _, one := range []*duty.Reader{r, agent} {
		one.Began(duty.OldCopy, 0, epoch)
		one.Failed(epoch, 1)
	}
	probes := 0
	for now := epoch; now.Before(epoch.Add(20 * time.Second)); now = now.Add(100 * time.Millisecond) {
		if reasonOf(r, fresh, false, now) == duty.Probing {
			probes++
			r.Failed(now, 0.5)
		}
		c.Assert(reasonOf(agent, fresh, false, now) == duty.Probing, qt.IsFalse)
	}
	c.Assert(probes, qt.Equals, 9)
	c.Assert(r.Lost(epoch), qt.IsTrue)
}

// TestPlanFollowsTheSettings: bounds may change while a process runs.
func TestPlanFollowsTheSettings(t *testing.T) {
	c := qt.New(t)
	old := duty.Copy{Known: true, Age: 2 * time.Second}
	r := duty.NewReader(duty.TablesPlan(3*time.Second), epoch)
	c.Assert(reasonOf(r, old, false, epoch), qt.Equals, duty.None)
	r.SetPlan(duty.TablesPlan(2 * time.Second))
	c.Assert(reasonOf(r, old, false, epoch), qt.Equals, duty.OldCopy)
}

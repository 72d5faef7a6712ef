package rollout_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"plantainrelay/internal/rollout"
	"plantainrelay/internal/weights"
)

const lifetime = 4 * time.Second

// machine drives one rollout beside a model of its engine.
type machine struct {
	t       *rapid.T
	r       *rollout.Rollout
	now     time.Time
	rev     int64
	held    rollout.Held
	order   *rollout.Copy
	delayed []rollout.Copy
	drain   bool
	gate    bool
	gateFor rollout.Copy
	permit  time.Time
}

func digest(n int) weights.Digest { return weights.DigestOf([]byte(fmt.Sprint(n))) }

func copyOf(n int) rollout.Copy {
	return rollout.Copy{Version: fmt.Sprint(n), Manifest: digest(n), Whole: digest(1000 + n)}
}

func (m *machine) act(actions []rollout.Action) {
	for _, action := range actions {
		switch action {
		case rollout.ActionDrain:
			m.gate, m.drain = false, true
		case rollout.ActionShutGate:
			m.gate = false
		case rollout.ActionOpenGate:
			if m.order != nil {
				m.t.Fatal("the gate opens while an order is given")
			}
			m.gate, m.drain, m.gateFor = true, false, m.r.Admitted()
		case rollout.ActionLoad:
			if m.gate || m.order != nil || !m.now.Before(m.permit) {
				m.t.Fatal("a load was ordered behind an open gate, twice at once, or without a permit")
			}
			target := m.r.Target()
			for n := range 4 {
				if digest(n) == target.Manifest {
					ordered := copyOf(n)
					m.order = &ordered
				}
			}
			m.drain = false
		}
	}
	if m.gate != m.r.Open() {
		m.t.Fatalf("the gate is open: %v, the rollout believes %v", m.gate, m.r.Open())
	}
}

func (m *machine) learn(n int) { m.r.Learn(copyOf(n)) }

func (m *machine) retarget(n int) {
	m.rev++
	m.act(m.r.SetTarget(rollout.Target{Version: fmt.Sprint(n), Manifest: digest(n), Revision: m.rev}))
}

func (m *machine) fetched() {
	for n := range 4 {
		if digest(n) == m.r.Target().Manifest {
			m.learn(n)
		}
	}
	m.act(m.r.Fetched(m.r.Target().Manifest))
}

func (m *machine) permitted() {
	if m.r.WantsPermit(m.now) {
		m.permit = m.now.Add(lifetime)
		m.act(m.r.Permitted(m.r.Target().Manifest, m.permit, m.now))
	}
}

func (m *machine) drained() {
	if m.drain {
		m.drain = false
		m.act(m.r.Drained(m.now))
	}
}

// finish ends the order: done, failed, or given up on and done later.
func (m *machine) finish(how string) {
	if m.order == nil {
		return
	}
	ordered := *m.order
	m.order = nil
	result := rollout.Result{Order: ordered, Read: true}
	switch how {
	case "done":
		m.held = rollout.Held{Manifest: ordered.Manifest, Whole: ordered.Whole}
	case "partial":
		m.held = rollout.Held{Manifest: ordered.Manifest, Whole: digest(9999)}
		result.Cause = "other weights"
	case "late":
		m.delayed = append(m.delayed, ordered)
		result.Cause = "timeout"
	case "failed":
		result.Cause = "refused"
	case "lapsed":
		result.Lapsed, result.Read = true, false
	}
	result.Held = m.held
	m.act(m.r.Loaded(result, m.now))
	if result.Read && m.gate && m.held.Whole != m.gateFor.Whole {
		m.t.Fatalf("the gate opens though the engine holds %+v", m.held)
	}
}

func (m *machine) seen(restarted bool) { m.act(m.r.EngineSeen(m.held, restarted)) }

// advance lets happen what usually comes next.
func (m *machine) advance() {
	switch m.r.Stage() {
	case rollout.StageFetching:
		m.fetched()
	case rollout.StageWaiting:
		m.permitted()
	case rollout.StageDraining:
		m.drained()
	case rollout.StageLoading:
		m.finish(rapid.SampledFrom([]string{"done", "partial", "failed", "late"}).Draw(m.t, "result"))
	}
}

// check compares the gate with the engine right after the engine was read.
func (m *machine) check() {
	if !m.gate {
		return
	}
	if m.gateFor.Whole != copyOf(indexOf(m.gateFor.Manifest)).Whole {
		m.t.Fatalf("the gate admits weights that are not complete: %+v", m.gateFor)
	}
}

func indexOf(manifest weights.Digest) int {
	for n := range 4 {
		if digest(n) == manifest {
			return n
		}
	}
	return -1
}

func step(m *machine) {
	switch rapid.SampledFrom([]string{"advance", "advance", "advance", "advance", "advance", "advance", "retarget", "fetched", "permitted", "drained", "finish", "seen", "silent", "restart", "late", "time"}).Draw(m.t, "event") {
	case "advance":
		m.advance()
	case "retarget":
		m.retarget(rapid.IntRange(0, 3).Draw(m.t, "version"))
	case "fetched":
		m.fetched()
	case "permitted":
		m.permitted()
	case "drained":
		m.drained()
	case "finish":
		m.finish(rapid.SampledFrom([]string{"done", "failed", "partial", "late", "lapsed"}).Draw(m.t, "how"))
	case "seen":
		m.seen(false)
		if m.order == nil && m.gate && m.held.Whole != m.gateFor.Whole {
			m.t.Fatalf("the gate stays open though the engine holds %+v", m.held)
		}
	case "silent":
		m.act(m.r.EngineSilent())
	case "restart":
		m.held = rollout.Held{}
		m.seen(true)
	case "late":
		if len(m.delayed) > 0 {
			m.held = rollout.Held{Manifest: m.delayed[0].Manifest, Whole: m.delayed[0].Whole}
			m.delayed = m.delayed[1:]
		}
	case "time":
		m.now = m.now.Add(time.Duration(rapid.IntRange(0, 6000).Draw(m.t, "ms")) * time.Millisecond)
	}
	m.check()
}

// TestGateAdmitsOnlyCompleteWeights drives a rollout through any order of
// events; afterwards, with a healthy engine, it reaches its target.
func TestGateAdmitsOnlyCompleteWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{t: t, r: rollout.New(time.Second), now: time.Unix(1000, 0)}
		for range rapid.IntRange(0, 80).Draw(t, "steps") {
			step(m)
		}
		m.retarget(3)
		for range 8 {
			m.now = m.now.Add(time.Minute)
			m.finish("done")
			m.seen(false)
			m.fetched()
			m.permitted()
			m.drained()
		}
		if m.r.Stage() != rollout.StageServing || !m.gate || m.held.Manifest != digest(3) {
			t.Fatalf("stage %s, gate %v, engine %v", m.r.Stage(), m.gate, m.held)
		}
	})
}

func serving(t *testing.T) *rollout.Rollout {
	r := rollout.New(time.Second)
	now := time.Unix(1000, 0)
	r.SetTarget(rollout.Target{Version: "1", Manifest: digest(1), Revision: 1})
	r.Learn(copyOf(1))
	r.Fetched(digest(1))
	r.Permitted(digest(1), now.Add(lifetime), now)
	r.Drained(now)
	held := rollout.Held{Manifest: digest(1), Whole: copyOf(1).Whole}
	qt.Assert(t, r.Loaded(rollout.Result{Order: copyOf(1), Held: held, Read: true}, now), qt.DeepEquals, []rollout.Action{rollout.ActionOpenGate})
	return r
}

func draining(t *testing.T) (*rollout.Rollout, time.Time) {
	r, now := serving(t), time.Unix(2000, 0)
	r.SetTarget(rollout.Target{Version: "2", Manifest: digest(2), Revision: 2})
	r.Learn(copyOf(2))
	r.Fetched(digest(2))
	qt.Assert(t, r.Permitted(digest(2), now.Add(lifetime), now), qt.DeepEquals, []rollout.Action{rollout.ActionDrain})
	return r, now
}

// TestRetargetWhileDrainingReopens: the instance serves during the next fetch.
func TestRetargetWhileDrainingReopens(t *testing.T) {
	r, _ := draining(t)
	actions := r.SetTarget(rollout.Target{Version: "3", Manifest: digest(3), Revision: 3})
	qt.Assert(t, actions, qt.DeepEquals, []rollout.Action{rollout.ActionOpenGate, rollout.ActionFetch})
	qt.Assert(t, r.Admitted(), qt.Equals, copyOf(1))
}

// TestPausedPastThePermit: an instance that was paused does not load.
func TestPausedPastThePermit(t *testing.T) {
	r, now := draining(t)
	actions := r.Drained(now.Add(lifetime))
	qt.Assert(t, actions, qt.DeepEquals, []rollout.Action{rollout.ActionOpenGate, rollout.ActionAskPermit})
}

// TestFailedLoadServesTheFormerVersion: the former weights stay in service.
func TestFailedLoadServesTheFormerVersion(t *testing.T) {
	r, now := draining(t)
	r.Drained(now)
	held := rollout.Held{Manifest: digest(1), Whole: copyOf(1).Whole}
	actions := r.Loaded(rollout.Result{Order: copyOf(2), Held: held, Read: true, Cause: "no memory"}, now)
	qt.Assert(t, actions, qt.DeepEquals, []rollout.Action{rollout.ActionOpenGate, rollout.ActionFetch})
	failures, cause := r.Failures()
	qt.Assert(t, failures, qt.Equals, 1)
	qt.Assert(t, cause, qt.Equals, "no memory")
	r.Fetched(digest(2))
	qt.Assert(t, r.WantsPermit(now), qt.IsFalse)
	qt.Assert(t, r.WantsPermit(now.Add(time.Second)), qt.IsTrue)
}

// TestEngineThatLostItsWeights: a restarted engine gets no requests until it
// holds complete weights again.
func TestEngineThatLostItsWeights(t *testing.T) {
	r := serving(t)
	qt.Assert(t, r.EngineSeen(rollout.Held{}, true), qt.DeepEquals, []rollout.Action{rollout.ActionShutGate, rollout.ActionFetch})
	qt.Assert(t, r.Open(), qt.IsFalse)
}

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

const permitLifetime = 4 * time.Second

// harness drives one rollout with a simulated engine.
type harness struct {
	t            *rapid.T
	rollout      *rollout.Rollout
	now          time.Time
	revision     int64
	engine       rollout.EngineWeights
	order        *rollout.WeightsID
	delayed      []rollout.WeightsID
	draining     bool
	gateOpen     bool
	gateWeights  rollout.WeightsID
	permitExpiry time.Time
}

func digest(n int) weights.Digest { return weights.DigestOf([]byte(fmt.Sprint(n))) }

func weightsOf(n int) rollout.WeightsID {
	return rollout.WeightsID{Version: fmt.Sprint(n), Manifest: digest(n), Whole: digest(1000 + n)}
}

func (m *harness) perform(actions []rollout.Action) {
	for _, action := range actions {
		switch action {
		case rollout.ActionDrain:
			m.gateOpen, m.draining = false, true
		case rollout.ActionCloseGate:
			m.gateOpen = false
		case rollout.ActionOpenGate:
			if m.order != nil {
				m.t.Fatal("the gate opens while a load order is in progress")
			}
			m.gateOpen, m.draining, m.gateWeights = true, false, m.rollout.Admitted()
		case rollout.ActionLoad:
			if m.gateOpen || m.order != nil || !m.now.Before(m.permitExpiry) {
				m.t.Fatal("a load was ordered while the gate was open, while another load was in progress, or without a permit")
			}
			target := m.rollout.Target()
			for n := range 4 {
				if digest(n) == target.Manifest {
					ordered := weightsOf(n)
					m.order = &ordered
				}
			}
			m.draining = false
		}
	}
	if m.gateOpen != m.rollout.Open() {
		m.t.Fatalf("gate open: %v, but the rollout reports %v", m.gateOpen, m.rollout.Open())
	}
}

func (m *harness) addComplete(n int) { m.rollout.AddComplete(weightsOf(n)) }

func (m *harness) retarget(n int) {
	m.revision++
	m.perform(m.rollout.SetTarget(rollout.Target{Version: fmt.Sprint(n), Manifest: digest(n), Revision: m.revision}))
}

func (m *harness) fetched() {
	for n := range 4 {
		if digest(n) == m.rollout.Target().Manifest {
			m.addComplete(n)
		}
	}
	m.perform(m.rollout.Fetched(m.rollout.Target().Manifest))
}

func (m *harness) permitted() {
	if m.rollout.WantsPermit(m.now) {
		m.permitExpiry = m.now.Add(permitLifetime)
		m.perform(m.rollout.Permitted(m.rollout.Target().Manifest, m.permitExpiry, m.now))
	}
}

func (m *harness) drained() {
	if m.draining {
		m.draining = false
		m.perform(m.rollout.Drained(m.now))
	}
}

// finishLoad ends the current load order with the given outcome. The outcome
// "late" is a timeout of an order that the engine executes later.
func (m *harness) finishLoad(outcome string) {
	if m.order == nil {
		return
	}
	ordered := *m.order
	m.order = nil
	result := rollout.LoadResult{Order: ordered, Answered: true}
	switch outcome {
	case "done":
		m.engine = rollout.EngineWeights{Manifest: ordered.Manifest, Whole: ordered.Whole}
	case "partial":
		m.engine = rollout.EngineWeights{Manifest: ordered.Manifest, Whole: digest(9999)}
		result.Cause = "other weights"
	case "late":
		m.delayed = append(m.delayed, ordered)
		result.Cause = "timeout"
	case "failed":
		result.Cause = "refused"
	case "expired":
		result.PermitExpired, result.Answered = true, false
	}
	result.Loaded = m.engine
	m.perform(m.rollout.Loaded(result, m.now))
	if result.Answered && m.gateOpen && m.engine.Whole != m.gateWeights.Whole {
		m.t.Fatalf("the gate opens although the engine holds %+v", m.engine)
	}
}

func (m *harness) report(restarted bool) { m.perform(m.rollout.EngineReported(m.engine, restarted)) }

// advance triggers the event that usually follows in the current stage.
func (m *harness) advance() {
	switch m.rollout.Stage() {
	case rollout.StageFetching:
		m.fetched()
	case rollout.StageWaiting:
		m.permitted()
	case rollout.StageDraining:
		m.drained()
	case rollout.StageLoading:
		m.finishLoad(rapid.SampledFrom([]string{"done", "partial", "failed", "late"}).Draw(m.t, "result"))
	}
}

// check verifies that an open gate admits only complete weights.
func (m *harness) check() {
	if !m.gateOpen {
		return
	}
	if m.gateWeights.Whole != weightsOf(indexOf(m.gateWeights.Manifest)).Whole {
		m.t.Fatalf("the gate admits weights that are not complete: %+v", m.gateWeights)
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

func step(m *harness) {
	switch rapid.SampledFrom([]string{"advance", "advance", "advance", "advance", "advance", "advance", "retarget", "fetched", "permitted", "drained", "finish", "report", "unresponsive", "restart", "late", "time"}).Draw(m.t, "event") {
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
		m.finishLoad(rapid.SampledFrom([]string{"done", "failed", "partial", "late", "expired"}).Draw(m.t, "how"))
	case "report":
		m.report(false)
		if m.order == nil && m.gateOpen && m.engine.Whole != m.gateWeights.Whole {
			m.t.Fatalf("the gate stays open although the engine holds %+v", m.engine)
		}
	case "unresponsive":
		m.perform(m.rollout.EngineUnresponsive())
	case "restart":
		m.engine = rollout.EngineWeights{}
		m.report(true)
	case "late":
		if len(m.delayed) > 0 {
			m.engine = rollout.EngineWeights{Manifest: m.delayed[0].Manifest, Whole: m.delayed[0].Whole}
			m.delayed = m.delayed[1:]
		}
	case "time":
		m.now = m.now.Add(time.Duration(rapid.IntRange(0, 6000).Draw(m.t, "ms")) * time.Millisecond)
	}
	m.check()
}

// TestGateAdmitsOnlyCompleteWeights drives a rollout through random sequences of
// events. Afterwards, with a healthy engine, it must reach its target.
func TestGateAdmitsOnlyCompleteWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &harness{t: t, rollout: rollout.New(time.Second), now: time.Unix(1000, 0)}
		for range rapid.IntRange(0, 80).Draw(t, "steps") {
			step(m)
		}
		m.retarget(3)
		for range 8 {
			m.now = m.now.Add(time.Minute)
			m.finishLoad("done")
			m.report(false)
			m.fetched()
			m.permitted()
			m.drained()
		}
		if m.rollout.Stage() != rollout.StageServing || !m.gateOpen || m.engine.Manifest != digest(3) {
			t.Fatalf("stage %s, gate %v, engine %v", m.rollout.Stage(), m.gateOpen, m.engine)
		}
	})
}

func serving(t *testing.T) *rollout.Rollout {
	r := rollout.New(time.Second)
	now := time.Unix(1000, 0)
	r.SetTarget(rollout.Target{Version: "1", Manifest: digest(1), Revision: 1})
	r.AddComplete(weightsOf(1))
	r.Fetched(digest(1))
	r.Permitted(digest(1), now.Add(permitLifetime), now)
	r.Drained(now)
	held := rollout.EngineWeights{Manifest: digest(1), Whole: weightsOf(1).Whole}
	qt.Assert(t, r.Loaded(rollout.LoadResult{Order: weightsOf(1), Loaded: held, Answered: true}, now), qt.DeepEquals, []rollout.Action{rollout.ActionOpenGate})
	return r
}

func draining(t *testing.T) (*rollout.Rollout, time.Time) {
	r, now := serving(t), time.Unix(2000, 0)
	r.SetTarget(rollout.Target{Version: "2", Manifest: digest(2), Revision: 2})
	r.AddComplete(weightsOf(2))
	r.Fetched(digest(2))
	qt.Assert(t, r.Permitted(digest(2), now.Add(permitLifetime), now), qt.DeepEquals, []rollout.Action{rollout.ActionDrain})
	return r, now
}

// TestRetargetWhileDrainingReopensGate checks that the instance serves its
// current weights while it fetches the new target.
func TestRetargetWhileDrainingReopensGate(t *testing.T) {
	r, _ := draining(t)
	actions := r.SetTarget(rollout.Target{Version: "3", Manifest: digest(3), Revision: 3})
	qt.Assert(t, actions, qt.DeepEquals, []rollout.Action{rollout.ActionOpenGate, rollout.ActionFetch})
	qt.Assert(t, r.Admitted(), qt.Equals, weightsOf(1))
}

// TestExpiredPermitPreventsLoad checks that an instance that was paused beyond the
// expiry of its permit does not load.
func TestExpiredPermitPreventsLoad(t *testing.T) {
	r, now := draining(t)
	actions := r.Drained(now.Add(permitLifetime))
	qt.Assert(t, actions, qt.DeepEquals, []rollout.Action{rollout.ActionOpenGate, rollout.ActionAskPermit})
}

// TestFailedLoadKeepsPreviousVersion checks that the previous weights stay in
// service after a failed load, and that the load is retried after a delay.
func TestFailedLoadKeepsPreviousVersion(t *testing.T) {
	r, now := draining(t)
	r.Drained(now)
	held := rollout.EngineWeights{Manifest: digest(1), Whole: weightsOf(1).Whole}
	actions := r.Loaded(rollout.LoadResult{Order: weightsOf(2), Loaded: held, Answered: true, Cause: "no memory"}, now)
	qt.Assert(t, actions, qt.DeepEquals, []rollout.Action{rollout.ActionOpenGate, rollout.ActionFetch})
	failures, cause := r.Failures()
	qt.Assert(t, failures, qt.Equals, 1)
	qt.Assert(t, cause, qt.Equals, "no memory")
	r.Fetched(digest(2))
	qt.Assert(t, r.WantsPermit(now), qt.IsFalse)
	qt.Assert(t, r.WantsPermit(now.Add(time.Second)), qt.IsTrue)
}

// TestRestartedEngineClosesGate checks that an engine that lost its weights in a
// restart gets no requests until it holds complete weights again.
func TestRestartedEngineClosesGate(t *testing.T) {
	r := serving(t)
	qt.Assert(t, r.EngineReported(rollout.EngineWeights{}, true), qt.DeepEquals, []rollout.Action{rollout.ActionCloseGate, rollout.ActionFetch})
	qt.Assert(t, r.Open(), qt.IsFalse)
}

// TestMismatchedResponseClosesGate covers an engine on which a delayed order takes effect:
// until its status is read, each further attempt there would be lost.
func TestMismatchedResponseClosesGate(t *testing.T) {
	c := qt.New(t)
	r := serving(t)
	c.Assert(r.ResponseMismatched(), qt.DeepEquals, []rollout.Action{rollout.ActionCloseGate})
	c.Assert(r.Open(), qt.IsFalse)
	c.Assert(r.ResponseMismatched(), qt.HasLen, 0)
	admitted := r.Admitted()
	reported := rollout.EngineWeights{Manifest: admitted.Manifest, Whole: admitted.Whole}
	c.Assert(r.EngineReported(reported, false), qt.DeepEquals, []rollout.Action{rollout.ActionOpenGate})
	c.Assert(r.Open(), qt.IsTrue)
}

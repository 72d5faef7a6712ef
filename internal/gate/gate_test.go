package gate

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/dispatch"
	"plantainrelay/internal/message"
	"plantainrelay/internal/ownership"
)

func openGate(c *qt.C, config Config) *Gate {
	config.Instance, config.Incarnation, config.MaxKeys = "booking-1", "one", 10
	g, err := New(config)
	c.Assert(err, qt.IsNil)
	g.Open(AdmittedWeights{})
	return g
}

func start(g *Gate, attempt string, deadline, now time.Time) message.Refusal {
	_, refusal, _ := g.begin(attemptInfo{attempt: attempt, incarnation: "one", deadline: deadline}, now)
	return refusal
}

// TestBarredAttemptStaysBarred covers an attempt that arrives late, after many
// others, when the gate has already reported to its entry that it never started.
func TestBarredAttemptStaysBarred(t *testing.T) {
	c := qt.New(t)
	g := openGate(c, Config{MaxRunning: 10, MaxRecords: 5, MaxStoredTotal: 100})
	now := time.Now()
	deadline := now.Add(time.Minute)
	reply := g.AttemptStatus(message.AttemptStatusArgs{Attempt: "late", Incarnation: "one", Deadline: deadline.UnixMilli()})
	c.Assert(reply.Fate, qt.Equals, dispatch.AttemptNeverStarted)
	for i := range 20 {
		attempt := fmt.Sprintf("attempt-%d", i)
		if start(g, attempt, deadline, now) == "" {
			g.end(attempt, nil)
		}
	}
	c.Assert(start(g, "late", deadline, now), qt.Equals, message.RefusalBarred)
	// Once its record has expired, the attempt is refused because of its deadline,
	// even if the clock goes back afterwards.
	after := deadline.Add(2 * recordMargin)
	c.Assert(start(g, "other", after.Add(time.Minute), after), qt.Equals, message.Refusal(""))
	c.Assert(start(g, "late", deadline, now), qt.Equals, message.RefusalDeadline)
}

func TestFullGateDoesNotReportNeverStarted(t *testing.T) {
	c := qt.New(t)
	g := openGate(c, Config{MaxRunning: 10, MaxRecords: 1})
	deadline := time.Now().Add(time.Minute)
	c.Assert(start(g, "first", deadline, time.Now()), qt.Equals, message.Refusal(""))
	reply := g.AttemptStatus(message.AttemptStatusArgs{Attempt: "second", Incarnation: "one", Deadline: deadline.UnixMilli()})
	c.Assert(reply.Fate, qt.Equals, dispatch.AttemptUnknown)
}

func TestStoredResponsesAreBoundedAndStatusesStay(t *testing.T) {
	c := qt.New(t)
	g := openGate(c, Config{MaxRunning: 10, MaxRecords: 100, MaxStoredTotal: 100})
	deadline := time.Now().Add(time.Minute)
	for i := range 10 {
		attempt := fmt.Sprintf("attempt-%d", i)
		c.Assert(start(g, attempt, deadline, time.Now()), qt.Equals, message.Refusal(""))
		g.end(attempt, &message.Answer{Body: make([]byte, 40)})
	}
	stored := 0
	for i := range 10 {
		reply := g.AttemptStatus(message.AttemptStatusArgs{Attempt: fmt.Sprintf("attempt-%d", i), Incarnation: "one", Deadline: deadline.UnixMilli()})
		c.Assert(reply.Fate, qt.Equals, dispatch.AttemptDone)
		if reply.Answer != nil {
			stored++
		}
	}
	c.Assert(stored, qt.Equals, 2)
}

// TestFinishedRepeatableRequestsLeaveRoom covers a burst of repeatable requests:
// finished ones must not use up the room for later ones.
func TestFinishedRepeatableRequestsLeaveRoom(t *testing.T) {
	c := qt.New(t)
	g := openGate(c, Config{MaxRunning: 10, MaxRecords: 5, MaxStoredTotal: 100})
	now := time.Now()
	for i := range 50 {
		attempt := fmt.Sprintf("lookup-%d", i)
		_, refusal, _ := g.begin(attemptInfo{attempt: attempt, incarnation: "one", deadline: now.Add(time.Minute), repeatable: true}, now)
		c.Assert(refusal, qt.Equals, message.Refusal(""), qt.Commentf("%s", attempt))
		g.end(attempt, nil)
	}
}

// TestChangesNotifyWaiters covers the transfer of key ownership: entries wait for
// each step of it, and without a notification would learn of it only at their next
// read.
func TestChangesNotifyWaiters(t *testing.T) {
	c := qt.New(t)
	g, err := New(Config{Instance: "agent-1", Incarnation: "one", MaxRunning: 1, MaxRecords: 1, MaxKeys: 1})
	c.Assert(err, qt.IsNil)
	owners := &ownership.Map{Pool: "booking", Revision: 3, Slots: make([]ownership.Owner, ownership.SlotCount)}
	for _, step := range []struct {
		name string
		take func()
	}{
		{"open", func() { g.Open(AdmittedWeights{}) }},
		{"close", func() { g.Close() }},
		{"owners", func() { g.UpdateOwners(owners) }},
		{"release", g.ReleaseKeys},
		{"drain", g.Drain},
	} {
		changed := g.Changed()
		step.take()
		select {
		case <-changed:
		default:
			t.Errorf("%s did not notify of a change", step.name)
		}
	}
	unchanged := g.Changed()
	g.UpdateOwners(owners)
	g.ReleaseKeys()
	select {
	case <-unchanged:
		t.Error("a call that changed nothing notified of a change")
	default:
	}
}

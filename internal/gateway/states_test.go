package gateway

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/member"
	"plantainrelay/internal/message"
)

// TestAgentsThatAreNotOpenAreReadMoreOften checks the poll intervals. An agent
// that is not open is polled more often because, when its notice of a finished
// version switch is lost, callers wait for it until the next poll.
func TestAgentsThatAreNotOpenAreReadMoreOften(t *testing.T) {
	c := qt.New(t)
	s := NewAgentStates(nil, nil, "entry-1", 2*time.Second)
	s.agents["open"] = agentState{StateReply: message.StateReply{Open: true}}
	s.agents["closed"] = agentState{}
	s.agents["refusing"] = agentState{StateReply: message.StateReply{Open: true}}
	s.suspect["refusing"] = true
	s.agents["owner"] = agentState{StateReply: message.StateReply{Open: true, OwnersRevision: 7}}
	for name, want := range map[string]time.Duration{
		"unknown": 0, "refusing": 0, "closed": shortReadInterval, "owner": shortReadInterval, "open": 2 * time.Second,
	} {
		_, hold := s.longPollArgs(name)
		c.Check(hold, qt.Equals, want, qt.Commentf(name))
	}
}

// TestRetryGoesToASlowInstanceRatherThanTheTriedOne covers a request whose attempt broke at
// the only instance that is not ejected: it must not lose all its attempts there while an
// ejected instance serves.
func TestRetryGoesToASlowInstanceRatherThanTheTriedOne(t *testing.T) {
	c := qt.New(t)
	s := NewAgentStates(nil, nil, "entry-1", time.Second)
	names := []string{"breaking", "slow"}
	for _, name := range names {
		s.agents[name] = agentState{StateReply: message.StateReply{Pool: "model", Open: true, MaxRunning: 1}, instance: member.Instance{State: member.StateLive}}
	}
	for range 2 * outlierConfig.MinSamples {
		s.recordAttempt("model", "slow", time.Second, true)
	}
	random := rand.New(rand.NewPCG(1, 1))
	for tried, want := range map[string]string{"": "breaking", "breaking": "slow"} {
		candidates := s.candidates("model", map[string]bool{tried: true}, random)
		c.Assert(candidates, qt.HasLen, 1)
		c.Check(candidates[0].Name, qt.Equals, want)
	}
}

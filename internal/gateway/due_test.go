package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/message"
)

// TestAgentsThatAreNotOpenAreReadMoreOften covers the time that a caller waits for an
// agent that has just switched versions, when its word on that was lost.
func TestAgentsThatAreNotOpenAreReadMoreOften(t *testing.T) {
	c := qt.New(t)
	s := NewStates(nil, nil, "entry-1", 2*time.Second)
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

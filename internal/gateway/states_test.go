package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

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

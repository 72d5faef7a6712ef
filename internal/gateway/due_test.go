package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/message"
)

// TestClosedAgentsAreReadAtEachRound covers the time that a caller waits for
// an agent that has just switched versions.
func TestClosedAgentsAreReadAtEachRound(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_700_000_000, 0)
	s := NewStates(nil, nil, "entry-1", 2*time.Second)
	c.Check(s.due("unknown", now), qt.IsTrue)
	s.agents["open"] = agentState{StateReply: message.StateReply{Open: true}, readAt: now}
	s.agents["closed"] = agentState{readAt: now}
	s.agents["refusing"] = agentState{StateReply: message.StateReply{Open: true}, readAt: now}
	s.distrusted["refusing"] = true
	s.agents["owner"] = agentState{StateReply: message.StateReply{Open: true, OwnersRevision: 7}, readAt: now}
	next := now.Add(unsettledInterval)
	c.Check(s.due("owner", next), qt.IsTrue)
	c.Check(s.due("open", next), qt.IsFalse)
	c.Check(s.due("closed", next), qt.IsTrue)
	c.Check(s.due("refusing", next), qt.IsTrue)
	c.Check(s.due("open", now.Add(2*time.Second)), qt.IsTrue)
}

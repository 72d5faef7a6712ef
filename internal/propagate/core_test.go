package propagate_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/member"
	"plantainrelay/internal/propagate"
)

// TestNotificationsBeyondTheLimitAreDeferred covers a process that has to contact more
// peers than it may at once: each of them is contacted when earlier exchanges have ended.
func TestNotificationsBeyondTheLimitAreDeferred(t *testing.T) {
	c := qt.New(t)
	const peers, limit = 100, 32
	now := time.Unix(1_000, 0)
	p := propagate.New(propagate.Config{Self: member.Instance{Name: "self"}, Interval: time.Hour}, now)
	contacted := map[string]bool{}
	var inProgress []propagate.Action
	for i := range peers {
		inProgress = append(inProgress, p.Probe(member.Instance{Name: fmt.Sprintf("peer-%d", i)})...)
	}
	c.Assert(inProgress, qt.HasLen, limit)
	for len(inProgress) > 0 {
		c.Assert(len(inProgress) <= limit, qt.IsTrue)
		next := inProgress[0]
		contacted[next.Peer.Name] = true
		inProgress = append(inProgress[1:], p.Answered(next, propagate.Digest{}, true, now)...)
	}
	c.Assert(contacted, qt.HasLen, peers)
}

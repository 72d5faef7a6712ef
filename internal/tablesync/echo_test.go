package tablesync

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/member"
)

// TestReadsInADelayedCallAreNotFresh covers a call that waits while its receiver is paused
// or a link stands still: the reads that it reports are as old as the call, whether its
// echo proves that or there is none.
func TestReadsInADelayedCallAreNotFresh(t *testing.T) {
	for _, answered := range []bool{true, false} {
		c := qt.New(t)
		clock := time.Now()
		caller, receiver := newTestSync(""), newTestSync("")
		caller.config.Incarnation = 1
		receiver.config.Self, receiver.config.Incarnation = other, 2
		for _, s := range []*Sync{caller, receiver} {
			s.now = func() time.Time { return clock }
			s.started = clock
			s.members.Merge([]member.Part{{Stamp: 1, Rows: []member.Instance{self, other}}})
		}
		clock = clock.Add(time.Second)
		if answered {
			caller.recordSummary(receiver.summary(""), clock)
		}
		clock = clock.Add(time.Second)
		caller.recordStoreRead(clock)
		read, call := clock, caller.summary(other.Name)
		clock = clock.Add(time.Minute)
		receiver.handleSummary(call)
		if answered {
			c.Assert(receiver.lastStoreRead(), qt.Equals, read)
		} else {
			c.Assert(receiver.lastStoreRead().IsZero(), qt.IsTrue)
		}
	}
}

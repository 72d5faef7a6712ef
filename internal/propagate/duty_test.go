package propagate_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/member"
	"plantainrelay/internal/propagate"
)

// TestWatchPassesOnWhenNobodyReads checks that more entries watch the store when those
// assigned to it are listed but can't read it.
func TestWatchPassesOnWhenNobodyReads(t *testing.T) {
	c := qt.New(t)
	const wait = 10 * time.Second
	var list []member.Instance
	for i := range 20 {
		list = append(list, member.Instance{Name: fmt.Sprintf("entry-%d", i), Role: member.RoleEntry, AvailabilityZone: "z"})
	}
	watchers := func(lastReadAge time.Duration) int {
		count := 0
		for _, instance := range list {
			if propagate.ShouldWatchStore(instance, list, lastReadAge, wait) {
				count++
			}
		}
		return count
	}
	c.Assert(watchers(0), qt.Equals, 2)
	c.Assert(watchers(wait+time.Second), qt.Equals, 2, qt.Commentf("a watch that timed out without a change"))
	c.Assert(watchers(wait+2*time.Second), qt.Equals, 3)
	c.Assert(watchers(wait+4*time.Second), qt.Equals, 4)
	c.Assert(watchers(time.Hour), qt.Equals, 6, qt.Commentf("the number of watchers is bounded while the store is unavailable"))
}

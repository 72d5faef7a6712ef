package e2e_test

import (
	"fmt"
	"strings"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/dispatch"
	"plantainrelay/internal/gateway"
	"plantainrelay/test/cluster"
	"plantainrelay/test/standin"
)

// TestLeavingEntryFinishesAndVanishes sends SIGTERM to an entry with bookings in
// progress while the platform's list still shows it as live. All bookings must
// complete, and the other entry must no longer advertise its address.
func TestLeavingEntryFinishesAndVanishes(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	b := startBookings(t)
	b.backendFaults(standin.EngineFaults{Delay: bookDeadline / 2})
	const inProgress = 5
	answers := make(chan reply, inProgress)
	for i := range inProgress {
		body := fmt.Sprintf("in progress %d", i)
		go func() { answers <- b.submit("entry-1", newKey(), body) }()
		b.runnerOf(body)
	}
	c.Assert(b.Signal("entry-1", syscall.SIGTERM), qt.IsNil)
	err := cluster.WaitFor(waitContext(t), func() (bool, string) {
		var address gateway.AddressAnswer
		if err := cluster.GetJSON(b.PublicURL("entry-2")+"/plantain/v1/address?availability_zone=a", &address); err != nil {
			return false, err.Error()
		}
		return strings.HasSuffix(b.PublicURL("entry-2"), address.Address) && address.Alternate == "", fmt.Sprintf("%+v", address)
	})
	c.Assert(err, qt.IsNil)
	for range inProgress {
		got := <-answers
		c.Check(got.outcome, qt.Equals, string(dispatch.Done), qt.Commentf("%d %s %v", got.status, got.body, got.err))
	}
	<-b.Process("entry-1").Exited()
	c.Assert(b.Process("entry-1").Err(), qt.IsNil)
	b.checkHistory()
}

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

// TestDrainingEntryFinishesAndIsNotAdvertised sends SIGTERM to an entry with
// bookings in progress while the platform's list still shows it as live. All
// bookings must complete, and the other entry must no longer advertise its
// address.
func TestDrainingEntryFinishesAndIsNotAdvertised(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	b := startBookingFleet(t)
	b.backendFaults(standin.EngineFaults{Delay: bookDeadline / 2})
	const inProgress = 5
	results := make(chan callResult, inProgress)
	for i := range inProgress {
		body := fmt.Sprintf("in progress %d", i)
		go func() { results <- b.submit("entry-1", newIdempotencyKey(), body) }()
		b.waitExecutingAgent(body)
	}
	c.Assert(b.Signal("entry-1", syscall.SIGTERM), qt.IsNil)
	err := cluster.WaitFor(waitContext(t), func() (bool, string) {
		var address gateway.AddressResponse
		if err := cluster.GetJSON(b.PublicURL("entry-2")+"/plantain/v1/address?availability_zone=a", &address); err != nil {
			return false, err.Error()
		}
		return strings.HasSuffix(b.PublicURL("entry-2"), address.Address) && address.Alternate == "", fmt.Sprintf("%+v", address)
	})
	c.Assert(err, qt.IsNil)
	for range inProgress {
		got := <-results
		c.Check(got.outcome, qt.Equals, string(dispatch.Done), qt.Commentf("%d %s %v", got.status, got.body, got.err))
	}
	<-b.Process("entry-1").Exited()
	c.Assert(b.Process("entry-1").Err(), qt.IsNil)
	b.checkHistory()
}

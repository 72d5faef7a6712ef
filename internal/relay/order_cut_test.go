package relay

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/clock"
	"plantainrelay/internal/placement"
	"plantainrelay/platform"
	"plantainrelay/platform/standin"
)

// switchTime is longer than the engine needs to load, and than a new request waits in the queue.
const switchTime = 600 * time.Millisecond

// orderLoad does what the agent of an engine does: it tells the entry that the engine switches,
// and orders it to load a version, which ends what it has received.
func (f *engineFixture) orderLoad(c *qt.C, i int, version int64) {
	address := f.configs[i].Address
	client := platform.NewEngineClient(address, http.DefaultTransport)
	engine := *f.frontend.view.engine(modelPool)
	host, _, err := net.SplitHostPort(address)
	c.Assert(err, qt.IsNil)
	tell := func(sequence uint64, switching bool) {
		report, err := client.Report(c.Context(), engine)
		c.Check(err, qt.IsNil)
		f.frontend.scheduler.recordAgentReport(host, placement.AgentReport{
			EngineStart: report.Start, LoadedVersion: report.LoadedVersion, Switching: switching, Slowdown: 1, AgentStart: 1, Sequence: sequence,
		}, clock.Now())
	}
	tell(1, true)
	for chunk := range f.configs[i].Weights.Chunks {
		c.Assert(client.Stage(c.Context(), modelName, chunk, f.configs[i].Weights.Chunk(version, chunk)), qt.IsNil)
	}
	report, err := client.Report(c.Context(), engine)
	c.Assert(err, qt.IsNil)
	c.Assert(client.StartLoad(c.Context(), platform.LoadOrder{Model: modelName, Version: version, Truncate: true, Orders: report.Orders}), qt.IsNil)
	time.Sleep(switchTime)
	tell(2, false)
}

// TestRequestCutByTheOrderOfAnAgentWaits guards against requests that an engine has received and
// not begun, that end there as the agent orders it to switch to a release, and whose callers get
// an error because all other engines switch at the same time (issue 47).
func TestRequestCutByTheOrderOfAnAgentWaits(t *testing.T) {
	c := qt.New(t)
	const engines, events, requests = 2, 4, 6
	f := newEngineFixture(t, 0)
	for i := range engines {
		// Agents report by address.
		f.addEngineAt(t, fmt.Sprintf("127.0.0.%d", i+2), fmt.Sprintf("i-%d", i), 1)
		f.engines[i].SetFaults(standin.BackendFaults{SilentAt: 1, SilentFor: time.Second})
	}
	f.table.Routes[0].Timeout = 6 * time.Second
	f.renewTables()
	f.list(engines)
	var calls, orders sync.WaitGroup
	for i := range requests {
		calls.Go(func() {
			response, body, err := f.writeWithin(5*time.Second, fmt.Sprintf("cut-%d", i), events, firstPart)
			c.Check(err, qt.IsNil)
			c.Check(response.StatusCode, qt.Equals, http.StatusOK, qt.Commentf("%s", body))
			c.Check(strings.Count(body, "id: "), qt.Equals, events)
		})
	}
	waitUntil(c, func() bool { return f.arrivals.Load() == requests })
	for i := range engines {
		f.engines[i].SetFaults(standin.BackendFaults{})
		orders.Go(func() { f.orderLoad(c, i, 2) })
	}
	orders.Wait()
	calls.Wait()
}

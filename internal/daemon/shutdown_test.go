package daemon

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
)

func quietLog() *logrus.Entry {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return logrus.NewEntry(logger)
}

// TestShutdownTimesReachHooks guards against hooks that plan with other times than
// those at which the daemon closes its listeners and ends.
func TestShutdownTimesReachHooks(t *testing.T) {
	c := qt.New(t)
	d := New(Config{LeaveDelay: 50 * time.Millisecond, DrainLimit: 100 * time.Millisecond}, quietLog())
	received := make(chan Shutdown, 2)
	d.OnDrain(func(s Shutdown) { received <- s })
	d.OnDrain(func(s Shutdown) { received <- s })
	before := time.Now()
	d.signals <- syscall.SIGTERM
	c.Assert(d.waitForStop(make(chan struct{})), qt.IsNil)
	ended := time.Now()
	shutdown := <-received
	c.Check(<-received, qt.Equals, shutdown)
	c.Check(shutdown.SignaledAt.Before(before), qt.IsFalse)
	c.Check(shutdown.LeaveUntil.Sub(shutdown.SignaledAt), qt.Equals, 50*time.Millisecond)
	c.Check(shutdown.EndBy.Sub(shutdown.LeaveUntil), qt.Equals, 100*time.Millisecond)
	c.Check(ended.Before(shutdown.EndBy), qt.IsFalse)
}

// logLines returns the child's log lines by message, and fails where a message is repeated.
func (c *child) logLines(t *testing.T) map[string]map[string]any {
	t.Helper()
	lines := map[string]map[string]any{}
	for text := range strings.Lines(c.output.String()) {
		var line map[string]any
		if json.Unmarshal([]byte(text), &line) != nil {
			continue
		}
		message, _ := line["msg"].(string)
		qt.Assert(t, lines[message], qt.IsNil, qt.Commentf("repeated: %s", text))
		lines[message] = line
	}
	return lines
}

const (
	lineDraining   = "draining"
	lineLeaveEnded = "leave delay ended; closing the listeners and the idle connections"
	lineDrainLimit = "drain limit reached with requests still in progress"
	lineDrained    = "drained"
)

// TestDrainLimitIsLogged guards against a process that ends under its requests without a
// line that says how many there were, where, and for how long.
func TestDrainLimitIsLogged(t *testing.T) {
	c := qt.New(t)
	process := startChild(t, childConfig{LeaveDelay: 300 * time.Millisecond, DrainLimit: 400 * time.Millisecond})
	process.waitListening(t)
	idle, busy := process.dial(t), []*keptConnection{process.dial(t), process.dial(t)}
	c.Assert(idle.send("idle", 0), qt.IsNil)
	c.Assert(idle.receive(), qt.IsNil)
	for _, k := range busy {
		c.Assert(k.send("busy", time.Minute), qt.IsNil)
	}
	process.waitFor(t, "both requests", func() bool { return process.countBegun(t) == 3 })
	signaled := process.signal(t, syscall.SIGTERM)
	code, took := process.waitExit(t, signaled)
	c.Check(code, qt.Equals, 0)
	c.Check(took >= 700*time.Millisecond, qt.IsTrue, qt.Commentf("%s", took))

	lines := process.logLines(t)
	c.Check(lines[lineDraining]["signal"], qt.Equals, "terminated")
	c.Check(lines[lineDraining]["leave_delay_ms"], qt.Equals, 300.0)
	c.Check(lines[lineDraining]["drain_limit_ms"], qt.Equals, 400.0)
	c.Assert(lines[lineLeaveEnded], qt.IsNotNil)
	c.Check(lines[lineLeaveEnded]["requests"], qt.Equals, 2.0)
	checkBetween(c, lines[lineLeaveEnded]["since_signal_ms"], 300, took.Milliseconds())
	c.Assert(lines[lineDrainLimit], qt.IsNotNil)
	c.Check(lines[lineDrainLimit]["requests"], qt.DeepEquals, map[string]any{process.config.Address: 2.0})
	checkBetween(c, lines[lineDrainLimit]["since_signal_ms"], 700, took.Milliseconds())
	checkBetween(c, lines[lineDrainLimit]["oldest_request_ms"], 700, testTimeout.Milliseconds())
	c.Check(lines[lineDrained], qt.IsNil)
}

// TestLeaveDelayLineCountsConnections guards against counts that mix connections with and
// without a request, or cover only one listener.
func TestLeaveDelayLineCountsConnections(t *testing.T) {
	c := qt.New(t)
	logger, hook := test.NewNullLogger()
	d := New(Config{MaxConnections: 10}, logrus.NewEntry(logger))
	for _, address := range []string{"127.0.0.1:1", "127.0.0.1:2"} {
		c.Assert(d.Listen(Listener{Address: address}), qt.IsNil)
	}
	for i, s := range d.servers {
		idle, busy := &closeCounter{}, &closeCounter{}
		s.connections.stateChanged(idle, http.StateNew)
		if i == 0 {
			s.connections.stateChanged(busy, http.StateNew)
			s.connections.stateChanged(busy, http.StateActive)
			s.requests.begin()
		}
	}
	d.logLeaveDelayEnded(d.newShutdown(time.Now().Add(-time.Second)))
	line := hook.LastEntry()
	c.Check(line.Message, qt.Equals, lineLeaveEnded)
	c.Check(line.Data["connections"], qt.Equals, 3)
	c.Check(line.Data["idle"], qt.Equals, 2)
	c.Check(line.Data["requests"], qt.Equals, 1)
	c.Check(line.Data["since_signal_ms"].(int64) >= 1000, qt.IsTrue)
}

// TestDrainedIsLogged guards against a second signal that changes the phases, and against
// an end without a line that says how long the drain took.
func TestDrainedIsLogged(t *testing.T) {
	c := qt.New(t)
	process := startChild(t, childConfig{LeaveDelay: 200 * time.Millisecond, DrainLimit: testTimeout})
	process.waitListening(t)
	busy := process.dial(t)
	c.Assert(busy.send("busy", 600*time.Millisecond), qt.IsNil)
	process.waitFor(t, "the request", func() bool { return process.countBegun(t) == 1 })
	signaled := process.signal(t, syscall.SIGTERM)
	process.waitOutput(t, lineDraining)
	process.signal(t, syscall.SIGTERM)
	c.Check(busy.receive(), qt.IsNil)
	code, took := process.waitExit(t, signaled)
	c.Check(code, qt.Equals, 0)

	lines := process.logLines(t)
	c.Check(lines["already draining; the signal is ignored"], qt.IsNotNil)
	c.Check(lines[lineLeaveEnded]["requests"], qt.Equals, 1.0)
	c.Assert(lines[lineDrained], qt.IsNotNil)
	checkBetween(c, lines[lineDrained]["since_signal_ms"], 200, took.Milliseconds())
	c.Check(lines[lineDrainLimit], qt.IsNil)
}

func checkBetween(c *qt.C, got any, least, most int64) {
	c.Helper()
	value, ok := got.(float64)
	c.Check(ok && int64(value) >= least && int64(value) <= most, qt.IsTrue, qt.Commentf("%v is not between %d and %d", got, least, most))
}

// TestSignalDuringStartEndsTheProcess guards against a process that is told to stop before
// its listeners are open and serves nevertheless, ends with a failure or ends late.
func TestSignalDuringStartEndsTheProcess(t *testing.T) {
	const delay = 300 * time.Millisecond
	for name, config := range map[string]childConfig{
		"before the daemon is set up": {BeforeNew: delay},
		"before it runs":              {BeforeRun: delay},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			config.LeaveDelay, config.DrainLimit = 3*time.Second, 2*time.Second
			process := startChild(t, config)
			process.waitOutput(t, "started")
			time.Sleep(delay / 3)
			signaled := process.signal(t, syscall.SIGTERM)
			code, took := process.waitExit(t, signaled)
			c.Check(code, qt.Equals, 0)
			c.Check(took < config.LeaveDelay/2, qt.IsTrue, qt.Commentf("%s", took))
		})
	}
}

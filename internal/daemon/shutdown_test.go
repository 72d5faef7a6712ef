package daemon

import (
	"io"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"
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

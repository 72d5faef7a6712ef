package daemon

import (
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// crossings counts what became of requests that were sent while the listeners closed.
type crossings struct{ answered, unread, lost int }

// TestRequestsThatCrossTheCloseAreAnsweredOrUnread guards against a kept connection that
// is closed under a request which the handler has begun.
func TestRequestsThatCrossTheCloseAreAnsweredOrUnread(t *testing.T) {
	rounds, _ := strconv.Atoi(os.Getenv("DAEMON_TEST_ROUNDS"))
	var sum crossings
	for range max(rounds, 3) {
		got := playCrossing(t, 400)
		sum.answered, sum.unread, sum.lost = sum.answered+got.answered, sum.unread+got.unread, sum.lost+got.lost
	}
	t.Logf("%+v", sum)
	qt.Assert(t, sum.lost, qt.Equals, 0)
}

func playCrossing(t *testing.T, connections int) crossings {
	t.Helper()
	const leaveDelay = 300 * time.Millisecond
	c := startChild(t, childConfig{LeaveDelay: leaveDelay, DrainLimit: 10 * time.Second})
	c.waitListening(t)
	kept := make([]*keptConnection, connections)
	for i := range kept {
		kept[i] = c.dial(t)
		qt.Assert(t, kept[i].send("first", 0), qt.IsNil)
		qt.Assert(t, kept[i].receive(), qt.IsNil)
	}
	closing := c.signal(t, syscall.SIGTERM).Add(leaveDelay + closeMargin)
	answered := make([]bool, connections)
	var group sync.WaitGroup
	for i, k := range kept {
		group.Go(func() {
			// From 0.5 ms before the close to 2.5 ms after it.
			time.Sleep(time.Until(closing.Add(time.Duration(i*3000/connections-500) * time.Microsecond)))
			answered[i] = k.send(strconv.Itoa(i), 20*time.Millisecond) == nil && k.receive() == nil
		})
	}
	group.Wait()
	for _, k := range kept {
		k.conn.Close()
	}
	code, _ := c.waitExit(t, closing)
	qt.Assert(t, code, qt.Equals, 0, qt.Commentf("%s", c.output))
	begun := c.begun(t)
	var got crossings
	for i := range kept {
		switch {
		case answered[i]:
			got.answered++
		case begun[strconv.Itoa(i)]:
			got.lost++
		default:
			got.unread++
		}
	}
	return got
}

// TestKeptConnectionsAreClosedByResponses guards against callers in steady use of a kept
// connection who have it closed under a request when the listeners close.
func TestKeptConnectionsAreClosedByResponses(t *testing.T) {
	const callers = 100
	c := startChild(t, childConfig{LeaveDelay: 500 * time.Millisecond, DrainLimit: 10 * time.Second})
	c.waitListening(t)
	var answered, unread atomic.Int64
	var group sync.WaitGroup
	for range callers {
		k := c.dial(t)
		group.Go(func() {
			defer k.conn.Close()
			for !k.closing {
				if k.send("steady", time.Millisecond) != nil || k.receive() != nil {
					unread.Add(1)
					return
				}
				answered.Add(1)
				time.Sleep(time.Millisecond)
			}
		})
	}
	time.Sleep(100 * time.Millisecond)
	signaled := c.signal(t, syscall.SIGTERM)
	group.Wait()
	t.Logf("%d callers: %d answered, %d unread", callers, answered.Load(), unread.Load())
	qt.Check(t, unread.Load(), qt.Equals, int64(0))
	code, _ := c.waitExit(t, signaled)
	qt.Check(t, code, qt.Equals, 0)
}

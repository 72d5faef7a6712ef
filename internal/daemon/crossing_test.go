package daemon

import (
	"bufio"
	"net"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// crossings counts what became of requests that were sent while the listeners closed. An
// unread request was not begun, a lost one was begun and got no response.
type crossings struct{ answered, unread, lost int }

// TestRequestsThatCrossTheCloseAreAnsweredOrUnread guards against a connection, kept or
// fresh, that is closed under a request which the handler has begun.
func TestRequestsThatCrossTheCloseAreAnsweredOrUnread(t *testing.T) {
	rounds, _ := strconv.Atoi(os.Getenv("DAEMON_TEST_ROUNDS"))
	for name, kept := range map[string]bool{"kept connections": true, "fresh connections": false} {
		t.Run(name, func(t *testing.T) {
			var sum crossings
			for range max(rounds, 3) {
				got := playCrossing(t, 400, kept)
				sum.answered, sum.unread, sum.lost = sum.answered+got.answered, sum.unread+got.unread, sum.lost+got.lost
			}
			t.Logf("%+v", sum)
			qt.Check(t, sum.lost, qt.Equals, 0)
		})
	}
}

func playCrossing(t *testing.T, callers int, kept bool) crossings {
	t.Helper()
	const leaveDelay = 300 * time.Millisecond
	c := startChild(t, childConfig{LeaveDelay: leaveDelay, DrainLimit: 10 * time.Second})
	c.waitListening(t)
	connections := make([]*keptConnection, callers)
	if kept {
		for i := range connections {
			connections[i] = c.dial(t)
			qt.Assert(t, connections[i].send("first", 0), qt.IsNil)
			qt.Assert(t, connections[i].receive(), qt.IsNil)
		}
	}
	closing := c.signal(t, syscall.SIGTERM).Add(leaveDelay + closeMargin)
	answered := make([]bool, callers)
	var group sync.WaitGroup
	for i, k := range connections {
		group.Go(func() {
			// From 0.5 ms before the close to 2.5 ms after it.
			time.Sleep(time.Until(closing.Add(time.Duration(i*3000/callers-500) * time.Microsecond)))
			answered[i] = c.ask(k, strconv.Itoa(i)) == nil
		})
	}
	group.Wait()
	code, _ := c.waitExit(t, closing)
	qt.Assert(t, code, qt.Equals, 0, qt.Commentf("%s", c.output))
	return countCrossings(answered, c.begun(t))
}

// ask sends a request on a kept connection, or on a fresh one if k is nil.
func (c *child) ask(k *keptConnection, id string) error {
	if k == nil {
		conn, err := net.Dial("tcp", c.config.Address)
		if err != nil {
			return err
		}
		k = &keptConnection{conn: conn, reader: bufio.NewReader(conn)}
	}
	defer k.conn.Close()
	if err := k.send(id, 20*time.Millisecond); err != nil {
		return err
	}
	return k.receive()
}

func countCrossings(answered []bool, begun map[string]bool) crossings {
	var got crossings
	for i := range answered {
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

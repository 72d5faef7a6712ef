package relay

import (
	"errors"
	"net"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// refusalLogInterval is the least time between two log lines on clients that were turned away
// for the same reason.
const refusalLogInterval = time.Second

// refusalLog logs which clients beyond the limits were turned away. It is safe for concurrent
// use.
type refusalLog struct {
	log *logrus.Entry

	mu      sync.Mutex
	last    map[string]time.Time
	skipped map[string]int
}

func newRefusalLog(log *logrus.Entry) *refusalLog {
	return &refusalLog{log: log, last: map[string]time.Time{}, skipped: map[string]int{}}
}

// add logs a client, or counts it if a line with the same reason was logged just before.
// Reasons are from a fixed set.
func (l *refusalLog) add(reason, client string, fields logrus.Fields) {
	now := time.Now()
	l.mu.Lock()
	if now.Sub(l.last[reason]) < refusalLogInterval {
		l.skipped[reason]++
		l.mu.Unlock()
		return
	}
	count := 1 + l.skipped[reason]
	l.last[reason], l.skipped[reason] = now, 0
	l.mu.Unlock()
	l.log.WithFields(fields).WithFields(logrus.Fields{"reason": reason, "client": client, "count": count}).Warning("a client beyond the limits was turned away")
}

// closedConnection logs a connection that was closed to make room for another one.
func (l *refusalLog) closedConnection(conn net.Conn) {
	l.add("too_many_connections", conn.RemoteAddr().String(), nil)
}

// logBody logs a request whose body was not read.
func (x *exchange) logBody(err error) {
	reason := "body_broken"
	var network net.Error
	switch {
	case errors.Is(err, errNoMemory):
		reason = reasonNoMemory
	case errors.Is(err, errBodyTooLarge):
		reason = "body_too_big"
	case errors.As(err, &network) && network.Timeout():
		reason = "body_too_slow"
	}
	held, _ := x.frontend.bodies.used()
	x.frontend.refusals.add(reason, x.r.RemoteAddr, logrus.Fields{
		"request": x.call.AttemptID, "route": x.route.Name, "customer": x.customer.Name, "length": x.r.ContentLength, "received": x.body.length(), "buffers_held": held,
	})
}

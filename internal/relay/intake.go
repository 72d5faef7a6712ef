package relay

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"plantainrelay/internal/daemon"
	"plantainrelay/internal/intake"
	"plantainrelay/platform"
)

// maxPeerRequestBytes bounds a request of another process: the arguments of all calls are
// names and numbers.
const maxPeerRequestBytes = 64 << 10

// newLimits returns the limits on clients with these settings.
func newLimits(s platform.Settings) intake.Limits {
	return intake.NewLimits(intake.Machine{MemoryBytes: s.MemoryBytes, Descriptors: s.MaxDescriptors}, s.Intake)
}

// limitClients sets up the limits on clients, with their metrics.
func (e *entry) limitClients(s platform.Settings, log *logrus.Entry) {
	e.limits = newLimits(s)
	e.frontend.bodies, e.frontend.refusals = newBodyStore(e.limits), newRefusalLog(log)
	e.connections = daemon.NewConnectionLimiter(e.limits.Clients, e.limits.Connections)
	e.connections.OnClose = e.frontend.refusals.closedConnection
	e.frontend.sender.transport.WrapDial(e.connections.LimitDials)
	e.metrics.Gauge("buffer_limit_bytes", "Largest size of the heads, bodies and responses in memory.", func() float64 { return float64(e.limits.BufferBytes) })
	e.metrics.Gauge("buffer_held_bytes", "Size of the heads, bodies and responses in memory.", func() float64 {
		held, _ := e.frontend.bodies.used()
		return float64(held)
	})
	e.metrics.Gauge("buffer_unused_bytes", "Size of the buffers that are kept for further bodies.", func() float64 {
		_, unused := e.frontend.bodies.used()
		return float64(unused)
	})
	e.metrics.Gauge("client_connections_limit", "Largest number of connections of callers.", func() float64 { return float64(e.limits.Clients) })
	e.metrics.Gauge("client_connections", "Open connections of callers.", func() float64 {
		clients, _, _ := e.connections.Counts()
		return float64(clients)
	})
	e.metrics.Gauge("instance_connections", "Open connections to instances.", func() float64 {
		_, _, attempts := e.connections.Counts()
		return float64(attempts)
	})
	e.metrics.Counter("closed_connections_total", "Connections of callers that were closed to make room for others.", func() float64 { return float64(e.connections.Closed()) })
	log.WithFields(logrus.Fields{
		"buffer_bytes": e.limits.BufferBytes, "clients": e.limits.Clients, "connections": e.limits.Connections, "peer_connections": e.limits.PeerConnections,
	}).Info("limits on clients")
}

// newLimiter returns the limiter of a listener other than that of callers' requests.
func (e *entry) newLimiter(limit int) *daemon.ConnectionLimiter {
	limiter := daemon.NewConnectionLimiter(limit, limit)
	limiter.OnClose = e.frontend.refusals.closedConnection
	return limiter
}

// run gives up unused segments until ctx ends.
func (s *bodyStore) run(ctx context.Context) {
	ticker := time.NewTicker(trimInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.trim()
		}
	}
}

package daemon

import (
	"net/http"
	"os"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/zeromicro/go-zero/core/proc"

	"plantainrelay/internal/failure"
)

// logFlushTimeout bounds how long the process waits for its last log lines to be written.
const logFlushTimeout = 50 * time.Millisecond

// Shutdown holds the times of a graceful shutdown.
type Shutdown struct {
	// SignaledAt is when the first SIGTERM or SIGINT was handled.
	SignaledAt time.Time
	// LeaveUntil is until when the listeners accept requests; they close directly after it.
	LeaveUntil time.Time
	// EndBy is when the process ends, whatever is in progress.
	EndBy time.Time
}

func (d *Daemon) newShutdown(signaledAt time.Time) Shutdown {
	leaveUntil := signaledAt.Add(d.config.LeaveDelay)
	return Shutdown{SignaledAt: signaledAt, LeaveUntil: leaveUntil, EndBy: leaveUntil.Add(d.config.DrainLimit)}
}

func (s Shutdown) sinceSignal() int64 {
	return time.Since(s.SignaledAt).Milliseconds()
}

// signaled reports whether the process has already received SIGTERM or SIGINT. The
// framework handles them from the start of the process, before New.
func (d *Daemon) signaled() bool {
	select {
	case <-proc.Done():
		return true
	default:
		return len(d.signals) > 0
	}
}

// flushLog writes the last log lines where the log is written asynchronously.
func (d *Daemon) flushLog() {
	if log, ok := d.log.Logger.Out.(interface{ Flush(time.Duration) }); ok {
		log.Flush(logFlushTimeout)
	}
}

// waitForStop returns when all servers have stopped or the drain limit has passed.
func (d *Daemon) waitForStop(stopped <-chan struct{}) error {
	select {
	case received := <-d.signals:
		d.drain(d.beginDrain(received), stopped)
		return nil
	case <-stopped:
		return failure.New(failure.Internal, "check that the listen addresses are free", "an HTTP server stopped unexpectedly")
	}
}

func (d *Daemon) beginDrain(received os.Signal) Shutdown {
	shutdown := d.newShutdown(time.Now())
	d.log.WithFields(logrus.Fields{
		"signal":         received.String(),
		"leave_delay_ms": d.config.LeaveDelay.Milliseconds(),
		"drain_limit_ms": d.config.DrainLimit.Milliseconds(),
	}).Info("draining")
	d.draining.Store(true)
	for _, fn := range d.drainHooks {
		go fn(shutdown)
	}
	return shutdown
}

// closeWhileDraining closes each connection with its next response after the signal.
// Otherwise the listeners' close would end it, perhaps under a request that is on its way.
func (d *Daemon) closeWhileDraining(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

func (d *Daemon) drain(shutdown Shutdown, stopped <-chan struct{}) {
	leave, end := time.After(time.Until(shutdown.LeaveUntil)), time.After(time.Until(shutdown.EndBy))
	for {
		select {
		case received := <-d.signals:
			d.log.WithField("signal", received.String()).Warning("already draining; the signal is ignored")
		case <-leave:
			d.logLeaveDelayEnded(shutdown)
		case <-end:
			d.logDrainLimitReached(shutdown)
			return
		case <-stopped:
			d.log.WithField("since_signal_ms", shutdown.sinceSignal()).Info("drained")
			return
		}
	}
}

func (d *Daemon) logLeaveDelayEnded(shutdown Shutdown) {
	open, idle, requests := 0, 0, 0
	for _, s := range d.servers {
		listenerOpen, listenerIdle, _ := s.connections.Counts()
		listenerRequests, _ := s.requests.inProgress()
		open, idle, requests = open+listenerOpen, idle+listenerIdle, requests+listenerRequests
	}
	d.log.WithFields(logrus.Fields{
		"connections": open, "idle": idle, "requests": requests, "since_signal_ms": shutdown.sinceSignal(),
	}).Info("leave delay ended; closing the listeners and the idle connections")
}

func (d *Daemon) logDrainLimitReached(shutdown Shutdown) {
	byListener := map[string]int{}
	var oldest time.Time
	for _, s := range d.servers {
		count, start := s.requests.inProgress()
		if count == 0 {
			continue
		}
		byListener[s.listener.Address] = count
		if oldest.IsZero() || start.Before(oldest) {
			oldest = start
		}
	}
	entry := d.log.WithField("since_signal_ms", shutdown.sinceSignal())
	if len(byListener) == 0 {
		entry.Warning("drain limit reached with open connections, but no request in progress")
		return
	}
	entry.WithFields(logrus.Fields{
		"requests": byListener, "oldest_request_ms": time.Since(oldest).Milliseconds(),
	}).Warning("drain limit reached with requests still in progress")
}

package relay

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"plantainrelay/internal/message"

	"golang.org/x/sys/unix"
)

const (
	// dialTimeout bounds the set-up of a connection to a backend server instance: a few
	// round trips between availability zones.
	dialTimeout = 400 * time.Millisecond
	// unackedTimeout is how long sent bytes may stay unacknowledged before the
	// connection is considered dead.
	unackedTimeout = 2 * time.Second
	// connBufferBytes is the size of each of a connection's two buffers.
	connBufferBytes = 4 << 10
)

// sender sends attempts to backend server instances. Each attempt uses its own
// connection, so that a late or duplicate response cannot be taken for the response to
// another request, and no request is sent on a connection that the instance has closed.
type sender struct {
	transport *message.Transport
}

func newSender() *sender {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: setUserTimeout}
	transport := message.NewSingleUseTransport(dialer)
	transport.ReadBufferSize, transport.WriteBufferSize = connBufferBytes, connBufferBytes
	return &sender{transport: transport}
}

func setUserTimeout(_, _ string, conn syscall.RawConn) error {
	var sockoptErr error
	err := conn.Control(func(descriptor uintptr) {
		sockoptErr = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockoptErr
}

// send makes the attempt. sent reports whether a byte of the request may have left this
// process.
func (s *sender) send(request *http.Request) (response *http.Response, sent bool, err error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	response, err = s.transport.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	return response, connected.Load(), err
}

// newRequest returns the request to the instance at address, with the method, target
// and body of the caller's request. It is nil if the body was released.
func newRequest(ctx context.Context, original *http.Request, address string, body *body, header http.Header) *http.Request {
	request := &http.Request{
		Method: original.Method, URL: &url.URL{Scheme: "http", Host: address, Opaque: original.RequestURI},
		Host: original.Host, Header: header, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	if length := body.length(); length > 0 {
		reader := body.newReader()
		if reader == nil {
			return nil
		}
		request.Body, request.ContentLength = reader, length
	}
	return request.WithContext(ctx)
}

const (
	// silenceRecheckInterval is the time until a watchdog that may not cancel asks again.
	silenceRecheckInterval = 100 * time.Millisecond
	// silenceConfirmInterval is the time between the end of a watchdog's time and its
	// decision; maxConfirmDelay is the delay of the decision above which this process is
	// taken to have stood still.
	silenceConfirmInterval = 50 * time.Millisecond
	maxConfirmDelay        = 2 * silenceRecheckInterval
)

// silenceConfirmation tells the silence of an instance from a pause of this process, in which
// responses arrive that are read only after the timers have fired: a timer has to fire twice
// in short succession.
type silenceConfirmation struct {
	lastFired time.Time
}

// isConfirmed reports whether the process has run since a timer that fires now fired before.
func (s *silenceConfirmation) isConfirmed(now time.Time) bool {
	sinceLast := now.Sub(s.lastFired)
	s.lastFired = now
	return sinceLast <= maxConfirmDelay
}

// giveUp is the decision about an attempt that makes no progress. An attempt that is
// canceled keeps what was reserved for the next one.
type giveUp struct {
	isAllowed bool
	reserved  *reservation
}

// watchdog cancels an attempt that makes no progress, once it may.
type watchdog struct {
	cancel context.CancelFunc
	// decide, when set, is asked when the time has ended, one call at a time; withdraw gets what
	// it has reserved for an attempt that is not canceled. Both are called without a lock.
	decide   func() giveUp
	withdraw func(*reservation)
	// interrupt, when set, is called when the attempt makes progress or ends, so that a decision
	// in progress returns.
	interrupt func()

	mu    sync.Mutex
	timer *time.Timer
	// due is when the time ends.
	due              time.Time
	expired, stopped bool
	// keepsDecision says that the decision in progress counts although the watchdog was stopped.
	keepsDecision bool
	// decided is closed when the decision in progress has been carried out; nil without one.
	decided      chan struct{}
	reserved     *reservation
	confirmation silenceConfirmation
}

// newWatchdog returns a watchdog that cancels after limit; zero means no limit.
func newWatchdog(cancel context.CancelFunc, limit time.Duration, decide func() giveUp, withdraw func(*reservation)) *watchdog {
	w := &watchdog{cancel: cancel, decide: decide, withdraw: withdraw}
	if limit <= 0 {
		return w
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.due = time.Now().Add(limit)
	w.timer = time.AfterFunc(limit, w.fire)
	return w
}

func (w *watchdog) fire() {
	if !w.isDue() {
		return
	}
	decision := giveUp{isAllowed: true}
	if w.decide != nil {
		decision = w.decide()
	}
	if !w.carryOut(decision) && decision.reserved != nil {
		w.withdraw(decision.reserved)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	close(w.decided)
	w.decided = nil
}

// carryOut cancels the attempt if the decision allows it and the attempt has made no progress
// meanwhile. It reports whether it has canceled the attempt.
func (w *watchdog) carryOut(decision giveUp) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	left := time.Until(w.due)
	switch {
	case w.stopped && w.keepsDecision && decision.isAllowed:
		w.reserved = decision.reserved
		return true
	case w.stopped || w.expired:
	case left > 0:
		w.timer.Reset(left)
	case !decision.isAllowed:
		w.timer.Reset(silenceRecheckInterval)
	default:
		w.expired, w.reserved = true, decision.reserved
		w.cancel()
		return true
	}
	return false
}

// stopAndTake stops the watchdog and returns what was reserved when it canceled the attempt,
// nil if it has not.
func (w *watchdog) stopAndTake() *reservation {
	w.stop()
	w.mu.Lock()
	defer w.mu.Unlock()
	reserved := w.reserved
	w.reserved = nil
	return reserved
}

// awaitDecision stops the watchdog and waits for its decision in progress, if there is one. If
// keepsDecision, the decision is not interrupted, and what it reserves is kept.
func (w *watchdog) awaitDecision(keepsDecision bool) {
	if w.timer == nil {
		return
	}
	w.mu.Lock()
	if !keepsDecision {
		w.interruptDecision()
	}
	w.stopped, w.keepsDecision = true, keepsDecision
	w.timer.Stop()
	decided := w.decided
	w.mu.Unlock()
	if decided != nil {
		<-decided
	}
}

// isDue reports whether the time has ended, and otherwise sets the timer to its end. If the
// watchdog decides, the end has to be confirmed.
func (w *watchdog) isDue() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	switch left := w.due.Sub(now); {
	case w.stopped || w.expired:
		return false
	case w.decided != nil:
		w.timer.Reset(silenceRecheckInterval)
		return false
	case left > 0:
		w.timer.Reset(left)
		return false
	case w.decide != nil && !w.confirmation.isConfirmed(now):
		w.timer.Reset(silenceConfirmInterval)
		return false
	}
	w.decided = make(chan struct{})
	return true
}

// extend restarts the timer with limit; it does nothing on a watchdog without a limit. It returns
// false if the attempt has been canceled: what has arrived since is part of the next attempt.
func (w *watchdog) extend(limit time.Duration) bool {
	if w.timer == nil {
		return true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.expired {
		return false
	}
	w.due = time.Now().Add(limit)
	w.timer.Reset(limit)
	w.interruptDecision()
	return true
}

// interruptDecision makes a decision in progress return. The caller holds mu.
func (w *watchdog) interruptDecision() {
	if w.decided != nil && w.interrupt != nil {
		w.interrupt()
	}
}

func (w *watchdog) stop() {
	if w.timer == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped {
		w.interruptDecision()
	}
	w.stopped = true
	w.timer.Stop()
}

func (w *watchdog) fired() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.expired
}

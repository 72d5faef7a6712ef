package relay

import (
	"bufio"
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"plantainrelay/internal/catalog"
	"plantainrelay/internal/clock"
	"plantainrelay/internal/placement"
	"plantainrelay/platform"
)

// standby is an attempt at another instance beside an attempt whose instance is silent. The
// silent attempt is ended only once the other instance has begun to respond: a rejection or an
// error there must not end a response that may still go on.
type standby struct {
	response *http.Response
	cancel   context.CancelFunc
	progress responseProgress
	firstMs  int64
}

func (s *standby) close() {
	s.cancel()
	s.response.Body.Close()
}

// standbyResult is what became of a standby.
type standbyResult string

const (
	standbyTaken    standbyResult = "taken"
	standbyRejected standbyResult = "rejected"
	standbyFailed   standbyResult = "failed"
	// standbyWithdrawn means that it was ended because the silent attempt went on or ended.
	standbyWithdrawn standbyResult = "withdrawn"
)

// standbys makes the standbys of one attempt, one at a time. Its decision runs on another
// goroutine than the attempt.
type standbys struct {
	exchange *exchange
	ctx      context.Context
	// next is the ticket of a standby; instances that have rejected one are added to those tried.
	next *ticket
	// allowed bounds the standbys that may run.
	allowed int
	// ended counts the standbys that may have run and were not taken.
	ended atomic.Int64
	// crashed is set when a standby may have crashed its instance: no further one is made.
	crashed bool

	mu     sync.Mutex
	cancel context.CancelFunc
}

func (x *exchange) newStandbys(ctx context.Context, next *ticket) *standbys {
	own := *next
	own.need.Tried = maps.Clone(next.need.Tried)
	return &standbys{exchange: x, ctx: ctx, next: &own, allowed: x.decision.RemainingAttempts()}
}

// interrupt ends the standby in progress.
func (s *standbys) interrupt() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancel != nil {
		s.cancel()
	}
}

// begin returns the context of a standby.
func (s *standbys) begin() (context.Context, context.CancelFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ctx, cancel := context.WithCancel(s.ctx)
	s.cancel = cancel
	return ctx, cancel
}

// try makes a standby if an instance, a retry and the request's own bounds allow it. It returns
// the reservation of an instance that has begun to respond, and nil without one.
func (s *standbys) try() *reservation {
	x := s.exchange
	remaining := s.allowed - int(s.ended.Load())
	if remaining <= 0 || s.crashed || x.isBlocked() {
		return nil
	}
	ctx, cancel := s.begin()
	if remaining > 1 {
		// This one may be silent, too, and a further instance may not be.
		defer time.AfterFunc(x.firstResponseTimeout(), cancel).Stop()
	}
	reserved := x.reserveRepeat(s.next)
	if reserved == nil {
		cancel()
		return nil
	}
	reserved.isSent = true
	wasResponding := x.pending.responding.Swap(false)
	result := s.send(ctx, cancel, reserved)
	if result == standbyTaken {
		return reserved
	}
	cancel()
	x.pending.responding.Store(wasResponding)
	s.drop(reserved, result)
	return nil
}

// send sends the request to the reserved instance and waits until it has begun to respond.
func (s *standbys) send(ctx context.Context, cancel context.CancelFunc, reserved *reservation) standbyResult {
	x, choice := s.exchange, reserved.choice
	if !x.isAllowedAt(choice) {
		reserved.isSent = false
		return standbyRejected
	}
	progress := responseProgress{sentAt: clock.Now()}
	request := x.newAttemptRequest(ctx, choice)
	if request == nil {
		// The silent instance has responded meanwhile.
		reserved.isSent = false
		return standbyRejected
	}
	response, sent, err := x.frontend.sender.send(request)
	if err != nil {
		return s.classify(ctx, reserved, progress, sent, err)
	}
	record := attemptRecord{Instance: choice.Backend.ID}
	info := platform.DecodeResponse(response.StatusCode, response.Header, x.call.AttemptID, choice.Backend.ID)
	x.frontend.recordNotice(choice, info, &record)
	if info.Class != platform.Answered {
		response.Body.Close()
		reserved.result = placement.Failed
		switch info.Class {
		case platform.NotRun:
			reserved.result = record.placementResult(notRun)
			return standbyRejected
		case platform.AddressReused:
			reserved.result = placement.AddressReused
			return standbyRejected
		}
		return standbyFailed
	}
	if x.route.Kind == catalog.Streaming && response.StatusCode == http.StatusOK {
		// A header alone does not show that the instance goes on with the stream.
		reader := bufio.NewReaderSize(response.Body, readBufferBytes)
		if _, err := reader.Peek(1); err != nil && !errors.Is(err, io.EOF) {
			response.Body.Close()
			return s.classify(ctx, reserved, progress, true, err)
		}
		response.Body = &bufferedBody{Reader: reader, Closer: response.Body}
	}
	x.frontend.scheduler.responseStarted(choice)
	reserved.standby = &standby{response: response, cancel: cancel, progress: progress, firstMs: clock.Now().Sub(progress.sentAt).Milliseconds()}
	return standbyTaken
}

// bufferedBody is a response body whose beginning has been read into a buffer.
type bufferedBody struct {
	io.Reader
	io.Closer
}

// classify returns the result of a standby without a response.
func (s *standbys) classify(ctx context.Context, reserved *reservation, progress responseProgress, sent bool, err error) standbyResult {
	x := s.exchange
	switch {
	case ctx.Err() != nil:
		reserved.result = placement.CallerDisconnected
		return standbyWithdrawn
	case !sent:
		reserved.result, reserved.isSent = placement.Failed, false
		return standbyRejected
	}
	reserved.result = placement.Failed
	progress.broken = isBreak(err)
	record := attemptRecord{Instance: reserved.choice.Backend.ID}
	s.crashed = x.mayHaveCrashedInstance(reserved.choice, progress, &record)
	return standbyFailed
}

// drop returns the slot of a standby that was not taken, and logs what became of it.
func (s *standbys) drop(reserved *reservation, result standbyResult) {
	x := s.exchange
	s.next.need.Tried[reserved.choice.Backend.ID] = true
	if result != standbyRejected {
		s.ended.Add(1)
	}
	x.frontend.metrics.standbys.WithLabelValues(string(result)).Inc()
	x.frontend.log.WithFields(logrus.Fields{
		"request": x.call.AttemptID, "backend": reserved.choice.Backend.ID, "pool": x.pool, "result": string(result),
	}).Info("a second instance did not take over from a silent one, whose response is still awaited")
	x.frontend.scheduler.cancelReservation(reserved)
}

// takeOver goes on with the response of a standby.
func (x *exchange) takeOver(ctx context.Context, choice placement.Choice, taken *standby, record *attemptRecord) (result outcome) {
	defer taken.close()
	x.frontend.metrics.standbys.WithLabelValues(string(standbyTaken)).Inc()
	x.progress, record.FirstMs = taken.progress, taken.firstMs
	next := x.repeatTicket()
	x.startWatchdog = newWatchdog(taken.cancel, 0, nil, nil)
	watchdog, further := x.newSilenceWatchdog(ctx, taken.cancel, choice, next)
	defer func() { x.endWatch(watchdog, further, result) }()
	return x.forward(taken.response, choice, watchdog, record)
}

// newSilenceWatchdog returns the watchdog of an attempt for the silence of its instance, and the
// standbys that it makes.
func (x *exchange) newSilenceWatchdog(ctx context.Context, cancel context.CancelFunc, choice placement.Choice, next *ticket) (*watchdog, *standbys) {
	further := x.newStandbys(ctx, next)
	watchdog := newWatchdog(cancel, x.firstResponseTimeout(), x.silenceDecision(choice, further), x.frontend.scheduler.cancelReservation)
	watchdog.interrupt = further.interrupt
	return watchdog, further
}

// endWatch ends the watch for silence of an attempt that has ended with result, and takes over
// what it has reserved. If another attempt has to follow, a standby in progress becomes that one.
func (x *exchange) endWatch(watchdog *watchdog, further *standbys, result outcome) {
	watchdog.awaitDecision(result == broken || result == versionBound)
	x.takeReservation(watchdog)
	x.decision.CountAttempts(int(further.ended.Load()))
}

package relay

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"plantainrelay/internal/catalog"
	"plantainrelay/internal/clock"
	"plantainrelay/internal/placement"
	"plantainrelay/platform"
)

// errLateEvent means that an event arrived after its attempt had been given up.
var errLateEvent = errors.New("an event arrived after the attempt had been given up")

// forwardResponse forwards a response that is not a stream. Up to maxBufferedBytes are
// read before any byte is forwarded, so that a shorter response that breaks off can
// still be replaced by that of another instance.
func (x *exchange) forwardResponse(response *http.Response, watchdog *watchdog, record *attemptRecord) outcome {
	if response.ContentLength > maxResponseBytes {
		return x.rejectOversized(record)
	}
	response.Body = &contentReader{ReadCloser: response.Body, began: x.responseBegan}
	start, complete, unreserve, err := x.readStart(response)
	defer unreserve()
	record.bytes = len(start)
	if err != nil {
		x.noteBreak(err)
		return x.classifyFailure(watchdog, true, err, record)
	}
	if response.StatusCode >= http.StatusInternalServerError && x.route.Kind == catalog.Idempotent && x.reserveRepeatNow() {
		return failed
	}
	if x.responseStarted {
		return broken
	}
	length := response.ContentLength
	if complete {
		length = int64(len(start))
	}
	platform.CopyResponseHeader(response.Header, x.w.Header())
	if length >= 0 {
		x.w.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	}
	x.responseStarted, x.status = true, response.StatusCode
	x.releaseBody()
	x.w.WriteHeader(response.StatusCode)
	if _, err := x.w.Write(start); err != nil {
		return callerDisconnected
	}
	if complete {
		return answered
	}
	// The response has started in time. From here on only the deadline limits it.
	watchdog.stop()
	return x.forwardRemainder(response.Body, watchdog, record)
}

// contentReader reports when the content of a response begins.
type contentReader struct {
	io.ReadCloser
	began func()
}

func (c *contentReader) Read(buffer []byte) (int, error) {
	count, err := c.ReadCloser.Read(buffer)
	if count > 0 {
		c.began()
	}
	return count, err
}

// forwardRemainder forwards the rest of a large response while it is read.
func (x *exchange) forwardRemainder(body io.Reader, watchdog *watchdog, record *attemptRecord) outcome {
	buffer := make([]byte, forwardBufferBytes)
	for {
		count, err := body.Read(buffer)
		record.bytes += count
		if record.bytes > maxResponseBytes {
			return x.rejectOversized(record)
		}
		if _, writeErr := x.w.Write(buffer[:count]); writeErr != nil {
			return callerDisconnected
		}
		if errors.Is(err, io.EOF) {
			return answered
		}
		if err != nil {
			return x.classifyFailure(watchdog, true, err, record)
		}
	}
}

// rejectOversized logs that a response exceeds the size limit.
func (x *exchange) rejectOversized(record *attemptRecord) outcome {
	x.frontend.log.WithFields(logrus.Fields{
		"request": x.call.AttemptID, "instance": record.Instance, "bytes": record.bytes, "limit": maxResponseBytes,
	}).Warning("a backend server's response exceeds the size limit; closing its connection")
	return broken
}

// forwardStream forwards the events of a response as they arrive.
func (x *exchange) forwardStream(response *http.Response, choice placement.Choice, watchdog *watchdog, record *attemptRecord) outcome {
	reader := newEventReader(response.Body)
	reader.reserve = x.body.reserve
	defer func() { x.body.unreserve(reader.reserved) }()
	pauseTimeout := max(time.Duration(pauseFactor*float64(x.route.MaxPause)), minSilenceTimeout)
	flusher := http.NewResponseController(x.w)
	// Uses time.Now because it runs for each event: reading the boot clock is a system
	// call.
	last := time.Now()
	for {
		next, err := reader.next()
		if errors.Is(err, io.EOF) && !x.endedWithoutEvents(response, record) {
			x.noteComplete(choice, record.Events)
			return x.finishStream(response)
		}
		if errors.Is(err, errEventTooLarge) || errors.Is(err, errNoEventMemory) {
			x.frontend.log.WithError(err).WithFields(logrus.Fields{"request": x.call.AttemptID, "instance": record.Instance, "reserved": reader.reserved}).Warning("a stream is ended within an event")
			return broken
		}
		if err != nil {
			x.noteBreak(err)
			return x.classifyFailure(watchdog, true, err, record)
		}
		if last, hasEvent := x.position.lastEvent(); next.hasID && hasEvent && next.id <= last {
			return broken
		}
		if record.bytes += len(next.raw); record.bytes > maxResponseBytes {
			return x.rejectOversized(record)
		}
		if !next.isBlank && !watchdog.extend(pauseTimeout) {
			return x.classifyFailure(watchdog, true, errLateEvent, record)
		}
		now := time.Now()
		if record.Events > 0 {
			record.PauseMs = max(record.PauseMs, now.Sub(last).Milliseconds())
		}
		last = now
		x.startStream(response)
		if _, err := x.w.Write(next.raw); err != nil {
			return callerDisconnected
		}
		if next.hasID {
			x.position.set(next.id)
		}
		x.lastEventAt = now
		if !next.isBlank {
			x.responseBegan()
		}
		record.Events++
		x.noteProgress(choice, record.Events)
		if !reader.buffered() {
			if err := flusher.Flush(); err != nil {
				return callerDisconnected
			}
		}
	}
}

// endedWithoutEvents reports whether a stream that has no length and is not chunked ended
// with its connection before the first event. One that resumes after an event may have none
// left.
func (x *exchange) endedWithoutEvents(response *http.Response, record *attemptRecord) bool {
	_, hasEvent := x.position.lastEvent()
	isUnframed := response.ContentLength < 0 && len(response.TransferEncoding) == 0
	return isUnframed && record.Events == 0 && !hasEvent && x.call.LastEventID == ""
}

func (x *exchange) startStream(response *http.Response) {
	if x.responseStarted {
		return
	}
	x.responseStarted, x.isStream, x.status = true, true, response.StatusCode
	x.releaseBody()
	platform.CopyResponseHeader(response.Header, x.w.Header())
	x.w.WriteHeader(response.StatusCode)
	x.frontend.metrics.firstEvent.Observe(clock.Now().Sub(x.arrived).Seconds())
}

// finishStream completes the response after the last event.
func (x *exchange) finishStream(response *http.Response) outcome {
	x.startStream(response)
	return answered
}

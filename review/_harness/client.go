package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"plantainrelay/platform/standin"
)

const (
	callerHost = "service.example"
	callerKey  = "key-1"
)

// record is the protocol of a run: what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	out   io.Writer
	start time.Time
}

func (r *record) add(kind, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f %-8s %s\n", time.Since(r.start).Seconds(), kind, fmt.Sprintf(format, args...))
}

// call is one request of a caller. Each has its own connection.
type call struct {
	attempt, method, target, body, key string
	// parts are those of the prompt, the request's own one last.
	parts  []string
	events int
	limit  time.Duration
}

// answer is what the caller has seen.
type answer struct {
	sentAt, firstAt, endedAt time.Time
	status                   int
	header                   http.Header
	body                     string
	// complete says that the answer has reached its end.
	complete bool
	err      error
}

var attempts atomic.Int64

func nextAttempt() string { return fmt.Sprintf("%016x", attempts.Add(1)) }

// send sends the request to address and reads the answer.
func (c call) send(record *record, entry *process) (got answer) {
	defer func() {
		got.endedAt = time.Now()
		outcome := "complete"
		if !got.complete {
			outcome = fmt.Sprintf("not complete: %v", got.err)
		}
		record.add("answer", "%s status %d, %d bytes, %s", c.attempt, got.status, len(got.body), outcome)
	}()
	record.add("send", "%s to %s: %s %s %s", c.attempt, entry.name, c.method, c.target, strings.Join(c.parts, ","))
	conn, err := net.DialTimeout("tcp", entry.front(), time.Second)
	if err != nil {
		got.sentAt, got.err = time.Now(), err
		return got
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(c.limit + time.Second))
	header := http.Header{}
	standin.CallerRequest{AttemptID: c.attempt, APIKey: c.key, Events: c.events, TimeLeft: c.limit, Parts: c.parts}.SetHeaders(header)
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n", c.method, c.target, callerHost, len(c.body))
	if err := header.Write(&text); err != nil {
		got.err = err
		return got
	}
	got.sentAt = time.Now()
	if _, got.err = io.WriteString(conn, text.String()+"\r\n"+c.body); got.err != nil {
		return got
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: c.method})
	if err != nil {
		got.err = err
		return got
	}
	got.status, got.header = response.StatusCode, response.Header
	var read strings.Builder
	buffer := make([]byte, 4<<10)
	for {
		count, err := response.Body.Read(buffer)
		if count > 0 && got.firstAt.IsZero() {
			got.firstAt = time.Now()
		}
		read.Write(buffer[:count])
		if err != nil {
			got.body, got.complete = read.String(), errors.Is(err, io.EOF)
			if !got.complete {
				got.err = err
			}
			return got
		}
	}
}

// served reports whether the answer is a complete success of a backend server.
func (a answer) served(attempt string) bool {
	return a.complete && a.status == http.StatusOK && standin.HasValidSeal(a.header, attempt)
}

// retryAfter returns the time after which the caller may come back.
func (a answer) retryAfter() time.Duration {
	// A missing value is no time.
	seconds, _ := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
	return time.Duration(seconds * float64(time.Second))
}

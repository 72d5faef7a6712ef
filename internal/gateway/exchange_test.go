package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"plantainrelay/internal/dispatch"
	"plantainrelay/internal/member"
	"plantainrelay/internal/membership"
	"plantainrelay/internal/message"
	"plantainrelay/internal/peer"
	"plantainrelay/internal/table"
	"plantainrelay/internal/usage"
)

const testCustomer = "small"

// newFakeAgentHandler returns a handler with one agent that handles attempts
// with answer. The agent's control address does not respond.
func newFakeAgentHandler(t *testing.T, answer http.HandlerFunc) *Handler {
	server := httptest.NewServer(answer)
	t.Cleanup(server.Close)
	log := logrus.New()
	log.SetOutput(io.Discard)
	client := peer.NewClient(peer.Security{Key: []byte("key")})
	members := membership.New(membership.Config{Interval: time.Second}, nil, log.WithField("test", t.Name()))
	states := NewAgentStates(members, client, "entry-1", time.Second)
	states.recordReply("agent-1")
	states.agents["agent-1"] = agentState{
		StateReply: message.StateReply{Instance: "agent-1", Incarnation: "one", Pool: "pool", Open: true, MaxRunning: 10},
		instance: member.Instance{
			Name: "agent-1", Role: member.RoleAgent, State: member.StateLive,
			HTTPAddress: strings.TrimPrefix(server.URL, "http://"), ControlAddress: "127.0.0.1:1",
		},
		readAt: time.Now(),
	}
	return &Handler{
		config:      Config{Self: "entry-1", Usage: noUsage{}, MaxBodyBytes: 1 << 20, MaxAttempts: 2, StatusQueryInterval: time.Millisecond, MaxSilence: 50 * time.Millisecond, MaxWait: 50 * time.Millisecond, RetryAfter: time.Second},
		agentStates: states,
		admission:   NewAdmission(states, 50*time.Millisecond, 0),
		client:      client,
		http:        newAttemptClient(peer.Security{Key: []byte("key")}),
		log:         log.WithField("test", t.Name()),
	}
}

// noUsage discards usage.
type noUsage struct{}

func (noUsage) Record(usage.Event) {}

func runTestRequest(h *Handler, r *http.Request, repeatable bool) (recorded *httptest.ResponseRecorder, aborted bool) {
	recorded = httptest.NewRecorder()
	defer func() { aborted = recover() != nil }()
	route := table.Route{Name: "r", Pool: "pool", Repeatable: repeatable, Deadline: 2 * time.Second}
	h.runRequest(recorded, r, route, testCustomer, nil, nil)
	return recorded, false
}

// writeCompleteAnswer sends a complete response to an attempt, as an agent
// does.
func writeCompleteAnswer(w http.ResponseWriter, r *http.Request, body string) {
	w.Header().Set(message.HeaderAttempt, r.Header.Get(message.HeaderAttempt))
	if message.Bodiless(r.Method, http.StatusOK) {
		w.Header().Set(message.HeaderComplete, message.HeaderCompleteValue)
		return
	}
	w.Header().Set("Trailer", message.HeaderComplete)
	fmt.Fprint(w, body)
	w.Header().Set(message.HeaderComplete, message.HeaderCompleteValue)
}

// TestAnswerOfAnotherAttemptIsNotDelivered checks that a response with the ID
// of another attempt is not delivered to the caller.
func TestAnswerOfAnotherAttemptIsNotDelivered(t *testing.T) {
	c := qt.New(t)
	h := newFakeAgentHandler(t, func(w http.ResponseWriter, r *http.Request) {
		r.Header.Set(message.HeaderAttempt, "another")
		writeCompleteAnswer(w, r, "secret of another")
	})
	for _, repeatable := range []bool{true, false} {
		got, _ := runTestRequest(h, httptest.NewRequest("POST", "/book", nil), repeatable)
		c.Check(got.Header().Get(message.HeaderOutcome), qt.Equals, string(dispatch.Unknown))
		c.Check(strings.Contains(got.Body.String(), "secret"), qt.IsFalse)
	}
}

// TestTruncatedAnswerIsNeverComplete checks that a response without the
// completion trailer is not reported as done: an agent that stops early ends
// its response in the same way.
func TestTruncatedAnswerIsNeverComplete(t *testing.T) {
	c := qt.New(t)
	for _, contentType := range []string{"application/json", "text/event-stream", "application/x-ndjson; charset=utf-8"} {
		h := newFakeAgentHandler(t, func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(message.HeaderAttempt, r.Header.Get(message.HeaderAttempt))
			w.Header().Set("Content-Type", contentType)
			w.Header().Set("Trailer", message.HeaderComplete)
			fmt.Fprint(w, "the first half")
		})
		got, aborted := runTestRequest(h, httptest.NewRequest("POST", "/book", nil), false)
		c.Check(aborted || got.Header().Get(message.HeaderOutcome) != string(dispatch.Done), qt.IsTrue, qt.Commentf("%s", contentType))
	}
}

// TestBodilessAnswersAreComplete covers a HEAD request, whose response has no
// trailer to mark it as complete.
func TestBodilessAnswersAreComplete(t *testing.T) {
	c := qt.New(t)
	var attempts atomic.Int64
	h := newFakeAgentHandler(t, func(w http.ResponseWriter, r *http.Request) {
		attempts.Add(1)
		writeCompleteAnswer(w, r, "")
	})
	got, _ := runTestRequest(h, httptest.NewRequest("HEAD", "/book", nil), false)
	c.Assert(got.Header().Get(message.HeaderOutcome), qt.Equals, string(dispatch.Done))
	c.Assert(attempts.Load(), qt.Equals, int64(1))
}

// TestNoMethodIsResentByTheHTTPClient checks that Go's HTTP client does not
// resend a request when a reused connection breaks after the request was
// received, which would run it twice.
func TestNoMethodIsResentByTheHTTPClient(t *testing.T) {
	c := qt.New(t)
	for _, method := range []string{"GET", "HEAD", "POST"} {
		var received atomic.Int64
		h := newFakeAgentHandler(t, func(w http.ResponseWriter, r *http.Request) {
			if received.Add(1) > 1 {
				panic(http.ErrAbortHandler)
			}
			writeCompleteAnswer(w, r, "first")
		})
		first, _ := runTestRequest(h, httptest.NewRequest(method, "/book", nil), false)
		c.Assert(first.Header().Get(message.HeaderOutcome), qt.Equals, string(dispatch.Done))
		r := httptest.NewRequest(method, "/book", nil)
		r.Header.Set("Idempotency-Key", "key")
		second, _ := runTestRequest(h, r, false)
		c.Check(second.Header().Get(message.HeaderOutcome), qt.Equals, string(dispatch.Unknown))
		c.Check(received.Load(), qt.Equals, int64(2), qt.Commentf("%s", method))
	}
}

// TestCallerCannotSetReservedHeaders checks that reserved headers from a caller
// do not reach the agent, and that the attempt ID does not reach the caller.
func TestCallerCannotSetReservedHeaders(t *testing.T) {
	c := qt.New(t)
	seenHeader := make(chan http.Header, 2)
	h := newFakeAgentHandler(t, func(w http.ResponseWriter, r *http.Request) {
		seenHeader <- r.Header.Clone()
		writeCompleteAnswer(w, r, "answer")
	})
	r := httptest.NewRequest("POST", "/book", nil)
	for _, name := range []string{message.HeaderAttempt, message.HeaderIncarnation, message.HeaderRepeatable, message.HeaderDeadline, message.HeaderKeyIssued, message.HeaderRefusal, message.HeaderCustomer} {
		r.Header.Set(name, "spoofed")
	}
	got, _ := runTestRequest(h, r, false)
	c.Assert(got.Header().Get(message.HeaderOutcome), qt.Equals, string(dispatch.Done))
	seen := <-seenHeader
	for name, values := range seen {
		c.Check(values[0], qt.Not(qt.Equals), "spoofed", qt.Commentf("%s", name))
	}
	c.Check(seen.Get(message.HeaderRepeatable), qt.Equals, "")
	c.Check(got.Header().Get(message.HeaderAttempt), qt.Equals, "")
}

// TestAgentIsNotSuspectedWhenTheCallerLeaves checks that an attempt that ends because its
// caller has disconnected does not keep its agent from others.
func TestAgentIsNotSuspectedWhenTheCallerLeaves(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	h := newFakeAgentHandler(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		cancel()
		<-r.Context().Done()
	})
	runTestRequest(h, httptest.NewRequest(http.MethodPost, "/a", strings.NewReader("body")).WithContext(ctx), true)
	h.agentStates.mu.Lock()
	defer h.agentStates.mu.Unlock()
	c.Assert(h.agentStates.suspect["agent-1"], qt.IsFalse)
}

package servicelevel

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/burn"
	"plantainrelay/internal/message"
)

var targets = burn.Targets{
	burn.Availability:  {BadPerMillion: 1000},
	burn.FirstToken:    {BadPerMillion: 50_000, Bound: time.Hour},
	burn.BetweenTokens: {BadPerMillion: 50_000, Bound: time.Hour},
}

// counts serves one request and returns the counts by objective.
func counts(c *qt.C, handler http.HandlerFunc) map[burn.Objective]burn.Count {
	recorder := NewRecorder(targets)
	server := httptest.NewServer(recorder.CountResponses(handler))
	defer server.Close()
	request, err := http.NewRequest(http.MethodPost, server.URL, nil)
	c.Assert(err, qt.IsNil)
	if response, err := http.DefaultClient.Do(request); err == nil {
		// Read the whole body, because a request whose caller disconnects early
		// is not counted.
		_, _ = io.Copy(io.Discard, response.Body)
		response.Body.Close()
	}
	server.Close()
	report, err := recorder.Report()
	c.Assert(err, qt.IsNil)
	found := map[burn.Objective]burn.Count{}
	for _, line := range report.Lines {
		c.Check(line.Customer, qt.Equals, "small")
		c.Check(line.Route, qt.Equals, "lookup")
		found[line.Objective] = line.Windows[0]
	}
	return found
}

func TestResponsesAreCounted(t *testing.T) {
	for _, test := range []struct {
		name    string
		handler http.HandlerFunc
		want    map[burn.Objective]burn.Count
	}{
		{"done", func(w http.ResponseWriter, r *http.Request) {
			SetRoute(r.Context(), "small", "lookup")
			w.Header().Set(message.HeaderOutcome, "done")
		}, map[burn.Objective]burn.Count{burn.Availability: {Total: 1}}},
		{"not run", func(w http.ResponseWriter, r *http.Request) {
			SetRoute(r.Context(), "small", "lookup")
			w.Header().Set(message.HeaderOutcome, "not_run")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, map[burn.Objective]burn.Count{burn.Availability: {Total: 1, Bad: 1}}},
		{"over the customer's limit", func(w http.ResponseWriter, r *http.Request) {
			SetRoute(r.Context(), "small", "lookup")
			w.WriteHeader(http.StatusTooManyRequests)
		}, map[burn.Objective]burn.Count{}},
		{"no route", func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusNotFound)
		}, map[burn.Objective]burn.Count{}},
		{"aborted stream", func(w http.ResponseWriter, r *http.Request) {
			SetRoute(r.Context(), "small", "lookup")
			w.Header().Set(message.HeaderOutcome, "done")
			w.Header().Set("Content-Type", "text/event-stream")
			for range 3 {
				_, _ = w.Write([]byte("data: x\n\n"))
				_ = http.NewResponseController(w).Flush()
			}
			panic(http.ErrAbortHandler)
		}, map[burn.Objective]burn.Count{burn.Availability: {Total: 1, Bad: 1}, burn.FirstToken: {Total: 1}, burn.BetweenTokens: {Total: 2}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			c.Assert(counts(c, test.handler), qt.DeepEquals, test.want)
		})
	}
}

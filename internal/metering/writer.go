package metering

import (
	"net/http"
	"strconv"
	"strings"

	"plantainrelay/internal/dispatch"
	"plantainrelay/internal/engine"
	"plantainrelay/internal/message"
	"plantainrelay/internal/usage"
)

// Recorder counts finished requests or attempts.
type Recorder interface {
	Record(event usage.Event)
}

// Writer passes a response through and counts its tokens.
type Writer struct {
	http.ResponseWriter
	recorder     Recorder
	key          usage.Key
	streamTokens *usage.TokenCounter
	wroteHeader  bool
}

// NewWriter returns a writer for the response to a request of customer to pool.
func NewWriter(w http.ResponseWriter, recorder Recorder, customer, pool string) *Writer {
	return &Writer{ResponseWriter: w, recorder: recorder, key: usage.Key{Customer: customer, Pool: pool}}
}

// WriteHeader implements http.ResponseWriter.
func (w *Writer) WriteHeader(status int) {
	w.wroteHeader = true
	if strings.HasPrefix(w.Header().Get("Content-Type"), "text/event-stream") {
		w.streamTokens = &usage.TokenCounter{}
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *Writer) Write(data []byte) (int, error) {
	if !w.wroteHeader {
		w.WriteHeader(http.StatusOK)
	}
	if w.streamTokens != nil {
		_, _ = w.streamTokens.Write(data)
	}
	return w.ResponseWriter.Write(data)
}

// Unwrap returns the underlying writer for http.ResponseController.
func (w *Writer) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}

// End records the request with its outcome. The tokens counted in a stream are
// used only if the engine reports no output tokens.
func (w *Writer) End(outcome dispatch.Outcome) {
	header := w.Header()
	w.key.Version = header.Get(message.HeaderVersion)
	event := usage.Event{Key: w.key, Outcome: outcome, TokensIn: headerCount(header, engine.HeaderTokensIn), TokensOut: headerCount(header, engine.HeaderTokensOut)}
	if w.streamTokens != nil && event.TokensOut == 0 {
		event.TokensOut = w.streamTokens.Count()
	}
	w.recorder.Record(event)
}

// EndAttempt records an attempt. Its outcome is dispatch.Done if the response
// was marked as complete, and dispatch.Unknown otherwise.
func (w *Writer) EndAttempt() {
	outcome := dispatch.Unknown
	if w.Header().Get(message.HeaderComplete) != "" {
		outcome = dispatch.Done
	}
	w.End(outcome)
}

func headerCount(header http.Header, name string) int64 {
	value, err := strconv.ParseInt(header.Get(name), 10, 64)
	if err != nil || value < 0 {
		return 0
	}
	return value
}

// Discard is a recorder that drops every event.
type Discard struct{}

// Record implements Recorder.
func (Discard) Record(usage.Event) {}

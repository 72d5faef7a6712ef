package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"plantainrelay/internal/engine"
	"plantainrelay/internal/weights"
)

// EngineFaults selects the faults that a model engine or plain service injects.
type EngineFaults struct {
	// IgnoreFences makes the engine also accept load orders with a fencing number
	// lower than the highest so far.
	IgnoreFences bool `json:"ignore_fences"`
	// FailLoads makes every load order fail.
	FailLoads bool `json:"fail_loads"`
	// LoadDelay is how long a load takes.
	LoadDelay time.Duration `json:"load_delay"`
	// TokenDelay is the time between tokens.
	TokenDelay time.Duration `json:"token_delay"`
	// Delay is the time between the recording of an execution and the start of its
	// response.
	Delay time.Duration `json:"delay"`
	// TruncateResponses closes the connection in the middle of each response.
	TruncateResponses bool `json:"cut_answers"`
	// DropResponses closes the connection after the execution, before any response.
	DropResponses bool `json:"lose_answers"`
}

// Execution is the record that an engine or service makes of a request when it
// starts to execute it.
type Execution struct {
	Attempt       string         `json:"attempt"`
	Key           string         `json:"key"`
	Customer      string         `json:"customer"`
	Path          string         `json:"path"`
	Body          string         `json:"body"`
	Version       string         `json:"version"`
	Manifest      weights.Digest `json:"manifest"`
	WeightsDigest weights.Digest `json:"whole"`
	Started       time.Time      `json:"started"`
	// Call is the value of HeaderCall, if the caller sent it.
	Call string `json:"call,omitempty"`
}

// HeaderCall is the header with which a caller numbers its calls, so that tests
// can match them with the executions.
const HeaderCall = "X-Test-Call"

// Engine is the stand-in for a model engine or a plain service.
type Engine struct {
	model       bool
	incarnation string

	mu         sync.Mutex
	status     engine.Status
	staged     map[weights.Digest]map[int][]byte
	faults     EngineFaults
	executions []Execution
	recordFile io.Writer
}

// RecordTo makes the engine also write each execution to file as a line of JSON
// when it starts, so that the records remain if the process is killed.
func (e *Engine) RecordTo(file io.Writer) {
	e.recordFile = file
}

const (
	defaultTokens        = 8
	maxTokens            = 100000
	maxRecordedBodyBytes = 4096
)

// NewEngine returns a model engine without weights.
func NewEngine() *Engine {
	return &Engine{model: true, incarnation: uuid.NewString(), staged: map[weights.Digest]map[int][]byte{}}
}

// NewService returns a plain service.
func NewService() *Engine {
	return &Engine{incarnation: uuid.NewString()}
}

// Register adds the engine's routes to mux.
func (e *Engine) Register(mux *http.ServeMux) {
	if e.model {
		mux.HandleFunc("GET /v1/staging/{manifest}", e.listStaged)
		mux.HandleFunc("PUT /v1/staging/{manifest}/{chunk}", e.putStaged)
		mux.HandleFunc("GET /v1/staging/{manifest}/{chunk}", e.readStaged)
		mux.HandleFunc("POST /v1/load", e.load)
	}
	mux.HandleFunc("GET /v1/status", e.getStatus)
	mux.HandleFunc("PUT /faults/engine", e.setFaults)
	mux.HandleFunc("GET /records/engine", e.getExecutions)
	mux.HandleFunc("/", e.execute)
}

func (e *Engine) getStatus(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	status := e.status
	status.Incarnation = e.incarnation
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, status)
}

func (e *Engine) listStaged(w http.ResponseWriter, r *http.Request) {
	chunks := []int{}
	e.mu.Lock()
	for chunk := range e.staged[weights.Digest(r.PathValue("manifest"))] {
		chunks = append(chunks, chunk)
	}
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, chunks)
}

func (e *Engine) putStaged(w http.ResponseWriter, r *http.Request) {
	chunk, err := strconv.Atoi(r.PathValue("chunk"))
	data, readErr := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil || readErr != nil {
		http.Error(w, "bad chunk", http.StatusBadRequest)
		return
	}
	manifest := weights.Digest(r.PathValue("manifest"))
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.staged[manifest] == nil {
		e.staged[manifest] = map[int][]byte{}
	}
	e.staged[manifest][chunk] = data
}

func (e *Engine) readStaged(w http.ResponseWriter, r *http.Request) {
	chunk, _ := strconv.Atoi(r.PathValue("chunk"))
	e.mu.Lock()
	data, found := e.staged[weights.Digest(r.PathValue("manifest"))][chunk]
	e.mu.Unlock()
	if !found {
		http.NotFound(w, r)
		return
	}
	_, _ = w.Write(data)
}

func (e *Engine) load(w http.ResponseWriter, r *http.Request) {
	var order engine.Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	faults := e.faults
	e.mu.Unlock()
	time.Sleep(faults.LoadDelay)
	if faults.FailLoads {
		http.Error(w, "the load failed", http.StatusInternalServerError)
		return
	}
	if message := e.applyOrder(order); message != "" {
		http.Error(w, message, http.StatusConflict)
	}
}

// applyOrder loads the staged chunks even if some are missing: preventing a
// partial load is the agent's task. It returns the reason if the order is
// rejected, else an empty string.
func (e *Engine) applyOrder(order engine.Order) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if order.Fence < e.status.Fence && !e.faults.IgnoreFences {
		return fmt.Sprintf("fencing number %d is lower than %d", order.Fence, e.status.Fence)
	}
	var data []byte
	for chunk := range order.Chunks {
		data = append(data, e.staged[order.Manifest][chunk]...)
	}
	e.status.Version = order.Version
	e.status.Manifest = order.Manifest
	e.status.Whole = weights.DigestOf(data)
	e.status.Fence = max(e.status.Fence, order.Fence)
	for manifest := range e.staged {
		if manifest != order.Manifest {
			delete(e.staged, manifest)
		}
	}
	return ""
}

// execute handles the requests that no other route matches. It records each as an
// execution and responds with a JSON object or, if the query contains "stream",
// with a stream of tokens. The query parameter "tokens" sets the number of tokens.
func (e *Engine) execute(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	execution, faults := e.record(r, body)
	defer e.finish()
	sleep(r, faults.Delay)
	if faults.DropResponses {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(engine.HeaderVersion, execution.Version)
	w.Header().Set(engine.HeaderManifest, string(execution.Manifest))
	w.Header().Set(engine.HeaderWhole, string(execution.WeightsDigest))
	w.Header().Set(engine.HeaderTokensIn, strconv.Itoa(len(strings.Fields(string(body)))))
	tokens, err := strconv.Atoi(r.URL.Query().Get("tokens"))
	if err != nil || tokens < 1 || tokens > maxTokens {
		tokens = defaultTokens
	}
	if r.URL.Query().Has("stream") {
		e.stream(w, r, execution, tokens, faults)
		return
	}
	sleep(r, faults.TokenDelay*time.Duration(tokens))
	e.respond(w, execution, tokens, faults)
}

func (e *Engine) record(r *http.Request, body []byte) (Execution, EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	execution := Execution{
		Attempt:       r.Header.Get("X-Plantain-Attempt"),
		Key:           r.Header.Get("X-Plantain-Key"),
		Customer:      r.Header.Get("X-Plantain-Customer"),
		Path:          r.URL.Path,
		Body:          string(body[:min(len(body), maxRecordedBodyBytes)]),
		Version:       e.status.Version,
		Manifest:      e.status.Manifest,
		WeightsDigest: e.status.Whole,
		Started:       time.Now(),
		Call:          r.Header.Get(HeaderCall),
	}
	if e.recordFile != nil {
		raw, _ := json.Marshal(execution)
		_, _ = e.recordFile.Write(append(raw, '\n'))
	}
	e.executions = append(e.executions, execution)
	e.status.Running++
	return execution, e.faults
}

func (e *Engine) finish() {
	e.mu.Lock()
	e.status.Running--
	e.mu.Unlock()
}

// Response is the body of a non-streamed response.
type Response struct {
	Echo          string         `json:"echo"`
	Version       string         `json:"version"`
	WeightsDigest weights.Digest `json:"whole"`
	Tokens        int            `json:"tokens"`
}

func (e *Engine) respond(w http.ResponseWriter, execution Execution, tokens int, faults EngineFaults) {
	raw, _ := json.Marshal(Response{Echo: execution.Body, Version: execution.Version, WeightsDigest: execution.WeightsDigest, Tokens: tokens})
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(engine.HeaderTokensOut, strconv.Itoa(tokens))
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	if faults.TruncateResponses {
		raw = raw[:len(raw)/2]
	}
	_, _ = w.Write(raw)
	if faults.TruncateResponses {
		panic(http.ErrAbortHandler)
	}
}

func (e *Engine) stream(w http.ResponseWriter, r *http.Request, execution Execution, tokens int, faults EngineFaults) {
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	for token := range tokens {
		if faults.TruncateResponses && token == tokens/2 {
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(w, "data: {\"token\":%d,\"echo\":%q,\"version\":%q,\"whole\":%q}\n\n", token, execution.Body, execution.Version, execution.WeightsDigest)
		_ = controller.Flush()
		sleep(r, faults.TokenDelay)
		if r.Context().Err() != nil {
			return
		}
	}
	fmt.Fprint(w, "event: done\ndata: {}\n\n")
}

func sleep(r *http.Request, wait time.Duration) {
	if wait <= 0 {
		return
	}
	select {
	case <-time.After(wait):
	case <-r.Context().Done():
	}
}

func (e *Engine) setFaults(w http.ResponseWriter, r *http.Request) {
	var faults EngineFaults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	e.faults = faults
	e.mu.Unlock()
}

func (e *Engine) getExecutions(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	executions := append([]Execution{}, e.executions...)
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, executions)
}

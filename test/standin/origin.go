package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"plantainrelay/internal/member"
	"plantainrelay/internal/weights"
)

// OriginFaults selects the faults that the origin of weights injects.
type OriginFaults struct {
	// Down closes the connection of every request.
	Down bool `json:"down"`
	// Corrupt flips one bit in every served chunk.
	Corrupt bool `json:"corrupt"`
	// MaxBytes, if above 0, makes the origin fail once it has served this many
	// bytes.
	MaxBytes int64 `json:"max_bytes"`
	// BytesPerSecond, if above 0, limits the bandwidth of the origin.
	BytesPerSecond int64 `json:"bytes_per_second"`
}

// Origin is the stand-in for the origin of weights.
type Origin struct {
	mu        sync.Mutex
	manifests map[string][]byte
	chunks    map[string][]byte
	served    int64
	requests  int64
	faults    OriginFaults
	limiter   *rate.Limiter
}

const (
	writeSize    = 32 << 10
	maxBodyBytes = weights.MaxChunkBytes
)

// NewOrigin returns an empty origin.
func NewOrigin() *Origin {
	return &Origin{
		manifests: map[string][]byte{},
		chunks:    map[string][]byte{},
		limiter:   rate.NewLimiter(rate.Inf, writeSize),
	}
}

// Register adds the origin's routes to mux.
func (o *Origin) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET /manifests/{digest}", o.manifest)
	mux.HandleFunc("GET /chunks/{digest}", o.chunk)
	mux.HandleFunc("PUT /manifests/{digest}", o.putHandler(o.manifests))
	mux.HandleFunc("PUT /chunks/{digest}", o.putHandler(o.chunks))
	mux.HandleFunc("PUT /faults/origin", o.setFaults)
	mux.HandleFunc("GET /records/origin", o.records)
}

func (o *Origin) putHandler(into map[string][]byte) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err != nil || string(weights.DigestOf(data)) != r.PathValue("digest") {
			http.Error(w, "the content does not have this digest", http.StatusBadRequest)
			return
		}
		o.mu.Lock()
		into[r.PathValue("digest")] = data
		o.mu.Unlock()
	}
}

func (o *Origin) manifest(w http.ResponseWriter, r *http.Request) {
	o.mu.Lock()
	data, found := o.manifests[r.PathValue("digest")]
	down := o.faults.Down
	o.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
	if !found {
		http.NotFound(w, r)
		return
	}
	_, _ = w.Write(data)
}

func (o *Origin) chunk(w http.ResponseWriter, r *http.Request) {
	o.mu.Lock()
	data, found := o.chunks[r.PathValue("digest")]
	faults := o.faults
	limiter := o.limiter
	o.requests++
	exhausted := faults.MaxBytes > 0 && o.served >= faults.MaxBytes
	o.mu.Unlock()
	if faults.Down || exhausted {
		panic(http.ErrAbortHandler)
	}
	if !found {
		http.NotFound(w, r)
		return
	}
	if faults.Corrupt {
		data = append([]byte(nil), data...)
		data[len(data)/2] ^= 1
	}
	o.send(w, r, data, limiter)
}

func (o *Origin) send(w http.ResponseWriter, r *http.Request, data []byte, limiter *rate.Limiter) {
	for len(data) > 0 {
		size := min(len(data), writeSize)
		if err := limiter.WaitN(r.Context(), size); err != nil {
			return
		}
		if _, err := w.Write(data[:size]); err != nil {
			return
		}
		o.mu.Lock()
		o.served += int64(size)
		o.mu.Unlock()
		data = data[size:]
	}
}

func (o *Origin) setFaults(w http.ResponseWriter, r *http.Request) {
	var faults OriginFaults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.faults = faults
	o.limiter = rate.NewLimiter(rate.Inf, writeSize)
	if faults.BytesPerSecond > 0 {
		o.limiter = rate.NewLimiter(rate.Limit(faults.BytesPerSecond), writeSize)
	}
}

// OriginRecords counts the requests for chunks that the origin got, including
// those that failed, and the bytes of chunks that it served.
type OriginRecords struct {
	Bytes    int64 `json:"bytes"`
	Requests int64 `json:"requests"`
}

func (o *Origin) records(w http.ResponseWriter, _ *http.Request) {
	o.mu.Lock()
	records := OriginRecords{Bytes: o.served, Requests: o.requests}
	o.mu.Unlock()
	writeJSON(w, http.StatusOK, records)
}

// List is the stand-in for the platform's list of instances.
type List struct {
	mu      sync.Mutex
	current member.List
	lag     time.Duration
}

// NewList returns an empty list.
func NewList() *List {
	return &List{}
}

// Register adds the list's routes to mux.
func (l *List) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET /instances", l.get)
	mux.HandleFunc("PUT /instances", l.put)
	mux.HandleFunc("PUT /faults/list", l.setLag)
}

func (l *List) get(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	current := l.current
	l.mu.Unlock()
	writeJSON(w, http.StatusOK, current)
}

// put replaces the list. Readers see the change after the configured lag.
func (l *List) put(w http.ResponseWriter, r *http.Request) {
	var list member.List
	if err := json.NewDecoder(r.Body).Decode(&list); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	l.mu.Lock()
	lag := l.lag
	l.mu.Unlock()
	apply := func() {
		l.mu.Lock()
		l.current = list
		l.mu.Unlock()
	}
	if lag == 0 {
		apply()
		return
	}
	time.AfterFunc(lag, apply)
}

// ListFaults selects the faults that the list injects.
type ListFaults struct {
	// Lag is the delay until a change becomes visible.
	Lag time.Duration `json:"lag"`
}

func (l *List) setLag(w http.ResponseWriter, r *http.Request) {
	var faults ListFaults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	l.mu.Lock()
	l.lag = faults.Lag
	l.mu.Unlock()
}

// Package standin provides small stand-ins for the services of the platform:
// object API, origin of weights, list of instances, model engines and plain
// services. They are for development and tests only. Faults can be injected into
// each over HTTP. All but the list of instances also return records of the
// requests that they got.
package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"plantainrelay/internal/platform"
)

// StoreFaults selects the faults that the object API injects.
type StoreFaults struct {
	// Down closes the connection of every call.
	Down bool `json:"down"`
	// DropResponses closes the connection after a write has taken effect.
	DropResponses bool `json:"lose_answers"`
	// StaleReads makes reads of an object return its state before the last write.
	StaleReads bool `json:"stale_reads"`
	// LoseEvents makes watches time out without reporting changes. RepeatEvents
	// makes each watch report all objects.
	LoseEvents   bool `json:"lose_events"`
	RepeatEvents bool `json:"repeat_events"`
	// Delay is added to every call before it is processed.
	Delay time.Duration `json:"delay"`
}

// Store is the stand-in for the object API.
type Store struct {
	mu      sync.Mutex
	changed chan struct{}
	version int64
	objects map[string]platform.Object
	// previous holds each object's state before its last write.
	previous map[string]platform.Object
	faults   StoreFaults
	writes   []platform.Object
	calls    int64
}

const maxValueBytes = 1 << 20

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{changed: make(chan struct{}), objects: map[string]platform.Object{}, previous: map[string]platform.Object{}}
}

// Register adds the store's routes to mux.
func (s *Store) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET /objects/{kind}/{name}", s.withFaults(s.get))
	mux.HandleFunc("PUT /objects/{kind}/{name}", s.withFaults(s.put))
	mux.HandleFunc("GET /objects/{kind}", s.withFaults(s.list))
	mux.HandleFunc("GET /watch/{kind}", s.withFaults(s.watch))
	mux.HandleFunc("PUT /faults/store", s.setFaults)
	mux.HandleFunc("PUT /restore/store", s.restore)
	mux.HandleFunc("GET /records/store", s.records)
}

func (s *Store) withFaults(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		faults := s.faults
		s.calls++
		s.mu.Unlock()
		time.Sleep(faults.Delay)
		if faults.Down {
			panic(http.ErrAbortHandler)
		}
		next(w, r)
	}
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	key := r.PathValue("kind") + "/" + r.PathValue("name")
	object, found := s.objects[key]
	if previous, replaced := s.previous[key]; replaced && s.faults.StaleReads {
		object = previous
	}
	s.mu.Unlock()
	if !found {
		http.NotFound(w, r)
		return
	}
	writeJSON(w, http.StatusOK, object)
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	objects := s.newerThan(r.PathValue("kind"), 0)
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, objects)
}

func (s *Store) newerThan(kind string, version int64) []platform.Object {
	objects := []platform.Object{}
	for _, object := range s.objects {
		if object.Kind == kind && object.Version > version {
			objects = append(objects, object)
		}
	}
	return objects
}

func (s *Store) put(w http.ResponseWriter, r *http.Request) {
	expected, err := strconv.ParseInt(r.URL.Query().Get("expected"), 10, 64)
	value, readErr := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValueBytes))
	if err != nil || readErr != nil || !json.Valid(value) {
		http.Error(w, "bad write", http.StatusBadRequest)
		return
	}
	object := platform.Object{Kind: r.PathValue("kind"), Name: r.PathValue("name"), Value: value}
	stored, dropResponse, ok := s.applyWrite(object, expected)
	if !ok {
		http.Error(w, "version conflict", http.StatusConflict)
		return
	}
	if dropResponse {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, stored)
}

func (s *Store) applyWrite(object platform.Object, expected int64) (platform.Object, bool, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := object.Kind + "/" + object.Name
	if s.objects[key].Version != expected {
		return platform.Object{}, false, false
	}
	s.version++
	object.Version = s.version
	if previous, found := s.objects[key]; found {
		s.previous[key] = previous
	}
	s.objects[key] = object
	s.writes = append(s.writes, object)
	close(s.changed)
	s.changed = make(chan struct{})
	return object, s.faults.DropResponses, true
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	waitMillis, _ := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	timeout := time.After(time.Duration(waitMillis) * time.Millisecond)
	for {
		s.mu.Lock()
		if s.faults.RepeatEvents {
			after = 0
		}
		objects := s.newerThan(r.PathValue("kind"), after)
		if s.faults.LoseEvents {
			objects = nil
		}
		changed := s.changed
		s.mu.Unlock()
		if len(objects) > 0 {
			writeJSON(w, http.StatusOK, objects)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			writeJSON(w, http.StatusOK, objects)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) setFaults(w http.ResponseWriter, r *http.Request) {
	var faults StoreFaults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.faults = faults
	s.mu.Unlock()
}

// restore resets the store to its state after the given number of writes, like a
// restore from a backup.
func (s *Store) restore(w http.ResponseWriter, r *http.Request) {
	count, err := strconv.Atoi(r.URL.Query().Get("writes"))
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil || count < 0 || count > len(s.writes) {
		http.Error(w, "bad number of writes", http.StatusBadRequest)
		return
	}
	s.objects, s.previous = map[string]platform.Object{}, map[string]platform.Object{}
	s.version = 0
	for _, object := range s.writes[:count] {
		s.objects[object.Kind+"/"+object.Name] = object
		s.version = object.Version
	}
}

// StoreRecords holds the number of calls and the writes that the store got.
type StoreRecords struct {
	Calls  int64             `json:"calls"`
	Writes []platform.Object `json:"writes"`
}

func (s *Store) records(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	records := StoreRecords{Calls: s.calls, Writes: append([]platform.Object{}, s.writes...)}
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, records)
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

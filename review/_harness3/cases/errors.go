package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"plantainrelay/platform/standin"
	"plantainrelay/review/_harness3/rig"
)

const (
	// errorEvery is the number of requests of which an engine answers one with its own error.
	errorEvery = 8
	// pauseAt is the event before which each stream pauses, for pauseTime: the engine has preempted
	// it and reads its prompt again.
	pauseAt, pauseTime = 4, 1500 * time.Millisecond
	// streamCount is the number of streams in progress at the signal.
	streamCount = 100
	// readTime is how long a caller reads a stream.
	readTime = 7 * time.Second
)

// erringEngine is an engine that answers some requests with an error of its application.
type erringEngine struct {
	backend  *standin.Backend
	rig      *rig.Rig
	id       string
	errs     bool
	requests atomic.Int64
}

// ServeHTTP implements http.Handler.
func (e *erringEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get("Attempt-Id")
	if attempt == "" {
		e.backend.ServeHTTP(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	e.rig.Record("run: %s gets %s, after event %q", e.id, attempt, r.Header.Get("Last-Event-Id"))
	if number := e.requests.Add(1); !e.errs || number%errorEvery != 0 {
		e.backend.ServeHTTP(w, r)
		return
	}
	e.rig.Record("run: %s answers %s with its own error", e.id, attempt)
	w.Header().Set("Attempt-Id", attempt)
	w.Header().Set("Response-Seal", standin.Seal(attempt))
	w.WriteHeader(http.StatusInternalServerError)
	_, _ = io.WriteString(w, "the application failed")
}

// errorBesideAPause stops an entry with streams in progress that pause once. With the disruption,
// the engines answer one in eight requests with an error.
func errorBesideAPause(r *rig.Rig) (bool, error) {
	tables := standin.Table{
		Version: 1,
		Routes: []standin.Route{
			{Name: "callout-note", Host: host, PathPrefix: "/triage/", Pool: engines, Kind: standin.Streaming, Timeout: 6 * time.Second, Objective: 400 * time.Millisecond},
		},
		Pools: []standin.Pool{{Name: engines, Slots: 16, Weights: &weights}},
	}
	if err := r.Store.Put(standin.KindTables, standin.TableName, tables.Encode()); err != nil {
		return false, err
	}
	for number := 101; number <= 112; number++ {
		if err := startErringEngine(r, number); err != nil {
			return false, err
		}
	}
	var entries []*rig.Process
	for number := 1; number <= 2; number++ {
		entry, err := r.StartEntry(rig.Entry{Number: number, Seeds: []int{1, 2}, MemoryMb: memoryMb})
		if err != nil {
			return false, err
		}
		entries = append(entries, entry)
	}
	for number := 1; number <= 2; number++ {
		if err := r.AwaitReady(number, 15*time.Second); err != nil {
			return false, err
		}
	}
	// Entries use their share of RetrySlack once RetryWindowS has passed.
	time.Sleep(12 * time.Second)
	var streams sync.WaitGroup
	var cut, failed atomic.Int64
	for number := 1; number <= streamCount; number++ {
		streams.Go(func() {
			status, err := readStream(r, fmt.Sprintf("s-%d", number))
			switch {
			case err != nil:
				cut.Add(1)
			case status != http.StatusOK:
				failed.Add(1)
			}
		})
		time.Sleep(5 * time.Millisecond)
	}
	r.Record("SIGTERM to entry 1")
	if err := entries[0].Signal(syscall.SIGTERM); err != nil {
		return false, err
	}
	streams.Wait()
	r.Record("of %d streams, %d ended without a complete answer, and %d with a failure of their engine", streamCount, cut.Load(), failed.Load())
	return cut.Load() > 0, nil
}

func startErringEngine(r *rig.Rig, number int) error {
	listener, err := net.Listen("tcp", r.IP(number)+":8081")
	if err != nil {
		return err
	}
	id := fmt.Sprintf("i-engine-%d", number)
	backend := standin.NewBackend(standin.BackendConfig{
		ID: id, Pool: engines, Zone: rig.Zone, Address: listener.Addr().String(), Slots: 16, Weights: &weights, OnStart: func(standin.Execution) {},
	}, 1, nil)
	backend.SetFaults(standin.BackendFaults{SilentAt: pauseAt, SilentFor: pauseTime})
	e := &erringEngine{backend: backend, rig: r, id: id, errs: r.Trouble}
	go func() { _ = (&http.Server{Handler: e, ReadHeaderTimeout: time.Minute}).Serve(listener) }()
	return r.Store.Put(standin.KindBackends, id, backend.Document())
}

// readStream requests a stream of entry 1 and reads it to its end. The error says that it is not
// complete.
func readStream(r *rig.Rig, id string) (status int, err error) {
	r.Record("sent: %s", id)
	ctx, cancel := context.WithTimeout(context.Background(), readTime)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.Front(1)+"/triage/"+id, bytes.NewReader([]byte("panel 7")))
	if err != nil {
		return 0, err
	}
	request.Host = host
	for name, value := range map[string]string{"Attempt-Id": id, "Model": weights.Model, "Token-Usage": "400,100", "Prompt-Prefix": "a1:40," + fmt.Sprintf("%x:360", id), "Deadline-Ms": "6000"} {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		r.Record("answered: %s: %v", id, err)
		return 0, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode == http.StatusOK && !bytes.Contains(body, []byte("id: 20\n")) {
		err = errors.New("the last event is missing")
	}
	r.Record("answered: %s: status %d, %d bytes, %v", id, response.StatusCode, len(body), err)
	return response.StatusCode, err
}

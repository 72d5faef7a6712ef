package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"plantainrelay/platform/standin"
	"plantainrelay/review/_harness3/rig"
)

const (
	// versionTime is version_ms.
	versionTime = 8 * time.Second
	// fleetSize is the number of engines, which all stand still.
	fleetSize = 4
	// sendFrom is how long after the release the requests are sent, and freezeAt when the engines
	// stop, for freezeTime.
	sendFrom, freezeAt, freezeTime = 4200 * time.Millisecond, 4350 * time.Millisecond, 4 * time.Second
	// requestCount is the number of requests, sent within sendTime.
	requestCount = 16
	sendTime     = 140 * time.Millisecond
	// firstToken is the time from the arrival of a request to its first token.
	firstToken = 250 * time.Millisecond
	// patience is how long a caller waits for the first event: eight times GapTargetMs.
	patience = 8 * 600 * time.Millisecond
)

// freezingEngine is an engine that can stand still. When it goes on, it drops the requests whose
// connection has been closed meanwhile.
type freezingEngine struct {
	backend *standin.Backend
	rig     *rig.Rig
	id      string

	mu          sync.Mutex
	from, until time.Time
}

func (e *freezingEngine) freeze(from, until time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.from, e.until = from, until
}

// awaitThaw waits until the engine runs.
func (e *freezingEngine) awaitThaw() {
	e.mu.Lock()
	from, until := e.from, e.until
	e.mu.Unlock()
	if now := time.Now(); now.After(from) && now.Before(until) {
		time.Sleep(time.Until(until))
	}
}

// ServeHTTP implements http.Handler.
func (e *freezingEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	attempt := r.Header.Get("Attempt-Id")
	if attempt != "" {
		e.rig.Record("arrival: %s reaches %s", attempt, e.id)
		e.awaitThaw()
		time.Sleep(firstToken)
		e.awaitThaw()
		if r.Context().Err() != nil {
			e.rig.Record("dropped: %s by %s, its connection was closed", attempt, e.id)
			return
		}
	}
	e.backend.ServeHTTP(w, r)
}

// freezeAroundTheBound names a version that the engines have not loaded yet. With the disruption, all
// of them stand still before the bound on their version ends, and go on after it.
func freezeAroundTheBound(r *rig.Rig) (bool, error) {
	tables := standin.Table{
		Version: 1,
		Routes: []standin.Route{
			{Name: "fault-triage", Host: host, PathPrefix: "/triage/", Pool: engines, Kind: standin.Streaming, Timeout: 6 * time.Second, Objective: 600 * time.Millisecond},
		},
		Pools: []standin.Pool{{Name: engines, Slots: 8, Weights: &weights}},
	}
	if err := r.Store.Put(standin.KindTables, standin.TableName, tables.Encode()); err != nil {
		return false, err
	}
	var mu sync.Mutex
	var namedAt time.Time
	late := 0
	onStart := func(x standin.Execution) {
		mu.Lock()
		defer mu.Unlock()
		if namedAt.IsZero() {
			return
		}
		after := x.StartedAt.Sub(namedAt)
		r.Record("run: %s begins %s on version %d, %.3f s after version 2 was acknowledged", x.BackendID, x.Attempt, x.Version, after.Seconds())
		if after > versionTime {
			late++
		}
	}
	var fleet []*freezingEngine
	for number := 101; number < 101+fleetSize; number++ {
		one, err := startFreezingEngine(r, number, onStart)
		if err != nil {
			return false, err
		}
		fleet = append(fleet, one)
	}
	for number := 1; number <= 2; number++ {
		if _, err := r.StartEntry(rig.Entry{Number: number, Seeds: []int{1, 2}, MemoryMb: memoryMb}); err != nil {
			return false, err
		}
	}
	for number := 1; number <= 2; number++ {
		if err := r.AwaitReady(number, 15*time.Second); err != nil {
			return false, err
		}
	}
	// The entries have to be in touch for StableMs.
	time.Sleep(5 * time.Second)
	if err := r.Store.Put(standin.KindReleases, weights.Model, standin.EncodeRelease(weights.Model, 2)); err != nil {
		return false, err
	}
	mu.Lock()
	namedAt = time.Now()
	mu.Unlock()
	r.Record("acknowledged: version 2")
	if r.Trouble {
		for _, one := range fleet {
			one.freeze(namedAt.Add(freezeAt), namedAt.Add(freezeAt+freezeTime))
			r.Record("%s stands still from %s to %s after that", one.id, freezeAt, freezeAt+freezeTime)
		}
	}
	time.Sleep(time.Until(namedAt.Add(sendFrom)))
	var callers sync.WaitGroup
	for number := 1; number <= requestCount; number++ {
		callers.Go(func() { triage(r, 1+number%2, fmt.Sprintf("t-%d", number)) })
		time.Sleep(sendTime / requestCount)
	}
	callers.Wait()
	mu.Lock()
	defer mu.Unlock()
	r.Record("%d runs began on version 1 later than %s after version 2 was acknowledged", late, versionTime)
	return late > 0, nil
}

func startFreezingEngine(r *rig.Rig, number int, onStart func(standin.Execution)) (*freezingEngine, error) {
	listener, err := net.Listen("tcp", r.IP(number)+":8081")
	if err != nil {
		return nil, err
	}
	id := fmt.Sprintf("i-engine-%d", number)
	backend := standin.NewBackend(standin.BackendConfig{
		ID: id, Pool: engines, Zone: rig.Zone, Address: listener.Addr().String(), Slots: 8, Weights: &weights, OnStart: onStart,
	}, 1, nil)
	e := &freezingEngine{backend: backend, rig: r, id: id}
	go func() { _ = (&http.Server{Handler: e, ReadHeaderTimeout: time.Minute}).Serve(listener) }()
	return e, r.Store.Put(standin.KindBackends, id, backend.Document())
}

// triage sends a request for a stream, and gives it up as callers do.
func triage(r *rig.Rig, entry int, id string) {
	r.Record("sent: %s", id)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.Front(entry)+"/triage/"+id, bytes.NewReader([]byte("panel 7")))
	if err != nil {
		return
	}
	request.Host = host
	for name, value := range map[string]string{"Attempt-Id": id, "Model": weights.Model, "Token-Usage": "400,40", "Prompt-Prefix": "a1:40," + fmt.Sprintf("%x:360", id), "Deadline-Ms": "6000"} {
		request.Header.Set(name, value)
	}
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
	if err != nil {
		r.Record("answered: %s: %v", id, err)
		return
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	r.Record("answered: %s: status %d, %d bytes, %v", id, response.StatusCode, len(body), err)
}

package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"path"
	"strconv"
	"sync"
	"time"

	"plantainrelay/platform/standin"
)

const (
	// originDownFor is how long the origin of the weights is away after a version is named.
	originDownFor = 3400 * time.Millisecond
	// pieceDelay makes the origin need about as long for a copy as its link of 9.9 Mbit/s.
	pieceDelay = 150 * time.Millisecond
	// silentFor is how long the engine gets no processor time from the arrival of its order on.
	silentFor = 1500 * time.Millisecond
	// rounds is how often that happens, each time with the next two versions and roundTime after
	// the time before.
	rounds    = 3
	roundTime = 16 * time.Second
	slowName  = "engine-a1"
)

func init() { cases["order"] = runOrder }

// runOrder lets an engine stand still for a short time when its order to load a version arrives,
// while the next version is named, and checks which weights it then serves with.
func runOrder(f *fleet, trouble bool) (bool, error) {
	var mu sync.Mutex
	mixed := 0
	config := standin.BackendConfig{Slots: 16, OnStart: func(e standin.Execution) {
		mu.Lock()
		defer mu.Unlock()
		if !e.CompleteWeights {
			if mixed++; mixed <= 5 {
				f.log("%s makes tokens for %s with weights that it calls version %d, loaded from pieces of several versions", e.BackendID, e.Attempt, e.Version)
			}
		}
	}}
	ordered := make(chan struct{}, 1)
	f.wrap = func(b *backend, next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			isOrder := r.URL.Path == "/v1/order"
			if b.name != slowName || !isOrder && path.Base(path.Dir(r.URL.Path)) != "stage-put" {
				next.ServeHTTP(w, r)
				return
			}
			raw, err := io.ReadAll(r.Body)
			if err != nil {
				return
			}
			r.Body = io.NopCloser(bytes.NewReader(raw))
			chunk, _ := strconv.Atoi(r.URL.Query().Get("ItemCount"))
			what := fmt.Sprintf("piece %d of version %d", chunk, versionOf(raw, chunk))
			if isOrder {
				what = "the order " + string(raw)
				f.log("%s reached %s", what, b.name)
				select {
				case ordered <- struct{}{}:
					if trouble {
						f.log("%s gets no processor time for %v from now on", b.name, silentFor)
						b.server.Pause(silentFor)
					}
				default:
				}
			}
			next.ServeHTTP(w, r)
			f.log("%s has executed %s", b.name, what)
		})
	}
	if err := f.startModels(3, 3, 8, 6*time.Second, config); err != nil {
		return false, err
	}
	f.origin.Delay.Store(int64(pieceDelay))
	var group sync.WaitGroup
	until := time.Now().Add(rounds * roundTime)
	group.Go(func() {
		for i := 0; time.Now().Before(until); i++ {
			id := fmt.Sprintf("attempt-%d", i)
			group.Go(func() {
				f.call(newClient(), f.processes[i%3], http.MethodPost, "/streams/one", id, standin.CallerRequest{AttemptID: id, Events: 20, TimeLeft: 6 * time.Second})
			})
			time.Sleep(50 * time.Millisecond)
		}
	})
	for round := range int64(rounds) {
		next := time.After(roundTime)
		if err := f.nameVersions(2+2*round, trouble, ordered); err != nil {
			return false, err
		}
		<-next
		// The order to load the second version may wait here.
		select {
		case <-ordered:
		default:
		}
	}
	group.Wait()
	f.printLogs(40, "release seen", "target changed", "order to load", "all chunks have been fetched", "next version", "fetching a version")
	mu.Lock()
	defer mu.Unlock()
	f.log("%d requests were begun with mixed weights", mixed)
	return mixed > 0, nil
}

// nameVersions names a version, while the origin of weights is away for a time, and the next one
// when the engine gets its order to load it.
func (f *fleet) nameVersions(version int64, trouble bool, ordered chan struct{}) error {
	if trouble {
		f.log("the origin of weights is away for %v", originDownFor)
		f.origin.Down.Store(true)
		time.AfterFunc(originDownFor, func() { f.origin.Down.Store(false) })
	}
	f.log("version %d is named", version)
	if err := f.store.Put(standin.KindReleases, model.Model, standin.EncodeRelease(model.Model, version)); err != nil {
		return err
	}
	for until := time.Now().Add(roundTime / 2); len(ordered) == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			return fmt.Errorf("%s got no order to load version %d", slowName, version)
		}
	}
	f.log("version %d is named", version+1)
	return f.store.Put(standin.KindReleases, model.Model, standin.EncodeRelease(model.Model, version+1))
}

// versionOf returns the version that the bytes of a piece belong to, 0 for none.
func versionOf(raw []byte, chunk int) int64 {
	for version := range int64(2 + 2*rounds) {
		if bytes.Equal(raw, model.Chunk(version, chunk)) {
			return version
		}
	}
	return 0
}

package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"plantainrelay/platform/standin"
)

const (
	// versionBound is version_ms of the settings.
	versionBound = 8 * time.Second
	// weightsAwayFor is how long the origin of the weights is away from the release on.
	weightsAwayFor = 6 * time.Second
	// silentFrom is when one engine falls silent, counted from the release, for silentTime.
	silentFrom, silentTime = 6 * time.Second, 1500 * time.Millisecond
	// usualRead is how long an engine reads a prompt, slowRead how long the one that is five times
	// slower needs for a prompt of 3,300 tokens at 20.7 a millisecond.
	usualRead, slowRead = 60 * time.Millisecond, 800 * time.Millisecond
	readStep            = 5 * time.Millisecond
	silencePlay         = 11 * time.Second
)

func init() { cases["silence"] = runSilence }

// runSilence lets a slow engine fall silent for a moment around the end of the time in which older
// weights may be used, and counts the requests that it begins too late on these. Engines send the
// header of an answer with its first token, and go on with a request whose channel is closed. With
// HEAD=first they send it at once, and drop a request whose channel is closed once they are awake.
func runSilence(f *fleet, trouble bool) (bool, error) {
	isHeadFirst := os.Getenv("HEAD") == "first"
	var mu sync.Mutex
	var acked time.Time
	begun, late := 0, 0
	f.wrap = func(b *backend, next http.Handler) http.Handler {
		id, server := b.id(), b.server
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if !strings.HasPrefix(r.URL.Path, "/streams/") {
				next.ServeHTTP(w, r)
				return
			}
			wanted, loaded := r.Header.Get("Expect-Version"), server.LoadedVersion()
			if r.Header.Get(standin.HeaderExpectID) != id || loaded == 0 || wanted != "" && wanted != strconv.FormatInt(loaded, 10) {
				w.Header().Set("Instance-Id", id)
				w.WriteHeader(http.StatusMisdirectedRequest)
				return
			}
			attempt := r.Header.Get(standin.HeaderAttempt)
			w.Header().Set(standin.HeaderAttempt, attempt)
			w.Header().Set(standin.HeaderSeal, "seal-"+attempt)
			w.Header().Set("Content-Type", "text/event-stream")
			flusher := http.NewResponseController(w)
			if isHeadFirst {
				_ = flusher.Flush()
			}
			arrived, isSlow, read := time.Now(), trouble && b.name == slowName, usualRead
			if isSlow {
				read = slowRead
			}
			for done := time.Duration(0); done < read; {
				time.Sleep(readStep)
				mu.Lock()
				since := time.Since(acked)
				isSilent := isSlow && !acked.IsZero() && since >= silentFrom && since < silentFrom+silentTime
				mu.Unlock()
				if !isSilent {
					done += readStep
				}
				if isHeadFirst && !isSilent && r.Context().Err() != nil {
					return
				}
			}
			version := server.LoadedVersion()
			mu.Lock()
			since := time.Since(acked)
			begun++
			if !acked.IsZero() && version < 2 && since > versionBound {
				if late++; late <= 8 {
					f.log("%s begins %s on version %d, %.2f s after version 2 was acked; it got it at %.2f s", id, attempt, version, since.Seconds(), arrived.Sub(acked).Seconds())
				}
			}
			mu.Unlock()
			for event := 1; event <= 10; event++ {
				if _, err := fmt.Fprint(w, standin.StreamEvent("answer", event)); err != nil || flusher.Flush() != nil {
					return
				}
				time.Sleep(12 * time.Millisecond)
			}
		})
	}
	if err := f.startModels(3, 2, 8, 6*time.Second, standin.BackendConfig{Slots: 16}); err != nil {
		return false, err
	}
	f.origin.Delay.Store(int64(pieceDelay))
	if trouble {
		f.origin.Down.Store(true)
		time.AfterFunc(weightsAwayFor, func() { f.origin.Down.Store(false) })
		f.log("the origin of weights is away for %v", weightsAwayFor)
	}
	if err := f.store.Put(standin.KindReleases, model.Model, standin.EncodeRelease(model.Model, 2)); err != nil {
		return false, err
	}
	mu.Lock()
	acked = time.Now()
	mu.Unlock()
	f.log("the store has named version 2")
	if trouble {
		time.AfterFunc(silentFrom, func() {
			f.log("%s falls silent for %v", slowName, silentTime)
			f.backends[0].server.Pause(silentTime)
		})
	}
	var group sync.WaitGroup
	counts := map[int]int{}
	for i := 0; time.Since(acked) < silencePlay; i++ {
		id := fmt.Sprintf("attempt-%d", i)
		group.Go(func() {
			a := f.call(newClient(), f.processes[i%2], http.MethodPost, "/streams/one", id, standin.CallerRequest{AttemptID: id, Events: 10, TimeLeft: 6 * time.Second})
			mu.Lock()
			defer mu.Unlock()
			counts[a.status]++
		})
		time.Sleep(50 * time.Millisecond)
	}
	group.Wait()
	f.printLogs(10, "oldest allowed version", "version_bound")
	mu.Lock()
	defer mu.Unlock()
	f.log("%d requests were begun; answers by status: %v", begun, counts)
	f.log("%d requests were begun on version 1 later than %v after the ack of version 2", late, versionBound)
	return late > 0, nil
}

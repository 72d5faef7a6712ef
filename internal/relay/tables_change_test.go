package relay

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plantainrelay/platform"
	"plantainrelay/platform/standin"
)

const (
	plainPool = "plain"
	otherPool = "other"
	// changedEvents is the number of events of the streams beside a change of the tables.
	changedEvents = 30
)

// changeFixture is a frontend before two engines, two instances of a plain service and one of
// another service, with a route of each kind. Each instance has few slots.
type changeFixture struct {
	*engineFixture
	listed []int
}

func newChangeFixture(t *testing.T, state requestState) *changeFixture {
	t.Helper()
	f := &changeFixture{engineFixture: newEngineFixture(t, 2, func(config *standin.BackendConfig) { config.Slots = state.slots })}
	for _, pool := range []string{plainPool, plainPool, otherPool} {
		f.addService(t, pool, state.slots)
	}
	f.table.Pools = append(f.table.Pools, standin.Pool{Name: plainPool}, standin.Pool{Name: otherPool})
	f.table.Routes = []standin.Route{
		{Name: "write", Host: testHost, PathPrefix: "/write/", Pool: modelPool, Kind: standin.Streaming},
		{Name: "look", Host: testHost, PathPrefix: "/look/", Pool: plainPool, Kind: standin.Idempotent},
		{Name: "once", Host: testHost, PathPrefix: "/once/", Pool: plainPool, Kind: standin.NonIdempotent},
	}
	for i := range f.table.Routes {
		f.table.Routes[i].Timeout, f.table.Routes[i].Objective = 8*time.Second, state.objective
	}
	f.listed = []int{0, 1, 2, 3, 4}
	f.renew()
	for i, backend := range f.engines {
		if !state.onlyFirst || i%2 == 0 {
			backend.SetFaults(state.faults)
		}
	}
	return f
}

func (f *changeFixture) addService(t *testing.T, pool string, slots int) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	backend := standin.NewBackend(standin.BackendConfig{
		ID: "i-" + strconv.Itoa(len(f.engines)), Pool: pool, Address: listener.Addr().String(), Slots: slots, OnStart: func(standin.Execution) {},
	}, 0, nil)
	go backend.Serve(listener)
	t.Cleanup(func() { backend.Stop() })
	f.engines = append(f.engines, backend)
}

// renew applies the tables and the list.
func (f *changeFixture) renew() {
	f.table.Version++
	f.renewTables()
	backends := map[string]any{}
	for _, i := range f.listed {
		backends["i-"+strconv.Itoa(i)] = f.engines[i].Document()
	}
	f.apply(platform.Backends, backends)
}

// renewEncoded applies the tables with changes that standin.Table has no fields for.
func (f *changeFixture) renewEncoded(change func(route map[string]any)) {
	f.table.Version++
	encoded := f.table.Encode().(map[string]any)
	for _, route := range encoded["Routes"].([]map[string]any) {
		change(route)
	}
	f.apply(platform.Tables, map[string]any{platform.TableName: encoded})
}

// tableChange is a change of the tables. mayRefuse says that requests that are queued then may
// be refused.
type tableChange struct {
	mayRefuse bool
	apply     func(f *changeFixture)
}

var tableChanges = map[string]tableChange{
	"routes removed": {false, func(f *changeFixture) {
		f.table.Routes = f.table.Routes[:0]
		f.renew()
	}},
	"routes moved": {false, func(f *changeFixture) {
		for i := range f.table.Routes {
			f.table.Routes[i].Pool = otherPool
		}
		f.renew()
	}},
	"pools removed": {true, func(f *changeFixture) {
		f.table.Routes, f.table.Pools = f.table.Routes[:0], f.table.Pools[2:]
		f.renew()
	}},
	"pools removed and restored": {false, func(f *changeFixture) {
		pools := f.table.Pools
		f.table.Pools = nil
		f.renew()
		f.table.Pools = pools
		f.renew()
	}},
	"instances removed": {false, func(f *changeFixture) {
		f.listed = []int{1, 3, 4}
		f.renew()
	}},
	"instances draining": {false, func(f *changeFixture) {
		f.engines[0].SetLeaving()
		f.engines[2].SetLeaving()
		f.renew()
	}},
	"all instances removed": {true, func(f *changeFixture) {
		f.listed = nil
		f.renew()
	}},
	"key removed": {false, func(f *changeFixture) {
		f.table.Keys = map[string][]string{"firm": {"another"}}
		f.renew()
	}},
	"time limits shorter": {false, func(f *changeFixture) {
		for i := range f.table.Routes {
			f.table.Routes[i].Timeout = 300 * time.Millisecond
		}
		f.renew()
	}},
	"objectives shorter": {false, func(f *changeFixture) {
		for i := range f.table.Routes {
			f.table.Routes[i].Objective = 50 * time.Millisecond
		}
		f.renew()
	}},
	"one attempt": {false, func(f *changeFixture) {
		f.renewEncoded(func(route map[string]any) { route["MaxAttempts"] = 1 })
	}},
	"kinds changed": {false, func(f *changeFixture) {
		f.renewEncoded(func(route map[string]any) { route["Kind"], route["Resumable"] = "non_idempotent", false })
	}},
	"engines described anew": {false, func(f *changeFixture) {
		weights := *f.table.Pools[0].Weights
		f.table.Pools[0].Slots, f.table.Pools[0].Weights = 1, &weights
		f.renew()
	}},
	"settings reloaded": {false, func(f *changeFixture) {
		f.frontend.scheduler.setRetryLimits(retryLimits{window: 5 * time.Second, ratio: 0.2, slack: 10})
		f.frontend.setBounds(platform.Bounds{ConfigApplyTime: time.Second, KeyRevokeTime: 2 * time.Second})
		f.renew()
	}},
	"hundreds of routes": {false, func(f *changeFixture) {
		const routes = 600
		for i := range routes {
			f.table.Routes = append(f.table.Routes, standin.Route{
				Name: fmt.Sprintf("added-%d", i), Host: testHost, PathPrefix: fmt.Sprintf("/write/added-%d/", i), Pool: otherPool, Kind: standin.Idempotent, Timeout: time.Second, Objective: time.Second,
			})
		}
		f.renew()
	}},
	"many in a row": {false, func(f *changeFixture) {
		const changes = 60
		routes := f.table.Routes
		for i := range changes {
			f.table.Routes = slices.Clone(routes[i%len(routes):])
			f.listed = []int{i % 2, 2 + i%2, 4}
			f.renew()
			time.Sleep(10 * time.Millisecond)
		}
		f.listed = []int{0, 1, 2, 3, 4}
		f.renew()
	}},
}

// send sends a request and returns what the caller got: the status, and "whole" if the body
// is complete.
func (f *changeFixture) send(route, attempt string) string {
	response, body, err := f.do(http.MethodPost, "/"+route+"/x", func(request *http.Request) {
		standin.CallerRequest{AttemptID: attempt, APIKey: "good", Events: changedEvents, TimeLeft: 7 * time.Second}.SetHeaders(request.Header)
	})
	if err != nil {
		return err.Error()
	}
	if route == "write" && strings.Count(body, "id: ") == changedEvents || body == standin.ResponseBody(attempt) {
		return fmt.Sprintf("%d whole", response.StatusCode)
	}
	return fmt.Sprintf("%d %s", response.StatusCode, body)
}

// sendBeside sends requests of each of the routes, makes the change, and returns how often the
// callers got what.
func (f *changeFixture) sendBeside(c *qt.C, change func(), requests int, routes ...string) map[string]int {
	var mu sync.Mutex
	var callers sync.WaitGroup
	results := map[string]int{}
	for _, route := range routes {
		for i := range requests {
			callers.Go(func() {
				result := f.send(route, fmt.Sprintf("%s-%d", route, i))
				mu.Lock()
				defer mu.Unlock()
				results[result]++
			})
		}
	}
	waitUntil(c, func() bool { return f.admitted() >= requests*len(routes) })
	change()
	callers.Wait()
	return results
}

// admitted returns how many requests have asked for a slot.
func (f *changeFixture) admitted() int {
	f.frontend.scheduler.mu.Lock()
	defer f.frontend.scheduler.mu.Unlock()
	return int(f.frontend.scheduler.nextID)
}

// requestState is the state of the requests of each route when the tables change.
type requestState struct {
	faults standin.BackendFaults
	// onlyFirst says that only the first instance of each pool has the faults.
	onlyFirst bool
	objective time.Duration
	slots     int
	requests  int
}

var (
	// queuedState has more requests than slots, and time for them in the queue.
	queuedState = requestState{faults: standin.BackendFaults{SilentAt: 1, SilentFor: 500 * time.Millisecond}, objective: 4 * time.Second, slots: 4, requests: 11}
	// silentState has requests at an instance that is silent for longer than they wait if
	// another one can take them.
	silentState = requestState{faults: standin.BackendFaults{SilentAt: 4, SilentFor: silence}, onlyFirst: true, objective: 500 * time.Millisecond, slots: 16, requests: 5}
)

// checkBesideChange makes a change of the tables while requests are in the given state.
func checkBesideChange(t *testing.T, change tableChange, state requestState, after func(f *changeFixture), routes ...string) {
	t.Helper()
	t.Parallel()
	c := qt.New(t)
	f := newChangeFixture(t, state)
	results := f.sendBeside(c, func() {
		change.apply(f)
		after(f)
	}, state.requests, routes...)
	for result, count := range results {
		isRefused := strings.HasPrefix(result, "503 ") && change.mayRefuse
		c.Check(result == "200 whole" || isRefused, qt.IsTrue, qt.Commentf("%d times %s", count, result))
	}
}

// TestQueuedRequestsBesideAChangeOfTheTables guards against requests that end without a complete
// response or a refusal because the tables change while they are queued or in progress
// (incident 0007).
func TestQueuedRequestsBesideAChangeOfTheTables(t *testing.T) {
	for name, change := range tableChanges {
		t.Run(name, func(t *testing.T) {
			checkBesideChange(t, change, queuedState, func(*changeFixture) {}, "write", "look", "once")
		})
	}
}

// TestSilentInstancesBesideAChangeOfTheTables guards against requests that are given up at a
// silent instance because the tables have changed since they were sent (incident 0007).
func TestSilentInstancesBesideAChangeOfTheTables(t *testing.T) {
	for name, change := range tableChanges {
		t.Run(name, func(t *testing.T) {
			checkBesideChange(t, change, silentState, func(*changeFixture) {}, "write", "look", "once")
		})
	}
}

// TestSilentPoolAnswersAllRequests guards against requests that are given up at a silent
// instance because another one can take them, and end without a response because that one is
// avoided by then: requests there were given up at the same time (incident 0009).
func TestSilentPoolAnswersAllRequests(t *testing.T) {
	// The queue time is short: on a busy machine a request may be refused before it is sent.
	noChange := tableChange{mayRefuse: true, apply: func(*changeFixture) {}}
	state := silentState
	state.onlyFirst, state.objective, state.requests = false, 200*time.Millisecond, 8
	for round := range 4 {
		t.Run(fmt.Sprintf("round %d", round), func(t *testing.T) {
			checkBesideChange(t, noChange, state, func(*changeFixture) {}, "write", "look", "once")
		})
	}
}

// TestInterruptedRequestsBesideAChangeOfTheTables guards against streams that are not resumed
// and lookups that are not repeated because the tables have changed since they were sent.
func TestInterruptedRequestsBesideAChangeOfTheTables(t *testing.T) {
	for name, change := range tableChanges {
		if change.mayRefuse {
			continue
		}
		t.Run(name, func(t *testing.T) {
			checkBesideChange(t, change, queuedState, func(f *changeFixture) {
				time.Sleep(200 * time.Millisecond)
				f.engines[0].Stop()
				f.engines[2].Stop()
			}, "write", "look")
		})
	}
}

package relay

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/admission"
	"plantainrelay/internal/clock"
	"plantainrelay/internal/peers"
	"plantainrelay/internal/placement"
	"plantainrelay/platform"
	"plantainrelay/platform/standin"
)

// testRegions maps the availability zones of tests to regions.
var testRegions = map[string]string{"z1": "r1", "z2": "r2", "z3": "r3"}

// homesFixture is a frontend before plain services, the first one in the zone z1, the second in
// z2, and so on.
type homesFixture struct {
	*engineFixture
	// arrived counts the requests that have reached the instance of each zone.
	arrived []*atomic.Int64
	servers []*httptest.Server
}

// awaitRelease bounds the wait of an instance, so that a test that fails ends.
func awaitRelease(release <-chan struct{}) {
	select {
	case <-release:
	case <-time.After(2 * time.Second):
	}
}

const homesRoute = "/homes/x"

func newHomesFixture(t *testing.T, handlers ...http.HandlerFunc) *homesFixture {
	t.Helper()
	f := &homesFixture{engineFixture: &engineFixture{fixture: newFixture(t)}}
	go f.frontend.scheduler.Run(t.Context())
	f.table = standin.Table{
		Version: 4, Keys: map[string][]string{"firm": {"good"}}, Homes: map[string][]string{},
		Routes: []standin.Route{{Name: "homes", Host: testHost, PathPrefix: "/homes/", Pool: "s", Kind: standin.Idempotent, Timeout: 3 * time.Second, Objective: time.Second}},
		Pools:  []standin.Pool{{Name: "s"}},
	}
	f.renewTables()
	for _, handler := range handlers {
		count := &atomic.Int64{}
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			count.Add(1)
			handler(w, r)
		}))
		t.Cleanup(server.Close)
		f.arrived, f.servers = append(f.arrived, count), append(f.servers, server)
	}
	f.listZones(1, 2, 3)
	return f
}

// listZones makes the instances of these zones those of the platform's list.
func (f *homesFixture) listZones(zones ...int) {
	documents := map[string]any{}
	for i, server := range f.servers {
		if slices.Contains(zones, i+1) {
			documents[fmt.Sprintf("i-%d", i)] = map[string]any{
				"Service": "s", "Address": server.Listener.Addr().String(), "Zone": fmt.Sprintf("z%d", i+1), "State": "ready", "Slots": 1, "born": 1,
			}
		}
	}
	f.apply(platform.Backends, documents)
}

// setHomes writes tables in which the route and the customer have these homes.
func (f *homesFixture) setHomes(route, customer []string) {
	f.table.Version++
	f.table.Routes[0].Homes, f.table.Homes["firm"] = route, customer
	f.renewTables()
}

func (f *homesFixture) get(path string) (*http.Response, string, error) {
	return f.do(http.MethodGet, path)
}

// getConcurrently sends requests of the route with homes, and returns where their statuses
// arrive, 0 for one without a response.
func (f *homesFixture) getConcurrently(count int) <-chan int {
	statuses := make(chan int, count)
	for range count {
		go func() {
			response, _, err := f.get(homesRoute)
			if err != nil {
				statuses <- 0
				return
			}
			statuses <- response.StatusCode
		}()
	}
	return statuses
}

// TestRequestsAreServedInTheirHomesOnly guards against a request that is served outside the
// homes of its route or its customer after a change of the tables.
func TestRequestsAreServedInTheirHomesOnly(t *testing.T) {
	c := qt.New(t)
	f := newHomesFixture(t, answerOK, answerOK, answerOK)
	for i, homes := range []struct{ route, customer []string }{{[]string{"r2"}, nil}, {nil, []string{"r3"}}, {[]string{"r1", "r2"}, []string{"r2", "r3"}}} {
		f.setHomes(homes.route, homes.customer)
		zone := []int{1, 2, 1}[i]
		before := f.arrived[zone].Load()
		for range 10 {
			response, _, err := f.get(homesRoute)
			c.Assert(err, qt.IsNil)
			c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
		}
		c.Assert(f.arrived[zone].Load()-before, qt.Equals, int64(10))
	}
}

// TestNoHomeInstanceIsRefusedAtOnce guards against a caller that waits for the queue's time
// limit although no home instance is left, or gets no time at which to retry.
func TestNoHomeInstanceIsRefusedAtOnce(t *testing.T) {
	c := qt.New(t)
	f := newHomesFixture(t, answerOK, answerOK)
	for _, homes := range [][2][]string{{{"r3"}, nil}, {{"r1"}, {"r2"}}, {{"unknown"}, nil}} {
		f.setHomes(homes[0], homes[1])
		began := time.Now()
		response, body, err := f.get(homesRoute)
		c.Assert(err, qt.IsNil)
		c.Assert(time.Since(began) < 250*time.Millisecond, qt.IsTrue)
		c.Assert(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
		c.Assert(body, qt.Contains, reasonNoHome)
		retryAfter, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		c.Assert(err, qt.IsNil)
		c.Assert(retryAfter > 0 && retryAfter <= 2, qt.IsTrue)
	}
	c.Assert(f.arrived[0].Load()+f.arrived[1].Load(), qt.Equals, int64(0))
}

// TestRetryStaysInTheHomes guards against a retry outside the homes after the only home
// instance has failed.
func TestRetryStaysInTheHomes(t *testing.T) {
	c := qt.New(t)
	f := newHomesFixture(t, answerOK, answerError, answerOK)
	f.setHomes([]string{"r2"}, nil)
	response, _, err := f.get(homesRoute)
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusInternalServerError)
	c.Assert(f.arrived[0].Load()+f.arrived[2].Load(), qt.Equals, int64(0))
}

// TestQueuedRequestFollowsNewHomes guards against a request that waits for a slot while the
// homes change, and is sent to an instance that is no home any more.
func TestQueuedRequestFollowsNewHomes(t *testing.T) {
	c := qt.New(t)
	release := make(chan struct{})
	slow := func(w http.ResponseWriter, r *http.Request) {
		awaitRelease(release)
		answerOK(w, r)
	}
	f := newHomesFixture(t, slow, answerOK)
	f.setHomes([]string{"r1"}, nil)
	statuses := f.getConcurrently(3)
	// An instance with one slot takes two requests to a plain service.
	waitUntil(c, func() bool { return f.arrived[0].Load() == 2 && f.frontend.scheduler.queuedRequests("s") == 1 })
	f.setHomes([]string{"r2"}, nil)
	c.Assert(<-statuses, qt.Equals, http.StatusOK)
	c.Assert(f.arrived[1].Load(), qt.Equals, int64(1))
	close(release)
	c.Assert(<-statuses, qt.Equals, http.StatusOK)
	c.Assert(<-statuses, qt.Equals, http.StatusOK)
	c.Assert(f.arrived[0].Load(), qt.Equals, int64(2))
}

// TestQueuedRequestIsRefusedWhenItsHomeIsGone guards against a queued request that waits until
// its time limit although the last home instance has left the list.
func TestQueuedRequestIsRefusedWhenItsHomeIsGone(t *testing.T) {
	c := qt.New(t)
	f := newHomesFixture(t, answerOK, answerOK)
	scheduler := f.frontend.scheduler
	need := placement.Requirements{Pool: "s", Regions: []string{"r1"}, RegionsRestricted: true}
	newTicket := func() *ticket {
		until := clock.Now().Add(time.Minute)
		return &ticket{Ticket: admission.Ticket{StartBy: until, Deadline: until}, need: need, isRejectable: true}
	}
	for range 2 {
		_, rejected := scheduler.acquire(t.Context(), newTicket())
		c.Assert(rejected, qt.IsNil)
	}
	results := make(chan *rejection, 1)
	go func() {
		_, rejected := scheduler.acquire(t.Context(), newTicket())
		results <- rejected
	}()
	waitUntil(c, func() bool { return scheduler.queuedRequests("s") == 1 })
	f.listZones(2)
	select {
	case rejected := <-results:
		c.Assert(*rejected, qt.Equals, rejection{retryAfter: maxRetryAfter, reason: reasonNoHome})
	case <-time.After(2 * time.Second):
		c.Fatal("the request still waits")
	}
}

// TestReservationStaysInTheHomes guards against a second attempt beside a silent one, or a
// reserved one, that goes to an instance outside the homes.
func TestReservationStaysInTheHomes(t *testing.T) {
	c := qt.New(t)
	release := make(chan struct{})
	f := newHomesFixture(t, func(w http.ResponseWriter, r *http.Request) {
		awaitRelease(release)
		answerOK(w, r)
	}, answerOK)
	f.table.Routes[0].Objective = 50 * time.Millisecond
	f.setHomes([]string{"r1"}, nil)
	time.AfterFunc(2*minSilenceTimeout, func() { close(release) })
	response, _, err := f.get(homesRoute)
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
	c.Assert(f.arrived[1].Load(), qt.Equals, int64(0))
}

// TestChosenInstanceIsCheckedAgain guards against an attempt at an instance that has ceased to
// be a home between the choice and the attempt.
func TestChosenInstanceIsCheckedAgain(t *testing.T) {
	c := qt.New(t)
	f := newHomesFixture(t, answerOK, answerOK)
	f.setHomes([]string{"r1"}, nil)
	table := f.frontend.view.table()
	route, _ := table.Match(testHost, homesRoute)
	x := &exchange{frontend: f.frontend, table: table, route: route, r: httptest.NewRequest(http.MethodGet, homesRoute, nil)}
	x.r.Host = testHost
	choice := placement.Choice{}
	choice.Backend.AvailabilityZone = "z1"
	c.Assert(x.isAllowedAt(choice), qt.IsTrue)
	f.setHomes([]string{"r2"}, nil)
	c.Assert(x.isAllowedAt(choice), qt.IsFalse)
	c.Assert(x.attempt(t.Context(), choice, &attemptRecord{}), qt.Equals, notAllowed)
}

// TestDirectoryPrefersHomes guards against callers of a host with homes that are sent to entries
// of other regions.
func TestDirectoryPrefersHomes(t *testing.T) {
	c := qt.New(t)
	f := newHomesFixture(t)
	h := &heartbeater{
		view: f.frontend.view, copies: f.frontend.view.copies, frontend: f.frontend, log: f.frontend.log, regions: testRegions,
		directory: peers.New(peers.Config{LiveTimeout: time.Minute, FarLiveTimeout: time.Minute, MaxBroadcast: 16}, peers.Entry{Host: "10.0.0.9"}, nil, clock.Now()),
	}
	f.frontend.blockGate.learnBy = clock.Now()
	for i := 1; i <= 3; i++ {
		host := fmt.Sprintf("10.0.0.%d", i)
		h.directory.RecordMessage(h.withRegion(peers.Entry{Host: host, AvailabilityZone: fmt.Sprintf("z%d", i), FrontAddress: host, Start: 1, Sequence: 1, Ready: true}), clock.Now())
	}
	check := func(query platform.AddressQuery, scope string, want ...string) {
		addresses, got := h.frontAddresses(query)
		c.Check(addresses, qt.DeepEquals, want)
		c.Check(got, qt.Equals, scope)
	}
	all := []string{"10.0.0.1", "10.0.0.2", "10.0.0.3"}
	check(platform.AddressQuery{Host: "A.example", Zone: "z1"}, scopeAny, all...)
	f.setHomes([]string{"r2"}, nil)
	check(platform.AddressQuery{Host: "A.example", Region: "r3"}, scopeHome, "10.0.0.2", "10.0.0.3")
	check(platform.AddressQuery{Host: testHost, Zone: "z1"}, scopeHome, "10.0.0.1", "10.0.0.2")
	check(platform.AddressQuery{Host: testHost}, scopeHome, "10.0.0.2")
	check(platform.AddressQuery{Host: "b.example", Region: "r3"}, scopeAny, all...)
	f.setHomes([]string{"r7"}, nil)
	check(platform.AddressQuery{Host: testHost, Region: "r8"}, scopeNoHome, all...)
}

package relay

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/catalog"
	"plantainrelay/platform"
	"plantainrelay/platform/standin"
)

// TestUrgencyOfAttempts guards against attempts at model engines without their class, and
// against an urgency where the pool has a single class or no model engines.
func TestUrgencyOfAttempts(t *testing.T) {
	c := qt.New(t)
	target := func(pool string) []catalog.Target { return []catalog.Target{{Pool: pool, Weight: 1}} }
	routes := []catalog.Route{
		{Host: "a", PathPrefix: "/a/", Priority: 1, Kind: catalog.Streaming, Resumable: true, Targets: target("mixed")},
		{Host: "a", PathPrefix: "/b/", Priority: 2, Targets: target("mixed")},
		{Host: "a", PathPrefix: "/c/", Priority: 2, Targets: target("single")},
	}
	table := catalog.New(1, catalog.Limits{}, routes, nil, nil)
	newExchange := func(route int, pool string) *exchange {
		return &exchange{table: table, route: &routes[route], pool: pool, model: "m"}
	}
	c.Check(newExchange(0, "mixed").urgency(), qt.DeepEquals, &platform.UrgencyClass{Rank: 0})
	c.Check(newExchange(1, "mixed").urgency(), qt.DeepEquals, &platform.UrgencyClass{Rank: 1})
	c.Check(newExchange(2, "single").urgency(), qt.IsNil)
	plain := newExchange(0, "mixed")
	plain.model = ""
	c.Check(plain.urgency(), qt.IsNil)
	resumed := newExchange(0, "mixed")
	resumed.responseStarted, resumed.isStream = true, true
	c.Check(resumed.urgency(), qt.DeepEquals, &platform.UrgencyClass{Rank: 0, Resumed: true})
	resumed.customer = catalog.Customer{HasPriority: true, Priority: 2}
	c.Check(resumed.urgency(), qt.DeepEquals, &platform.UrgencyClass{Rank: 1, Resumed: true})
}

// TestCallerSetsNoUrgency guards against callers that move their requests forward.
func TestCallerSetsNoUrgency(t *testing.T) {
	c := qt.New(t)
	sent := make(chan []string, 1)
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		sent <- r.Header.Values(standin.HeaderUrgency)
		answerOK(w, r)
	})
	_, _, err := f.do(http.MethodPost, "/look/x", func(r *http.Request) { r.Header.Set(standin.HeaderUrgency, "0") })
	c.Assert(err, qt.IsNil)
	c.Assert(<-sent, qt.HasLen, 0)
}

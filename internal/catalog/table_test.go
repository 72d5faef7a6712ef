package catalog_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/catalog"
)

func table(customers ...catalog.Customer) *catalog.Table {
	routes := []catalog.Route{
		{Name: "short", Host: "a.example", PathPrefix: "/x/", Targets: []catalog.Target{{Pool: "p", Weight: 1}}},
		{Name: "long", Host: "a.example", PathPrefix: "/x/y/", Kind: catalog.Streaming, Resumable: true, Targets: []catalog.Target{{Pool: "q", Weight: 1}}},
		{Name: "open", Host: "b.example", PathPrefix: "/", Anonymous: true, Targets: []catalog.Target{{Pool: "p", Weight: 1}}},
	}
	return catalog.New(7, catalog.Limits{}, routes, []catalog.Pool{{Name: "p"}, {Name: "q"}, {Name: "o", Origin: "10.0.0.1:80", OriginZone: "z"}}, customers)
}

func TestLongestPrefixOfTheHostWins(t *testing.T) {
	c := qt.New(t)
	for path, want := range map[string]string{"/x/": "short", "/x/1": "short", "/x/y/1": "long", "/x/y": "short"} {
		route, found := table().Match("a.example", path)
		c.Assert(found, qt.IsTrue)
		c.Assert(route.Name, qt.Equals, want)
	}
	_, found := table().Match("a.example", "/other/")
	c.Assert(found, qt.IsFalse)
	_, found = table().Match("c.example", "/x/")
	c.Assert(found, qt.IsFalse)
}

func TestKeysAreNeededUnlessTheRouteIsAnonymous(t *testing.T) {
	c := qt.New(t)
	keyed := table(catalog.Customer{Name: "firm", Keys: []string{"k1", "k2"}})
	keyRoute, _ := keyed.Match("a.example", "/x/")
	anonymousRoute, _ := keyed.Match("b.example", "/")
	c.Assert(keyed.NeedsKey(keyRoute), qt.IsTrue)
	c.Assert(keyed.NeedsKey(anonymousRoute), qt.IsFalse)
	c.Assert(table().NeedsKey(keyRoute), qt.IsFalse)
	customer, known := keyed.Customer("k2")
	c.Assert(known, qt.IsTrue)
	c.Assert(customer.Name, qt.Equals, "firm")
	_, known = keyed.Customer("")
	c.Assert(known, qt.IsFalse)
}

// TestEmptyKeyIsNoKey guards against requests without a key that are served for the customer that
// the tables list with an empty one.
func TestEmptyKeyIsNoKey(t *testing.T) {
	c := qt.New(t)
	_, known := table(catalog.Customer{Name: "firm", Keys: []string{"k", ""}}).Customer("")
	c.Assert(known, qt.IsFalse)
}

func TestRequestsAreDistributedByWeight(t *testing.T) {
	c := qt.New(t)
	route := catalog.Route{Targets: []catalog.Target{{Pool: "a", Weight: 90}, {Pool: "b", Weight: 10}}}
	random := rand.New(rand.NewPCG(1, 2))
	counts := map[string]int{}
	for range 10_000 {
		counts[route.ChoosePool(random)]++
	}
	c.Assert(counts["b"] > 800 && counts["b"] < 1200, qt.IsTrue, qt.Commentf("%v", counts))
}

func TestRepeatable(t *testing.T) {
	c := qt.New(t)
	for kind, want := range map[catalog.Kind]bool{catalog.Idempotent: true, catalog.NonIdempotent: false, catalog.Streaming: false} {
		route := catalog.Route{Kind: kind}
		c.Assert(route.Repeatable(), qt.Equals, want)
	}
	resumable := catalog.Route{Kind: catalog.Streaming, Resumable: true}
	c.Assert(resumable.Repeatable(), qt.IsTrue)
	c.Assert(table().Resumable("q"), qt.IsTrue)
	notResumable := catalog.New(1, catalog.Limits{}, []catalog.Route{{Kind: catalog.Streaming, Targets: []catalog.Target{{Pool: "q"}}}}, nil, nil)
	c.Assert(notResumable.Resumable("q"), qt.IsFalse)
}

func TestOriginAndPassTime(t *testing.T) {
	c := qt.New(t)
	c.Assert(table().Origin(), qt.Equals, "10.0.0.1:80")
	c.Assert(table().OriginZone(), qt.Equals, "z")
	engine := catalog.Engine{Stride: 5, StepTime: 10 * time.Millisecond}
	c.Assert(engine.PassTime(), qt.Equals, 50*time.Millisecond)
}

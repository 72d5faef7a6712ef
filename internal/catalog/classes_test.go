package catalog_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/catalog"
)

// TestClassRank guards against an order of requests that engines apply although their pool
// has a single class, and against one that ignores the priorities of customers.
func TestClassRank(t *testing.T) {
	c := qt.New(t)
	target := func(pool string) []catalog.Target { return []catalog.Target{{Pool: pool, Weight: 1}} }
	routes := []catalog.Route{
		{Name: "urgent", Host: "a", PathPrefix: "/a/", Priority: 1, Targets: target("mixed")},
		{Name: "batch", Host: "a", PathPrefix: "/b/", Priority: 40, Targets: target("mixed")},
		{Name: "alone", Host: "a", PathPrefix: "/c/", Priority: 7, Targets: target("single")},
		{Name: "open", Host: "a", PathPrefix: "/d/", Priority: 3, Anonymous: true, Targets: target("open")},
	}
	ranks := func(customers ...catalog.Customer) func(string, int) (int, bool) {
		return catalog.New(1, catalog.Limits{}, routes, nil, customers).ClassRank
	}
	type want struct {
		pool  string
		class int
		rank  int
		known bool
	}
	check := func(rank func(string, int) (int, bool), wanted ...want) {
		c.Helper()
		for _, w := range wanted {
			got, known := rank(w.pool, w.class)
			c.Check(known, qt.Equals, w.known, qt.Commentf("%+v", w))
			c.Check(got, qt.Equals, w.rank, qt.Commentf("%+v", w))
		}
	}
	check(ranks(), want{"mixed", 1, 0, true}, want{"mixed", 40, 1, true}, want{"single", 7, 0, false}, want{"unknown", 0, 0, false})
	plain, first := catalog.Customer{Name: "plain"}, catalog.Customer{Name: "first", HasPriority: true}
	check(ranks(plain, first), want{"single", 0, 0, true}, want{"single", 7, 1, true}, want{"mixed", 40, 2, true})
	check(ranks(first), want{"single", 0, 0, false}, want{"mixed", 0, 0, false}, want{"open", 0, 0, true}, want{"open", 3, 1, true})
}

func TestClassOfACustomerReplacesThatOfTheRoute(t *testing.T) {
	c := qt.New(t)
	route := &catalog.Route{Priority: 3}
	c.Assert(catalog.Class(route, catalog.Customer{Priority: 1}), qt.Equals, 3)
	c.Assert(catalog.Class(route, catalog.Customer{HasPriority: true}), qt.Equals, 0)
}

func TestHasSeveralCustomers(t *testing.T) {
	c := qt.New(t)
	for count, want := range []bool{false, false, true} {
		table := catalog.New(1, catalog.Limits{}, nil, nil, make([]catalog.Customer, count))
		c.Check(table.HasSeveralCustomers(), qt.Equals, want, qt.Commentf("%d customers", count))
	}
}

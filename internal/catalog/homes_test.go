package catalog_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/catalog"
)

// TestHomesOfRouteAndCustomerBothApply guards against requests that are served in a region
// which only the route, or only the customer, allows.
func TestHomesOfRouteAndCustomerBothApply(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		route, customer, regions []string
		restricted               bool
	}{
		{nil, nil, nil, false},
		{[]string{"a"}, nil, []string{"a"}, true},
		{nil, []string{"b"}, []string{"b"}, true},
		{[]string{"a", "b"}, []string{"b", "c"}, []string{"b"}, true},
		{[]string{"a"}, []string{"b"}, nil, true},
	} {
		regions, restricted := table().Homes(&catalog.Route{HomeRegions: test.route}, catalog.Customer{HomeRegions: test.customer})
		c.Check(regions, qt.DeepEquals, test.regions)
		c.Check(restricted, qt.Equals, test.restricted)
	}
}

// TestHostHomesPreferCommonRegions guards against callers that are directed to the home of
// another route of their host.
func TestHostHomesPreferCommonRegions(t *testing.T) {
	c := qt.New(t)
	routes := []catalog.Route{
		{Name: "1", Host: "a", PathPrefix: "/x/", HomeRegions: []string{"r1", "r2"}},
		{Name: "2", Host: "a", PathPrefix: "/y/", HomeRegions: []string{"r2", "r3"}},
		{Name: "3", Host: "a", PathPrefix: "/z/"},
		{Name: "4", Host: "b", PathPrefix: "/"},
	}
	homes := catalog.New(1, catalog.Limits{}, routes, nil, nil)
	common, all := homes.HostHomes("a")
	c.Assert(common, qt.DeepEquals, []string{"r2"})
	c.Assert(all, qt.DeepEquals, []string{"r1", "r2", "r3"})
	common, all = homes.HostHomes("b")
	c.Assert(len(common)+len(all), qt.Equals, 0)
}

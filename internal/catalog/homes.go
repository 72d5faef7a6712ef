package catalog

import "slices"

// Homes returns the regions in which requests of the customer on the route may be served,
// sorted. restricted is false if they may be served anywhere. A route and a customer that
// have no home in common leave no region.
func (t *Table) Homes(route *Route, customer Customer) (regions []string, restricted bool) {
	switch {
	case route.HomeRegions == nil:
		return customer.HomeRegions, customer.HomeRegions != nil
	case customer.HomeRegions == nil:
		return route.HomeRegions, true
	}
	return intersect(route.HomeRegions, customer.HomeRegions), true
}

// HostHomes returns the home regions of the host's routes: those that all routes with homes
// have in common, and those of any of them. Both are nil if no route has homes.
func (t *Table) HostHomes(host string) (common, all []string) {
	restricted := false
	for _, route := range t.routesByHost[host] {
		if route.HomeRegions == nil {
			continue
		}
		if !restricted {
			common = route.HomeRegions
		} else {
			common = intersect(common, route.HomeRegions)
		}
		restricted = true
		all = append(all, route.HomeRegions...)
	}
	slices.Sort(all)
	return common, slices.Compact(all)
}

func intersect(a, b []string) []string {
	var both []string
	for _, region := range a {
		if slices.Contains(b, region) {
			both = append(both, region)
		}
	}
	return both
}

package catalog

import "slices"

// Class returns the priority class of a customer's requests on a route: that of the
// customer, or else that of the route. 0 goes first.
func Class(route *Route, customer Customer) int {
	if customer.HasPriority {
		return customer.Priority
	}
	return route.Priority
}

// ClassRank returns the position of a class among those that requests of the pool may have;
// 0 is the most urgent one. It returns false if they all have the same class.
func (t *Table) ClassRank(pool string, class int) (int, bool) {
	classes := t.classesByPool[pool]
	if len(classes) < 2 {
		return 0, false
	}
	rank, _ := slices.BinarySearch(classes, class)
	return rank, true
}

// HasSeveralClasses reports whether requests of the pool may have different classes.
func (t *Table) HasSeveralClasses(pool string) bool { return len(t.classesByPool[pool]) > 1 }

// HasSeveralCustomers reports whether requests may belong to different customers.
func (t *Table) HasSeveralCustomers() bool { return t.customers > 1 }

// classesByPool returns the classes that requests of each pool may have, sorted.
func classesByPool(routes []Route, customers []Customer) map[string][]int {
	var ofCustomers []int
	routeClassUsed := len(customers) == 0
	for _, customer := range customers {
		if customer.HasPriority {
			ofCustomers = append(ofCustomers, customer.Priority)
		} else {
			routeClassUsed = true
		}
	}
	byPool := map[string][]int{}
	for _, route := range routes {
		for _, target := range route.Targets {
			classes := append(byPool[target.Pool], ofCustomers...)
			if routeClassUsed || route.Anonymous {
				classes = append(classes, route.Priority)
			}
			slices.Sort(classes)
			byPool[target.Pool] = slices.Compact(classes)
		}
	}
	return byPool
}

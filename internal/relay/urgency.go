package relay

import (
	"plantainrelay/internal/catalog"
	"plantainrelay/platform"
)

// urgency returns the place of the next attempt in the order of a model engine. It is nil for
// plain services, and for pools whose requests all have the same class: engines then keep
// their own order.
func (x *exchange) urgency() *platform.UrgencyClass {
	if x.model == "" || x.table == nil {
		return nil
	}
	rank, differs := x.table.ClassRank(x.pool, catalog.Class(x.route, x.customer))
	if !differs {
		return nil
	}
	return &platform.UrgencyClass{Rank: rank, Resumed: x.isResuming()}
}

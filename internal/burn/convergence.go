package burn

import (
	"time"
)

// Holder is what one instance holds.
type Holder struct {
	Revision int64
	Pool     string
	// Version is the version that the instance serves; empty when it serves
	// none.
	Version string
}

// Wanted is what all instances are to hold.
type Wanted struct {
	Revision int64
	// Versions are the intended versions by pool.
	Versions map[string]string
}

// change is one change that is not in force everywhere yet.
type change struct {
	since   time.Time
	version string
}

// Convergence measures the time from a change of the tables until every
// instance that is seen holds it, for the tables and for each pool's version.
// The first state that it sees is not a change. It is not safe for concurrent
// use.
type Convergence struct {
	revision int64
	tables   *change
	versions map[string]string
	pools    map[string]change
}

// NewConvergence returns a convergence that has seen nothing.
func NewConvergence() *Convergence {
	return &Convergence{versions: map[string]string{}, pools: map[string]change{}}
}

// Observe takes the wanted state and what each instance holds, and counts the
// changes that have become complete into ledger.
func (c *Convergence) Observe(now time.Time, wanted Wanted, holders map[string]Holder, ledger *Ledger) {
	c.begin(now, wanted)
	if c.tables != nil && allHold(holders, c.revision) {
		ledger.Took(now, Key{Objective: TableInForce, Customer: "*", Route: "*"}, now.Sub(c.tables.since))
		c.tables = nil
	}
	for pool, open := range c.pools {
		if allServe(holders, pool, open.version) {
			ledger.Took(now, Key{Objective: TimeToN, Customer: "*", Route: pool}, now.Sub(open.since))
			delete(c.pools, pool)
		}
	}
}

func (c *Convergence) begin(now time.Time, wanted Wanted) {
	first := c.revision == 0
	if wanted.Revision > c.revision {
		// A change on top of one that is not in force yet keeps the older
		// start, since the older one is late as well.
		if !first && c.tables == nil {
			c.tables = &change{since: now}
		}
		c.revision = wanted.Revision
	}
	for pool, version := range wanted.Versions {
		if c.versions[pool] == version {
			continue
		}
		c.versions[pool] = version
		if !first {
			c.pools[pool] = change{since: now, version: version}
		}
	}
	for pool := range c.versions {
		if _, found := wanted.Versions[pool]; !found {
			delete(c.versions, pool)
			delete(c.pools, pool)
		}
	}
}

func allHold(holders map[string]Holder, revision int64) bool {
	for _, holder := range holders {
		if holder.Revision < revision {
			return false
		}
	}
	return true
}

func allServe(holders map[string]Holder, pool, version string) bool {
	for _, holder := range holders {
		if holder.Pool == pool && holder.Version != version {
			return false
		}
	}
	return true
}

package burn

import (
	"time"
)

// Holder is the state that one instance reports.
type Holder struct {
	Revision int64
	Pool     string
	// Version is the version that the instance serves, or empty if it serves
	// none.
	Version string
}

// Wanted is the state that all instances should reach.
type Wanted struct {
	Revision int64
	// Versions maps each pool to the version that it should serve.
	Versions map[string]string
}

// change is a version change that some instances have not applied yet.
type change struct {
	since   time.Time
	version string
}

// Convergence measures the time from a change of the tables until every known
// instance has applied it. It measures the tables as a whole and the version
// of each pool. The first observed state does not count as a change.
// Convergence is not safe for concurrent use.
type Convergence struct {
	revision int64
	tables   *change
	versions map[string]string
	pools    map[string]change
}

// NewConvergence returns a Convergence without any observation.
func NewConvergence() *Convergence {
	return &Convergence{versions: map[string]string{}, pools: map[string]change{}}
}

// Observe compares the desired state with the state of each instance. It
// records in ledger the duration of each change that all instances have now
// applied.
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
		// If the previous change is still pending, keep its start time,
		// because that change is late as well.
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

package burn

import (
	"time"
)

// InstanceState is the state that one instance reports.
type InstanceState struct {
	Revision int64
	Pool     string
	// Version is the version that the instance serves, or empty if it serves
	// none.
	Version string
}

// DesiredState is the state that all instances should reach.
type DesiredState struct {
	Revision int64
	// Versions maps each pool to the version that it should serve.
	Versions map[string]string
}

// pendingChange is a change that some instances have not applied yet.
type pendingChange struct {
	since   time.Time
	version string
}

// Convergence measures the time from a change of the tables until every known
// instance has applied it. It measures the tables as a whole and the version
// of each pool. The first observed state does not count as a change.
// Convergence is not safe for concurrent use.
type Convergence struct {
	revision        int64
	pendingTables   *pendingChange
	versions        map[string]string
	pendingVersions map[string]pendingChange
}

// NewConvergence returns a Convergence without any observation.
func NewConvergence() *Convergence {
	return &Convergence{versions: map[string]string{}, pendingVersions: map[string]pendingChange{}}
}

// Observe compares the desired state with the state of each instance. It
// records in aggregator the duration of each change that all instances have
// now applied.
func (c *Convergence) Observe(now time.Time, desired DesiredState, instances map[string]InstanceState, aggregator *Aggregator) {
	c.startPending(now, desired)
	if c.pendingTables != nil && allReached(instances, c.revision) {
		aggregator.RecordDuration(now, Key{Objective: TablePropagation, Customer: "*", Route: "*"}, now.Sub(c.pendingTables.since))
		c.pendingTables = nil
	}
	for pool, pending := range c.pendingVersions {
		if allServing(instances, pool, pending.version) {
			aggregator.RecordDuration(now, Key{Objective: VersionRollout, Customer: "*", Route: pool}, now.Sub(pending.since))
			delete(c.pendingVersions, pool)
		}
	}
}

// startPending adds the changes since the last observation to the pending ones.
func (c *Convergence) startPending(now time.Time, desired DesiredState) {
	first := c.revision == 0
	if desired.Revision > c.revision {
		// If the previous change is still pending, keep its start time,
		// because that change is late as well.
		if !first && c.pendingTables == nil {
			c.pendingTables = &pendingChange{since: now}
		}
		c.revision = desired.Revision
	}
	for pool, version := range desired.Versions {
		if c.versions[pool] == version {
			continue
		}
		c.versions[pool] = version
		if first {
			continue
		}
		pending := pendingChange{since: now, version: version}
		if replaced, found := c.pendingVersions[pool]; found {
			// The pool has not served the desired version since then.
			pending.since = replaced.since
		}
		c.pendingVersions[pool] = pending
	}
	for pool := range c.versions {
		if _, found := desired.Versions[pool]; !found {
			delete(c.versions, pool)
			delete(c.pendingVersions, pool)
		}
	}
}

func allReached(instances map[string]InstanceState, revision int64) bool {
	for _, instance := range instances {
		if instance.Revision < revision {
			return false
		}
	}
	return len(instances) > 0
}

func allServing(instances map[string]InstanceState, pool, version string) bool {
	found := false
	for _, instance := range instances {
		if instance.Pool != pool {
			continue
		}
		if instance.Version != version {
			return false
		}
		found = true
	}
	return found
}

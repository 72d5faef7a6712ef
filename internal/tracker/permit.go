package tracker

import (
	"fmt"
	"time"

	"plantainrelay/internal/member"
	"plantainrelay/internal/rollout"
	"plantainrelay/internal/table"
)

// pauseThreshold is the number of instances with failed loads at which a rollout
// is paused.
const pauseThreshold = 2

// counts holds the numbers of other instances of a pool by state.
type counts struct {
	switching       int
	switchingInZone int
	serving         int
	// failing counts the instances that failed to load the same manifest, and
	// updated those that serve it.
	failing, updated int
	cause            string
}

func (p *poolState) count(requester *record, now time.Time) counts {
	var c counts
	ttl := p.servingTTL()
	for name, other := range p.records {
		if name == requester.Instance {
			continue
		}
		c.add(other, requester, now, ttl)
	}
	return c
}

func (c *counts) add(other, requester *record, now time.Time, ttl time.Duration) {
	if other.switching(now) {
		c.switching++
		if other.AvailabilityZone == requester.AvailabilityZone {
			c.switchingInZone++
		}
	}
	if other.serving(now, ttl) {
		c.serving++
	}
	if other.Manifest != requester.Manifest {
		return
	}
	if other.Stage == rollout.StageServing {
		c.updated++
	}
	if other.Failures > 0 {
		c.failing++
		c.cause = other.Cause
	}
}

// refusal returns the reason why the instance may not switch now, or "" if it
// may. An instance that holds a permit, or that admits no requests and is not
// draining, is not refused, since its switch takes no more capacity out of
// service.
func (t *Tracker) refusal(state *poolState, requester *record, now time.Time) string {
	snapshot := t.tables()
	if snapshot == nil {
		return "this entry knows no tables yet"
	}
	row, found := snapshot.Pool(requester.Pool)
	if !found {
		return "the tables hold no pool " + requester.Pool
	}
	if now.Before(requester.permitExpiry) || !requester.Open && requester.Stage != rollout.StageDraining {
		return ""
	}
	if now.Sub(state.knownSince) < startupGrace {
		return "the tracker has not heard of the pool for long enough to know earlier permits"
	}
	c := state.count(requester, now)
	if reason := c.limitReason(row, requester); reason != "" {
		return reason
	}
	if c.serving == 0 && t.otherInstances(snapshot, requester) > 0 {
		return "no other instance of the pool is known to serve"
	}
	return c.pauseReason(row, requester)
}

func (c *counts) limitReason(row table.Pool, requester *record) string {
	if c.switchingInZone >= row.MaxUnavailable {
		return fmt.Sprintf("%d instances of availability zone %s are switching", c.switchingInZone, requester.AvailabilityZone)
	}
	if c.updated == 0 && c.switching > 0 {
		return "the first instance that switches to this version has not served it yet"
	}
	return ""
}

// pauseReason returns the reason why a rollout is paused after failed loads, or
// "". During a pause, only instances that failed may retry, one at a time.
func (c *counts) pauseReason(row table.Pool, requester *record) string {
	if c.failing < pauseThreshold || (requester.Failures > 0 && c.switching == 0) {
		return ""
	}
	return fmt.Sprintf("the rollout is paused: %d instances failed to load %s (%s); roll the pool back or publish the weights again",
		c.failing, row.Version, c.cause)
}

// otherInstances returns the number of other live agents that the tables assign
// to the pool.
func (t *Tracker) otherInstances(snapshot *table.Snapshot, requester *record) int {
	total := 0
	for _, instance := range t.members().Role(member.RoleAgent) {
		if instance.Name == requester.Instance || instance.State != member.StateLive {
			continue
		}
		if row, found := snapshot.PoolOf(instance.Name); found && row.Name == requester.Pool {
			total++
		}
	}
	return total
}

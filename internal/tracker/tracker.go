// Package tracker holds an entry's soft state about rollouts: the progress of the
// instances of a pool, and the permits to switch. It is rebuilt from the
// announcements of agents. It does not track which instance holds which chunks;
// agents exchange that among themselves, see package swarm.
package tracker

import (
	"sync"
	"time"

	"plantainrelay/internal/member"
	"plantainrelay/internal/message"
	"plantainrelay/internal/rollout"
	"plantainrelay/internal/table"
)

const (
	// permitLifetime is the lifetime of a permit unless it is renewed.
	permitLifetime = 4 * time.Second
	// startupGrace is the time during which a new tracker, or one that agents come back
	// to, does not know earlier permits and grants none that would take a serving
	// instance out of service. It is longer than the lifetime of any earlier permit.
	startupGrace = permitLifetime + time.Second
	// servingTTL is the time for which an instance counts as serving after an
	// announcement. In pools that announce less often, it is servingTTLIntervals
	// announcement intervals.
	servingTTL          = 10 * time.Second
	servingTTLIntervals = 3
	// switchTTL is the time for which an instance that stopped announcing during
	// its switch still counts as switching.
	switchTTL = 2 * time.Minute
	// minInterval and intervalPerInstance determine the announcement interval,
	// which grows with the number of instances in a pool.
	minInterval         = 250 * time.Millisecond
	intervalPerInstance = 10 * time.Millisecond
	// renewInterval is the interval at which the holder of a permit renews it.
	renewInterval = time.Second
	maxPools      = 256
	maxInstances  = 4096
)

// record is the last announcement of an instance.
type record struct {
	message.AnnounceArgs
	announcedAt time.Time
	// permitExpiry is the time when the granted permit expires.
	permitExpiry time.Time
}

// poolState holds the records of one pool.
type poolState struct {
	// knownSince is since when the instances announce to this tracker, announcedAt when one
	// did last.
	knownSince, announcedAt time.Time
	records                 map[string]*record
}

// Tracker holds the announcements by pool. It is safe for concurrent use.
type Tracker struct {
	tables  func() *table.Snapshot
	members func() *member.List
	now     func() time.Time

	mu      sync.Mutex
	pools   map[string]*poolState
	stopped bool
}

// New returns an empty tracker. It reads the limits of pools from tables and the
// list of instances from members.
func New(tables func() *table.Snapshot, members func() *member.List, now func() time.Time) *Tracker {
	return &Tracker{tables: tables, members: members, now: now, pools: map[string]*poolState{}}
}

// Stop makes the tracker reject all further announcements.
func (t *Tracker) Stop() {
	t.mu.Lock()
	t.stopped = true
	t.mu.Unlock()
}

// Announce records an agent's progress and replies whether it may switch.
func (t *Tracker) Announce(args message.AnnounceArgs, reply *message.AnnounceReply) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped {
		return errShuttingDown
	}
	now := t.now()
	state, err := t.poolState(args.Pool, now)
	if err != nil {
		return err
	}
	latest, err := state.record(args.Instance)
	if err != nil {
		return err
	}
	latest.AnnounceArgs, latest.announcedAt = args, now
	reply.Next = state.interval()
	if !args.Wants {
		latest.permitExpiry = time.Time{}
		return nil
	}
	if reply.Refusal = t.refusal(state, latest, now); reply.Refusal != "" {
		return nil
	}
	latest.permitExpiry = now.Add(permitLifetime)
	reply.Permit, reply.Lifetime = true, permitLifetime
	reply.Next = min(reply.Next, renewInterval)
	return nil
}

// poolState returns the state of the named pool for an announcement, after deleting expired
// records.
func (t *Tracker) poolState(name string, now time.Time) (*poolState, error) {
	if t.pools[name] == nil {
		if len(t.pools) >= maxPools {
			return nil, errLimitReached
		}
		t.pools[name] = &poolState{knownSince: now, announcedAt: now, records: map[string]*record{}}
	}
	state := t.pools[name]
	if now.Sub(state.announcedAt) > state.servingTTL() {
		// Another tracker has granted permits meanwhile.
		state.knownSince = now
	}
	state.announcedAt = now
	for instance, last := range state.records {
		if now.Sub(last.announcedAt) > switchTTL {
			delete(state.records, instance)
		}
	}
	return state, nil
}

func (p *poolState) record(instance string) (*record, error) {
	if p.records[instance] == nil {
		if len(p.records) >= maxInstances {
			return nil, errLimitReached
		}
		p.records[instance] = &record{}
	}
	return p.records[instance], nil
}

// servingTTL is how long an instance counts as serving after an announcement.
func (p *poolState) servingTTL() time.Duration {
	return max(servingTTL, servingTTLIntervals*p.interval())
}

// interval is the time between two announcements of one instance.
func (p *poolState) interval() time.Duration {
	return max(minInterval, time.Duration(len(p.records))*intervalPerInstance)
}

// switching reports whether the instance is, or may be, out of service for a
// switch.
func (r *record) switching(now time.Time) bool {
	return now.Before(r.permitExpiry) || r.Stage == rollout.StageDraining || r.Stage == rollout.StageLoading
}

// serving reports whether the instance announced within ttl that it admits
// requests, and is not switching.
func (r *record) serving(now time.Time, ttl time.Duration) bool {
	return r.Open && !r.switching(now) && now.Sub(r.announcedAt) <= ttl
}

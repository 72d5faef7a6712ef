// Package tracker is an entry's soft state about changes of version: how far
// the instances of a pool have come, and who may switch now. It is rebuilt from
// the announcements of agents. Which instance holds which chunks the agents
// tell each other, see package swarm.
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
	// permitLifetime is how long a permit lasts unless it is prolonged.
	permitLifetime = 4 * time.Second
	// startupGrace is how long a tracker that knows no earlier permits gives none
	// that could take a serving instance out.
	startupGrace = permitLifetime + time.Second
	// servingTTL is how long an announcement shows that an instance serves; longer
	// in pools that announce less often.
	servingTTL          = 10 * time.Second
	servingTTLIntervals = 3
	// switchTTL is how long an instance that fell silent while it switched
	// counts as switching.
	switchTTL = 2 * time.Minute
	// minInterval and intervalPerInstance pace the announcements.
	minInterval         = 250 * time.Millisecond
	intervalPerInstance = 10 * time.Millisecond
	// renewInterval is when the holder of a permit prolongs it.
	renewInterval = time.Second
	maxPools      = 256
	maxInstances  = 4096
)

// record is the last announcement of an instance.
type record struct {
	message.AnnounceArgs
	announcedAt time.Time
	// permitExpiry is when the permit given lapses.
	permitExpiry time.Time
}

// poolState holds the records of one poolState.
type poolState struct {
	createdAt time.Time
	records   map[string]*record
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

// New returns an empty tracker that reads the limits of pools from tables and
// their instances from members.
func New(tables func() *table.Snapshot, members func() *member.List, now func() time.Time) *Tracker {
	return &Tracker{tables: tables, members: members, now: now, pools: map[string]*poolState{}}
}

// Leave stops the tracker from answering.
func (t *Tracker) Leave() {
	t.mu.Lock()
	t.stopped = true
	t.mu.Unlock()
}

// Announce records how far an agent has come and answers whether it may switch.
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
	entry, err := state.record(args.Instance)
	if err != nil {
		return err
	}
	entry.AnnounceArgs, entry.announcedAt = args, now
	reply.Next = state.interval()
	if !args.Wants {
		entry.permitExpiry = time.Time{}
		return nil
	}
	if reply.Refusal = t.refusal(state, entry, now); reply.Refusal != "" {
		return nil
	}
	entry.permitExpiry = now.Add(permitLifetime)
	reply.Permit, reply.Lifetime = true, permitLifetime
	reply.Next = min(reply.Next, renewInterval)
	return nil
}

// poolState returns the records of the named poolState without those that are too old.
func (t *Tracker) poolState(name string, now time.Time) (*poolState, error) {
	if t.pools[name] == nil {
		if len(t.pools) >= maxPools {
			return nil, errLimitReached
		}
		t.pools[name] = &poolState{createdAt: now, records: map[string]*record{}}
	}
	state := t.pools[name]
	for instance, entry := range state.records {
		if now.Sub(entry.announcedAt) > switchTTL {
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

// interval is the time between two announcements of one instance.
func (p *poolState) interval() time.Duration {
	return max(minInterval, time.Duration(len(p.records))*intervalPerInstance)
}

// switching reports whether the instance is, or may be, out for a switch.
func (r *record) switching(now time.Time) bool {
	return now.Before(r.permitExpiry) || r.Stage == rollout.StageDraining || r.Stage == rollout.StageLoading
}

// serving reports whether the instance has admitted requests within ttl.
func (r *record) serving(now time.Time, ttl time.Duration) bool {
	return r.Open && !r.switching(now) && now.Sub(r.announcedAt) <= ttl
}

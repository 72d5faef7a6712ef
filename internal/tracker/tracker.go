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
	// grace is how long a tracker that knows no earlier permits gives none
	// that could take a serving instance out.
	grace = permitLifetime + time.Second
	// openTTL is how long an announcement shows that an instance serves; longer
	// in pools that announce less often.
	openTTL       = 10 * time.Second
	openIntervals = 3
	// switchTTL is how long an instance that fell silent while it switched
	// counts as switching.
	switchTTL = 2 * time.Minute
	// minInterval and intervalPerInstance pace the announcements.
	minInterval         = 250 * time.Millisecond
	intervalPerInstance = 10 * time.Millisecond
	// holderInterval is when the holder of a permit prolongs it.
	holderInterval = time.Second
	maxPools       = 256
	maxInstances   = 4096
)

// record is the last announcement of an instance.
type record struct {
	message.AnnounceArgs
	at time.Time
	// permitUntil is when the permit given lapses.
	permitUntil time.Time
}

// pool holds the records of one pool.
type pool struct {
	since   time.Time
	records map[string]*record
}

// Tracker holds the announcements by pool. It is safe for concurrent use.
type Tracker struct {
	tables  func() *table.Snapshot
	members func() *member.List
	now     func() time.Time

	mu      sync.Mutex
	pools   map[string]*pool
	leaving bool
}

// New returns an empty tracker that reads the limits of pools from tables and
// their instances from members.
func New(tables func() *table.Snapshot, members func() *member.List, now func() time.Time) *Tracker {
	return &Tracker{tables: tables, members: members, now: now, pools: map[string]*pool{}}
}

// Leave stops the tracker from answering.
func (t *Tracker) Leave() {
	t.mu.Lock()
	t.leaving = true
	t.mu.Unlock()
}

// Announce records how far an agent has come and answers whether it may switch.
func (t *Tracker) Announce(args message.AnnounceArgs, reply *message.AnnounceReply) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.leaving {
		return errLeaving
	}
	now := t.now()
	known, err := t.pool(args.Pool, now)
	if err != nil {
		return err
	}
	entry, err := known.record(args.Instance)
	if err != nil {
		return err
	}
	entry.AnnounceArgs, entry.at = args, now
	reply.Next = known.interval()
	if !args.Wants {
		entry.permitUntil = time.Time{}
		return nil
	}
	if reply.Refusal = t.refusal(known, entry, now); reply.Refusal != "" {
		return nil
	}
	entry.permitUntil = now.Add(permitLifetime)
	reply.Permit, reply.Lifetime = true, permitLifetime
	reply.Next = min(reply.Next, holderInterval)
	return nil
}

// pool returns the records of the named pool without those that are too old.
func (t *Tracker) pool(name string, now time.Time) (*pool, error) {
	if t.pools[name] == nil {
		if len(t.pools) >= maxPools {
			return nil, errFull
		}
		t.pools[name] = &pool{since: now, records: map[string]*record{}}
	}
	known := t.pools[name]
	for instance, entry := range known.records {
		if now.Sub(entry.at) > switchTTL {
			delete(known.records, instance)
		}
	}
	return known, nil
}

func (p *pool) record(instance string) (*record, error) {
	if p.records[instance] == nil {
		if len(p.records) >= maxInstances {
			return nil, errFull
		}
		p.records[instance] = &record{}
	}
	return p.records[instance], nil
}

// interval is the time between two announcements of one instance.
func (p *pool) interval() time.Duration {
	return max(minInterval, time.Duration(len(p.records))*intervalPerInstance)
}

// switching reports whether the instance is, or may be, out for a switch.
func (r *record) switching(now time.Time) bool {
	return now.Before(r.permitUntil) || r.Stage == rollout.StageDraining || r.Stage == rollout.StageLoading
}

// serving reports whether the instance has admitted requests within ttl.
func (r *record) serving(now time.Time, ttl time.Duration) bool {
	return r.Open && !r.switching(now) && now.Sub(r.at) <= ttl
}

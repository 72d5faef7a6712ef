// Package tracker is an entry's soft state about the distribution of weights:
// which instance holds which chunks, and who may switch versions now. It is
// rebuilt from the announcements of agents.
package tracker

import (
	"sync"
	"time"

	"plantainrelay/internal/message"
	"plantainrelay/internal/rollout"
	"plantainrelay/internal/table"
	"plantainrelay/internal/weights"
)

const (
	// announcementTTL is how long an announcement counts.
	announcementTTL = 10 * time.Second
	maxManifests    = 64
	maxInstances    = 4096
)

type announcement struct {
	message.AnnounceArgs
	at time.Time
}

// Tracker holds the announcements by manifest. It is safe for concurrent use.
type Tracker struct {
	tables func() *table.Snapshot
	now    func() time.Time

	mu        sync.Mutex
	manifests map[weights.Digest]map[string]announcement
	leaving   bool
}

// New returns an empty tracker that reads the limits of pools from tables.
func New(tables func() *table.Snapshot, now func() time.Time) *Tracker {
	return &Tracker{tables: tables, now: now, manifests: map[weights.Digest]map[string]announcement{}}
}

// Leave stops the tracker from answering.
func (t *Tracker) Leave() {
	t.mu.Lock()
	t.leaving = true
	t.mu.Unlock()
}

// Announce records what an agent holds and answers with the other holders.
func (t *Tracker) Announce(args message.AnnounceArgs, reply *message.AnnounceReply) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.leaving {
		return errLeaving
	}
	now := t.now()
	instances := t.instances(args.Manifest, now)
	if instances == nil {
		return errFull
	}
	if args.Stage == rollout.StageWaiting && t.permits(args, instances) {
		reply.Permit = true
		// The permit counts from now on, before the agent acts on it.
		args.Stage = rollout.StageDraining
	}
	instances[args.Instance] = announcement{AnnounceArgs: args, at: now}
	for name, other := range instances {
		if name != args.Instance {
			reply.Holders = append(reply.Holders, holder(other.AnnounceArgs))
		}
	}
	return nil
}

func holder(args message.AnnounceArgs) message.Holder {
	return message.Holder{
		Instance:         args.Instance,
		AvailabilityZone: args.AvailabilityZone,
		Region:           args.Region,
		HTTPAddress:      args.HTTPAddress,
		Have:             args.Have,
	}
}

// instances returns the current announcements for manifest, or nil when the
// tracker is full.
func (t *Tracker) instances(manifest weights.Digest, now time.Time) map[string]announcement {
	for digest, instances := range t.manifests {
		for name, known := range instances {
			if now.Sub(known.at) > announcementTTL {
				delete(instances, name)
			}
		}
		if len(instances) == 0 {
			delete(t.manifests, digest)
		}
	}
	if t.manifests[manifest] == nil {
		if len(t.manifests) >= maxManifests {
			return nil
		}
		t.manifests[manifest] = map[string]announcement{}
	}
	if len(t.manifests[manifest]) >= maxInstances {
		return nil
	}
	return t.manifests[manifest]
}

// permits reports whether one more instance may be out of service: fewer than
// the pool's limit are out in its availability zone, and another instance of
// the pool, if there is one, keeps serving.
func (t *Tracker) permits(args message.AnnounceArgs, instances map[string]announcement) bool {
	snapshot := t.tables()
	if snapshot == nil {
		return false
	}
	pool, found := snapshot.Pool(args.Pool)
	if !found {
		return false
	}
	others, switching, switchingInZone := 0, 0, 0
	for name, other := range instances {
		if name == args.Instance || other.Pool != args.Pool {
			continue
		}
		others++
		if other.Stage != rollout.StageDraining && other.Stage != rollout.StageLoading {
			continue
		}
		switching++
		if other.AvailabilityZone == args.AvailabilityZone {
			switchingInZone++
		}
	}
	lastOne := others > 0 && switching == others
	return switchingInZone < pool.MaxUnavailable && !lastOne
}

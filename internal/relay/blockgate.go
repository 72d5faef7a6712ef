package relay

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"plantainrelay/internal/beat"
	"plantainrelay/internal/clock"
	"plantainrelay/internal/copies"
	"plantainrelay/internal/replica"
	"plantainrelay/platform"
)

const (
	// maxBlocksWait bounds how long a request waits until this entry knows the collection,
	// longer than peerNewsTimeout; blocksCheckInterval is the time between two
	// checks.
	maxBlocksWait       = 700 * time.Millisecond
	blocksCheckInterval = 10 * time.Millisecond
	// peerNewsTimeout is how long after a pause requests wait for a message of another entry:
	// some heartbeats. An entry that hears none by then is alone, or cut off.
	peerNewsTimeout = 600 * time.Millisecond
	// blocksUnknownRetryAfter is the Retry-After of a request that is refused because this
	// entry has just started and could not read the blocked parts yet.
	blocksUnknownRetryAfter = 500 * time.Millisecond
	reasonBlocksUnknown     = "blocks_unknown"
)

// blockGate holds back requests until this entry knows what the others know of a collection,
// such as the parts that they have blocked: after its start, and after a pause. It is safe for
// concurrent use.
type blockGate struct {
	// kind is the collection; empty for the blocked parts.
	kind   platform.Kind
	copies *copies.Copies
	view   *view
	// learnBy is when a starting entry serves requests although it could not read the
	// collection: the store is unavailable, and no other entry knows it.
	learnBy time.Time
	// applied is set once the collection has been decoded and is in force, which is shortly
	// after it was read; nil if reading it is enough.
	applied *atomic.Bool

	mu sync.Mutex
	// heardAt is the latest time at which another entry knew no more than this one.
	heardAt time.Time
}

// messageReceived notes that a message of another entry was handled. It counts if its
// sender had no newer copy of the collection.
func (g *blockGate) messageReceived(m *beat.Message) {
	index := slices.Index(platform.Kinds, g.collection())
	if m.ComposedAfter.IsZero() || len(m.Collections) <= index {
		return
	}
	state := m.Collections[index]
	if content := (replica.Revision{Era: state.Era, Number: state.Content}); state.Known && content.After(g.copies.CollectionState(g.collection()).Content) {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if m.ComposedAfter.After(g.heardAt) {
		g.heardAt = m.ComposedAfter
	}
}

// collection returns the collection that the gate waits for.
func (g *blockGate) collection() platform.Kind { return cmp.Or(g.kind, platform.Blocks) }

// hasRead reports whether this entry has read the collection since its start, from the
// store or from another entry, or has given up.
func (g *blockGate) hasRead(now time.Time) bool {
	if !now.Before(g.learnBy) || g.applied != nil && g.applied.Load() {
		return true
	}
	return g.applied == nil && g.copies.CollectionState(g.collection()).Known
}

// isOpen reports whether this entry knows the collection. It returns false if it has just
// started or was paused, and has not learned them since.
func (g *blockGate) isOpen(now time.Time) bool {
	if !g.hasRead(now) {
		return false
	}
	pauseEnd := g.view.lastPauseEnd(now)
	if pauseEnd.IsZero() || now.Sub(pauseEnd) > peerNewsTimeout {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.heardAt.After(pauseEnd)
}

// await waits until the gate is open, and reports whether it is.
func (g *blockGate) await(ctx context.Context) bool {
	for limit := clock.Now().Add(maxBlocksWait); ; {
		now := clock.Now()
		if g.isOpen(now) {
			return true
		}
		if !now.Before(limit) || ctx.Err() != nil {
			return false
		}
		clock.Sleep(ctx, blocksCheckInterval)
	}
}

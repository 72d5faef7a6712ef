package simulation

import (
	"time"

	"plantainrelay/internal/duty"
	"plantainrelay/internal/replica"
)

// The settings of package copies and of its users relay and loader.
const (
	responseSlack        = 700 * time.Millisecond
	backoffCheckInterval = 50 * time.Millisecond
	pullTimeout          = time.Second
	pullHedgeDelay       = 300 * time.Millisecond
)

// plan holds the settings that keep one collection current, as in package copies.
type plan struct {
	duty.Plan
	checkInterval, batchDelay time.Duration
	minPullInterval           time.Duration
}

// collectionState is the state of a collection as reported to peers.
type collectionState struct {
	known   bool
	content replica.Revision
	age     time.Duration
}

// collection is a process's copy of one collection.
type collection struct {
	replica  *replica.Replica
	reader   *duty.Reader
	plan     plan
	lastPull time.Time
	pulls    map[string]time.Time
}

// copies keeps the copies of one incarnation current, like package copies.
type copies struct {
	process     *process
	collections [collections]*collection
	maxPulls    int
	// shouldWatch is nil for a process that is never the assigned watcher. changed is
	// called after a collection has changed.
	shouldWatch              func(kind int) bool
	changed                  func(kind int)
	storeAvailabilityChanged func()
}

func newCopies(p *process, plans [collections]plan, maxPulls int) *copies {
	c := &copies{process: p, maxPulls: maxPulls, shouldWatch: func(int) bool { return false }, storeAvailabilityChanged: func() {}}
	for kind, plan := range plans {
		c.collections[kind] = &collection{replica: replica.New(), reader: duty.NewReader(plan.Plan, p.world.now), plan: plan, pulls: map[string]time.Time{}}
	}
	return c
}

func (c *copies) now() time.Time { return c.process.world.now }

func (c *copies) begin() {
	for kind := range c.collections {
		if kind == blockedParts && (!c.process.world.scenario.Prompts || c.process.entry == nil) {
			continue
		}
		c.keepCurrent(kind)
	}
}

// keepCurrent decides whether to read the store, and returns when it has to decide again.
func (c *copies) keepCurrent(kind int) {
	held := c.collections[kind]
	again := func() { c.keepCurrent(kind) }
	state := duty.CopyState{Known: held.replica.Known(), Age: c.now().Sub(held.replica.Proof())}
	assigned := c.shouldWatch(kind) || c.process.world.scenario.Mutation == WatchAlways && c.process.entry != nil
	reason, wait := held.reader.Next(state, assigned, c.now())
	switch reason {
	case duty.BackingOff:
		c.process.after(backoffCheckInterval, again)
	case duty.None:
		c.process.after(held.plan.checkInterval, again)
	default:
		c.read(kind, reason, wait, again)
	}
}

// read calls the store once, and next at the end.
func (c *copies) read(kind int, reason duty.Reason, wait time.Duration, next func()) {
	held, proof := c.collections[kind], c.now()
	held.reader.CallStarted(reason, wait, proof)
	from := int64(0)
	if held.replica.Known() {
		from = held.replica.AsOf().Number
	}
	ended := false
	end := func(err bool, changed bool) {
		if ended {
			return
		}
		ended = true
		c.readEnded(held, err)
		if changed {
			c.process.after(held.plan.batchDelay, next)
		} else {
			next()
		}
	}
	answered := func(result storeResult, change replica.Change) {
		if ended {
			return
		}
		if result == storeAnswered {
			c.apply(kind, change, proof, "store")
		}
		end(result == storeFailed, len(change.Documents) > 0)
	}
	store := c.process.world.store
	store.call(c.process, kind, from, wait, func(result storeResult, change replica.Change) {
		if result == historyGone && !ended {
			store.call(c.process, kind, 0, 0, answered)
			return
		}
		answered(result, change)
	})
	c.process.after(wait+duty.OverdueDelay+time.Millisecond, func() {
		if !ended {
			c.storeAvailabilityChanged()
		}
	})
	c.process.after(wait+responseSlack, func() { end(true, false) })
}

func (c *copies) readEnded(held *collection, failed bool) {
	before := held.reader.StoreUnavailable(c.now())
	switch {
	case !failed:
		held.reader.CallSucceeded()
	case c.process.world.scenario.Mutation == NoBackoff:
		held.reader.CallFailed(c.now().Add(-maxSlowness), 0)
	default:
		held.reader.CallFailed(c.now(), c.process.world.random.Float64())
	}
	if before != held.reader.StoreUnavailable(c.now()) {
		c.storeAvailabilityChanged()
	}
}

func (c *copies) storeUnavailable() bool {
	for _, held := range c.collections {
		if held.reader.StoreUnavailable(c.now()) {
			return true
		}
	}
	return false
}

func (c *copies) apply(kind int, change replica.Change, proof time.Time, source string) {
	held := c.collections[kind]
	known := held.replica.Known()
	changed := held.replica.Apply(change, proof)
	if len(changed) == 0 && known == held.replica.Known() {
		return
	}
	if kind != backends {
		c.process.world.record(c.process.host, "collection changed", held.replica.Content().Number, c.now().Sub(proof), source)
	}
	c.changed(kind)
}

// states returns the states of the collections for a message.
func (c *copies) states() [collections]collectionState {
	var states [collections]collectionState
	for kind, held := range c.collections {
		states[kind] = collectionState{known: held.replica.Known(), content: held.replica.Content(), age: c.now().Sub(held.replica.Proof())}
	}
	return states
}

// messageReceived handles the states in a peer's message and pulls what is newer there.
func (c *copies) messageReceived(from *process, states [collections]collectionState, composedAfter time.Time) {
	for kind, state := range states {
		held := c.collections[kind]
		if !state.known || kind == blockedParts && c.process.entry == nil {
			continue
		}
		if !composedAfter.IsZero() {
			held.replica.RecordProof(state.content, composedAfter.Add(-state.age))
		}
		newer := !held.replica.Known() || state.content.After(held.replica.Content())
		if newer && held.tryBeginPull(from.host, c.maxPulls, c.now()) {
			c.pull(kind, from)
		}
	}
}

func (h *collection) tryBeginPull(host string, limit int, now time.Time) bool {
	if !h.lastPull.IsZero() && now.Sub(h.lastPull) < h.plan.minPullInterval {
		return false
	}
	if _, asked := h.pulls[host]; asked || len(h.pulls) >= limit {
		return false
	}
	for _, at := range h.pulls {
		if now.Sub(at) < pullHedgeDelay {
			return false
		}
	}
	h.pulls[host] = now
	return true
}

// pull asks a peer for the changes of a collection.
func (c *copies) pull(kind int, from *process) {
	w, held, asked, ended := c.process.world, c.collections[kind], c.now(), false
	since := held.replica.AsOf()
	end := func(succeeded bool) {
		ended = true
		delete(held.pulls, from.host)
		if succeeded {
			held.lastPull = asked
		}
	}
	life := c.process.life
	w.transfer(c.process.number, from.number, c.process.zone, from.zone, func() {
		from.run(func() {
			peer := from.copies().collections[kind].replica
			if !peer.Known() {
				return
			}
			change, age := peer.Since(since), w.now.Sub(peer.Proof())
			w.transfer(from.number, c.process.number, from.zone, c.process.zone, func() {
				if c.process.life != life {
					return
				}
				c.process.run(func() {
					if !ended {
						end(true)
						c.apply(kind, change, asked.Add(-age), from.host)
					}
				})
			})
		})
	})
	c.process.after(pullTimeout, func() {
		if !ended {
			end(false)
		}
	})
}

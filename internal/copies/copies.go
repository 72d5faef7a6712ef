// Package copies keeps a process's copies of the platform's collections current. It
// reads the store itself when this process is assigned to do so or when no changes
// arrive from peers, and otherwise applies the changes that peers send.
package copies

import (
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"plantainrelay/internal/clock"
	"plantainrelay/internal/duty"
	"plantainrelay/internal/replica"
	"plantainrelay/platform"
)

// minStaleProofAge is the least age of a proof beyond which its renewal by a peer is
// logged. It is longer than the interval between two reads of the tables by an assigned
// watcher.
const minStaleProofAge = 4 * time.Second

// minRandomRank and maxRandomRank bound the rank of a process that does not know its own.
// They are high, because all of them receive the collections from those that do.
const (
	minRandomRank = 10
	maxRandomRank = 30
)

// Plan holds the settings that keep one collection current.
type Plan struct {
	duty.Plan
	// CheckInterval is the time between two checks of the age of the copy.
	CheckInterval time.Duration
	// BatchDelay is the delay after a change before the next watch. It batches the
	// changes of a burst, because each watch that returns costs a call.
	BatchDelay time.Duration
}

// staleProofAge is the age of a proof beyond which its renewal by a peer is logged.
func (p Plan) staleProofAge() time.Duration { return max(minStaleProofAge, 2*p.WatchTimeout) }

// CollectionState is the state of a collection as reported to peers.
type CollectionState struct {
	Known   bool
	Content replica.Revision
	// Versions is the sum of the documents' own versions.
	Versions int64
	Age      time.Duration
}

type collectionCopy struct {
	replica *replica.Replica
	// encodings holds the documents for peers.
	encodings *encodings
	// notifyMu is held during a call of Config.Changed.
	notifyMu sync.Mutex
	failedAt time.Time
	reader   *duty.Reader
	// readReason is why this process currently reads the store.
	readReason duty.Reason
}

// Config holds the dependencies and callbacks of Copies.
type Config struct {
	Store *platform.StoreClient
	Plans map[platform.Kind]Plan
	// Kinds are the collections that this process replicates; all when nil.
	Kinds []platform.Kind
	Log   *logrus.Entry
	// ShouldWatch reports whether this process is assigned to watch a collection of the
	// store; nil when it never is.
	ShouldWatch func(platform.Kind) bool
	// ListRank returns the rank of this process among those that list a collection after a
	// restore of the store; the first one has rank 0. When nil, the rank is random, from
	// minRandomRank to maxRandomRank.
	ListRank func(platform.Kind) int
	// Changed is called after a collection has changed, one call at a time for each
	// collection.
	Changed func(platform.Kind)
	// StoreAvailabilityChanged, when set, is called when the store may have become
	// unavailable or available again.
	StoreAvailabilityChanged func()
}

// Copies holds the copies of one process. It is safe for concurrent use.
type Copies struct {
	config Config

	mu     sync.Mutex
	plans  map[platform.Kind]Plan
	copies map[platform.Kind]*collectionCopy
	// era is the latest era of the store's revisions that this process knows of.
	era int64
}

// New returns empty copies.
func New(config Config) *Copies {
	if config.ShouldWatch == nil {
		config.ShouldWatch = func(platform.Kind) bool { return false }
	}
	if config.ListRank == nil {
		config.ListRank = func(platform.Kind) int { return minRandomRank + rand.IntN(maxRandomRank-minRandomRank+1) }
	}
	if config.StoreAvailabilityChanged == nil {
		config.StoreAvailabilityChanged = func() {}
	}
	if config.Kinds == nil {
		config.Kinds = platform.Kinds
	}
	c := &Copies{config: config, plans: config.Plans, copies: map[platform.Kind]*collectionCopy{}}
	for _, kind := range config.Kinds {
		c.copies[kind] = &collectionCopy{replica: replica.New(), encodings: newEncodings(), reader: duty.NewReader(c.plans[kind].Plan, clock.Now())}
	}
	return c
}

// replicates reports whether this process keeps a copy of a collection.
func (c *Copies) replicates(kind platform.Kind) bool { return c.copies[kind] != nil }

// encodings returns the documents of a collection for peers.
func (c *Copies) encodings(kind platform.Kind) *encodings { return c.copies[kind].encodings }

// SetPlans replaces the plans of all collections.
func (c *Copies) SetPlans(plans map[platform.Kind]Plan) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.plans = plans
	for kind, collection := range c.copies {
		collection.reader.SetPlan(plans[kind].Plan)
	}
}

func (c *Copies) plan(kind platform.Kind) Plan {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.plans[kind]
}

// CollectionState returns the state of one collection.
func (c *Copies) CollectionState(kind platform.Kind) CollectionState {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.replicates(kind) {
		return CollectionState{}
	}
	held := c.copies[kind].replica
	return CollectionState{Known: held.Known(), Content: held.Content(), Versions: held.Versions(), Age: clock.Now().Sub(held.Proof())}
}

// StoreUnavailable reports whether reads of the store fail, that is, whether the last
// call for any collection failed or one in progress is overdue.
func (c *Copies) StoreUnavailable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := clock.Now()
	for _, collection := range c.copies {
		if collection.reader.StoreUnavailable(now) {
			return true
		}
	}
	return false
}

// Snapshot is the state of a copy at one time.
type Snapshot struct {
	Documents map[string]replica.Document
	// Content is the content revision of the documents; Proof is the latest time at
	// which they are known to have been current.
	Content replica.Revision
	Proof   time.Time
}

// Snapshot returns the current state of the copy of one collection.
func (c *Copies) Snapshot(kind platform.Kind) Snapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	held := c.copies[kind].replica
	return Snapshot{Documents: maps.Clone(held.Documents()), Content: held.Content(), Proof: held.Proof()}
}

// Documents returns a copy of the documents of one collection.
func (c *Copies) Documents(kind platform.Kind) map[string]replica.Document {
	return c.Snapshot(kind).Documents
}

// ProofOf returns the latest time at which documents with the given content revision
// are known to have been current. Only the present documents and those before the last
// change are known.
func (c *Copies) ProofOf(kind platform.Kind, content replica.Revision) (proof time.Time, known bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.copies[kind].replica.ProofOf(content)
}

// Since returns the changes for a peer whose copy is complete up to revision, and the
// age of their proof. It returns false when this process has no copy.
func (c *Copies) Since(kind platform.Kind, revision replica.Revision) (replica.Change, time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	collection := c.copies[kind]
	if collection == nil || !collection.replica.Known() {
		return replica.Change{}, 0, false
	}
	return collection.replica.Since(revision), clock.Now().Sub(collection.replica.Proof()), true
}

// ApplyFromPeer applies a change received from a peer, with the time of its proof.
func (c *Copies) ApplyFromPeer(kind platform.Kind, change replica.Change, proof time.Time, peer string) {
	c.apply(kind, change, proof, peer)
}

// PeerStateReceived handles the state that a peer reported in a message that was not
// sent before sentAfter. A message with an unknown time renews no proof, because it may
// have been delayed. PeerStateReceived reports whether the peer has newer documents.
func (c *Copies) PeerStateReceived(kind platform.Kind, state CollectionState, sentAfter time.Time, peer string) bool {
	if !state.Known || !c.replicates(kind) {
		return false
	}
	c.recordEra(state.Content.Era, peer)
	c.mu.Lock()
	held, now := c.copies[kind].replica, clock.Now()
	previousProof := held.Proof()
	// A peer whose documents have higher versions knows of changes that the store has lost.
	if !sentAfter.IsZero() && state.Versions <= held.Versions() {
		held.RecordProof(state.Content, sentAfter.Add(-state.Age))
	}
	newProof, known, content, versions := held.Proof(), held.Known(), held.Content(), held.Versions()
	staleProofAge := c.plans[kind].staleProofAge()
	c.mu.Unlock()
	if known && now.Sub(previousProof) > staleProofAge && now.Sub(newProof) <= staleProofAge {
		c.config.Log.WithFields(logrus.Fields{
			"collection": string(kind), "peer": peer, "content": content.Number, "era": content.Era, "told_age_ms": state.Age.Milliseconds(),
			"message_age_ms": now.Sub(sentAfter).Milliseconds(), "last_proof_age_ms": now.Sub(previousProof).Milliseconds(),
			"proof_age_ms": now.Sub(newProof).Milliseconds(),
		}).Info("a peer renewed a stale proof")
	}
	return !known || state.Content.After(content) || state.Versions > versions
}

// AsOf returns the store revision up to which a copy is complete.
func (c *Copies) AsOf(kind platform.Kind) replica.Revision {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.copies[kind].replica.AsOf()
}

// Era returns the latest era of the store's revisions that this process knows of; 0 for a
// store that was never restored.
func (c *Copies) Era() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.era
}

// recordEra records the era of the store's revisions as seen in a response of the store or
// in the message of a peer. The copies of an earlier era are read again.
func (c *Copies) recordEra(era int64, source string) {
	if era <= c.Era() {
		return
	}
	ranks := map[platform.Kind]int{}
	for _, kind := range c.config.Kinds {
		ranks[kind] = c.config.ListRank(kind)
	}
	last, outdated := c.setEra(era, ranks)
	if outdated > 0 {
		c.config.Log.WithFields(logrus.Fields{"era": era, "last_era": last, "source": source, "collections": outdated}).
			Warning("the store was restored from an older copy; its collections are read again")
	}
}

// setEra raises the era, and returns the previous one and the number of copies that are
// outdated by it.
func (c *Copies) setEra(era int64, ranks map[platform.Kind]int) (last int64, outdated int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	last = c.era
	if era <= last {
		return last, 0
	}
	c.era = era
	for kind, collection := range c.copies {
		if collection.outdated(era) {
			collection.reader.StoreRestored(ranks[kind], clock.Now())
			outdated++
		}
	}
	return last, outdated
}

// outdated reports whether the copy is of an era before the given one. The caller holds
// Copies.mu.
func (c *collectionCopy) outdated(era int64) bool {
	return c.replica.Known() && c.replica.AsOf().Era < era
}

// apply merges a change from source, a peer or the store.
func (c *Copies) apply(kind platform.Kind, change replica.Change, proof time.Time, source string) {
	c.mu.Lock()
	collection := c.copies[kind]
	known, content := collection.replica.Known(), collection.replica.Content()
	documents := collection.replica.Apply(change, proof)
	collection.encodings.update(documents)
	changed := len(documents) > 0 || (!known && collection.replica.Known()) || content != collection.replica.Content()
	fields := logrus.Fields{
		"collection": string(kind), "source": source, "era": change.AsOf.Era, "as_of": change.AsOf.Number, "content": collection.replica.Content().Number,
		"changes": len(documents), "proof_age_ms": clock.Now().Sub(proof).Milliseconds(),
	}
	c.mu.Unlock()
	if changed {
		c.config.Log.WithFields(fields).Info("collection changed")
		collection.notifyMu.Lock()
		defer collection.notifyMu.Unlock()
		c.config.Changed(kind)
	}
}

// Package copies keeps a process's copies of the platform's collections
// current: it reads the store itself where it is this process's duty or where
// nobody else's news arrive, and otherwise takes what peers pass on.
package copies

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"plantainrelay/internal/clock"
	"plantainrelay/internal/duty"
	"plantainrelay/internal/failure"
	"plantainrelay/internal/replica"
	"plantainrelay/platform"
)

const (
	// answerSlack is how long an answer of the store may take beyond the time
	// that the watch waits; the store answers in milliseconds.
	answerSlack = 700 * time.Millisecond
	// pauseLook is the time between two looks at whether a pause is over.
	pauseLook = 50 * time.Millisecond
	// oldProof is the age of a proof beyond which its renewal by a peer is logged:
	// more than any wait between two reads of the store.
	oldProof = 4 * time.Second
	// storeSource names the store as the source of news.
	storeSource = "store"
)

// Plan says how one collection is kept current.
type Plan struct {
	duty.Plan
	// Look is the time between two looks at the age of the copy.
	Look time.Duration
	// Gather is the pause after news, in which more of a burst arrives: each watch
	// that returns is a call.
	Gather time.Duration
}

// Standing is a collection's state as told to peers.
type Standing struct {
	Known   bool
	Content int64
	Age     time.Duration
}

type copyOf struct {
	replica *replica.Replica
	// changing is held while others are told of news.
	changing sync.Mutex
	failedAt time.Time
	reader   *duty.Reader
	// reading says why this process reads the store.
	reading duty.Reason
}

// Config says what copies are kept current with and who is told of them.
type Config struct {
	Store *platform.Store
	Plans map[platform.Kind]Plan
	Log   *logrus.Entry
	// Watches reports whether reading a collection is this process's duty; nil when
	// it never is.
	Watches func(platform.Kind) bool
	// Changed is called, one call at a time for each collection, after news.
	Changed func(platform.Kind)
	// Lost, when set, is called after the result of Copies.Lost may have changed.
	Lost func()
}

// Copies holds the copies of one process. It is safe for concurrent use.
type Copies struct {
	config Config

	mu     sync.Mutex
	plans  map[platform.Kind]Plan
	copies map[platform.Kind]*copyOf
}

// New returns copies that know nothing.
func New(config Config) *Copies {
	if config.Watches == nil {
		config.Watches = func(platform.Kind) bool { return false }
	}
	if config.Lost == nil {
		config.Lost = func() {}
	}
	c := &Copies{config: config, plans: config.Plans, copies: map[platform.Kind]*copyOf{}}
	for _, kind := range platform.Kinds {
		c.copies[kind] = &copyOf{replica: replica.New(), reader: duty.NewReader(c.plans[kind].Plan, clock.Now())}
	}
	return c
}

// SetPlans replaces the plans of all collections.
func (c *Copies) SetPlans(plans map[platform.Kind]Plan) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.plans = plans
	for kind, held := range c.copies {
		held.reader.SetPlan(plans[kind].Plan)
	}
}

func (c *Copies) plan(kind platform.Kind) Plan {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.plans[kind]
}

// Run keeps the copies current until ctx ends.
func (c *Copies) Run(ctx context.Context) {
	var group sync.WaitGroup
	for _, kind := range platform.Kinds {
		group.Go(func() { c.follow(ctx, kind) })
	}
	group.Wait()
}

// Standing returns the state of one collection.
func (c *Copies) Standing(kind platform.Kind) Standing {
	c.mu.Lock()
	defer c.mu.Unlock()
	held := c.copies[kind].replica
	return Standing{Known: held.Known(), Content: held.Content(), Age: clock.Now().Sub(held.Proof())}
}

// Lost reports whether reads of the store fail: the last call for some collection
// did, or one in progress is overdue.
func (c *Copies) Lost() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := clock.Now()
	for _, held := range c.copies {
		if held.reader.Lost(now) {
			return true
		}
	}
	return false
}

// Snapshot is one state of a copy.
type Snapshot struct {
	Documents map[string]replica.Document
	// Content is the content revision of the documents, Proof when they were proven
	// to be current.
	Content int64
	Proof   time.Time
}

// Snapshot returns the present state of the copy of one collection.
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

// ProofOf returns when documents with the given content revision were proven to be
// current; known is false for those before the last change but one.
func (c *Copies) ProofOf(kind platform.Kind, content int64) (proof time.Time, known bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.copies[kind].replica.ProofOf(content)
}

// Since returns what a peer lacks and the age of its proof.
func (c *Copies) Since(kind platform.Kind, revision int64) (replica.Change, time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	held := c.copies[kind]
	if held == nil || !held.replica.Known() {
		return replica.Change{}, 0, false
	}
	return held.replica.Since(revision), clock.Now().Sub(held.replica.Proof()), true
}

// Take takes in news that a peer has passed on, with the time of their proof.
func (c *Copies) Take(kind platform.Kind, change replica.Change, proof time.Time, peer string) {
	c.apply(kind, change, proof, peer)
}

// Heard takes in a peer's standing, told in a message that was not sent before
// sentAfter. A message whose time is not known proves nothing: it may have waited.
// Heard reports whether the peer has news.
func (c *Copies) Heard(kind platform.Kind, standing Standing, sentAfter time.Time, peer string) bool {
	if !standing.Known {
		return false
	}
	c.mu.Lock()
	held, now := c.copies[kind].replica, clock.Now()
	last := held.Proof()
	if !sentAfter.IsZero() {
		held.Prove(standing.Content, sentAfter.Add(-standing.Age))
	}
	next, known, content := held.Proof(), held.Known(), held.Content()
	c.mu.Unlock()
	if known && now.Sub(last) > oldProof && now.Sub(next) <= oldProof {
		c.config.Log.WithFields(logrus.Fields{
			"collection": string(kind), "peer": peer, "content": content, "told_age_ms": standing.Age.Milliseconds(),
			"message_age_ms": now.Sub(sentAfter).Milliseconds(), "last_proof_age_ms": now.Sub(last).Milliseconds(),
			"proof_age_ms": now.Sub(next).Milliseconds(),
		}).Info("a peer renewed an old proof")
	}
	return !known || standing.Content > content
}

// AsOf returns the store's revision up to which a copy is complete.
func (c *Copies) AsOf(kind platform.Kind) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.copies[kind].replica.AsOf()
}

// apply takes in news from source, a peer or the store.
func (c *Copies) apply(kind platform.Kind, change replica.Change, proof time.Time, source string) {
	c.mu.Lock()
	held := c.copies[kind]
	known := held.replica.Known()
	documents := held.replica.Apply(change, proof)
	news := len(documents) > 0 || (!known && held.replica.Known())
	fields := logrus.Fields{
		"collection": string(kind), "source": source, "as_of": change.AsOf, "content": held.replica.Content(),
		"changes": len(documents), "proof_age_ms": clock.Now().Sub(proof).Milliseconds(),
	}
	c.mu.Unlock()
	if news {
		c.config.Log.WithFields(fields).Info("news of a collection")
		held.changing.Lock()
		defer held.changing.Unlock()
		c.config.Changed(kind)
	}
}

func (c *Copies) follow(ctx context.Context, kind platform.Kind) {
	for ctx.Err() == nil {
		reason, wait := c.next(kind)
		if reason == duty.Pausing {
			sleep(ctx, pauseLook)
			continue
		}
		c.noteReading(kind, reason)
		if reason == duty.None {
			sleep(ctx, c.plan(kind).Look)
			continue
		}
		news, err := c.read(ctx, kind, reason, wait)
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			c.failed(kind, err)
		case news:
			c.succeeded(kind)
			sleep(ctx, c.plan(kind).Gather)
		default:
			c.succeeded(kind)
		}
	}
}

// next asks whether this process reads the store now.
func (c *Copies) next(kind platform.Kind) (duty.Reason, time.Duration) {
	onDuty, standing := c.config.Watches(kind), c.Standing(kind)
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.copies[kind].reader.Next(duty.Copy{Known: standing.Known, Age: standing.Age}, onDuty, clock.Now())
}

// noteReading logs when a process begins or ceases to read the store.
func (c *Copies) noteReading(kind platform.Kind, reason duty.Reason) {
	c.mu.Lock()
	held := c.copies[kind]
	last := held.reading
	held.reading = reason
	fields := logrus.Fields{
		"collection": string(kind), "reason": reason, "last_reason": last, "content": held.replica.Content(),
		"proof_age_ms": clock.Now().Sub(held.replica.Proof()).Milliseconds(),
	}
	c.mu.Unlock()
	if reason != last {
		c.config.Log.WithFields(fields).Info("reading the store has begun, changed or ended")
	}
}

// read makes one call of the store and takes in the result.
func (c *Copies) read(ctx context.Context, kind platform.Kind, reason duty.Reason, wait time.Duration) (news bool, err error) {
	proof := clock.Now()
	c.mu.Lock()
	held := c.copies[kind]
	held.reader.Began(reason, wait, proof)
	known, from := held.replica.Known(), held.replica.AsOf()
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, wait+answerSlack)
	defer cancel()
	overdue := time.AfterFunc(wait+duty.Overdue+time.Millisecond, c.config.Lost)
	defer overdue.Stop()
	if known {
		change, err := c.config.Store.Watch(ctx, kind, from, wait)
		if err == nil {
			c.apply(kind, change, proof, storeSource)
			return len(change.Documents) > 0, nil
		}
		if !failure.Is(err, failure.NotFound) {
			return false, err
		}
		c.config.Log.WithField("collection", string(kind)).Info("the store has dropped this history; listing the collection")
	}
	change, err := c.config.Store.List(ctx, kind)
	if err != nil {
		return false, err
	}
	c.apply(kind, change, proof, storeSource)
	return true, nil
}

func (c *Copies) failed(kind platform.Kind, err error) {
	c.mu.Lock()
	held, now := c.copies[kind], clock.Now()
	held.reader.Failed(now, rand.Float64())
	first := held.failedAt.IsZero()
	held.failedAt = now
	c.mu.Unlock()
	if first {
		c.config.Lost()
		c.config.Log.WithError(err).WithField("collection", string(kind)).Warning("the store was lost")
	}
}

func (c *Copies) succeeded(kind platform.Kind) {
	c.mu.Lock()
	held := c.copies[kind]
	held.reader.Succeeded()
	failedAt := held.failedAt
	held.failedAt = time.Time{}
	c.mu.Unlock()
	if !failedAt.IsZero() {
		c.config.Lost()
		c.config.Log.WithField("collection", string(kind)).Info("the store was regained")
	}
}

func sleep(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

package copies

import (
	"context"
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
	// responseSlack is how long a response of the store may take beyond the timeout of
	// the watch; the store responds in milliseconds.
	responseSlack = 700 * time.Millisecond
	// backoffCheckInterval is the time between two checks of whether a backoff is over.
	backoffCheckInterval = 50 * time.Millisecond
	// storeSource names the store as the source of a change.
	storeSource = "store"
)

// Run keeps the copies current until ctx ends.
func (c *Copies) Run(ctx context.Context) {
	var group sync.WaitGroup
	for _, kind := range c.config.Kinds {
		group.Go(func() { c.keepCurrent(ctx, kind) })
	}
	group.Wait()
}

func (c *Copies) keepCurrent(ctx context.Context, kind platform.Kind) {
	for ctx.Err() == nil {
		reason, wait := c.nextRead(kind)
		if reason == duty.BackingOff {
			clock.Sleep(ctx, backoffCheckInterval)
			continue
		}
		c.logReadReason(kind, reason)
		if reason == duty.None {
			clock.Sleep(ctx, c.plan(kind).CheckInterval)
			continue
		}
		changed, err := c.read(ctx, kind, reason, wait)
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			c.readFailed(kind, err)
		case changed:
			c.readSucceeded(kind)
			clock.Sleep(ctx, c.plan(kind).BatchDelay)
		default:
			c.readSucceeded(kind)
		}
	}
}

// nextRead returns the reason to read the store now, if any, and how long the call may
// wait for a change.
func (c *Copies) nextRead(kind platform.Kind) (duty.Reason, time.Duration) {
	assigned, state := c.config.ShouldWatch(kind), c.CollectionState(kind)
	c.mu.Lock()
	defer c.mu.Unlock()
	collection := c.copies[kind]
	held := duty.CopyState{Known: state.Known, Age: state.Age, Outdated: collection.outdated(c.era)}
	return collection.reader.Next(held, assigned, clock.Now())
}

// logReadReason logs when the reason for reading the store changes.
func (c *Copies) logReadReason(kind platform.Kind, reason duty.Reason) {
	c.mu.Lock()
	collection := c.copies[kind]
	last := collection.readReason
	collection.readReason = reason
	fields := logrus.Fields{
		"collection": string(kind), "reason": reason, "last_reason": last, "content": collection.replica.Content().Number, "era": collection.replica.Content().Era,
		"proof_age_ms": clock.Now().Sub(collection.replica.Proof()).Milliseconds(),
	}
	c.mu.Unlock()
	if reason != last {
		c.config.Log.WithFields(fields).Info("reason for reading the store changed")
	}
}

// read calls the store once and applies the result.
func (c *Copies) read(ctx context.Context, kind platform.Kind, reason duty.Reason, wait time.Duration) (changed bool, err error) {
	proof := clock.Now()
	c.mu.Lock()
	collection := c.copies[kind]
	collection.reader.CallStarted(reason, wait, proof)
	watch, from := collection.replica.Known() && reason != duty.StoreRestored, collection.replica.AsOf()
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, wait+responseSlack)
	defer cancel()
	overdue := time.AfterFunc(wait+duty.OverdueDelay+time.Millisecond, c.config.StoreAvailabilityChanged)
	defer overdue.Stop()
	if watch {
		change, err := c.config.Store.Watch(ctx, kind, from, wait)
		c.recordEra(change.AsOf.Era, storeSource)
		switch {
		case c.Era() > from.Era && (err == nil || failure.Is(err, failure.NotFound)):
			// The next call lists the collection, unless a peer sends it first.
			return false, nil
		case err == nil:
			return len(change.Documents) > 0, c.applyResponse(kind, change, proof)
		case !failure.Is(err, failure.NotFound):
			return false, err
		}
		c.config.Log.WithField("collection", string(kind)).Info("the store no longer has the changes since this revision; listing the collection")
	}
	change, err := c.config.Store.List(ctx, kind)
	c.recordEra(change.AsOf.Era, storeSource)
	if err != nil {
		return false, err
	}
	return true, c.applyResponse(kind, change, proof)
}

// applyResponse applies a response of the store, unless the store was restored since it
// made the response.
func (c *Copies) applyResponse(kind platform.Kind, change replica.Change, proof time.Time) error {
	if era := c.Era(); change.AsOf.Era < era {
		return failure.New(failure.Refused, "wait until the store recovers", "the store's response for %s is of era %d, before era %d", kind, change.AsOf.Era, era)
	}
	c.apply(kind, change, proof, storeSource)
	return nil
}

func (c *Copies) readFailed(kind platform.Kind, err error) {
	c.mu.Lock()
	collection, now := c.copies[kind], clock.Now()
	collection.reader.CallFailed(now, rand.Float64())
	first := collection.failedAt.IsZero()
	collection.failedAt = now
	c.mu.Unlock()
	if first {
		c.config.StoreAvailabilityChanged()
		c.config.Log.WithError(err).WithField("collection", string(kind)).Warning("the store cannot be read; retrying with backoff")
	}
}

func (c *Copies) readSucceeded(kind platform.Kind) {
	c.mu.Lock()
	collection := c.copies[kind]
	collection.reader.CallSucceeded()
	failedAt := collection.failedAt
	collection.failedAt = time.Time{}
	c.mu.Unlock()
	if !failedAt.IsZero() {
		c.config.StoreAvailabilityChanged()
		c.config.Log.WithField("collection", string(kind)).Info("the store can be read again")
	}
}

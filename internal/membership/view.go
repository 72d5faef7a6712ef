// Package membership maintains this process's view of the instances. It
// combines the platform's list, which a few processes read and all processes
// replicate, with what this process observed in its own calls.
package membership

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"plantainrelay/internal/failure"
	"plantainrelay/internal/logging"
	"plantainrelay/internal/member"
	"plantainrelay/internal/platform"
	"plantainrelay/internal/propagate"
)

const (
	readTimeout = 3 * time.Second
	// maxBackoffFactor is the maximum multiple of the interval between two reads
	// while they fail.
	maxBackoffFactor = 8
	// directReadPeriod is how long this process reads the list from the platform
	// itself after a direct read was last requested.
	directReadPeriod = 10 * time.Second
)

// Config holds the settings of a View.
type Config struct {
	Self member.Instance
	// Interval is the mean time between two reads of the platform's list by a
	// process that reads it.
	Interval time.Duration
}

// View is this process's view of the instances. It is safe for concurrent use.
type View struct {
	config           Config
	source           platform.InstanceList
	log              *logrus.Entry
	now              func() time.Time
	current          atomic.Pointer[member.List]
	lastPlatformRead atomic.Pointer[platformRead]
	platformReads    atomic.Int64
	// directReadRequested is the time at which a direct read was last requested,
	// in Unix nanoseconds.
	directReadRequested atomic.Int64

	mu         sync.Mutex
	replicated member.ReplicatedList
	registry   *member.Registry
	lastRead   time.Time
	failures   int
	changed    chan struct{}
}

// New returns a View without instances.
func New(config Config, source platform.InstanceList, log *logrus.Entry) *View {
	view := &View{config: config, source: source, log: log, now: time.Now, registry: member.NewRegistry(), changed: make(chan struct{}, 1)}
	view.current.Store(&member.List{})
	view.lastPlatformRead.Store(&platformRead{})
	return view
}

// Current returns the known instances, sorted by name. It is empty until the
// first list is received.
func (v *View) Current() *member.List {
	return v.current.Load()
}

// DirectRead returns the list as this process itself last read it from the
// platform, and the time at which that read was started, which is zero before
// the first one. The ownership of keys is based on it. A process that uses this
// method keeps reading the list from the platform itself, even if it is not one
// of the readers of its zone.
func (v *View) DirectRead() (*member.List, time.Time) {
	v.directReadRequested.Store(v.now().UnixNano())
	last := v.lastPlatformRead.Load()
	return &last.list, last.startedAt
}

// platformRead is a list read from the platform, with the time at which the
// read was started.
type platformRead struct {
	list      member.List
	startedAt time.Time
}

// Changed returns a channel that receives a value after each change. It
// supports a single receiver.
func (v *View) Changed() <-chan struct{} { return v.changed }

// ReadCount returns the number of reads of the platform's list by this process.
func (v *View) ReadCount() int64 { return v.platformReads.Load() }

// Run reads the platform's list periodically while this process is one of its
// readers. It returns when ctx is done.
func (v *View) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if v.isReader() {
			v.poll(ctx)
		}
		v.expire()
		select {
		case <-ctx.Done():
		case <-time.After(v.pollDelay()):
		}
	}
}

func (v *View) isReader() bool {
	if v.now().Sub(time.Unix(0, v.directReadRequested.Load())) < directReadPeriod {
		return true
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	return propagate.ShouldReadList(v.config.Self, v.Current().Instances, v.now().Sub(v.lastRead))
}

func (v *View) pollDelay() time.Duration {
	v.mu.Lock()
	factor := min(1<<min(v.failures, 30), maxBackoffFactor)
	v.mu.Unlock()
	wait := v.config.Interval * time.Duration(factor)
	return wait - wait/8 + rand.N(wait/4+1)
}

func (v *View) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	v.platformReads.Add(1)
	started := v.now()
	list, err := v.source.Instances(ctx)
	if err == nil && v.now().Sub(started) > readTimeout {
		// The process was paused, and the list may be as old as the pause.
		err = failure.New(failure.NotReachable, "wait for the next read", "the read took longer than its timeout of %s", readTimeout)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if err != nil {
		v.failures++
		v.log.WithError(err).Warning("the list of instances cannot be read; the last known list stays in use")
		return
	}
	v.failures = 0
	if started.After(v.lastRead) {
		v.lastRead = started
	}
	v.lastPlatformRead.Store(&platformRead{list: list, startedAt: started})
	if v.replicated.ApplyRead(&list, started.UnixMilli()) {
		v.applyList()
	}
}

// Merge applies parts of the list received from a peer.
func (v *View) Merge(parts []member.Part) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.replicated.Merge(parts) {
		v.applyList()
	}
}

// applyList applies the replicated list to the view. The caller holds mu.
func (v *View) applyList() {
	kept := v.registry.KeptCount()
	v.registry.Update(v.replicated.List(), v.now())
	if now := v.registry.KeptCount(); now > kept {
		v.log.WithField("kept", now).Error("the list of instances dropped too many at once; they are kept until confirmed gone; check the platform's list")
	}
	v.publish()
}

func (v *View) publish() {
	v.current.Store(v.registry.List())
	select {
	case v.changed <- struct{}{}:
	default:
	}
}

func (v *View) expire() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.registry.Expire(v.now()) {
		v.publish()
	}
}

// RecordRead records that another process read the list at since or later.
func (v *View) RecordRead(since time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if since.After(v.lastRead) {
		v.lastRead = since
	}
}

// LastReadTime returns the time of the latest known read of the list, by this
// process or another one.
func (v *View) LastReadTime() time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.lastRead
}

// Digest returns the highest stamp of the replicated list and a hash over all
// stamps.
func (v *View) Digest() (stamp int64, hash uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.replicated.Digest()
}

// Stamps returns the stamps of the parts of the replicated list, by index.
func (v *View) Stamps() []int64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.replicated.Stamps()
}

// Newer returns the parts of the replicated list whose stamps are higher than
// the given ones.
func (v *View) Newer(stamps []int64) []member.Part {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.replicated.Newer(stamps)
}

// Answered records that an instance answered with the given incarnation.
func (v *View) Answered(name string, incarnation uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.registry.Answered(name, incarnation, v.now()) {
		v.log.WithField(logging.FieldInstance, name).Info("the instance answered with a new incarnation")
		v.publish()
	}
}

// Failed records that a call to an instance failed.
func (v *View) Failed(name string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.registry.Failed(name)
}

// Probes returns the instances to probe because they were dropped from the
// list and have not answered recently.
func (v *View) Probes() []member.Instance {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.registry.Probes(v.now())
}

// StatusCounts returns the number of instances in each status.
func (v *View) StatusCounts() map[member.PeerStatus]int {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.now()
	counts := map[member.PeerStatus]int{member.StatusUnlisted: len(v.registry.Unlisted(now))}
	for _, instance := range v.Current().Instances {
		counts[v.registry.Status(instance.Name, now)]++
	}
	return counts
}

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

	"plantainrelay/internal/logging"
	"plantainrelay/internal/member"
	"plantainrelay/internal/platform"
	"plantainrelay/internal/propagate"
)

const (
	callTimeout = 3 * time.Second
	// maxBackoff is the maximum multiple of the interval between two reads
	// while they fail.
	maxBackoff = 8
	// demandTime is how long after a call of Read this process reads the list
	// from the platform itself.
	demandTime = 10 * time.Second
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
	config  Config
	port    platform.InstanceList
	log     *logrus.Entry
	current atomic.Pointer[member.List]
	reading atomic.Pointer[reading]
	reads   atomic.Int64
	// demanded is the time of the last call of Read, in Unix nanoseconds.
	demanded atomic.Int64

	mu        sync.Mutex
	directory member.Directory
	book      *member.Book
	lastRead  time.Time
	failures  int
	changed   chan struct{}
}

// New returns a View without instances.
func New(config Config, port platform.InstanceList, log *logrus.Entry) *View {
	view := &View{config: config, port: port, log: log, book: member.NewBook(), changed: make(chan struct{}, 1)}
	view.current.Store(&member.List{})
	view.reading.Store(&reading{})
	return view
}

// Current returns the known instances, sorted by name. It is empty until the
// first list is received.
func (v *View) Current() *member.List {
	return v.current.Load()
}

// Read returns the list as this process itself last read it from the platform,
// and the time at which that read was started, which is zero before the first
// one. The ownership of keys is based on it. A process that calls Read keeps
// reading the list from the platform itself, even if it is not one of the
// readers of its zone.
func (v *View) Read() (*member.List, time.Time) {
	v.demanded.Store(time.Now().UnixNano())
	last := v.reading.Load()
	return &last.list, last.at
}

// reading is a list read from the platform, with the time at which the read was
// started.
type reading struct {
	list member.List
	at   time.Time
}

// Changed returns a channel that receives a value after each change. It
// supports a single receiver.
func (v *View) Changed() <-chan struct{} { return v.changed }

// Reads returns the number of reads of the platform's list by this process.
func (v *View) Reads() int64 { return v.reads.Load() }

// Run reads the platform's list periodically while this process is one of its
// readers. It returns when ctx is done.
func (v *View) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if v.reader() {
			v.poll(ctx)
		}
		v.expire()
		select {
		case <-ctx.Done():
		case <-time.After(v.pause()):
		}
	}
}

func (v *View) reader() bool {
	if time.Since(time.Unix(0, v.demanded.Load())) < demandTime {
		return true
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	return propagate.Reads(v.config.Self, v.Current().Instances, time.Since(v.lastRead))
}

func (v *View) pause() time.Duration {
	v.mu.Lock()
	factor := min(1<<min(v.failures, 30), maxBackoff)
	v.mu.Unlock()
	wait := v.config.Interval * time.Duration(factor)
	return wait - wait/8 + rand.N(wait/4+1)
}

func (v *View) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	v.reads.Add(1)
	at := time.Now()
	list, err := v.port.Instances(ctx)
	v.mu.Lock()
	defer v.mu.Unlock()
	if err != nil {
		v.failures++
		v.log.WithError(err).Warning("the list of instances cannot be read; the last known list stays in use")
		return
	}
	v.failures = 0
	v.lastRead = time.Now()
	v.reading.Store(&reading{list: list, at: at})
	if v.directory.Read(&list, v.lastRead.UnixMilli()) {
		v.update()
	}
}

// Merge applies parts of the list received from a peer.
func (v *View) Merge(parts []member.Part) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.directory.Merge(parts) {
		v.update()
	}
}

// update applies the replicated list to the view. The caller holds mu.
func (v *View) update() {
	kept := v.book.Kept()
	v.book.Update(v.directory.List(), time.Now())
	if now := v.book.Kept(); now > kept {
		v.log.WithField("kept", now).Error("the list of instances dropped too many at once; they are kept until confirmed gone; check the platform's list")
	}
	v.publish()
}

func (v *View) publish() {
	v.current.Store(v.book.List())
	select {
	case v.changed <- struct{}{}:
	default:
	}
}

func (v *View) expire() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.book.Expire(time.Now()) {
		v.publish()
	}
}

// LearnRead records that another process read the list at since or later.
func (v *View) LearnRead(since time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if since.After(v.lastRead) {
		v.lastRead = since
	}
}

// LastRead returns the time of the latest known read of the list, by this
// process or another one.
func (v *View) LastRead() time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.lastRead
}

// Digest returns the highest stamp of the replicated list and a hash over all
// stamps.
func (v *View) Digest() (stamp int64, hash uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.directory.Digest()
}

// Stamps returns the stamps of the parts of the replicated list, by index.
func (v *View) Stamps() []int64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.directory.Stamps()
}

// Newer returns the parts of the replicated list whose stamps are higher than
// the given ones.
func (v *View) Newer(stamps []int64) []member.Part {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.directory.Newer(stamps)
}

// Answered records that an instance answered with the given incarnation.
func (v *View) Answered(name string, incarnation uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.book.Answered(name, incarnation, time.Now()) {
		v.log.WithField(logging.FieldInstance, name).Info("the instance answered with a new incarnation")
		v.publish()
	}
}

// Failed records that a call to an instance failed.
func (v *View) Failed(name string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.book.Failed(name)
}

// Probes returns the instances to probe because they were dropped from the
// list and have not answered recently.
func (v *View) Probes() []member.Instance {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.book.Probes(time.Now())
}

// Standings returns the number of instances in each status.
func (v *View) Standings() map[member.Standing]int {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := time.Now()
	counts := map[member.Standing]int{member.StandingUnlisted: len(v.book.Unlisted(now))}
	for _, instance := range v.Current().Instances {
		counts[v.book.Standing(instance.Name, now)]++
	}
	return counts
}

// Package membership keeps this process's view of the instances: the
// platform's list, read by a few processes and passed on between all, joined
// with own evidence.
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
	// maxBackoff is the highest factor on the interval while reads fail.
	maxBackoff = 8
	// demandTime is how long a call of Read makes this process read the list.
	demandTime = 10 * time.Second
)

// Config holds the settings of a View.
type Config struct {
	Self member.Instance
	// Interval is the time between two reads of the platform's list by one of
	// the processes that read it.
	Interval time.Duration
}

// View is the instances as this process knows them. It is safe for concurrent
// use.
type View struct {
	config  Config
	port    platform.InstanceList
	log     *logrus.Entry
	current atomic.Pointer[member.List]
	reading atomic.Pointer[reading]
	reads   atomic.Int64
	// demanded is when Read was last called, in Unix nanoseconds.
	demanded atomic.Int64

	mu        sync.Mutex
	directory member.Directory
	book      *member.Book
	lastRead  time.Time
	failures  int
	changed   chan struct{}
}

// New returns a view without instances.
func New(config Config, port platform.InstanceList, log *logrus.Entry) *View {
	view := &View{config: config, port: port, log: log, book: member.NewBook(), changed: make(chan struct{}, 1)}
	view.current.Store(&member.List{})
	view.reading.Store(&reading{})
	return view
}

// Current returns the instances, sorted by name; it is empty before the first
// list was received.
func (v *View) Current() *member.List {
	return v.current.Load()
}

// Read returns the list as this process itself last read it from the platform,
// and when that was asked for; the time is zero before the first read. It is
// what the ownership of keys rests on. A process that calls it goes on to read
// the list itself, whether or not it is one of its zone's readers.
func (v *View) Read() (*member.List, time.Time) {
	v.demanded.Store(time.Now().UnixNano())
	last := v.reading.Load()
	return &last.list, last.at
}

// reading is one list with the time at which it was asked for.
type reading struct {
	list member.List
	at   time.Time
}

// Changed receives a value after each change. It has one receiver.
func (v *View) Changed() <-chan struct{} { return v.changed }

// Reads returns the number of reads of the platform's list.
func (v *View) Reads() int64 { return v.reads.Load() }

// Run reads the platform's list, when this process is one of its readers,
// until ctx ends.
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
		v.log.WithError(err).Warning("the list of instances is not available; the last one stays in use")
		return
	}
	v.failures = 0
	v.lastRead = time.Now()
	v.reading.Store(&reading{list: list, at: at})
	if v.directory.Read(&list, v.lastRead.UnixMilli()) {
		v.update()
	}
}

// Merge takes in parts of the list from a peer.
func (v *View) Merge(parts []member.Part) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.directory.Merge(parts) {
		v.update()
	}
}

// update joins the list again. The caller holds mu.
func (v *View) update() {
	kept := v.book.Kept()
	v.book.Update(v.directory.List(), time.Now())
	if now := v.book.Kept(); now > kept {
		v.log.WithField("kept", now).Error("the list dropped too many instances at once; they stay until they are confirmed gone, check the platform's list")
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

// LearnRead records that some process has read the list since then.
func (v *View) LearnRead(since time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if since.After(v.lastRead) {
		v.lastRead = since
	}
}

// LastRead returns the time of the newest read of the list that this process
// knows of, its own or another's.
func (v *View) LastRead() time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.lastRead
}

// Digest describes the list held; see member.Directory.
func (v *View) Digest() (stamp int64, hash uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.directory.Digest()
}

// Stamps returns the stamps of the parts held.
func (v *View) Stamps() []int64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.directory.Stamps()
}

// Newer returns the parts held that are newer than stamps.
func (v *View) Newer(stamps []int64) []member.Part {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.directory.Newer(stamps)
}

// Answered records that an instance answered under an incarnation.
func (v *View) Answered(name string, incarnation uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.book.Answered(name, incarnation, time.Now()) {
		v.log.WithField(logging.FieldInstance, name).Info("another incarnation answers")
		v.publish()
	}
}

// Failed records that an instance did not answer.
func (v *View) Failed(name string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.book.Failed(name)
}

// Probes returns instances that have to be asked whether they run.
func (v *View) Probes() []member.Instance {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.book.Probes(time.Now())
}

// Standings counts the instances that are not in good standing.
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

package relay

import (
	"bytes"
	"errors"
	"io"
	"sync"
	"time"

	"plantainrelay/internal/intake"
)

const (
	// segmentBytes is the size of the buffers that larger bodies are read into.
	segmentBytes = 16 << 10
	// memoryCheckInterval is how often a body that waits for memory asks again: others may
	// have stalled meanwhile.
	memoryCheckInterval = 50 * time.Millisecond
	// trimInterval is the time between two reductions of the unused segments.
	trimInterval = time.Second
	// trimShare of the unused segments, one in trimShare, is given up at a time.
	trimShare = 8
)

// errNoMemory means that a body got no memory, or had to give it to another one.
var errNoMemory = errors.New("no memory is left for the body")

// bodyStore keeps the bodies of the requests of a process within its budget. Segments are
// used again, since the garbage collector frees them only after some time. It is safe for
// concurrent use.
type bodyStore struct {
	limits intake.Limits

	mu     sync.Mutex
	budget *intake.Budget
	bodies map[*intake.Account]*body
	// unused holds segments that no body uses, fewest the smallest number of them since the
	// last reduction.
	unused [][]byte
	fewest int
	// returned is closed when memory has been given back.
	returned chan struct{}
}

func newBodyStore(limits intake.Limits) *bodyStore {
	return &bodyStore{limits: limits, budget: intake.NewBudget(limits), bodies: map[*intake.Account]*body{}, returned: make(chan struct{})}
}

// used returns the bytes that requests hold, and those in unused segments.
func (s *bodyStore) used() (held, unused int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.Used(), int64(len(s.unused) * segmentBytes)
}

// trim gives up some of the segments that were not needed since the last call.
func (s *bodyStore) trim() {
	s.mu.Lock()
	defer s.mu.Unlock()
	left := len(s.unused) - (s.fewest+trimShare-1)/trimShare
	clear(s.unused[left:])
	s.unused = s.unused[:left]
	s.fewest = left
}

// open returns the body of a request whose head takes headBytes. abort has to make its reads
// fail.
func (s *bodyStore) open(request intake.Request, headBytes int64, abort func()) *body {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := &body{store: s, abort: abort, deadline: request.Deadline, account: s.budget.Open(request, headBytes, time.Now())}
	s.bodies[b.account] = b
	return b
}

// body is what a request holds in memory: its body, and what is buffered for it beside.
type body struct {
	store    *bodyStore
	account  *intake.Account
	abort    func()
	deadline time.Time
	// size is the number of bytes in segments. It does not change once readers exist.
	size     int64
	segments [][]byte
	// readers counts the readers that are open. isReleased means that no more are needed,
	// isClosed that the request has ended.
	readers              int
	isReleased, isClosed bool
}

func (b *body) length() int64 {
	if b == nil {
		return 0
	}
	return b.size
}

// free returns the space in the last segment.
func (b *body) free() []byte {
	if len(b.segments) == 0 {
		return nil
	}
	last := b.segments[len(b.segments)-1]
	return last[len(last):cap(last)]
}

// received records that count bytes were read into free.
func (b *body) received(count int) {
	if count == 0 {
		return
	}
	last := len(b.segments) - 1
	b.segments[last] = b.segments[last][:len(b.segments[last])+count]
	b.size += int64(count)
	b.store.mu.Lock()
	defer b.store.mu.Unlock()
	b.store.budget.Received(b.account, int64(count), time.Now())
}

// grow adds a segment of up to missing bytes. It waits for memory and returns errNoMemory if
// there is none.
func (b *body) grow(missing int64) error {
	size := int64(segmentBytes)
	if b.size == 0 {
		// Small bodies with a length get what they need.
		size = min(size, missing)
	}
	giveUpAt := time.Now().Add(b.store.limits.WaitTime)
	if b.deadline.Before(giveUpAt) {
		giveUpAt = b.deadline
	}
	for {
		segment, returned, err := b.tryGrow(size)
		if err != nil {
			return err
		}
		if segment != nil {
			b.segments = append(b.segments, segment)
			return nil
		}
		left := time.Until(giveUpAt)
		if left <= 0 {
			return errNoMemory
		}
		timer := time.NewTimer(min(left, memoryCheckInterval))
		select {
		case <-returned:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// tryGrow returns an empty segment, or a channel that is closed when memory was given back.
func (b *body) tryGrow(size int64) (segment []byte, returned <-chan struct{}, err error) {
	s := b.store
	s.mu.Lock()
	defer s.mu.Unlock()
	if b.account.IsShed() {
		return nil, nil, errNoMemory
	}
	decision := s.budget.Grow(b.account, size, time.Now())
	for _, account := range decision.Shed {
		s.bodies[account].abort()
	}
	if !decision.Granted {
		return nil, s.returned, nil
	}
	if unused := len(s.unused); size == segmentBytes && unused > 0 {
		segment = s.unused[unused-1]
		s.unused = s.unused[:unused-1]
		s.fewest = min(s.fewest, unused-1)
		return segment, nil, nil
	}
	return make([]byte, 0, size), nil, nil
}

// completed records that the body has arrived. It returns errNoMemory if it had to give its
// memory to another one before.
func (b *body) completed() error {
	b.store.mu.Lock()
	defer b.store.mu.Unlock()
	if b.account.IsShed() {
		return errNoMemory
	}
	b.store.budget.Completed(b.account)
	return nil
}

// reserve takes bytes that are buffered for the request beside its body, if they are left.
func (b *body) reserve(bytes int64) bool {
	b.store.mu.Lock()
	defer b.store.mu.Unlock()
	return b.store.budget.TryCharge(b.account, bytes)
}

// unreserve gives back what reserve has taken.
func (b *body) unreserve(bytes int64) {
	if bytes == 0 {
		return
	}
	b.store.mu.Lock()
	defer b.store.mu.Unlock()
	b.store.budget.Return(b.account, bytes)
	b.store.notify()
}

// notify lets bodies that wait for memory ask again. The caller holds mu.
func (s *bodyStore) notify() {
	close(s.returned)
	s.returned = make(chan struct{})
}

// release gives back the segments as soon as no reader is open: no further attempt is made.
func (b *body) release() {
	b.store.mu.Lock()
	defer b.store.mu.Unlock()
	b.isReleased = true
	b.returnSegments()
}

// close gives back everything. An attempt that was given up may still be sending the body;
// then its segments follow when it has ended.
func (b *body) close() {
	b.store.mu.Lock()
	defer b.store.mu.Unlock()
	b.isReleased, b.isClosed = true, true
	b.returnSegments()
}

// returnSegments gives the segments back if nobody needs them. The caller holds mu.
func (b *body) returnSegments() {
	if !b.isReleased || b.readers > 0 {
		return
	}
	var bytes int64
	for _, segment := range b.segments {
		bytes += int64(cap(segment))
		if len(b.segments) > 1 && cap(segment) == segmentBytes {
			b.store.unused = append(b.store.unused, segment[:0])
		}
	}
	b.segments = nil
	b.store.budget.Return(b.account, bytes)
	if b.isClosed {
		b.store.budget.Close(b.account)
		delete(b.store.bodies, b.account)
	}
	if bytes > 0 {
		b.store.notify()
	}
}

// newReader returns a reader of the whole body for one attempt. The transport may go on
// reading after the attempt was given up, until it closes the reader. newReader returns nil if
// the body was released, which a standby may find.
func (b *body) newReader() io.ReadCloser {
	b.store.mu.Lock()
	defer b.store.mu.Unlock()
	if b.isReleased {
		return nil
	}
	if len(b.segments) == 1 {
		// The transport sends the head and a body that it knows to be in memory together. An
		// instance that responds without reading the body would reset the connection otherwise.
		// The segment is not used again, since nothing tells when it is not read any more.
		return io.NopCloser(bytes.NewReader(b.segments[0]))
	}
	b.readers++
	return &bodyReader{body: b, segments: b.segments}
}

type bodyReader struct {
	mu       sync.Mutex
	body     *body
	segments [][]byte
	offset   int
	isClosed bool
}

// Read implements io.Reader.
func (r *bodyReader) Read(data []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isClosed {
		return 0, errors.New("the body was closed")
	}
	count := 0
	for count < len(data) && len(r.segments) > 0 {
		copied := copy(data[count:], r.segments[0][r.offset:])
		count += copied
		if r.offset += copied; r.offset == len(r.segments[0]) {
			r.segments, r.offset = r.segments[1:], 0
		}
	}
	if count == 0 && len(data) > 0 {
		return 0, io.EOF
	}
	return count, nil
}

// Close implements io.Closer.
func (r *bodyReader) Close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isClosed {
		return nil
	}
	r.isClosed, r.segments = true, nil
	r.body.store.mu.Lock()
	defer r.body.store.mu.Unlock()
	r.body.readers--
	r.body.returnSegments()
	return nil
}

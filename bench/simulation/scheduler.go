package simulation

import (
	"container/heap"
	"time"
)

// epoch is the virtual time at which a run begins.
var epoch = time.Unix(1_000_000, 0)

// event is a function to be called at a virtual time, counted from the epoch.
type event struct {
	at  time.Duration
	seq uint64
	do  func()
}

// scheduler calls functions in the order of their virtual times, and in the order of
// their scheduling if the times are equal.
type scheduler struct {
	now    time.Time
	seq    uint64
	events eventHeap
}

// after schedules do for the time that is delay from now.
func (s *scheduler) after(delay time.Duration, do func()) {
	s.seq++
	heap.Push(&s.events, &event{at: s.now.Sub(epoch) + max(delay, 0), seq: s.seq, do: do})
}

// run calls the scheduled functions up to the given time.
func (s *scheduler) run(until time.Time) {
	for end := until.Sub(epoch); len(s.events) > 0 && s.events[0].at <= end; {
		next := heap.Pop(&s.events).(*event)
		s.now = epoch.Add(next.at)
		next.do()
	}
	s.now = until
}

// eventHeap implements heap.Interface.
type eventHeap []*event

func (h eventHeap) Len() int      { return len(h) }
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(*event)) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at == h[j].at {
		return h[i].seq < h[j].seq
	}
	return h[i].at < h[j].at
}

func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	popped := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return popped
}

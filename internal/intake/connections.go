package intake

import (
	"container/list"
	"time"
)

// readingGrace is how long the body of a request is read before its connection may be closed
// to make room for another one.
const readingGrace = time.Second

// connection is the state of one connection. waiting is the list that it is in, nil while its
// request runs or after it was closed.
type connection struct {
	waiting  *list.List
	element  *list.Element
	isClosed bool
}

// waitingConnection is an element of a list of connections.
type waitingConnection[K comparable] struct {
	id    K
	since time.Time
}

// Connections bounds the connections of callers, and those of callers and to instances
// together. When there are too many, it closes the connection without a complete head that
// has been so for the longest time, then the one whose body has been read for the longest
// time. It is not safe for concurrent use.
type Connections[K comparable] struct {
	clientLimit, limit int
	clients, attempts  int
	states             map[K]*connection
	// idle holds the connections without a request or with an incomplete head, reading those
	// whose body is being read, each the oldest first.
	idle, reading *list.List
}

// NewConnections returns the state without connections. clientLimit bounds the connections of
// callers, limit all.
func NewConnections[K comparable](clientLimit, limit int) *Connections[K] {
	return &Connections[K]{clientLimit: clientLimit, limit: limit, states: map[K]*connection{}, idle: list.New(), reading: list.New()}
}

// Counts returns the number of connections of callers, how many of them have no request, and
// that of connections to instances.
func (c *Connections[K]) Counts() (clients, idle, attempts int) {
	return c.clients, c.idle.Len(), c.attempts
}

// Opened records a new connection. It returns the connection that has to be closed, which may
// be the new one.
func (c *Connections[K]) Opened(id K, now time.Time) (closed K, found bool) {
	if c.clients >= c.clientLimit || c.clients+c.attempts >= c.limit {
		if closed, found = c.evict(now); !found {
			c.states[id] = &connection{isClosed: true}
			return id, true
		}
	}
	c.clients++
	c.states[id] = &connection{}
	c.enter(id, c.idle, now)
	return closed, found
}

// Idle records that a connection waits for its next request.
func (c *Connections[K]) Idle(id K, now time.Time) { c.enter(id, c.idle, now) }

// Reading records that the body of a request is being read.
func (c *Connections[K]) Reading(id K, now time.Time) { c.enter(id, c.reading, now) }

// Running records that the request of a connection is complete.
func (c *Connections[K]) Running(id K) {
	if state := c.states[id]; state != nil {
		state.leave()
	}
}

// Closed records the end of a connection.
func (c *Connections[K]) Closed(id K) {
	state := c.states[id]
	if state == nil {
		return
	}
	state.leave()
	if !state.isClosed {
		c.clients--
	}
	delete(c.states, id)
}

// BeginAttempt records a new connection to an instance. It returns the connection of a caller
// that has to be closed for it, if any, and false if there is no room.
func (c *Connections[K]) BeginAttempt(now time.Time) (closed K, found, ok bool) {
	if c.clients+c.attempts >= c.limit {
		if closed, found = c.evict(now); !found {
			return closed, false, false
		}
	}
	c.attempts++
	return closed, found, true
}

// EndAttempt records the end of a connection to an instance.
func (c *Connections[K]) EndAttempt() { c.attempts-- }

func (c *Connections[K]) enter(id K, waiting *list.List, now time.Time) {
	state := c.states[id]
	if state == nil || state.isClosed {
		return
	}
	state.leave()
	state.waiting, state.element = waiting, waiting.PushBack(waitingConnection[K]{id: id, since: now})
}

func (s *connection) leave() {
	if s.waiting != nil {
		s.waiting.Remove(s.element)
		s.waiting, s.element = nil, nil
	}
}

// evict chooses a connection to close and counts it as closed.
func (c *Connections[K]) evict(now time.Time) (id K, found bool) {
	oldest := c.idle.Front()
	if oldest == nil {
		if oldest = c.reading.Front(); oldest == nil || now.Sub(oldest.Value.(waitingConnection[K]).since) < readingGrace {
			return id, false
		}
	}
	id = oldest.Value.(waitingConnection[K]).id
	state := c.states[id]
	state.leave()
	state.isClosed = true
	c.clients--
	return id, true
}

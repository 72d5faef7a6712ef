package peer

import (
	"container/list"
	"net"
	"sync"
)

// maxPending bounds the connections that have not yet proven to hold the
// fleet's key.
const maxPending = 256

// pending holds the connections whose handshake is in progress. When there are
// too many, the oldest one is closed: a member of the fleet proves its key in
// one round trip, so that strangers cannot keep it out by idle connections.
type pending struct {
	mu    sync.Mutex
	limit int
	order *list.List
}

func newPending(limit int) *pending {
	return &pending{limit: limit, order: list.New()}
}

// add registers conn and returns the function that removes it.
func (p *pending) add(conn net.Conn) func() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.order.Len() >= p.limit {
		oldest := p.order.Front()
		p.order.Remove(oldest)
		oldest.Value.(net.Conn).Close()
	}
	element := p.order.PushBack(conn)
	return func() {
		p.mu.Lock()
		p.order.Remove(element)
		p.mu.Unlock()
	}
}

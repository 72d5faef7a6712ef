package peer

import (
	"container/list"
	"net"
	"sync"
)

// maxPendingConns is the maximum number of connections that have not completed
// the handshake.
const maxPendingConns = 256

// pendingConns holds the connections whose handshake is in progress. If there
// are too many, the oldest one is closed. Members of the fleet complete the
// handshake in one round trip, so unauthenticated clients cannot lock them out
// with idle connections.
type pendingConns struct {
	mu    sync.Mutex
	limit int
	order *list.List
}

func newPendingConns(limit int) *pendingConns {
	return &pendingConns{limit: limit, order: list.New()}
}

// add registers conn and returns a function that removes it.
func (p *pendingConns) add(conn net.Conn) func() {
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

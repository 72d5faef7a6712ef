// Package faultproxy runs fault-injecting proxies between the processes of an end-to-end
// test, with toxiproxy as a library. Each pair of locations, such as availability zones,
// has a delay and a bandwidth that its connections share, and its links can be stalled.
package faultproxy

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/Shopify/toxiproxy/v2/toxics"
	"golang.org/x/time/rate"
)

// burstBytes is the burst size of a link's rate limiter. It must not be smaller
// than the buffer of toxiproxy.
const burstBytes = 64 << 10

// link is one direction between two locations. All connections in that direction share it.
type link struct {
	limiter *rate.Limiter
	bytes   atomic.Int64

	mu      sync.Mutex
	resumed chan struct{}
}

func newLink(bytesPerSecond int64) *link {
	l := &link{resumed: make(chan struct{})}
	close(l.resumed)
	if bytesPerSecond > 0 {
		l.limiter = rate.NewLimiter(rate.Limit(bytesPerSecond), burstBytes)
	}
	return l
}

// stall blocks all data until resume is called.
func (l *link) stall() {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.resumed:
		l.resumed = make(chan struct{})
	default:
	}
}

func (l *link) resume() {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.resumed:
	default:
		close(l.resumed)
	}
}

// waitToForward waits until size bytes may pass; it returns false when interrupted.
func (l *link) waitToForward(size int, interrupt <-chan struct{}) bool {
	l.mu.Lock()
	resumed := l.resumed
	l.mu.Unlock()
	select {
	case <-resumed:
	case <-interrupt:
		return false
	}
	if l.limiter != nil && l.limiter.WaitN(context.Background(), min(size, burstBytes)) != nil {
		return false
	}
	l.bytes.Add(int64(size))
	return true
}

// toxicType is the name of LinkToxic in toxiproxy's registry.
const toxicType = "plantain_link"

// links holds all links of this process by name. It is global because toxiproxy
// creates toxics from JSON, which can't hold a pointer to a link.
var links sync.Map

// LinkToxic forwards data over a link that many connections share.
type LinkToxic struct {
	Link string `json:"link"`
}

// Pipe implements toxics.Toxic.
func (t *LinkToxic) Pipe(stub *toxics.ToxicStub) {
	value, found := links.Load(t.Link)
	if !found {
		stub.Close()
		return
	}
	shared := value.(*link)
	for {
		select {
		case <-stub.Interrupt:
			return
		case chunk := <-stub.Input:
			if chunk == nil || !shared.waitToForward(len(chunk.Data), stub.Interrupt) {
				stub.Close()
				return
			}
			stub.Output <- chunk
		}
	}
}

func init() {
	toxics.Register(toxicType, new(LinkToxic))
}

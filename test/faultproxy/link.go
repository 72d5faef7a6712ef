// Package faultproxy places fault-injecting proxies between the processes of
// an end-to-end run: delays and a shared bandwidth for each pair of places, and
// links that stall. It is built on toxiproxy as a library.
package faultproxy

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/Shopify/toxiproxy/v2/toxics"
	"golang.org/x/time/rate"
)

// burstBytes is the largest piece that a link passes at once; it is not below
// the buffer of toxiproxy.
const burstBytes = 64 << 10

// link is one direction between two places. All connections share it.
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

// stall holds all data until resume.
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

// pass waits until size bytes may pass; it returns false when interrupted.
func (l *link) pass(size int, interrupt <-chan struct{}) bool {
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

// toxicType names the toxic in toxiproxy's registry.
const toxicType = "plantain_link"

// links are all links of this process by name, since toxiproxy makes toxics
// from JSON.
var links sync.Map

// LinkToxic passes data over a link that many connections share.
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
			if chunk == nil || !shared.pass(len(chunk.Data), stub.Interrupt) {
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

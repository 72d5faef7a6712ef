package soak

import (
	"context"
	"sync"
	"time"

	"plantainrelay/internal/message"
	"plantainrelay/internal/peer"
	"plantainrelay/test/checker"
)

const (
	observeInterval = 300 * time.Millisecond
	observeTimeout  = time.Second
)

// observedProcess is one process whose tables revision is polled.
type observedProcess struct {
	instance, zone string
	process        int
	started        time.Time
	control        string
}

// observer polls the tables revision of each process, bypassing the proxies.
type observer struct {
	client *peer.Client

	mu       sync.Mutex
	cancels  map[string]context.CancelFunc
	recorded []checker.Observation
}

func newObserver(key string) *observer {
	return &observer{client: peer.NewClient(peer.Security{Key: []byte(key)}), cancels: map[string]context.CancelFunc{}}
}

// watch polls a process until ctx ends or a newer process of its instance is watched.
func (o *observer) watch(ctx context.Context, process observedProcess) {
	ctx, cancel := context.WithCancel(ctx)
	o.mu.Lock()
	if cancelPrevious, found := o.cancels[process.instance]; found {
		cancelPrevious()
	}
	o.cancels[process.instance] = cancel
	o.mu.Unlock()
	go func() {
		for ctx.Err() == nil {
			o.read(ctx, process)
			sleep(ctx, observeInterval)
		}
	}()
}

func (o *observer) read(ctx context.Context, process observedProcess) {
	call, cancel := context.WithTimeout(ctx, observeTimeout)
	defer cancel()
	at := time.Now()
	var reply message.PeerSummary
	args := message.PeerSummary{From: "observer"}
	if o.client.Call(call, process.control, message.MethodTablesExchange, args, &reply) != nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if ctx.Err() != nil {
		return
	}
	o.recorded = append(o.recorded, checker.Observation{
		Instance: process.instance, AvailabilityZone: process.zone, Process: process.process,
		Started: process.started, At: at, Revision: reply.Revision,
	})
}

func (o *observer) observations() []checker.Observation {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]checker.Observation(nil), o.recorded...)
}

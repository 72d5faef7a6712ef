package copies

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"plantainrelay/internal/beat"
	"plantainrelay/internal/clock"
	"plantainrelay/internal/failure"
	"plantainrelay/internal/peer"
	"plantainrelay/internal/replica"
	"plantainrelay/platform"
)

const (
	// ServiceName is the name of Service among the net/rpc services.
	ServiceName = "Copies"
	// pullMethod is the RPC by which a process gets changes from a peer.
	pullMethod = ServiceName + ".Pull"
	// pullTimeout is the timeout of one such call.
	pullTimeout = time.Second
	// pullHedgeDelay is how long a call may take before a second peer is asked as well.
	// It is many times the usual duration of a call to a working peer.
	pullHedgeDelay = 300 * time.Millisecond
)

// Service lets peers pull changes of the collections.
type Service struct {
	copies *Copies
}

// NewService returns the service for net/rpc.
func NewService(copies *Copies) *Service {
	return &Service{copies: copies}
}

// Pull returns the changes that the caller lacks.
func (s *Service) Pull(args PullArgs, reply *PullReply) error {
	change, age, known := s.copies.Since(platform.Kind(args.Kind), replica.Revision{Era: args.Era, Number: args.Since})
	if !known {
		return failure.New(failure.NotFound, "ask another process", "this process has no copy of %s yet", args.Kind)
	}
	reply.Change, reply.Age = encodeChange(change), age
	return nil
}

// Puller gets changes from the peers that report newer documents.
type Puller struct {
	copies *Copies
	client *peer.Client
	port   int
	log    *logrus.Entry
	// OnPull is called after each pull. It has to be set before the first one.
	OnPull func(kind platform.Kind, succeeded bool)
	// minIntervals holds the minimum time between two pulls of a collection, and
	// lastPulls the start of the last successful one.
	minIntervals map[platform.Kind]time.Duration
	// maxConcurrent bounds the concurrent pulls of one collection.
	maxConcurrent int
	mu            sync.Mutex
	lastPulls     map[platform.Kind]time.Time
	// inProgress holds the start times of the pulls in progress, by peer.
	inProgress map[platform.Kind]map[string]time.Time
}

// NewPuller returns a puller that calls peers at port. It keeps minIntervals between
// two pulls of the collections named there, and runs at most maxConcurrent pulls of one
// collection at once.
func NewPuller(copies *Copies, client *peer.Client, port, maxConcurrent int, minIntervals map[platform.Kind]time.Duration, log *logrus.Entry) *Puller {
	p := &Puller{
		copies: copies, client: client, port: port, maxConcurrent: maxConcurrent, log: log,
		minIntervals: minIntervals, lastPulls: map[platform.Kind]time.Time{}, inProgress: map[platform.Kind]map[string]time.Time{},
		OnPull: func(platform.Kind, bool) {},
	}
	for _, kind := range platform.Kinds {
		p.inProgress[kind] = map[string]time.Time{}
	}
	return p
}

// MessageReceived handles the collection states in a peer's message, and pulls the
// collections of which the peer has newer documents.
func (p *Puller) MessageReceived(ctx context.Context, m *beat.Message) {
	now := clock.Now()
	for i, state := range m.Collections[:min(len(m.Collections), len(platform.Kinds))] {
		kind := platform.Kinds[i]
		if !p.copies.replicates(kind) {
			continue
		}
		received := CollectionState{
			Known: state.Known, Content: replica.Revision{Era: state.Era, Number: state.Content}, Versions: state.Versions,
			Age: time.Duration(state.AgeMs) * time.Millisecond,
		}
		if received.Content.Era > p.copies.AsOf(kind).Era {
			p.allowPull(kind)
		}
		if p.copies.PeerStateReceived(kind, received, m.ComposedAfter, m.Host) && p.tryBegin(kind, m.Host, now) {
			go p.pull(ctx, kind, m.Host)
		}
	}
}

// tryBegin reports whether a pull from a peer may start, and registers it if so. The
// minimum interval since the last successful pull must have passed, and pulls from
// other peers must have been running for pullHedgeDelay.
func (p *Puller) tryBegin(kind platform.Kind, host string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if last, before := p.lastPulls[kind]; before && now.Sub(last) < p.minIntervals[kind] {
		return false
	}
	inProgress := p.inProgress[kind]
	if _, asked := inProgress[host]; asked || len(inProgress) >= p.maxConcurrent {
		return false
	}
	for _, at := range inProgress {
		if now.Sub(at) < pullHedgeDelay {
			return false
		}
	}
	inProgress[host] = now
	return true
}

// allowPull ends the minimum interval since the last pull of a collection: after a restore
// of the store, a process that may not pull would have to list the collection itself.
func (p *Puller) allowPull(kind platform.Kind) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.lastPulls, kind)
}

func (p *Puller) end(kind platform.Kind, host string, asked time.Time, succeeded bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.inProgress[kind], host)
	if succeeded {
		p.lastPulls[kind] = asked
	}
}

func (p *Puller) pull(ctx context.Context, kind platform.Kind, host string) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	var reply PullReply
	asked, since := clock.Now(), p.copies.AsOf(kind)
	err := p.client.Call(ctx, beat.Address(host, p.port), pullMethod, PullArgs{Kind: string(kind), Since: since.Number, Era: since.Era}, &reply)
	fields := logrus.Fields{
		"peer": host, "collection": string(kind), "since": since.Number, "era": since.Era, "ms": clock.Now().Sub(asked).Milliseconds(), "in_progress": p.pullsInProgress(kind),
	}
	if err != nil {
		p.log.WithError(err).WithFields(fields).Warning("changes could not be pulled from a peer")
	} else {
		fields["as_of"], fields["bytes"] = reply.Change.AsOf, reply.Change.size()
		p.log.WithFields(fields).Info("changes pulled from a peer")
		p.copies.ApplyFromPeer(kind, decodeChange(reply.Change), asked.Add(-reply.Age), host)
	}
	p.OnPull(kind, err == nil)
	p.end(kind, host, asked, err == nil)
}

// pullsInProgress returns the number of pulls of a collection that have not ended.
func (p *Puller) pullsInProgress(kind platform.Kind) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.inProgress[kind])
}

// CollectionStates returns the states of this process's collections for its messages, up to
// the last one that it replicates.
func CollectionStates(copies *Copies) []beat.CollectionState {
	kinds := platform.Kinds
	for len(kinds) > 0 && !copies.replicates(kinds[len(kinds)-1]) {
		kinds = kinds[:len(kinds)-1]
	}
	states := make([]beat.CollectionState, len(kinds))
	for i, kind := range kinds {
		state := copies.CollectionState(kind)
		states[i] = beat.CollectionState{Known: state.Known, Content: state.Content.Number, AgeMs: state.Age.Milliseconds(), Era: state.Content.Era, Versions: state.Versions}
	}
	return states
}

package copies

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"plantainrelay/internal/beat"
	"plantainrelay/internal/clock"
	"plantainrelay/internal/duty"
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
	if !args.TakesEncoded {
		return nil
	}
	bases := decodeBases(args.Bases)
	for i, document := range reply.Change.Documents {
		encoded, err := s.copies.encodings(platform.Kind(args.Kind)).encode(document, bases)
		if err != nil {
			return err
		}
		reply.Change.Documents[i] = encoded
	}
	return nil
}

// PullerConfig holds the settings of a Puller.
type PullerConfig struct {
	// Port is the port at which peers serve their copies.
	Port int
	// AvailabilityZone is that of this process.
	AvailabilityZone string
	// MaxConcurrent bounds the concurrent pulls of one collection.
	MaxConcurrent int
	// MinIntervals holds the minimum time between two pulls of a collection.
	MinIntervals map[platform.Kind]time.Duration
	Log          *logrus.Entry
	// OnPull, when set, is called after each pull.
	OnPull func(kind platform.Kind, succeeded bool)
}

// Puller gets changes from the peers that report newer documents. It is safe for concurrent
// use.
type Puller struct {
	config PullerConfig
	copies *Copies
	client *peer.Client

	mu    sync.Mutex
	pulls map[platform.Kind]*duty.Pulls
}

// NewPuller returns a puller that keeps copies current with calls of client.
func NewPuller(config PullerConfig, copies *Copies, client *peer.Client) *Puller {
	if config.OnPull == nil {
		config.OnPull = func(platform.Kind, bool) {}
	}
	p := &Puller{config: config, copies: copies, client: client, pulls: map[platform.Kind]*duty.Pulls{}}
	for _, kind := range platform.Kinds {
		p.pulls[kind] = duty.NewPulls(duty.PullPlan{MinInterval: config.MinIntervals[kind], MaxConcurrent: config.MaxConcurrent})
	}
	return p
}

// MessageReceived handles the collection states in a peer's message, and pulls the
// collections of which the peer has newer documents.
func (p *Puller) MessageReceived(ctx context.Context, m *beat.Message) {
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
		if p.copies.PeerStateReceived(kind, received, m.ComposedAfter, m.Host) {
			p.reported(kind, duty.Source{
				Host: m.Host, Near: m.AvailabilityZone == p.config.AvailabilityZone, Content: received.Content, Versions: received.Versions,
			})
			p.startPulls(ctx, kind)
		}
	}
}

func (p *Puller) reported(kind platform.Kind, source duty.Source) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pulls[kind].Reported(source, clock.Now())
}

// allowPull ends the minimum interval since the last pull of a collection: after a restore
// of the store, a process that may not pull would have to list the collection itself.
func (p *Puller) allowPull(kind platform.Kind) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pulls[kind].AllowNow()
}

// startPulls starts the pulls of a collection that are due.
func (p *Puller) startPulls(ctx context.Context, kind platform.Kind) {
	for ctx.Err() == nil {
		pull, due := p.next(kind)
		if !due {
			return
		}
		time.AfterFunc(duty.PullHedgeDelay, func() { p.startPulls(ctx, kind) })
		go p.pull(ctx, kind, pull)
	}
}

func (p *Puller) next(kind platform.Kind) (duty.Pull, bool) {
	state := p.copies.CollectionState(kind)
	p.mu.Lock()
	defer p.mu.Unlock()
	pulls := p.pulls[kind]
	if state.Known {
		pulls.Updated(state.Content, state.Versions)
	}
	return pulls.Next(clock.Now())
}

// pull makes one pull, and starts those that are due after it.
func (p *Puller) pull(ctx context.Context, kind platform.Kind, pull duty.Pull) {
	err := p.request(ctx, kind, pull)
	p.config.OnPull(kind, err == nil)
	p.mu.Lock()
	p.pulls[kind].Ended(pull, clock.Now(), err == nil)
	p.mu.Unlock()
	if err != nil {
		time.AfterFunc(duty.PullRetryDelay, func() { p.startPulls(ctx, kind) })
	}
	p.startPulls(ctx, kind)
}

// request asks a peer for the changes that this process lacks and applies them.
func (p *Puller) request(ctx context.Context, kind platform.Kind, pull duty.Pull) error {
	started := clock.Now()
	ctx, cancel := context.WithTimeout(ctx, duty.PullTimeout)
	defer cancel()
	address, since := beat.Address(pull.Host, p.config.Port), p.copies.AsOf(kind)
	if pull.NewConnection {
		p.client.Disconnect(address)
	}
	encodings := p.copies.encodings(kind)
	bases := encodings.bases()
	args := PullArgs{Kind: string(kind), Since: since.Number, Era: since.Era, TakesEncoded: true, Bases: encodeBases(bases)}
	var reply PullReply
	err := p.client.Call(ctx, address, pullMethod, args, &reply)
	log := p.config.Log.WithFields(logrus.Fields{
		"peer": pull.Host, "collection": string(kind), "since": since.Number, "era": since.Era,
		"new_connection": pull.NewConnection, "in_progress": p.inProgress(kind),
	})
	var received PulledChange
	if err == nil {
		received = reply.Change
		reply.Change, err = received.decode(bases)
	}
	if failure.Is(err, failure.Invalid) {
		log.WithError(err).Warning("the changes that a peer sent cannot be decoded; pulling them as they are")
		args.TakesEncoded, args.Bases, reply = false, nil, PullReply{}
		if err = p.client.Call(ctx, address, pullMethod, args, &reply); err == nil {
			received = reply.Change
		}
	}
	log = log.WithField("ms", clock.Now().Sub(started).Milliseconds())
	if err != nil {
		log.WithError(err).Warning("changes could not be pulled from a peer")
		return err
	}
	log.WithFields(logrus.Fields{"as_of": reply.Change.AsOf, "bytes": received.size()}).Info("changes pulled from a peer")
	p.copies.ApplyFromPeer(kind, decodeChange(reply.Change), started.Add(-reply.Age), pull.Host)
	for _, document := range received.Documents {
		encodings.learn(document)
	}
	return nil
}

// inProgress returns the number of pulls of a collection in progress.
func (p *Puller) inProgress(kind platform.Kind) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pulls[kind].InProgress()
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

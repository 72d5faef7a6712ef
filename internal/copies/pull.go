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
	// pullMethod is the call by which a process takes news from a peer.
	pullMethod = ServiceName + ".Pull"
	// pullLimit bounds one such call.
	pullLimit = time.Second
	// pullPatience is how long a call may take before another peer is asked, too: many
	// times what it takes unless the peer or the link is disturbed.
	pullPatience = 300 * time.Millisecond
)

// PullArgs asks for what changed in a collection since a revision.
type PullArgs struct {
	Kind  string
	Since int64
}

// PullReply holds the changes and the age of their proof.
type PullReply struct {
	Change replica.Change
	Age    time.Duration
}

// Service lets peers pull news of the collections.
type Service struct {
	copies *Copies
}

// NewService returns the service for net/rpc.
func NewService(held *Copies) *Service {
	return &Service{copies: held}
}

// Pull answers with what the caller lacks.
func (s *Service) Pull(args PullArgs, reply *PullReply) error {
	change, age, known := s.copies.Since(platform.Kind(args.Kind), args.Since)
	if !known {
		return failure.New(failure.NotFound, "ask another process", "this process has no copy of %s yet", args.Kind)
	}
	reply.Change, reply.Age = change, age
	return nil
}

// Puller takes news from the peers that have them.
type Puller struct {
	copies *Copies
	client *peer.Client
	port   int
	log    *logrus.Entry
	// pauses holds the shortest time between two pulls of a collection, and
	// pulled when the last one was.
	pauses map[platform.Kind]time.Duration
	// most bounds the pulls of one collection in progress.
	most   int
	mu     sync.Mutex
	pulled map[platform.Kind]time.Time
	// begun holds when the pulls in progress have begun, by peer.
	begun map[platform.Kind]map[string]time.Time
}

// NewPuller returns a puller that calls peers at port, with pauses between two
// pulls of the collections that are named and at most as many pulls of one at once.
func NewPuller(held *Copies, client *peer.Client, port, most int, pauses map[platform.Kind]time.Duration, log *logrus.Entry) *Puller {
	p := &Puller{
		copies: held, client: client, port: port, most: most, log: log,
		pauses: pauses, pulled: map[platform.Kind]time.Time{}, begun: map[platform.Kind]map[string]time.Time{},
	}
	for _, kind := range platform.Kinds {
		p.begun[kind] = map[string]time.Time{}
	}
	return p
}

// Heard takes in a peer's standings and pulls what it has news of.
func (p *Puller) Heard(ctx context.Context, m *beat.Message) {
	now := clock.Now()
	for i, standing := range m.Standings {
		if i >= len(platform.Kinds) {
			return
		}
		kind := platform.Kinds[i]
		heard := Standing{Known: standing.Known, Content: standing.Content, Age: time.Duration(standing.AgeMs) * time.Millisecond}
		if p.copies.Heard(kind, heard, m.SentAfter, m.Host) && p.begin(kind, m.Host, now) {
			go p.pull(ctx, kind, m.Host)
		}
	}
}

// begin reports whether a pull from a peer may begin, and counts it: the pause since
// the last one that brought news is over, and no other peer is being asked or that one
// takes long.
func (p *Puller) begin(kind platform.Kind, host string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if last, before := p.pulled[kind]; before && now.Sub(last) < p.pauses[kind] {
		return false
	}
	begun := p.begun[kind]
	if _, asked := begun[host]; asked || len(begun) >= p.most {
		return false
	}
	for _, at := range begun {
		if now.Sub(at) < pullPatience {
			return false
		}
	}
	begun[host] = now
	return true
}

func (p *Puller) end(kind platform.Kind, host string, asked time.Time, news bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.begun[kind], host)
	if news {
		p.pulled[kind] = asked
	}
}

func (p *Puller) pull(ctx context.Context, kind platform.Kind, host string) {
	ctx, cancel := context.WithTimeout(ctx, pullLimit)
	defer cancel()
	var reply PullReply
	asked := clock.Now()
	err := p.client.Call(ctx, beat.Address(host, p.port), pullMethod, PullArgs{Kind: string(kind), Since: p.copies.AsOf(kind)}, &reply)
	if err != nil {
		p.log.WithError(err).WithFields(logrus.Fields{"peer": host, "collection": string(kind)}).Warning("news could not be taken from a peer")
	} else {
		p.copies.Take(kind, reply.Change, asked.Add(-reply.Age), host)
	}
	p.end(kind, host, asked, err == nil)
}

// Standings returns this process's standings for its messages.
func Standings(held *Copies) []beat.Standing {
	standings := make([]beat.Standing, len(platform.Kinds))
	for i, kind := range platform.Kinds {
		standing := held.Standing(kind)
		standings[i] = beat.Standing{Known: standing.Known, Content: standing.Content, AgeMs: standing.Age.Milliseconds()}
	}
	return standings
}

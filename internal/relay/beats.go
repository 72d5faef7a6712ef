package relay

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"plantainrelay/internal/beat"
	"plantainrelay/internal/clock"
	"plantainrelay/internal/copies"
	"plantainrelay/internal/peers"
	"plantainrelay/internal/placement"
	"plantainrelay/internal/ring"
	"plantainrelay/platform"
)

const (
	// beatInterval is the time between two messages to other entries.
	beatInterval = 200 * time.Millisecond
	// agentBeats is how many messages to entries go out for one to the agents.
	agentBeats = 4
	// readyAge is the age of the tables' proof beyond which callers are sent to
	// other entries.
	readyAge = 3500 * time.Millisecond
	// maxHosts bounds the entries named in one message.
	maxHosts = 16
	// nearEntries bounds the entries that are told of each placed request at once:
	// all of a small fleet, otherwise those of the own availability zone, which
	// choose among the same instances. The others learn of it with the regular
	// messages, so that the cost does not grow with the fleet.
	nearEntries = 16
	// maxMoved bounds the changes of the load that wait to be told.
	maxMoved = 256
)

// heart exchanges messages with the other entries and the agents.
type heart struct {
	socket *beat.Socket
	puller *copies.Puller
	copies *copies.Copies
	view   *view
	gate   *gate
	front  *front
	log    *logrus.Entry
	start  int64
	news   chan struct{}
	// moved holds the instances where the load has changed since the last word,
	// placed receives a value when a request was placed.
	moved  chan string
	placed chan struct{}

	mu        sync.Mutex
	directory *peers.Directory
	sequence  uint64
	ready     bool
}

// Run sends and receives until ctx ends.
func (h *heart) Run(ctx context.Context) {
	go h.socket.Receive(ctx, func(m *beat.Message) { h.handle(ctx, m) })
	go h.loads(ctx)
	ticker := time.NewTicker(beatInterval)
	defer ticker.Stop()
	for turn := 0; ; turn++ {
		h.send(turn%agentBeats == 0)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-h.news:
		}
	}
}

// loads tells the near entries of each placed request at once, so that entries
// don't send their requests to the same instance. What has ended or begun to
// answer is told along with it, or with the next regular message.
func (h *heart) loads(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-h.placed:
			h.sendLoads()
		}
	}
}

func (h *heart) sendLoads() {
	changed := map[string]placement.Load{}
	for range len(h.moved) {
		id := <-h.moved
		changed[id] = h.gate.ownLoad(id)
	}
	h.mu.Lock()
	h.sequence++
	message := &beat.Message{
		Role: beat.Entry, Host: h.directory.Self().Host, Start: h.start, Sequence: h.sequence, Loads: beatLoads(changed), LoadsOnly: true,
	}
	hosts := h.directory.Near(nearEntries, clock.Now())
	h.mu.Unlock()
	h.socket.Send(message, hosts)
}

// noteLoad notes that the load at an instance has changed. When too many
// changes wait, the next regular message tells it.
func (h *heart) noteLoad(id string, begun bool) {
	select {
	case h.moved <- id:
	default:
	}
	if begun {
		ring.Wake(h.placed)
	}
}

func beatLoads(loads map[string]placement.Load) map[string]beat.Load {
	told := make(map[string]beat.Load, len(loads))
	for id, load := range loads {
		told[id] = beat.Load{Count: load.Count, Unread: load.Unread}
	}
	return told
}

func placementLoads(told map[string]beat.Load) map[string]placement.Load {
	loads := make(map[string]placement.Load, len(told))
	for id, load := range told {
		loads[id] = placement.Load{Count: load.Count, Unread: load.Unread}
	}
	return loads
}

// wake sends the next message at once.
func (h *heart) wake() { ring.Wake(h.news) }

func (h *heart) send(agents bool) {
	// Taken before all ages that the message tells.
	now := clock.Now()
	h.view.watchList(now)
	loads := beatLoads(h.gate.ownLoads())
	h.mu.Lock()
	h.setState()
	h.sequence++
	self := h.directory.Self()
	message := &beat.Message{
		Role: beat.Entry, Instance: self.Instance, Host: self.Host, AvailabilityZone: self.AvailabilityZone, Start: h.start, Sequence: h.sequence,
		Front: self.Front, Ready: self.Ready, Leaving: self.Leaving, Standings: copies.Standings(h.copies), Loads: loads,
		Releases: h.view.releaseAges(now), Lost: self.Lost, Composed: now,
	}
	targets := h.directory.Targets(now)
	live, small := h.directory.Live(now), h.directory.Small()
	h.mu.Unlock()
	for _, entry := range live[:min(len(live), maxHosts)] {
		message.Hosts = append(message.Hosts, entry.Host)
	}
	h.gate.setEntries(len(live) + 1)
	h.socket.Send(message, targets)
	if agents {
		message.Loads, message.Hosts = nil, nil
		zone := self.AvailabilityZone
		if small {
			zone = ""
		}
		h.socket.Send(message, h.gate.engineHosts(zone))
	}
}

// greet answers an agent that knows no entry yet.
func (h *heart) greet(host string) {
	composed := clock.Now()
	h.mu.Lock()
	h.sequence++
	self := h.directory.Self()
	sequence := h.sequence
	h.mu.Unlock()
	h.socket.Send(&beat.Message{
		Role: beat.Entry, Instance: self.Instance, Host: self.Host, AvailabilityZone: self.AvailabilityZone, Start: h.start, Sequence: sequence,
		Standings: copies.Standings(h.copies), Composed: composed,
	}, []string{host})
}

// setState decides whether this entry takes requests. The caller holds mu.
func (h *heart) setState() {
	table, age := h.view.proven()
	ready := table != nil && age <= readyAge && !h.front.leaving.Load()
	if ready != h.ready {
		h.log.WithFields(logrus.Fields{"ready": ready, "proof_age_ms": age.Milliseconds()}).Info("readiness changed")
	}
	h.ready = ready
	h.directory.SetState(ready, h.front.leaving.Load())
	h.directory.SetLost(h.copies.Lost())
}

func (h *heart) handle(ctx context.Context, m *beat.Message) {
	now := m.DatedBy(clock.Now())
	if m.Role == beat.Agent {
		if m.Report != nil {
			h.gate.reported(m.Host, placement.AgentReport{
				Born: m.Report.Born, Loaded: m.Report.Loaded, Switching: m.Report.Switching, Pace: m.Report.Pace, Start: m.Start, Sequence: m.Sequence,
			}, now)
		} else {
			h.greet(m.Host)
		}
		return
	}
	if m.LoadsOnly {
		h.handleLoads(m, now)
		return
	}
	h.mu.Lock()
	current, isNew := h.directory.Heard(peers.Entry{
		Instance: m.Instance, Host: m.Host, AvailabilityZone: m.AvailabilityZone, Front: m.Front,
		Start: m.Start, Sequence: m.Sequence, Ready: m.Ready, Leaving: m.Leaving, Lost: m.Lost,
	}, now)
	h.directory.Suggest(m.Hosts, clock.Now())
	h.mu.Unlock()
	if !current {
		return
	}
	if isNew {
		h.log.WithFields(logrus.Fields{"peer": m.Instance, "host": m.Host}).Info("an entry was found")
		h.wake()
	}
	h.gate.peerLoads(m.Host, placementLoads(m.Loads), true, now)
	h.view.heardReleases(m.Releases, now)
	h.puller.Heard(ctx, m)
}

func (h *heart) handleLoads(m *beat.Message, now time.Time) {
	h.mu.Lock()
	current := h.directory.Current(m.Host, m.Start, m.Sequence)
	h.mu.Unlock()
	if current {
		h.gate.peerLoads(m.Host, placementLoads(m.Loads), false, now)
	}
}

// watches reports whether reading a collection is this entry's duty.
func (h *heart) watches(kind platform.Kind) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.directory.SetLost(h.copies.Lost())
	return h.directory.Watches(string(kind), clock.Now())
}

// fronts returns the addresses for callers.
func (h *heart) fronts() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.setState()
	return slices.Clone(h.directory.Fronts(clock.Now()))
}

// hosts returns the entries of an availability zone, or all when it has none.
func (h *heart) hosts(zone string) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	self := h.directory.Self()
	all := append(h.directory.Live(clock.Now()), self)
	var hosts, near []string
	for _, entry := range all {
		hosts = append(hosts, entry.Host)
		if entry.AvailabilityZone == zone {
			near = append(near, entry.Host)
		}
	}
	if len(near) > 0 {
		return near
	}
	return hosts
}

func (h *heart) availabilityZone() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.directory.Self().AvailabilityZone
}

// suggest names hosts that may be entries.
func (h *heart) suggest(hosts []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.directory.Suggest(hosts, clock.Now())
}

func (h *heart) isReady() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.setState()
	return h.ready
}

package relay

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"plantainrelay/internal/beat"
	"plantainrelay/internal/blocklist"
	"plantainrelay/internal/clock"
	"plantainrelay/internal/copies"
	"plantainrelay/internal/member"
	"plantainrelay/internal/peers"
	"plantainrelay/internal/placement"
	"plantainrelay/internal/ring"
	"plantainrelay/platform"
)

const (
	// heartbeatInterval is the time between two heartbeats to other entries.
	heartbeatInterval = 200 * time.Millisecond
	// agentHeartbeatEvery is the number of heartbeats to entries per heartbeat to
	// agents.
	agentHeartbeatEvery = 4
	// agentCollections is the number of the first collections of which agents are told: those
	// that they replicate.
	agentCollections = 3
	// maxPeerLoadAge is how long the load that another entry has reported is used.
	maxPeerLoadAge = 1200 * time.Millisecond
	// maxReadyProofAge is the age of the proof that the tables are current beyond which
	// this entry is not ready and callers are directed to other entries.
	maxReadyProofAge = 3500 * time.Millisecond
	// maxHostsPerMessage bounds the entries named in one heartbeat, for discoveryPeriod
	// after this entry has started or has discovered another one; later it is
	// steadyHostsPerMessage, since every entry is known.
	maxHostsPerMessage    = 16
	steadyHostsPerMessage = 4
	discoveryPeriod       = 30 * time.Second
	// maxNearbyPeers bounds the entries that receive a load update for each placed
	// request: all entries of a small fleet, otherwise those of the same availability
	// zone, which choose among the same instances. Other entries receive the load with
	// the regular heartbeats, so that the cost does not grow with the fleet.
	maxNearbyPeers = 16
	// maxPendingLoadChanges bounds the load changes that wait to be sent.
	maxPendingLoadChanges = 256
)

// heartbeater exchanges heartbeats and load updates with other entries and with agents.
type heartbeater struct {
	socket    *beat.Socket
	puller    *copies.Puller
	copies    *copies.Copies
	view      *view
	scheduler *scheduler
	frontend  *frontend
	log       *logrus.Entry
	start     int64
	sendNow   chan struct{}
	// loadChanges holds the instances whose load has changed since the last load
	// update; placed receives a value when a request has been placed.
	loadChanges chan string
	placed      chan struct{}
	// regions maps availability zones to regions.
	regions map[string]string

	mu        sync.Mutex
	directory *peers.Directory
	sequence  uint64
	ready     bool
	// noHomeAnswers counts the answers of the address directory without an entry in an
	// allowed region since noHomeLoggedAt, when this was last logged.
	noHomeAnswers  int
	noHomeLoggedAt time.Time
}

// Run sends and receives until ctx ends.
func (h *heartbeater) Run(ctx context.Context) {
	go h.socket.Receive(ctx, func(m *beat.Message) { h.handleMessage(ctx, m) })
	go h.runLoadUpdates(ctx)
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for turn := 0; ; turn++ {
		h.sendHeartbeat(turn%agentHeartbeatEvery == 0)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-h.sendNow:
		}
	}
}

// runLoadUpdates sends a load update to the nearby entries for each placed request, so
// that entries don't send their requests to the same instance. Finished requests and
// started responses are reported with it, or with the next heartbeat.
func (h *heartbeater) runLoadUpdates(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-h.placed:
			h.sendLoadUpdate()
		}
	}
}

func (h *heartbeater) sendLoadUpdate() {
	changed := map[string]placement.Load{}
	for range len(h.loadChanges) {
		id := <-h.loadChanges
		changed[id] = h.scheduler.ownLoad(id)
	}
	h.mu.Lock()
	h.sequence++
	message := &beat.Message{
		Role: beat.Entry, Host: h.directory.Self().Host, Start: h.start, Sequence: h.sequence, Loads: encodeLoads(changed), LoadsOnly: true,
	}
	hosts := h.directory.NearHosts(maxNearbyPeers, clock.Now())
	h.mu.Unlock()
	h.socket.Send(message, hosts)
}

// recordLoadChange records that the load of an instance has changed. When too many
// changes are pending, the next heartbeat reports it instead.
func (h *heartbeater) recordLoadChange(id string, begun bool) {
	select {
	case h.loadChanges <- id:
	default:
	}
	if begun {
		ring.Notify(h.placed)
	}
}

func encodeLoads(loads map[string]placement.Load) map[string]beat.Load {
	encoded := make(map[string]beat.Load, len(loads))
	for id, load := range loads {
		encoded[id] = beat.Load{Count: load.Count, Unread: load.PendingPromptTokens}
	}
	return encoded
}

func decodeLoads(encoded map[string]beat.Load) map[string]placement.Load {
	loads := make(map[string]placement.Load, len(encoded))
	for id, load := range encoded {
		loads[id] = placement.Load{Count: load.Count, PendingPromptTokens: load.Unread}
	}
	return loads
}

func encodeZoneLoads(loads map[string]placement.ZoneLoad) map[string]beat.ZoneLoad {
	encoded := make(map[string]beat.ZoneLoad, len(loads))
	for pool, load := range loads {
		encoded[pool] = beat.ZoneLoad{Utilization: float32(load.Utilization), Unread: load.PendingPromptTokens}
	}
	return encoded
}

func decodeZoneLoads(encoded map[string]beat.ZoneLoad) map[string]placement.ZoneLoad {
	loads := make(map[string]placement.ZoneLoad, len(encoded))
	for pool, load := range encoded {
		loads[pool] = placement.ZoneLoad{Utilization: float64(load.Utilization), PendingPromptTokens: load.Unread}
	}
	return loads
}

// announceBlocks tells all live entries at once which decisions about parts of prompts the
// store does not have yet. The next heartbeats repeat them.
func (h *heartbeater) announceBlocks() {
	records := encodeRecords(h.frontend.blocker.unsaved(maxRecordsPerMessage))
	if len(records) == 0 {
		return
	}
	h.mu.Lock()
	h.sequence++
	message := &beat.Message{Role: beat.Entry, Host: h.directory.Self().Host, Start: h.start, Sequence: h.sequence, LoadsOnly: true, PartRecords: records}
	var hosts []string
	for _, entry := range h.directory.LiveEntries(clock.Now()) {
		hosts = append(hosts, entry.Host)
	}
	h.mu.Unlock()
	h.socket.Send(message, hosts)
}

// blockRank returns the position of this entry in the order in which the live entries save
// the record of a part or probe it, and their number.
func (h *heartbeater) blockRank(part blocklist.Part) (rank, entries int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	hosts := []string{h.directory.Self().Host}
	for _, entry := range h.directory.LiveEntries(clock.Now()) {
		if !entry.Leaving {
			hosts = append(hosts, entry.Host)
		}
	}
	return slices.Index(member.Rank(part.Model+"/"+part.ID, hosts), h.directory.Self().Host), len(hosts)
}

// triggerSend makes Run send the next heartbeat immediately.
func (h *heartbeater) triggerSend() { ring.Notify(h.sendNow) }

func (h *heartbeater) sendHeartbeat(toAgents bool) {
	// Taken before the ages in the message are computed, so that the receiver never
	// underestimates them.
	now := clock.Now()
	h.view.detectListOutage(now)
	h.view.recheckList(now)
	h.view.recordVersionLimits(now)
	h.frontend.blocker.evaluate(now)
	loads, leaving := encodeLoads(h.scheduler.ownLoads()), encodeLeaving(h.scheduler.recentlyLeaving(now))
	h.mu.Lock()
	h.updateReadiness()
	h.sequence++
	self := h.directory.Self()
	message := &beat.Message{
		Role: beat.Entry, Instance: self.Instance, Host: self.Host, AvailabilityZone: self.AvailabilityZone, Start: h.start, Sequence: h.sequence,
		FrontAddress: self.FrontAddress, Ready: self.Ready, Leaving: self.Leaving, Collections: copies.CollectionStates(h.copies), Loads: loads,
		Releases: h.view.releaseAges(now), StoreUnavailable: self.StoreUnavailable, ComposedAt: now,
		LeavingBackends: leaving,
	}
	near, far := h.directory.SplitRecipients(h.directory.NextRecipients(now))
	livePeers, smallFleet := h.directory.LiveEntries(now), h.directory.BroadcastsToAll()
	farLoadsLapse := heartbeatInterval*time.Duration(h.directory.FarTurns()) > maxPeerLoadAge
	message.Hosts = h.directory.HostsToName(h.hostsPerMessage(now), now)
	h.mu.Unlock()
	h.frontend.blocker.addReports(message, now)
	h.recordLiveEntries(self.Host, livePeers)
	message.PoolUsages = h.customerUsages(now)
	h.socket.Send(message, near)
	message.PoolUsages = nil
	if len(far) > 0 {
		message.ZoneLoads = encodeZoneLoads(h.scheduler.zoneLoads())
		if farLoadsLapse {
			message.Loads, message.LoadsOmitted = nil, true
		}
		h.socket.Send(message, far)
	}
	if toAgents {
		message.Loads, message.Hosts, message.ZoneLoads, message.LeavingBackends = nil, nil, nil, nil
		message.Crashes, message.ClearedParts, message.PartRecords = nil, nil, nil
		message.Collections = message.Collections[:min(len(message.Collections), agentCollections)]
		zone := self.AvailabilityZone
		if smallFleet {
			zone = ""
		}
		h.socket.Send(message, h.scheduler.engineHosts(zone))
	}
}

// hostsPerMessage returns how many entries the next message names. The caller holds mu.
func (h *heartbeater) hostsPerMessage(now time.Time) int {
	if h.directory.HasDiscovered(discoveryPeriod, now) {
		return maxHostsPerMessage
	}
	return steadyHostsPerMessage
}

func (h *heartbeater) recordLiveEntries(self string, others []peers.Entry) {
	hosts := make([]string, 0, len(others)+1)
	var leaving []string
	for _, entry := range others {
		hosts = append(hosts, entry.Host)
		if entry.Leaving {
			leaving = append(leaving, entry.Host)
		}
	}
	h.scheduler.setEntries(self, append(hosts, self))
	h.scheduler.recordEntries(self, hosts, leaving, clock.Now())
}

// replyToNewAgent answers an agent that does not know any entry yet.
func (h *heartbeater) replyToNewAgent(host string) {
	composed := clock.Now()
	h.mu.Lock()
	h.sequence++
	self := h.directory.Self()
	sequence := h.sequence
	h.mu.Unlock()
	h.socket.Send(&beat.Message{
		Role: beat.Entry, Instance: self.Instance, Host: self.Host, AvailabilityZone: self.AvailabilityZone, Start: h.start, Sequence: sequence,
		Collections: copies.CollectionStates(h.copies), ComposedAt: composed,
	}, []string{host})
}

// updateReadiness recomputes whether this entry accepts requests. The caller holds mu.
func (h *heartbeater) updateReadiness() {
	table, age := h.view.tablesAndProofAge()
	ready := table != nil && age <= maxReadyProofAge && !h.frontend.shutdown.hasBegun() && h.frontend.blockGate.hasRead(clock.Now()) && h.frontend.knowsEvacuations(clock.Now())
	if ready != h.ready {
		h.log.WithFields(logrus.Fields{"ready": ready, "proof_age_ms": age.Milliseconds()}).Info("readiness changed")
	}
	h.ready = ready
	h.directory.SetState(ready, h.frontend.shutdown.hasBegun())
	h.directory.SetStoreUnavailable(h.copies.StoreUnavailable())
}

func (h *heartbeater) handleMessage(ctx context.Context, m *beat.Message) {
	now := m.EarliestComposed(clock.Now())
	if m.Role == beat.Agent {
		if m.Report != nil {
			h.scheduler.recordAgentReport(m.Host, placement.AgentReport{
				EngineStart: m.Report.Born, LoadedVersion: m.Report.Loaded, Switching: m.Report.Switching, Slowdown: m.Report.Pace, AgentStart: m.Start, Sequence: m.Sequence,
			}, now)
			h.recordLeavingEngine(m)
		} else {
			h.replyToNewAgent(m.Host)
		}
		return
	}
	h.frontend.blocker.readReports(m)
	if m.LoadsOnly {
		h.handleLoadUpdate(m, now)
		return
	}
	h.mu.Lock()
	current, isNew := h.directory.RecordMessage(h.withRegion(peers.Entry{
		Instance: m.Instance, Host: m.Host, AvailabilityZone: m.AvailabilityZone, FrontAddress: m.FrontAddress,
		Start: m.Start, Sequence: m.Sequence, Ready: m.Ready, Leaving: m.Leaving, StoreUnavailable: m.StoreUnavailable,
	}), now)
	loadsCurrent := current && h.directory.AcceptLoads(m.Host, m.Start, m.Sequence)
	h.directory.AddCandidates(m.Hosts, clock.Now())
	h.mu.Unlock()
	if !current {
		return
	}
	if isNew {
		h.log.WithFields(logrus.Fields{"peer": m.Instance, "host": m.Host}).Info("discovered a peer entry")
		h.triggerSend()
	}
	if loadsCurrent && !m.LoadsOmitted {
		h.scheduler.recordPeerLoads(m.Host, decodeLoads(m.Loads), true, now)
	}
	if loadsCurrent {
		h.scheduler.recordPeerUsages(m.Host, m.PoolUsages, now)
	}
	if len(m.ZoneLoads) > 0 {
		h.scheduler.recordZoneLoads(m.AvailabilityZone, decodeZoneLoads(m.ZoneLoads), now)
	}
	h.frontend.recordLeaving(decodeLeaving(m.LeavingBackends), m.Host)
	h.recordReleaseAges(m)
	h.puller.MessageReceived(ctx, m)
	h.frontend.blockGate.messageReceived(m)
	if gate := h.frontend.evacuationGate; gate != nil {
		gate.messageReceived(m)
	}
}

// recordLeavingEngine records that an engine leaves, if its agent reports it.
func (h *heartbeater) recordLeavingEngine(m *beat.Message) {
	if !m.Report.Leaving {
		return
	}
	if start, found := h.scheduler.instanceAt(m.Host, m.Report.Born); found {
		h.frontend.recordLeaving([]placement.InstanceStart{start}, sourceAgent)
	}
}

// recordReleaseAges merges the release ages of a message, counted from its arrival: the
// release is at least that old. A delay on the way makes it seem younger until the next
// message. Counted from the earliest time at which the message can have been composed, it
// would become older with each message that entries exchange.
func (h *heartbeater) recordReleaseAges(m *beat.Message) {
	h.view.mergeReleaseAges(m.Host, m.Releases, clock.Now())
}

func (h *heartbeater) handleLoadUpdate(m *beat.Message, now time.Time) {
	h.mu.Lock()
	current := h.directory.AcceptLoads(m.Host, m.Start, m.Sequence)
	h.mu.Unlock()
	if current {
		h.scheduler.recordPeerLoads(m.Host, decodeLoads(m.Loads), false, now)
	}
}

// shouldWatch reports whether this entry is the watcher of a collection in its
// availability zone.
func (h *heartbeater) shouldWatch(kind platform.Kind) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.directory.SetStoreUnavailable(h.copies.StoreUnavailable())
	return h.directory.ShouldWatch(string(kind), clock.Now())
}

// listRank returns the rank of this entry among those of its availability zone that list a
// collection after a restore of the store.
func (h *heartbeater) listRank(kind platform.Kind) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.directory.ListRank(string(kind), clock.Now())
}

// zoneHosts returns the hosts of the entries in an availability zone, or of all entries
// when the zone has none.
func (h *heartbeater) zoneHosts(zone string) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	self := h.directory.Self()
	all := append(h.directory.LiveEntries(clock.Now()), self)
	var hosts, inZone []string
	for _, entry := range all {
		hosts = append(hosts, entry.Host)
		if entry.AvailabilityZone == zone {
			inZone = append(inZone, entry.Host)
		}
	}
	if len(inZone) > 0 {
		return inZone
	}
	return hosts
}

func (h *heartbeater) availabilityZone() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.directory.Self().AvailabilityZone
}

// addCandidateHosts adds hosts that may be entries.
func (h *heartbeater) addCandidateHosts(hosts []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.directory.AddCandidates(hosts, clock.Now())
}

func (h *heartbeater) isReady() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.updateReadiness()
	return h.ready
}

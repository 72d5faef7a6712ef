package simulation

import (
	"strconv"
	"time"

	"plantainrelay/internal/blocklist"
	"plantainrelay/internal/catalog"
	"plantainrelay/internal/duty"
	"plantainrelay/internal/peers"
	"plantainrelay/internal/placement"
)

// The settings of package relay.
const (
	entryHeartbeatInterval = 200 * time.Millisecond
	agentHeartbeatEvery    = 4
	maxReadyProofAge       = 3500 * time.Millisecond
	maxHostsPerMessage     = 16
	steadyHostsPerMessage  = 4
	discoveryPeriod        = 30 * time.Second
	dutyCheckInterval      = 100 * time.Millisecond
	entryMaxPulls          = 2
	maxNearbyPeers         = 16
	waitingInterval        = 15 * time.Millisecond
)

const (
	// model and pool name the only model and its pool.
	model = "m"
	pool  = "p"
	// queueTime is how long a request waits at an entry for a slot, and maxAttempts how
	// often it is sent.
	queueTime   = time.Second
	maxAttempts = 3
	// silenceTimeout is how long an entry waits for an engine that does not answer.
	silenceTimeout = 600 * time.Millisecond
	// responseTimeout is the longest time until the end of a response. It ends attempts
	// whose responses are lost on a link that was cut.
	responseTimeout = 3 * time.Second
)

// applyBound is the time within which a change of the tables must be in effect.
const applyBound = 2 * time.Second

var entryPlans = [collections]plan{
	tables:       {Plan: duty.TablesPlan(applyBound), checkInterval: dutyCheckInterval, batchDelay: 100 * time.Millisecond},
	backends:     {Plan: duty.Plan{WatchTimeout: 1500 * time.Millisecond, MaxProofAge: 4 * time.Second}, checkInterval: dutyCheckInterval, batchDelay: 350 * time.Millisecond},
	releases:     {Plan: duty.Plan{WatchTimeout: 3 * time.Second, MaxProofAge: 8 * time.Second}, checkInterval: dutyCheckInterval, batchDelay: 100 * time.Millisecond},
	blockedParts: {Plan: duty.Plan{WatchTimeout: 25 * time.Second, MaxProofAge: 75 * time.Second}, checkInterval: dutyCheckInterval, batchDelay: 350 * time.Millisecond},
}

var collectionNames = [collections]string{"tables", "backends", "releases", "blocks"}

var directoryConfig = peers.Config{
	LiveTimeout: 900 * time.Millisecond, FarLiveTimeout: 2500 * time.Millisecond, MaxBroadcast: 16, RemoveAfter: time.Minute,
	ProbeTimeout: time.Minute, ProbeInterval: time.Second, MinProbeInterval: 150 * time.Millisecond,
}

// entry is one incarnation of an entry, wired like package relay.
type entry struct {
	*process
	directory   *peers.Directory
	copies      *copies
	versions    *versions
	fleet       *placement.Fleet
	sequence    uint64
	turns       int
	sendPending bool
	// loggedMinVersion is the oldest allowed version that was recorded last.
	loggedMinVersion int64
	blocks           *blocks
}

func newEntry(p *process) *entry {
	w := p.world
	e := &entry{process: p, versions: newVersions(w.scenario.Mutation)}
	e.directory = peers.New(directoryConfig, peers.Entry{
		Instance: p.host, Host: p.host, AvailabilityZone: p.zone, FrontAddress: p.host + ":80", Start: p.start.UnixNano(),
	}, w.seeds, w.now)
	e.fleet = placement.New(placement.Config{
		AvailabilityZone: p.zone, MaxPeerLoadAge: 1200 * time.Millisecond, FailureBackoff: 500 * time.Millisecond, MaxFailureBackoff: 6 * time.Second,
		Seed: w.random.Uint64(), Engine: func(string) *catalog.Engine { return engineSettings },
	})
	e.blocks = newBlocks(e)
	e.copies = newCopies(p, entryPlans, entryMaxPulls)
	e.copies.shouldWatch, e.copies.changed, e.copies.storeAvailabilityChanged = e.shouldWatch, e.collectionChanged, e.triggerSend
	return e
}

func (e *entry) begin() {
	e.copies.begin()
	e.every(entryHeartbeatInterval, e.sendHeartbeat)
	if e.world.scenario.Prompts {
		e.blocks.begin()
	}
}

func (e *entry) shouldWatch(kind int) bool {
	e.directory.SetStoreUnavailable(e.copies.storeUnavailable())
	return e.directory.ShouldWatch(collectionNames[kind], e.world.now)
}

func (e *entry) collectionChanged(kind int) {
	now := e.world.now
	switch kind {
	case backends:
		e.fleet.SetList(e.world.decodeBackends(e.copies.collections[backends].replica), time.Time{}, now)
	case releases:
		version, found := decodeRelease(e.copies.collections[releases].replica)
		if found && e.versions.add(version, now) {
			e.world.record(e.host, "release seen", version, 0, "")
		}
	case blockedParts:
		e.blocks.storeChanged()
	}
	e.triggerSend()
}

// triggerSend sends a heartbeat at once.
func (e *entry) triggerSend() {
	if !e.sendPending {
		e.sendPending = true
		e.after(0, func() {
			e.sendPending = false
			e.sendHeartbeat()
		})
	}
}

func (e *entry) ready() bool {
	held := e.copies.collections[tables].replica
	return held.Known() && e.world.now.Sub(held.Proof()) <= maxReadyProofAge && (!e.world.scenario.Prompts || e.blocks.hasRead())
}

func (e *entry) sendHeartbeat() {
	now := e.world.now
	e.recordMinVersion(now)
	e.directory.SetState(e.ready(), false)
	e.directory.SetStoreUnavailable(e.copies.storeUnavailable())
	e.sequence++
	m := &message{from: e.process, composedAt: now, states: e.copies.states(), self: e.directory.Self(), releases: e.versions.releases.Ages(now), loads: e.fleet.OwnLoads()}
	m.self.Sequence = e.sequence
	m.blocks = e.blocks.reports()
	recipients := e.directory.NextRecipients(now)
	live := []string{e.host}
	for _, other := range e.directory.LiveEntries(now) {
		live = append(live, other.Host)
	}
	limit := steadyHostsPerMessage
	if e.directory.HasDiscovered(discoveryPeriod, now) {
		limit = maxHostsPerMessage
	}
	m.hosts = e.directory.HostsToName(limit, now)
	e.fleet.SetEntries(e.host, live)
	e.send(m, recipients)
	if e.turns%agentHeartbeatEvery == 0 {
		zone := e.zone
		if e.directory.BroadcastsToAll() {
			zone = ""
		}
		e.send(m, e.fleet.EngineHosts(zone))
	}
	e.turns++
}

func (e *entry) recordMinVersion(now time.Time) {
	if oldest := e.versions.minVersion(now); oldest != e.loggedMinVersion {
		e.loggedMinVersion = oldest
		e.world.record(e.host, "oldest allowed version changed", oldest, 0, "")
	}
}

func (e *entry) receive(m *message, composedAfter time.Time) {
	now := earliestComposed(composedAfter, e.world.now)
	if m.from.number >= e.world.scenario.Entries {
		if m.report != nil {
			e.fleet.UpdateReport(m.from.host, *m.report, now)
		} else {
			e.replyToNewAgent(m.from)
		}
		return
	}
	e.blocks.read(m, now)
	if m.loadsOnly {
		e.recordLoads(m, false, now)
		return
	}
	current, isNew := e.directory.RecordMessage(m.self, now)
	e.directory.AddCandidates(m.hosts, e.world.now)
	if !current {
		return
	}
	if isNew {
		e.triggerSend()
	}
	e.recordLoads(m, true, now)
	for _, age := range m.releases {
		if e.versions.merge(age, e.world.now) {
			e.world.record(e.host, "a peer reported the age of a release", age.Version, age.Age, m.from.host)
		}
	}
	e.copies.messageReceived(m.from, m.states, composedAfter)
	e.blocks.noteHeard(m, composedAfter)
}

func (e *entry) recordLoads(m *message, complete bool, now time.Time) {
	if e.directory.AcceptLoads(m.from.host, m.self.Start, m.self.Sequence) {
		e.fleet.UpdatePeerLoads(m.from.host, m.loads, complete, now)
	}
}

// sendLoad tells the entries nearby at once that a request was placed at an instance.
func (e *entry) sendLoad(id string) {
	e.sequence++
	m := &message{from: e.process, composedAt: e.world.now, self: e.directory.Self(), loads: map[string]placement.Load{id: e.fleet.OwnLoad(id)}, loadsOnly: true}
	m.self.Sequence = e.sequence
	e.send(m, e.directory.NearHosts(maxNearbyPeers, e.world.now))
}

func (e *entry) replyToNewAgent(agent *process) {
	e.sequence++
	m := &message{from: e.process, composedAt: e.world.now, states: e.copies.states(), self: e.directory.Self()}
	e.send(m, []string{agent.host})
}

// request is a request of a caller at an entry.
type request struct {
	number     int
	sentAt     time.Time
	startBy    time.Time
	attempts   int
	minVersion int64
	tried      map[string]bool
	// parts are the shared parts of its prompt, crashing is the one at which engines crash.
	// canceled is set when one of them was blocked before there was a response.
	parts    []string
	crashing string
	canceled bool
	// crashesBeforeHeader says that engines crash at it before the response begins.
	crashesBeforeHeader bool
}

// accept takes a request of a caller.
func (e *entry) accept(r *request) {
	if !e.ready() {
		e.world.judge.refused(r)
		return
	}
	r.startBy = e.world.now.Add(queueTime)
	r.minVersion = e.versions.minVersion(e.world.now)
	if len(r.parts) > 0 {
		e.blocks.admit(r)
		return
	}
	e.place(r)
}

// place sends the request to an instance, or waits for a slot.
func (e *entry) place(r *request) {
	now := e.world.now
	if now.After(r.startBy) || r.attempts == maxAttempts {
		e.world.judge.refused(r)
		return
	}
	if r.canceled || e.blocks.isBlocked(r) {
		e.world.judge.blocked(e, r)
		return
	}
	if e.world.scenario.Mutation != KeepQueuedVersion {
		r.minVersion = e.versions.minVersion(now)
	}
	choice, found := e.fleet.Choose(placement.Requirements{
		Pool: pool, Model: model, MinVersion: r.minVersion, TargetVersion: e.versions.releases.TargetVersion(model), Tried: r.tried,
	}, now)
	if !found {
		e.after(waitingInterval, func() { e.place(r) })
		return
	}
	if e.world.scenario.Mutation != NoProbation && !e.blocks.list.StartProbe(model, r.parts, e.blocks.turn, now) {
		e.fleet.AttemptFinished(choice, placement.CallerDisconnected, now)
		e.world.judge.refused(r)
		return
	}
	r.attempts++
	e.sendLoad(choice.Backend.ID)
	e.attempt(r, choice)
}

// attempt sends the request to the chosen instance.
func (e *entry) attempt(r *request, choice placement.Choice) {
	w, life, ended := e.world, e.life, false
	to := w.byHost[choice.Backend.Host]
	end := func(result placement.Result, again bool) {
		if ended || e.life != life {
			return
		}
		e.run(func() {
			if ended {
				return
			}
			ended = true
			e.fleet.AttemptFinished(choice, result, w.now)
			if again {
				r.tried = map[string]bool{choice.Backend.ID: true}
				e.place(r)
			}
		})
	}
	expected := int64(0)
	if e.versions.minVersion(w.now) > 0 {
		expected = choice.Version
	}
	a := &attempt{request: r, entry: e.process, id: choice.Backend.ID, expected: expected, sentAt: w.now, belief: e.versions}
	a.answer = func(outcome attemptOutcome) {
		w.transfer(to.number, e.number, to.zone, e.zone, func() {
			switch outcome {
			case attemptBegun:
				a.begun = true
				e.fleet.ResponseStarted(choice)
				e.responseBegan(a, choice, func() bool { return ended || e.life != life })
			case attemptDone:
				e.responseEnded(a, choice)
				end(placement.Succeeded, false)
			case attemptRefused:
				end(placement.Full, true)
			case attemptBroken:
				a.broken = true
				if e.life == life {
					e.run(func() { e.blocks.attemptBroken(a, choice, func(again bool) { end(placement.Failed, again) }) })
				}
			}
		})
	}
	w.transfer(e.number, to.number, e.zone, to.zone, func() { w.engines[to.number-w.scenario.Entries].arrive(a) })
	e.after(silenceTimeout, func() {
		if !a.begun {
			a.canceled = true
			end(placement.Failed, true)
		}
	})
	e.after(responseTimeout, func() { end(placement.Failed, false) })
}

// responseBegan follows a response that has begun.
func (e *entry) responseBegan(a *attempt, choice placement.Choice, ended func() bool) {
	if len(a.request.parts) == 0 || ended() {
		return
	}
	e.run(func() {
		a.begunAt = e.world.now
		e.blocks.unwatch(a.request)
	})
	e.after(2*blocklist.Window(1), func() {
		if !ended() && !a.broken {
			a.outlived = true
			e.blocks.responded(a.request, choice.Version)
		}
	})
}

// responseEnded records that a response is complete.
func (e *entry) responseEnded(a *attempt, choice placement.Choice) {
	if len(a.request.parts) == 0 || e.entry != e {
		return
	}
	e.run(func() {
		if !a.outlived {
			e.blocks.responded(a.request, choice.Version)
		}
		e.blocks.completed(a.request)
	})
}

func newRequest(number int, now time.Time) *request { return &request{number: number, sentAt: now} }

func (r *request) String() string { return "request " + strconv.Itoa(r.number) }

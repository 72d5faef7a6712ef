// Package placement decides, at one entry, which backend server instance takes
// a request and when. It combines the platform's instance list with agent
// reports, the requests in progress at other entries, and the results of earlier
// attempts. It does no I/O: callers pass in events and the time, and get
// decisions back.
package placement

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"plantainrelay/internal/catalog"
	"plantainrelay/internal/promptcache"
)

// Config holds the limits of placement.
type Config struct {
	// AvailabilityZone is the zone of this entry.
	AvailabilityZone string
	// MaxPeerLoadAge is the maximum age of the load that another entry reported;
	// older reports are ignored.
	MaxPeerLoadAge time.Duration
	// FailureBackoff is how long an instance gets no requests after a failed attempt. It
	// doubles with each consecutive failure, up to MaxFailureBackoff.
	FailureBackoff, MaxFailureBackoff time.Duration
	Seed                              uint64
	// Engine returns the description of the engines of a pool, nil for pools of
	// plain services.
	Engine func(pool string) *catalog.Engine
	// Regions maps availability zones to regions.
	Regions map[string]string
	// ColdLimit returns the limit on requests to cold instances of a pool, the zero value for
	// none. ColdBound is the bound that the limit has to keep.
	ColdLimit func(pool string) ColdLimit
	ColdBound ColdBound
	// PromptRetention is how long engines hold the beginning of a prompt after they have begun
	// a request with it; 0 means that they hold none.
	PromptRetention time.Duration
}

const (
	// crossZonePenalty is added to the expected wait at an engine in another
	// availability zone, because of the round trip and the charge for traffic
	// between zones.
	crossZonePenalty = 20 * time.Millisecond
	// crossZoneLoadPenalty is the same penalty for plain services, as a share of the
	// instance's request limit.
	crossZoneLoadPenalty = 0.2
	// jitter is the range of a random score addition, so that entries that know
	// the same loads make different choices.
	jitter = 4 * time.Millisecond
	// occupancyPenalty is added to the expected wait in proportion to the share of
	// occupied slots, so that equal prompts go to the engine that generates output
	// for fewer requests.
	occupancyPenalty = 40 * time.Millisecond
	// oldVersionPenalty is added to the expected wait at an engine with older
	// weights: a stream that is interrupted by the version switch has to process its
	// prompt again at another engine.
	oldVersionPenalty = 60 * time.Millisecond
	// randomChoices is the number of instances among which the choice for an
	// interrupted stream is made.
	randomChoices = 3
	// prefillDelay is the time from another entry's report until the engine starts to
	// process the prompts in it: the transfer of the request and the current pass.
	prefillDelay = 60 * time.Millisecond
	// requestsPerPlainSlot is the number of requests in progress per slot of a plain
	// service, whose requests take milliseconds.
	requestsPerPlainSlot = 2
	// restartAfterSilence is how long an agent must have sent no report before an
	// earlier start time is accepted as a restart. It spans a few regular reports.
	restartAfterSilence = 3 * time.Second
	// maxBackoffDoublings bounds how often the backoff after failures doubles.
	maxBackoffDoublings = 5
)

// AgentReport is the state of an engine as its agent reports it.
type AgentReport struct {
	// EngineStart is the start time of the engine in Unix milliseconds.
	EngineStart int64
	// LoadedVersion is the version of the completely loaded weights, 0 for none.
	LoadedVersion int64
	// Switching is set while the engine accepts no new requests because it is
	// about to load another version.
	Switching bool
	// Slowdown is how many times slower than usual the engine runs, if above 1.
	Slowdown float64
	// AgentStart is the start time of the agent. AgentStart and Sequence order its reports.
	AgentStart int64
	Sequence   uint64
}

// receivedReport is the last report of an agent and when it was received.
type receivedReport struct {
	AgentReport
	receivedAt time.Time
}

// isNewerThan reports whether h was sent after the given report, which was
// received at the given time. Start times are read from the wall clock, which may
// be set back. An earlier start is therefore accepted as a restart once no report
// has been received for restartAfterSilence.
func (h receivedReport) isNewerThan(report AgentReport, at time.Time) bool {
	if report.AgentStart == h.AgentStart {
		return report.Sequence < h.Sequence
	}
	return report.AgentStart < h.AgentStart && at.Sub(h.receivedAt) < restartAfterSilence
}

// Load describes the requests that one entry has in progress at an instance.
type Load struct {
	// Count is the number of requests.
	Count int
	// PendingPromptTokens is the number of prompt tokens of the requests whose
	// response has not started.
	PendingPromptTokens int
}

// ownAttempt is an attempt of this entry in progress.
type ownAttempt struct {
	backend         catalog.Backend
	promptTokens    int
	responseStarted bool
	// version and prefix are those of the choice and its request.
	version int64
	prefix  promptcache.Chain
}

type peerLoad struct {
	Load
	receivedAt time.Time
}

// instance is the known state of one backend server instance.
type instance struct {
	catalog.Backend
	// lastReport is the last report of its agent.
	lastReport AgentReport
	// ownRequests is the number of this entry's requests in progress there.
	ownRequests int
	// pendingPromptTokens holds the prompt tokens of this entry's requests whose
	// response has not started, by ticket.
	pendingPromptTokens map[uint64]int
	peerLoads           map[string]peerLoad
	failures            int
	avoidUntil          time.Time
	// retainUntil is set when the instance is missing from the list, possibly only
	// because the store was unavailable. Until then it stays in use.
	retainUntil time.Time
	// addressReused is set when an attempt has shown that another instance uses the
	// address.
	addressReused bool
	// notice is what this start has said about itself, nil for nothing.
	notice *notice
	// available says that the instance accepts requests, with the weights of version
	// servedVersion, availableSince since when; share is this entry's share of its slots
	// then.
	available      bool
	servedVersion  int64
	availableSince time.Time
	share          entryShare
	// cold is nil in pools without a limit on cold instances.
	cold *coldState
	// reported is the last load that a response has reported.
	reported reportedLoad
}

// Fleet holds the state of all instances. It is not safe for concurrent use.
type Fleet struct {
	config    Config
	instances map[string]*instance
	byHost    map[string]*instance
	reports   map[string]receivedReport
	// notices holds what instances have said about themselves. It outlives their list
	// entries.
	notices map[InstanceStart]*notice
	// waitsEnd is the latest end of any wait that an instance has asked for.
	waitsEnd time.Time
	// latestStart holds the latest start time in the list, by address.
	latestStart map[string]int64
	// ownAttempts holds this entry's attempts in progress, by ticket. They outlive the list
	// entries of their instances.
	ownAttempts map[uint64]*ownAttempt
	// zoneLoads holds the mean loads of other availability zones.
	zoneLoads map[string]receivedZoneLoads
	// listed is set after the first list.
	listed bool
	// entries holds the live entries, self this one's host.
	entries         []string
	self            string
	entriesRevision int
	random          *rand.Rand
	lastTicket      uint64
	// evacuations holds the evacuations by availability zone, evacuatedAt when the last one
	// came into force.
	evacuations map[string]evacuation
	evacuatedAt time.Time
	// coldStates holds what is known of starts that may be cold. It outlives their list
	// entries. coldZones holds the zones that were marked as cold.
	coldStates       map[InstanceStart]*coldState
	coldZones        map[string]time.Time
	coldUnknownUntil time.Time
	coldSends        int
	sharers          sharers
	// held records the beginnings of prompts that engines still hold.
	held *promptcache.Table
}

// New returns a Fleet without instances.
func New(config Config) *Fleet {
	return &Fleet{
		config: config, instances: map[string]*instance{}, byHost: map[string]*instance{}, reports: map[string]receivedReport{}, notices: map[InstanceStart]*notice{}, latestStart: map[string]int64{}, ownAttempts: map[uint64]*ownAttempt{}, zoneLoads: map[string]receivedZoneLoads{}, evacuations: map[string]evacuation{},
		coldStates: map[InstanceStart]*coldState{}, coldZones: map[string]time.Time{}, sharers: newColdSharers(),
		random: rand.New(rand.NewPCG(config.Seed, config.Seed+1)),
		held:   promptcache.New(config.PromptRetention),
	}
}

// ChangeKind is the kind of a change in the known state of an instance.
type ChangeKind string

// The kinds of change.
const (
	Joined  ChangeKind = "joined"
	Leaving ChangeKind = "leaving"
	Lapsed  ChangeKind = "lapsed"
	Gone    ChangeKind = "gone"
	Cold    ChangeKind = "cold"
	Warm    ChangeKind = "warm"
)

// Change is a change in the known state of an instance.
type Change struct {
	ID   string
	Pool string
	Kind ChangeKind
	// ColdLeft is how long an instance that has become cold counts as cold.
	ColdLeft time.Duration
}

// SetList applies the platform's instance list and returns the changes. List
// entries that are missing before keepUntil may have expired because the store
// was unavailable; their instances stay in use until then.
func (f *Fleet) SetList(backends []catalog.Backend, keepUntil, now time.Time) []Change {
	f.extendNotices(now)
	listed := map[string]bool{}
	var changes []Change
	// Other entries may use the instances of the first list already.
	availableSince, isFirstList := now, !f.listed
	if isFirstList {
		availableSince = time.Time{}
	}
	f.listed = true
	for _, backend := range backends {
		listed[backend.ID] = true
		inst := f.instances[backend.ID]
		isNew := inst == nil || !isSameStart(inst.Backend, backend)
		if isNew {
			inst = f.newInstance(backend)
			f.instances[backend.ID] = inst
			changes = append(changes, Change{ID: backend.ID, Pool: backend.Pool, Kind: Joined})
		}
		if backend.Leaving && !inst.Leaving {
			changes = append(changes, Change{ID: backend.ID, Pool: backend.Pool, Kind: Leaving})
		}
		inst.Backend, inst.retainUntil = backend, time.Time{}
		if report, found := f.reports[backend.Host]; found {
			inst.lastReport = report.AgentReport
		}
		f.updateAvailability(inst, availableSince)
		f.updateCold(inst, isNew && !isFirstList, now)
	}
	for id, inst := range f.instances {
		if listed[id] {
			continue
		}
		if now.Before(keepUntil) && !inst.Leaving && !inst.saysLeaving() {
			if inst.retainUntil.IsZero() {
				inst.retainUntil = keepUntil
				changes = append(changes, Change{ID: id, Pool: inst.Pool, Kind: Lapsed})
			}
			continue
		}
		delete(f.instances, id)
		changes = append(changes, Change{ID: id, Pool: inst.Pool, Kind: Gone})
	}
	f.rebuildIndexes()
	f.pruneColdStates(now)
	return append(changes, f.coldChanges(now)...)
}

// newInstance returns a listed instance that is not known, or not any more.
func (f *Fleet) newInstance(backend catalog.Backend) *instance {
	inst := &instance{peerLoads: map[string]peerLoad{}, pendingPromptTokens: map[uint64]int{}}
	inst.notice = f.notices[InstanceStart{ID: backend.ID, Start: backend.Start}]
	for ticket, attempt := range f.ownAttempts {
		if !isSameStart(attempt.backend, backend) {
			continue
		}
		inst.ownRequests++
		if !attempt.responseStarted {
			inst.pendingPromptTokens[ticket] = attempt.promptTokens
		}
	}
	return inst
}

func (f *Fleet) rebuildIndexes() {
	clear(f.byHost)
	clear(f.latestStart)
	for _, inst := range f.instances {
		f.latestStart[inst.Address] = max(f.latestStart[inst.Address], inst.Start)
		if other := f.byHost[inst.Host]; other == nil || inst.Start > other.Start {
			f.byHost[inst.Host] = inst
		}
	}
}

// Expire removes the instances that are missing from the list and whose
// retention time has passed, and returns the changes, with those of instances that are no longer
// cold.
func (f *Fleet) Expire(now time.Time) []Change {
	var changes []Change
	for id, inst := range f.instances {
		if !inst.retainUntil.IsZero() && !now.Before(inst.retainUntil) {
			delete(f.instances, id)
			changes = append(changes, Change{ID: id, Pool: inst.Pool, Kind: Gone})
		}
	}
	if len(changes) > 0 {
		f.rebuildIndexes()
	}
	return append(changes, f.coldChanges(now)...)
}

// UpdateReport records a report of the agent at host. A report that arrives after
// a newer one is ignored.
func (f *Fleet) UpdateReport(host string, report AgentReport, now time.Time) {
	if f.reports[host].isNewerThan(report, now) {
		return
	}
	f.reports[host] = receivedReport{AgentReport: report, receivedAt: now}
	if inst := f.byHost[host]; inst != nil {
		inst.lastReport = report
		f.updateAvailability(inst, now)
	}
}

// UpdatePeerLoads records the load of another entry, by instance ID. complete says
// that the entry has no requests in progress at instances that are not in loads.
func (f *Fleet) UpdatePeerLoads(peer string, loads map[string]Load, complete bool, now time.Time) {
	for id, load := range loads {
		if known := f.instances[id]; known != nil {
			known.peerLoads[peer] = peerLoad{Load: load, receivedAt: now}
		}
	}
	if !complete {
		return
	}
	for id, known := range f.instances {
		if _, named := loads[id]; !named {
			delete(known.peerLoads, peer)
		}
	}
}

// OwnLoad returns the load of this entry at one instance.
func (f *Fleet) OwnLoad(id string) Load {
	inst := f.instances[id]
	if inst == nil {
		return Load{}
	}
	load := Load{Count: inst.ownRequests}
	for _, tokens := range inst.pendingPromptTokens {
		load.PendingPromptTokens += tokens
	}
	return load
}

// OwnLoads returns the load of this entry, by instance ID.
func (f *Fleet) OwnLoads() map[string]Load {
	loads := map[string]Load{}
	for id, inst := range f.instances {
		if inst.ownRequests > 0 {
			loads[id] = f.OwnLoad(id)
		}
	}
	return loads
}

// Requirements holds the requirements of a request on an instance.
type Requirements struct {
	Pool string
	// Model is the model whose weights must be loaded completely; empty for plain
	// pools.
	Model string
	// MinVersion is the oldest version that may serve the request; 0 allows any.
	MinVersion int64
	// TargetVersion is the version that all instances are to load. Those with an older
	// one will switch soon and abort their requests in progress.
	TargetVersion int64
	// PromptTokens is the number of prompt tokens, 0 if unknown.
	PromptTokens int
	// Prefix holds the first parts of the prompt, which an engine may still hold.
	Prefix promptcache.Chain
	// MaxWait is the longest acceptable wait for the first event. An engine with a
	// longer expected wait counts as full. 0 means no limit.
	MaxWait time.Duration
	// ReservedSlots is the number of slots at each instance that stay free for others.
	ReservedSlots int
	// RandomizeChoice restricts the choice to a few random instances, because many
	// streams that are interrupted at once would otherwise all go to the same one.
	RandomizeChoice bool
	// AvoidSwitch prefers the instances with the newest weights to all others with free slots,
	// because the request could not go on elsewhere if a switch aborted it.
	AvoidSwitch bool
	// Tried holds the IDs of the instances to which the request was sent already.
	Tried map[string]bool
	// Regions holds the only regions in which the request may be served if
	// RegionsRestricted is set.
	Regions           []string
	RegionsRestricted bool
}

// Choice is the instance chosen for one attempt.
type Choice struct {
	Backend catalog.Backend
	// Version is the loaded version of the weights, 0 for plain pools.
	Version int64
	// Load is the number of requests in progress there, Limit the maximum,
	// PendingPromptTokens the number of prompt tokens to be processed before this
	// request's.
	Load, Limit, PendingPromptTokens int
	// HeldTokens is the number of tokens of the prompt that the engine is expected not to
	// process again.
	HeldTokens int
	// Slowdown is how many times slower than usual the engine runs, at least 1.
	Slowdown float64
	// Cold says that the instance counts as cold.
	Cold bool
	// ReportedLoad is the number of requests at the instance according to its last response,
	// and ReportedAge the age of that report; 0 without a report that counts.
	ReportedLoad int
	ReportedAge  time.Duration
	ticket       uint64
}

// Choose picks an instance with a free slot and counts the request there. It
// returns false if there is none.
func (f *Fleet) Choose(need Requirements, now time.Time) (Choice, bool) {
	var best *instance
	bestScore := 0.0
	candidates := f.candidates(need, now)
	// Until an instance has loaded the target, those that have loaded the release before it
	// will switch last.
	need.TargetVersion = min(need.TargetVersion, newestVersion(candidates, need.Model))
	for _, inst := range candidates {
		load, limit := f.load(inst, now), f.limit(inst)
		score := f.score(inst, need, load, limit, now)
		if best == nil || score < bestScore {
			best, bestScore = inst, score
		}
	}
	if best == nil {
		return Choice{}, false
	}
	f.lastTicket++
	choice := Choice{
		Backend: best.Backend, Version: best.version(need.Model), Load: f.load(best, now), Limit: f.limit(best),
		PendingPromptTokens: f.pendingPromptTokens(best, now), HeldTokens: f.heldTokens(best, need, now), Slowdown: best.slowdown(), ticket: f.lastTicket,
	}
	choice.Cold = f.coldSent(best, choice.ticket, now)
	if best.reported.weight(now) > 0 {
		choice.ReportedLoad, choice.ReportedAge = best.reported.requests(), now.Sub(best.reported.at)
	}
	best.reported.begun++
	best.ownRequests++
	// The whole prompt counts until its response starts, although the engine may hold a part of
	// it: the next requests with that part then go to other engines.
	best.pendingPromptTokens[choice.ticket] = need.PromptTokens
	f.ownAttempts[choice.ticket] = &ownAttempt{backend: best.Backend, promptTokens: need.PromptTokens, version: choice.Version, prefix: need.Prefix}
	return choice, true
}

// candidates returns the instances that can take the request now.
func (f *Fleet) candidates(need Requirements, now time.Time) []*instance {
	var available []*instance
	for _, id := range slices.Sorted(maps.Keys(f.instances)) {
		inst := f.instances[id]
		if f.usable(inst, need, now) && f.hasCapacity(inst, need, now) {
			available = append(available, inst)
		}
	}
	if need.AvoidSwitch {
		newest := newestVersion(available, need.Model)
		available = slices.DeleteFunc(available, func(inst *instance) bool { return inst.version(need.Model) < newest })
	}
	if need.RandomizeChoice && len(available) > randomChoices {
		f.random.Shuffle(len(available), func(i, j int) { available[i], available[j] = available[j], available[i] })
		available = available[:randomChoices]
	}
	return available
}

// newestVersion returns the newest version of the weights that any of the instances has.
func newestVersion(instances []*instance, model string) int64 {
	var newest int64
	for _, inst := range instances {
		newest = max(newest, inst.version(model))
	}
	return newest
}

// hasCapacity reports whether the instance has a free slot for the request and is
// expected to produce the first event in time. A prompt that is too long for any
// MaxWait is accepted by an engine that has no other prompts to process;
// otherwise it would never be placed.
func (f *Fleet) hasCapacity(inst *instance, need Requirements, now time.Time) bool {
	if f.load(inst, now) >= f.limit(inst)-min(need.ReservedSlots, f.limit(inst)-1) {
		return false
	}
	if limit, ramping := f.rampLimit(inst, now); ramping && inst.ownRequests >= limit {
		return false
	}
	if limit, settling := f.settlingLimit(inst, need, now); settling && inst.ownRequests >= limit {
		return false
	}
	if !f.coldAllows(inst, now) {
		return false
	}
	engine, pendingTokens := f.engine(inst.Pool), f.pendingPromptTokens(inst, now)
	if engine == nil || engine.PromptTokensPerSecond <= 0 || need.MaxWait <= 0 || pendingTokens == 0 {
		return true
	}
	return estimateFirstEvent(engine, pendingTokens+need.PromptTokens-f.heldTokens(inst, need, now), inst.slowdown()) <= need.MaxWait
}

// estimateFirstEvent estimates the time to the first event: the current pass, the
// pass that processes the prompt, and the part of the prompt processing that
// falls into passes for other requests.
func estimateFirstEvent(engine *catalog.Engine, tokens int, slowdown float64) time.Duration {
	const passes = 2
	return time.Duration(slowdown*float64(passes*engine.PassTime())) + prefillTime(engine, tokens, slowdown)
}

// score returns the expected wait for the first event at an engine in seconds,
// or the relative load of a plain service. The lowest score is best.
func (f *Fleet) score(inst *instance, need Requirements, load, limit int, now time.Time) float64 {
	otherZone := inst.AvailabilityZone != f.config.AvailabilityZone
	share, slowdown := f.share(inst, load, limit, now), inst.scoredSlowdown(now)
	engine := f.engine(inst.Pool)
	if engine == nil || engine.PromptTokensPerSecond <= 0 {
		score := share + (idleShare+share)*(slowdown-1) + jitter.Seconds()*f.random.Float64()
		if otherZone {
			score += crossZoneLoadPenalty
		}
		return score
	}
	wait := engine.PassTime() + time.Duration(float64(f.scoredTokens(inst, need, now)+need.PromptTokens-f.heldTokens(inst, need, now))/engine.PromptTokensPerSecond*float64(time.Second))
	score := wait.Seconds()*slowdown + occupancyPenalty.Seconds()*share + jitter.Seconds()*f.random.Float64()
	if otherZone {
		score += crossZonePenalty.Seconds()
	}
	if inst.version(need.Model) < need.TargetVersion {
		score += oldVersionPenalty.Seconds()
	}
	return score
}

// heldTokens returns the number of the request's prompt tokens that the engine is expected to
// hold. It is 0 if the size of the prompt is unknown.
func (f *Fleet) heldTokens(inst *instance, need Requirements, now time.Time) int {
	if len(need.Prefix) == 0 {
		return 0
	}
	held := f.held.HeldTokens(heldBy(inst.Backend), inst.version(need.Model), need.Prefix, now)
	return min(held, need.PromptTokens)
}

func heldBy(backend catalog.Backend) promptcache.Engine {
	return promptcache.Engine{Instance: backend.ID, Start: backend.Start}
}

func (f *Fleet) engine(pool string) *catalog.Engine {
	if f.config.Engine == nil {
		return nil
	}
	return f.config.Engine(pool)
}

// slowdown returns how many times slower than usual the engine runs.
func (i *instance) slowdown() float64 {
	if i.lastReport.EngineStart == i.Start && i.lastReport.Slowdown > 1 {
		return i.lastReport.Slowdown
	}
	return 1
}

// pendingPromptTokens returns the number of prompt tokens that the instance has not
// processed yet. Tokens reported by other entries are reduced over time, as the
// engine processes them: an entry reports a started response only with its next
// report.
func (f *Fleet) pendingPromptTokens(inst *instance, now time.Time) int {
	total := 0
	for _, tokens := range inst.pendingPromptTokens {
		total += tokens
	}
	engine := f.engine(inst.Pool)
	for _, peer := range inst.peerLoads {
		if peer.PendingPromptTokens == 0 || engine == nil || engine.PromptTokensPerSecond <= 0 {
			continue
		}
		processingTime := prefillDelay + prefillTime(engine, peer.PendingPromptTokens, inst.slowdown())
		if remaining := 1 - float64(now.Sub(peer.receivedAt))/float64(processingTime); remaining > 0 {
			total += int(remaining * float64(peer.PendingPromptTokens))
		}
	}
	if mean, known := f.zoneLoad(inst, now); known {
		total = f.withZoneMean(inst.AvailabilityZone, total, mean.PendingPromptTokens)
	}
	return total
}

// prefillTime estimates the time an engine takes to process a prompt while it
// generates output for other requests.
func prefillTime(engine *catalog.Engine, tokens int, slowdown float64) time.Duration {
	const prefillFactor = 1.5
	return time.Duration(slowdown * prefillFactor * float64(tokens) / engine.PromptTokensPerSecond * float64(time.Second))
}

// ResponseStarted records that the response to a request has started, which means
// that its prompt has been processed.
func (f *Fleet) ResponseStarted(choice Choice) {
	if attempt := f.ownAttempts[choice.ticket]; attempt != nil {
		attempt.responseStarted = true
	}
	if inst := f.instances[choice.Backend.ID]; inst != nil {
		delete(inst.pendingPromptTokens, choice.ticket)
	}
}

// PromptProcessed records that an engine has begun the response to a request, and holds the
// beginning of its prompt from now on.
func (f *Fleet) PromptProcessed(choice Choice, now time.Time) {
	if attempt := f.ownAttempts[choice.ticket]; attempt != nil && len(attempt.prefix) > 0 {
		f.held.Record(heldBy(attempt.backend), attempt.version, attempt.prefix, now)
	}
}

// HasFreeSlot reports whether Choose would find an instance for a request with these
// requirements.
func (f *Fleet) HasFreeSlot(need Requirements, now time.Time) bool {
	for _, inst := range f.instances {
		if f.usable(inst, need, now) && f.hasCapacity(inst, need, now) {
			return true
		}
	}
	return false
}

// Usable returns the number of instances that may take requests with these
// requirements, whether or not they have free slots, and the total of their
// request limits.
func (f *Fleet) Usable(need Requirements, now time.Time) (count, slots int) {
	for _, inst := range f.instances {
		if f.usable(inst, need, now) {
			count++
			slots += f.limit(inst)
		}
	}
	return count, slots
}

func (f *Fleet) usable(inst *instance, need Requirements, now time.Time) bool {
	if !f.accepts(inst, need) || need.Tried[inst.ID] || now.Before(inst.usableFrom()) {
		return false
	}
	return need.Model == "" || inst.hasVersion(need) && !inst.switching()
}

// accepts reports whether the instance belongs to the pool and still accepts requests.
func (f *Fleet) accepts(inst *instance, need Requirements) bool {
	if inst.Pool != need.Pool || inst.Leaving || inst.addressReused || inst.saysLeaving() || !f.AllowsZone(inst.AvailabilityZone, need) {
		return false
	}
	// A list entry may belong to an earlier start at this address.
	return f.reports[inst.Host].EngineStart <= inst.Start && f.latestStart[inst.Address] <= inst.Start
}

// hasVersion reports whether the weights loaded may serve the request.
func (i *instance) hasVersion(need Requirements) bool {
	if need.Model == "" {
		return true
	}
	version := i.version(need.Model)
	return version > 0 && version >= need.MinVersion
}

// version returns the version that is loaded completely. An agent report about
// the same start takes precedence over the list.
func (i *instance) version(model string) int64 {
	if model == "" {
		return 0
	}
	if i.lastReport.EngineStart == i.Start && i.lastReport.EngineStart > 0 {
		return i.lastReport.LoadedVersion
	}
	return i.LoadedVersions[model]
}

// isSameStart reports whether two backend servers are the same start of an instance.
func isSameStart(a, b catalog.Backend) bool {
	return a.ID == b.ID && a.Start == b.Start && a.Address == b.Address
}

func (i *instance) switching() bool {
	return i.lastReport.Switching && i.lastReport.EngineStart == i.Start
}

func (f *Fleet) load(inst *instance, now time.Time) int {
	load := inst.ownRequests
	for _, peer := range inst.peerLoads {
		if now.Sub(peer.receivedAt) <= f.config.MaxPeerLoadAge {
			load += peer.Count
		}
	}
	if mean, known := f.zoneLoad(inst, now); known {
		load = f.withZoneMean(inst.AvailabilityZone, load, int(math.Round(mean.Utilization*float64(f.limit(inst)))))
	}
	return load
}

// limit returns the number of requests that an instance processes at once.
func (f *Fleet) limit(inst *instance) int {
	if f.engine(inst.Pool) != nil {
		return max(inst.Slots, 1)
	}
	return max(inst.Slots, 1) * requestsPerPlainSlot
}

// EngineHosts returns the IPs of the instances that run an agent, in the given
// availability zone, or in all zones if it is empty.
func (f *Fleet) EngineHosts(zone string) []string {
	var hosts []string
	for host, inst := range f.byHost {
		if f.engine(inst.Pool) != nil && (zone == "" || inst.AvailabilityZone == zone) {
			hosts = append(hosts, host)
		}
	}
	slices.Sort(hosts)
	return hosts
}

// Result is the result of an attempt.
type Result int

// The results of attempts.
const (
	// Succeeded means that the instance responded.
	Succeeded Result = iota
	// Failed means that the instance aborted the response, did not respond or
	// returned an error.
	Failed
	// Full means that the instance rejected the request for lack of capacity.
	Full
	// AddressReused means that another instance uses the address now.
	AddressReused
	// CallerDisconnected means that the caller disconnected, which says nothing about the
	// instance.
	CallerDisconnected
	// NotUsed means that the slot was given back before a request was sent.
	NotUsed
	// AskedToWait means that the instance asked to be sent no requests for a time, which
	// RecordWait records. It is no failure.
	AskedToWait
)

// AttemptFinished records the end of an attempt that Choose counted. An attempt
// that an engine aborts in order to switch versions does not count as a failure. What became
// of an attempt at an earlier start says nothing about the present one.
func (f *Fleet) AttemptFinished(choice Choice, result Result, now time.Time) {
	delete(f.ownAttempts, choice.ticket)
	if result == NotUsed {
		f.coldNotSent(choice)
	}
	inst := f.instances[choice.Backend.ID]
	if inst == nil || !isSameStart(inst.Backend, choice.Backend) {
		return
	}
	inst.ownRequests = max(inst.ownRequests-1, 0)
	inst.reported.begun--
	delete(inst.pendingPromptTokens, choice.ticket)
	if inst.switching() && result != AddressReused {
		return
	}
	switch result {
	case Succeeded:
		inst.failures = 0
	case Failed:
		backoff := f.config.FailureBackoff << min(inst.failures, maxBackoffDoublings)
		inst.failures++
		inst.avoidUntil = now.Add(min(backoff, f.config.MaxFailureBackoff))
	case Full:
		inst.avoidUntil = now.Add(f.config.FailureBackoff / 4)
	case AddressReused:
		inst.addressReused = true
	case CallerDisconnected, NotUsed, AskedToWait:
	}
}

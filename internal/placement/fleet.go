// Package placement decides, at one entry, which backend server instance takes
// a request and when. It combines the platform's instance list with agent
// reports, the requests in progress at other entries, and the results of earlier
// attempts. It does no I/O: callers pass in events and the time, and get
// decisions back.
package placement

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"plantainrelay/internal/catalog"
)

// Config holds the limits of placement.
type Config struct {
	// AvailabilityZone is the zone of this entry.
	AvailabilityZone string
	// PeerAge is the maximum age of the load that another entry reported; older
	// reports are ignored.
	PeerAge time.Duration
	// Avoid is how long an instance gets no requests after a failed attempt. It
	// doubles with each consecutive failure, up to MaxAvoid.
	Avoid, MaxAvoid time.Duration
	Seed            uint64
	// Engine returns the description of the engines of a pool, nil for pools of
	// plain services.
	Engine func(pool string) *catalog.Engine
}

const (
	// farPenalty is added to the expected wait at an engine in another
	// availability zone, because of the round trip and the charge for traffic
	// between zones.
	farPenalty = 20 * time.Millisecond
	// farLoad is the same penalty for plain services, as a share of the instance's
	// request limit.
	farLoad = 0.2
	// jitter is the range of a random score addition, so that entries that know
	// the same loads make different choices.
	jitter = 4 * time.Millisecond
	// fullPenalty is added to the expected wait in proportion to the share of
	// occupied slots, so that equal prompts go to the engine that generates output
	// for fewer requests.
	fullPenalty = 40 * time.Millisecond
	// oldPenalty is added to the expected wait at an engine with older weights: a
	// stream that is interrupted by the version switch has to process its prompt
	// again at another engine.
	oldPenalty = 60 * time.Millisecond
	// spreadChoices is the number of instances among which the choice for an
	// interrupted stream is made.
	spreadChoices = 3
	// readLag is the time from another entry's report until the engine starts to
	// process the prompts in it: the transfer of the request and the current pass.
	readLag = 60 * time.Millisecond
	// plainFactor is the number of requests in progress per slot of a plain
	// service, whose requests take milliseconds.
	plainFactor = 2
	// restartSilence is how long an agent must have sent no report before an earlier
	// start time is accepted as a restart. It spans a few regular reports.
	restartSilence = 3 * time.Second
	// maxDoublings bounds how often the avoidance time doubles.
	maxDoublings = 5
)

// AgentReport is the state of an engine as its agent reports it.
type AgentReport struct {
	// Born is the start time of the engine in Unix milliseconds.
	Born int64
	// Loaded is the version of the completely loaded weights, 0 for none.
	Loaded int64
	// Switching is set while the engine accepts no new requests because it is
	// about to load another version.
	Switching bool
	// Pace is how many times slower than usual the engine runs, if above 1.
	Pace float64
	// Start is the start time of the agent. Start and Sequence order its reports.
	Start    int64
	Sequence uint64
}

// heard is the last report of an agent and when it was received.
type heard struct {
	AgentReport
	at time.Time
}

// overtakes reports whether h was sent after the given report, which was
// received at the given time. Start times are read from the wall clock, which may
// be set back. An earlier start is therefore accepted as a restart once no report
// has been received for restartSilence.
func (h heard) overtakes(report AgentReport, at time.Time) bool {
	if report.Start == h.Start {
		return report.Sequence < h.Sequence
	}
	return report.Start < h.Start && at.Sub(h.at) < restartSilence
}

// Load describes the requests that one entry has in progress at an instance.
type Load struct {
	// Count is the number of requests.
	Count int
	// Unread is the number of prompt tokens of the requests whose response has not
	// started.
	Unread int
}

type peerLoad struct {
	Load
	at time.Time
}

// instance is the known state of one backend server instance.
type instance struct {
	catalog.Backend
	// reported is the last report of its agent.
	reported AgentReport
	// own is the number of this entry's requests in progress there.
	own int
	// unread holds the prompt tokens of this entry's requests whose response has
	// not started, by ticket.
	unread     map[uint64]int
	peers      map[string]peerLoad
	failures   int
	avoidUntil time.Time
	// keepUntil is set when the instance is missing from the list, possibly only
	// because the store was unavailable. Until then it stays in use.
	keepUntil time.Time
	// gone is set when an attempt has shown that another instance uses the address.
	gone bool
}

// Fleet holds the state of all instances. It is not safe for concurrent use.
type Fleet struct {
	config    Config
	instances map[string]*instance
	byHost    map[string]*instance
	reports   map[string]heard
	// newest holds the latest start time in the list, by address.
	newest  map[string]int64
	random  *rand.Rand
	tickets uint64
}

// New returns a Fleet without instances.
func New(config Config) *Fleet {
	return &Fleet{
		config: config, instances: map[string]*instance{}, byHost: map[string]*instance{}, reports: map[string]heard{}, newest: map[string]int64{},
		random: rand.New(rand.NewPCG(config.Seed, config.Seed+1)),
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
)

// Change is a change in the known state of an instance.
type Change struct {
	ID   string
	Pool string
	Kind ChangeKind
}

// SetList applies the platform's instance list and returns the changes. List
// entries that are missing before keepUntil may have expired because the store
// was unavailable; their instances stay in use until then.
func (f *Fleet) SetList(backends []catalog.Backend, keepUntil, now time.Time) []Change {
	listed := map[string]bool{}
	var changes []Change
	for _, backend := range backends {
		listed[backend.ID] = true
		known := f.instances[backend.ID]
		if known == nil || known.Born != backend.Born || known.Address != backend.Address {
			known = &instance{peers: map[string]peerLoad{}, unread: map[uint64]int{}}
			f.instances[backend.ID] = known
			changes = append(changes, Change{ID: backend.ID, Pool: backend.Pool, Kind: Joined})
		}
		if backend.Leaving && !known.Leaving {
			changes = append(changes, Change{ID: backend.ID, Pool: backend.Pool, Kind: Leaving})
		}
		known.Backend, known.keepUntil = backend, time.Time{}
		if last, found := f.reports[backend.Host]; found {
			known.reported = last.AgentReport
		}
	}
	for id, known := range f.instances {
		if listed[id] {
			continue
		}
		if now.Before(keepUntil) && !known.Leaving {
			if known.keepUntil.IsZero() {
				known.keepUntil = keepUntil
				changes = append(changes, Change{ID: id, Pool: known.Pool, Kind: Lapsed})
			}
			continue
		}
		delete(f.instances, id)
		changes = append(changes, Change{ID: id, Pool: known.Pool, Kind: Gone})
	}
	f.index()
	return changes
}

func (f *Fleet) index() {
	clear(f.byHost)
	clear(f.newest)
	for _, known := range f.instances {
		f.newest[known.Address] = max(f.newest[known.Address], known.Born)
		if other := f.byHost[known.Host]; other == nil || known.Born > other.Born {
			f.byHost[known.Host] = known
		}
	}
}

// Expire removes the instances that are missing from the list and whose
// retention time has passed.
func (f *Fleet) Expire(now time.Time) {
	dropped := false
	for id, known := range f.instances {
		if !known.keepUntil.IsZero() && !now.Before(known.keepUntil) {
			delete(f.instances, id)
			dropped = true
		}
	}
	if dropped {
		f.index()
	}
}

// Reported records a report of the agent at host. A report that arrives after a
// newer one is ignored.
func (f *Fleet) Reported(host string, report AgentReport, now time.Time) {
	if f.reports[host].overtakes(report, now) {
		return
	}
	f.reports[host] = heard{AgentReport: report, at: now}
	if known := f.byHost[host]; known != nil {
		known.reported = report
	}
}

// PeerLoads records the load of another entry, by instance ID. whole says that
// the entry has no requests in progress at instances that are not in loads.
func (f *Fleet) PeerLoads(peer string, loads map[string]Load, whole bool, now time.Time) {
	for id, load := range loads {
		if known := f.instances[id]; known != nil {
			known.peers[peer] = peerLoad{Load: load, at: now}
		}
	}
	if !whole {
		return
	}
	for id, known := range f.instances {
		if _, named := loads[id]; !named {
			delete(known.peers, peer)
		}
	}
}

// OwnLoad returns the load of this entry at one instance.
func (f *Fleet) OwnLoad(id string) Load {
	known := f.instances[id]
	if known == nil {
		return Load{}
	}
	load := Load{Count: known.own}
	for _, tokens := range known.unread {
		load.Unread += tokens
	}
	return load
}

// OwnLoads returns the load of this entry, by instance ID.
func (f *Fleet) OwnLoads() map[string]Load {
	loads := map[string]Load{}
	for id, known := range f.instances {
		if known.own > 0 {
			loads[id] = f.OwnLoad(id)
		}
	}
	return loads
}

// Need holds the requirements of a request on an instance.
type Need struct {
	Pool string
	// Model is the model whose weights must be loaded completely; empty for plain
	// pools.
	Model string
	// Version is the oldest version that may serve the request; 0 allows any.
	Version int64
	// Newest is the target version. Instances with an older one will switch soon
	// and abort their requests in progress.
	Newest int64
	// Tokens is the number of prompt tokens, 0 if unknown.
	Tokens int
	// MaxWait is the longest acceptable wait for the first event. An engine with a
	// longer expected wait counts as full. 0 means no limit.
	MaxWait time.Duration
	// Reserve is the number of slots at each instance that stay free for others.
	Reserve int
	// Spread restricts the choice to a few random instances, because many streams
	// that are interrupted at once would otherwise all go to the same one.
	Spread bool
	// Tried holds the IDs of the instances to which the request was sent already.
	Tried map[string]bool
}

// Choice is the instance chosen for one attempt.
type Choice struct {
	Backend catalog.Backend
	// Version is the loaded version of the weights, 0 for plain pools.
	Version int64
	// Load is the number of requests in progress there, Limit the maximum, Unread
	// the number of prompt tokens to be processed before this request's.
	Load, Limit, Unread int
	ticket              uint64
}

// Choose picks an instance with a free slot and counts the request there. It
// returns false if there is none.
func (f *Fleet) Choose(need Need, now time.Time) (Choice, bool) {
	var best *instance
	bestScore := 0.0
	for _, known := range f.candidates(need, now) {
		load, limit := f.load(known, now), f.limit(known)
		score := f.score(known, need, load, limit, now)
		if best == nil || score < bestScore {
			best, bestScore = known, score
		}
	}
	if best == nil {
		return Choice{}, false
	}
	f.tickets++
	choice := Choice{
		Backend: best.Backend, Version: best.version(need.Model), Load: f.load(best, now), Limit: f.limit(best),
		Unread: f.unread(best, now), ticket: f.tickets,
	}
	best.own++
	best.unread[choice.ticket] = need.Tokens
	return choice, true
}

// candidates returns the instances that can take the request now.
func (f *Fleet) candidates(need Need, now time.Time) []*instance {
	var free []*instance
	for _, id := range slices.Sorted(maps.Keys(f.instances)) {
		known := f.instances[id]
		if f.usable(known, need, now) && f.hasRoom(known, need, now) {
			free = append(free, known)
		}
	}
	if need.Spread && len(free) > spreadChoices {
		f.random.Shuffle(len(free), func(i, j int) { free[i], free[j] = free[j], free[i] })
		free = free[:spreadChoices]
	}
	return free
}

// hasRoom reports whether the instance has a free slot for the request and is
// expected to produce the first event in time. A prompt that is too long for any
// MaxWait is accepted by an engine that has no other prompts to process;
// otherwise it would never be placed.
func (f *Fleet) hasRoom(known *instance, need Need, now time.Time) bool {
	if f.load(known, now) >= f.limit(known)-min(need.Reserve, f.limit(known)-1) {
		return false
	}
	engine, unread := f.engine(known.Pool), f.unread(known, now)
	if engine == nil || engine.ReadPerSecond <= 0 || need.MaxWait <= 0 || unread == 0 {
		return true
	}
	return firstEvent(engine, unread+need.Tokens, known.pace()) <= need.MaxWait
}

// firstEvent estimates the time to the first event: the current pass, the pass
// that processes the prompt, and the part of the prompt processing that falls
// into passes for other requests.
func firstEvent(engine *catalog.Engine, tokens int, pace float64) time.Duration {
	const passes = 2
	return time.Duration(pace*float64(passes*engine.Pass())) + readTime(engine, tokens, pace)
}

// score returns the expected wait for the first event at an engine in seconds,
// or the relative load of a plain service. The lowest score is best.
func (f *Fleet) score(known *instance, need Need, load, limit int, now time.Time) float64 {
	far := known.AvailabilityZone != f.config.AvailabilityZone
	share := float64(load) / float64(limit)
	engine := f.engine(known.Pool)
	if engine == nil || engine.ReadPerSecond <= 0 {
		score := share + jitter.Seconds()*f.random.Float64()
		if far {
			score += farLoad
		}
		return score
	}
	wait := engine.Pass() + time.Duration(float64(f.unread(known, now)+need.Tokens)/engine.ReadPerSecond*float64(time.Second))
	score := wait.Seconds()*known.pace() + fullPenalty.Seconds()*share + jitter.Seconds()*f.random.Float64()
	if far {
		score += farPenalty.Seconds()
	}
	if known.version(need.Model) < need.Newest {
		score += oldPenalty.Seconds()
	}
	return score
}

func (f *Fleet) engine(pool string) *catalog.Engine {
	if f.config.Engine == nil {
		return nil
	}
	return f.config.Engine(pool)
}

// pace returns how many times slower than usual the engine runs.
func (i *instance) pace() float64 {
	if i.reported.Born == i.Born && i.reported.Pace > 1 {
		return i.reported.Pace
	}
	return 1
}

// unread returns the number of prompt tokens that the instance has not processed
// yet. Tokens reported by other entries are reduced over time, as the engine
// processes them: an entry reports a started response only with its next report.
func (f *Fleet) unread(known *instance, now time.Time) int {
	total := 0
	for _, tokens := range known.unread {
		total += tokens
	}
	engine := f.engine(known.Pool)
	for _, peer := range known.peers {
		if peer.Unread == 0 || engine == nil || engine.ReadPerSecond <= 0 {
			continue
		}
		span := readLag + readTime(engine, peer.Unread, known.pace())
		if left := 1 - float64(now.Sub(peer.at))/float64(span); left > 0 {
			total += int(left * float64(peer.Unread))
		}
	}
	return total
}

// readTime estimates the time an engine takes to process a prompt while it
// generates output for other requests.
func readTime(engine *catalog.Engine, tokens int, pace float64) time.Duration {
	const readFactor = 1.5
	return time.Duration(pace * readFactor * float64(tokens) / engine.ReadPerSecond * float64(time.Second))
}

// Began records that the response to a request has started, which means that its
// prompt is processed.
func (f *Fleet) Began(choice Choice) {
	if known := f.instances[choice.Backend.ID]; known != nil {
		delete(known.unread, choice.ticket)
	}
}

// Free returns the number of free slots for requests with these requirements.
func (f *Fleet) Free(need Need, now time.Time) int {
	free := 0
	for _, known := range f.instances {
		if f.usable(known, need, now) && f.hasRoom(known, need, now) {
			free += f.limit(known) - f.load(known, now)
		}
	}
	return free
}

// Usable returns the number of instances that may take requests with these
// requirements, whether or not they have free slots, and the total of their
// request limits.
func (f *Fleet) Usable(need Need, now time.Time) (count, places int) {
	for _, known := range f.instances {
		if f.usable(known, need, now) {
			count++
			places += f.limit(known)
		}
	}
	return count, places
}

func (f *Fleet) usable(known *instance, need Need, now time.Time) bool {
	if known.Pool != need.Pool || known.Leaving || known.gone || need.Tried[known.ID] || now.Before(known.avoidUntil) {
		return false
	}
	if f.reports[known.Host].Born > known.Born || f.newest[known.Address] > known.Born {
		// The list entry belongs to an earlier start at this address.
		return false
	}
	if need.Model == "" {
		return true
	}
	version := known.version(need.Model)
	return version > 0 && version >= need.Version && !known.switching()
}

// version returns the version that is loaded completely. An agent report about
// the same start takes precedence over the list.
func (i *instance) version(model string) int64 {
	if model == "" {
		return 0
	}
	if i.reported.Born == i.Born && i.reported.Born > 0 {
		return i.reported.Loaded
	}
	return i.Loaded[model]
}

func (i *instance) switching() bool {
	return i.reported.Switching && i.reported.Born == i.Born
}

func (f *Fleet) load(known *instance, now time.Time) int {
	load := known.own
	for _, peer := range known.peers {
		if now.Sub(peer.at) <= f.config.PeerAge {
			load += peer.Count
		}
	}
	return load
}

// limit returns the number of requests that an instance processes at once.
func (f *Fleet) limit(known *instance) int {
	if f.engine(known.Pool) != nil {
		return max(known.Slots, 1)
	}
	return max(known.Slots, 1) * plainFactor
}

// EngineHosts returns the IPs of the instances that run an agent, in the given
// availability zone, or in all zones if it is empty.
func (f *Fleet) EngineHosts(zone string) []string {
	var hosts []string
	for host, known := range f.byHost {
		if f.engine(known.Pool) != nil && (zone == "" || known.AvailabilityZone == zone) {
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
	// Moved means that another instance uses the address now.
	Moved
	// Abandoned means that the caller disconnected, which says nothing about the
	// instance.
	Abandoned
)

// Finished records the end of an attempt that Choose counted. An attempt that an
// engine aborts in order to switch versions does not count as a failure.
func (f *Fleet) Finished(choice Choice, result Result, now time.Time) {
	known := f.instances[choice.Backend.ID]
	if known == nil {
		return
	}
	known.own = max(known.own-1, 0)
	delete(known.unread, choice.ticket)
	if known.switching() && result != Moved {
		return
	}
	switch result {
	case Succeeded:
		known.failures = 0
	case Failed:
		wait := f.config.Avoid << min(known.failures, maxDoublings)
		known.failures++
		known.avoidUntil = now.Add(min(wait, f.config.MaxAvoid))
	case Full:
		known.avoidUntil = now.Add(f.config.Avoid / 4)
	case Moved:
		known.gone = true
	case Abandoned:
	}
}

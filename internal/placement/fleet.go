// Package placement decides, at one entry, which backend server instance takes
// a request and when. It joins the platform's list with what agents report,
// what other entries have in progress and how earlier attempts went. It does no
// I/O: events and the time go in, decisions come out.
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
	// AvailabilityZone is the entry's own.
	AvailabilityZone string
	// PeerAge bounds the age of what another entry said of its requests.
	PeerAge time.Duration
	// Avoid is how long an instance that failed an attempt is avoided at first;
	// it doubles with each failure in a row up to MaxAvoid.
	Avoid, MaxAvoid time.Duration
	Seed            uint64
	// Engine returns what is known of the engines of a pool, nil for pools of
	// plain services.
	Engine func(pool string) *catalog.Engine
}

const (
	// farPenalty is what another availability zone adds to the expected wait at
	// an engine: a round trip, and bytes that are priced.
	farPenalty = 20 * time.Millisecond
	// farLoad is the same for plain services, as a share of the instance's limit.
	farLoad = 0.2
	// jitter spreads the choices of entries that know the same loads.
	jitter = 4 * time.Millisecond
	// fullPenalty is what the last free place of an engine adds to the expected
	// wait, so that equal prompts go where fewer requests write.
	fullPenalty = 40 * time.Millisecond
	// oldPenalty is what an older version of the weights adds to the expected wait:
	// a stream that is cut by the switch reads its prompt again elsewhere.
	oldPenalty = 60 * time.Millisecond
	// spreadChoices is the number of instances among which a cut stream chooses.
	spreadChoices = 3
	// readLag is how long after another entry's word an engine begins to read its
	// prompts: the request's way and the pass under way.
	readLag = 60 * time.Millisecond
	// plainFactor is the number of requests in progress per slot of an instance
	// whose requests take milliseconds.
	plainFactor = 2
	// restartSilence is the silence of an agent after which a start that seems earlier
	// is taken for a later one: a few of its regular reports.
	restartSilence = 3 * time.Second
	// maxDoublings bounds the growth of the time for which an instance is avoided.
	maxDoublings = 5
)

// AgentReport is what the agent beside an engine says of it.
type AgentReport struct {
	// Born is the engine's start in Unix milliseconds.
	Born int64
	// Loaded is the version of the whole weights, 0 for none.
	Loaded int64
	// Switching says that the engine takes no new requests before it loads.
	Switching bool
	// Pace above 1 means that the engine is slow.
	Pace float64
	// Start and Sequence order what the agent says.
	Start    int64
	Sequence uint64
}

// heard is an agent's last word and when it was said.
type heard struct {
	AgentReport
	at time.Time
}

// overtakes reports whether the agent said h before a report of the given time.
// Starts are told by the time of day, which may go back: one that seems earlier
// counts once the other has been silent for a while.
func (h heard) overtakes(report AgentReport, at time.Time) bool {
	if report.Start == h.Start {
		return report.Sequence < h.Sequence
	}
	return report.Start < h.Start && at.Sub(h.at) < restartSilence
}

// Load is what one entry has in progress at an instance.
type Load struct {
	// Count is the number of requests.
	Count int
	// Unread is the number of prompt tokens of those that have not begun to
	// answer.
	Unread int
}

type peerLoad struct {
	Load
	at time.Time
}

// instance is what is known of one backend server instance.
type instance struct {
	catalog.Backend
	// reported is the agent's last word.
	reported AgentReport
	own      int
	// unread holds the prompt tokens of this entry's requests that have not begun
	// to answer, by ticket.
	unread     map[uint64]int
	peers      map[string]peerLoad
	failures   int
	avoidUntil time.Time
	// keepUntil is set when its entry may have lapsed while the list was away: it
	// is used until then.
	keepUntil time.Time
	// gone says that an attempt proved that another instance has the address.
	gone bool
}

// Fleet is the view of all instances. It is not safe for concurrent use.
type Fleet struct {
	config    Config
	instances map[string]*instance
	byHost    map[string]*instance
	reports   map[string]heard
	// newest holds the latest start that the list names at an address.
	newest  map[string]int64
	random  *rand.Rand
	tickets uint64
}

// New returns a view without instances.
func New(config Config) *Fleet {
	return &Fleet{
		config: config, instances: map[string]*instance{}, byHost: map[string]*instance{}, reports: map[string]heard{}, newest: map[string]int64{},
		random: rand.New(rand.NewPCG(config.Seed, config.Seed+1)),
	}
}

// ChangeKind says what became known of an instance.
type ChangeKind string

// The kinds of change.
const (
	Joined  ChangeKind = "joined"
	Leaving ChangeKind = "leaving"
	Lapsed  ChangeKind = "lapsed"
	Gone    ChangeKind = "gone"
)

// Change is a belief that has changed.
type Change struct {
	ID   string
	Pool string
	Kind ChangeKind
}

// SetList takes in the platform's list and returns what has changed. Entries
// that are missing before keepUntil may have lapsed because the store was away;
// their instances are used until then.
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

// Expire drops the instances whose entries lapsed and did not come back.
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

// Reported takes in the word of the agent at host. One that later words have
// overtaken is ignored.
func (f *Fleet) Reported(host string, report AgentReport, now time.Time) {
	if f.reports[host].overtakes(report, now) {
		return
	}
	f.reports[host] = heard{AgentReport: report, at: now}
	if known := f.byHost[host]; known != nil {
		known.reported = report
	}
}

// PeerLoads takes in what another entry has in progress, by ID of the instance.
// whole says that it has nothing at instances that are not named.
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

// OwnLoad returns what this entry has in progress at the instance.
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

// OwnLoads returns what this entry has in progress, by ID of the instance.
func (f *Fleet) OwnLoads() map[string]Load {
	loads := map[string]Load{}
	for id, known := range f.instances {
		if known.own > 0 {
			loads[id] = f.OwnLoad(id)
		}
	}
	return loads
}

// Need is what a request asks of an instance.
type Need struct {
	Pool string
	// Model is the model whose weights have to be whole; empty for plain pools.
	Model string
	// Version is the oldest version that may answer; 0 allows any.
	Version int64
	// Newest is the intended version: instances with an older one will switch soon
	// and break off what they have begun.
	Newest int64
	// Tokens is the number of prompt tokens, 0 when it is not known.
	Tokens int
	// MaxWait is the longest expected wait for the first event that is of use; an
	// engine where it is longer counts as full. 0 is no limit.
	MaxWait time.Duration
	// Reserve is the number of places that stay free for others.
	Reserve int
	// Spread picks among a few instances at random: many streams that were cut at
	// once would all go to the same one.
	Spread bool
	// Tried holds the IDs of the instances that the request was sent to.
	Tried map[string]bool
}

// Choice is the instance for one attempt.
type Choice struct {
	Backend catalog.Backend
	// Version is the version of the weights that it holds, 0 for plain pools.
	Version int64
	// Load is the number of requests in progress there, Limit how many it takes,
	// Unread the prompt tokens ahead of this request's.
	Load, Limit, Unread int
	ticket              uint64
}

// Choose picks an instance with a free place and counts the request there. It
// returns false when none is free.
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

// candidates returns the instances with a free place.
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

// hasRoom reports whether a request that needs so would be of use at the
// instance now. A prompt that is too long for any wait is taken by an engine
// that has nothing else to read.
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

// firstEvent estimates the time to the first event: the pass under way, the pass
// that reads, and the share of the reading that falls into passes of others.
func firstEvent(engine *catalog.Engine, tokens int, pace float64) time.Duration {
	const passes = 2
	return time.Duration(pace*float64(passes*engine.Pass())) + readTime(engine, tokens, pace)
}

// score is the expected wait in seconds for the first event at an engine, or
// the relative load of a plain service; the lowest is best.
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

// pace returns how many times slower than usual the engine is.
func (i *instance) pace() float64 {
	if i.reported.Born == i.Born && i.reported.Pace > 1 {
		return i.reported.Pace
	}
	return 1
}

// unread returns the prompt tokens at the instance that are not read yet. What
// other entries have said fades as the engine reads on: they tell of prompts that
// begin to be answered with their next word only.
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

// readTime estimates how long an engine reads a prompt beside the requests that
// it writes for.
func readTime(engine *catalog.Engine, tokens int, pace float64) time.Duration {
	const readFactor = 1.5
	return time.Duration(pace * readFactor * float64(tokens) / engine.ReadPerSecond * float64(time.Second))
}

// Began records that a request's answer has begun: its prompt is read.
func (f *Fleet) Began(choice Choice) {
	if known := f.instances[choice.Backend.ID]; known != nil {
		delete(known.unread, choice.ticket)
	}
}

// Free returns the number of free places for requests that need so.
func (f *Fleet) Free(need Need, now time.Time) int {
	free := 0
	for _, known := range f.instances {
		if f.usable(known, need, now) && f.hasRoom(known, need, now) {
			free += f.limit(known) - f.load(known, now)
		}
	}
	return free
}

// Usable returns the number of instances that may take requests that need so,
// free or not, and their places.
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
		// The entry is of an earlier start at the address.
		return false
	}
	if need.Model == "" {
		return true
	}
	version := known.version(need.Model)
	return version > 0 && version >= need.Version && !known.switching()
}

// version returns the version that the instance holds whole: the agent's word,
// when it is of the same start, goes before the list's.
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

// limit returns how many requests an instance takes at once.
func (f *Fleet) limit(known *instance) int {
	if f.engine(known.Pool) != nil {
		return max(known.Slots, 1)
	}
	return max(known.Slots, 1) * plainFactor
}

// EngineHosts returns the IPs of the instances beside which agents run, in the
// given availability zone or, when it is empty, in all.
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

// Result says how an attempt went.
type Result int

// The results of attempts.
const (
	// Succeeded means that the instance answered.
	Succeeded Result = iota
	// Failed means that the instance broke off, kept silent or failed.
	Failed
	// Full means that the instance refused for lack of room.
	Full
	// Moved means that another instance has the address.
	Moved
	// Abandoned means that the caller left; it tells nothing of the instance.
	Abandoned
)

// Finished records the end of an attempt that Choose has counted. What an
// engine breaks off in order to switch is not held against it.
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

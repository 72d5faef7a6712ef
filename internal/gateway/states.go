// Package gateway implements the request path of an entry: address queries,
// routing, attempts on agents and the outcome that the caller gets.
package gateway

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"plantainrelay/internal/balance"
	"plantainrelay/internal/member"
	"plantainrelay/internal/membership"
	"plantainrelay/internal/message"
	"plantainrelay/internal/peer"
	"plantainrelay/internal/ring"
	"plantainrelay/internal/table"
)

const (
	stateTimeout = 2 * time.Second
	// stateTTL is how long a state is used after it was read.
	stateTTL = 5 * time.Second
	// shortReadInterval is the time between two reads of an agent that is not
	// known to admit requests or that owns key slots, while its state does not
	// change.
	shortReadInterval = 500 * time.Millisecond
	// maxAgentSilence is how long an agent may be unresponsive before attempts
	// that wait for it are canceled.
	maxAgentSilence = 5 * time.Second
	// pinDuration is how long a pinned instance outside of the subset is polled.
	pinDuration = 30 * time.Second
)

// subsetSize limits the instances of one pool whose states are polled. Current
// fleets are small enough that all instances are polled.
var subsetSize = balance.SubsetSize{Local: 16, Remote: 4}

// outlierConfig defines when an instance counts as slow or failing.
var outlierConfig = balance.OutlierConfig{
	MinSamples:      20,
	SlowFactor:      3,
	MaxFailureShare: 0.5,
	EjectionTime:    5 * time.Second,
	MaxEjectionTime: time.Minute,
	RampUp:          10 * time.Second,
	MaxEjectedShare: 0.5,
}

// agentState is the last state read from one agent.
type agentState struct {
	message.StateReply
	instance member.Instance
	readAt   time.Time
	// ownAttempts is the number of this entry's attempts in progress when Running
	// was reported.
	ownAttempts int
}

// otherRequests estimates the requests that other entries have in progress on
// the agent.
func (a agentState) otherRequests() int {
	return max(0, a.Running-a.ownAttempts)
}

// AgentStates polls the states of the agents and counts this entry's own
// attempts. It is safe for concurrent use.
type AgentStates struct {
	members  *membership.View
	client   *peer.Client
	self     string
	interval time.Duration

	mu      sync.Mutex
	agents  map[string]agentState
	readers map[string]bool
	// watchedInstances holds the instances whose states are being polled.
	watchedInstances map[string]member.Instance
	// suspect instances get no attempt until their state is read again.
	suspect  map[string]bool
	inFlight map[string]int
	liveness map[string]*livenessState
	// stateRead receives a value after states were read.
	stateRead chan struct{}
	// stateChanged receives a value after a state was read that differs from the
	// previous one.
	stateChanged chan struct{}
	// tables, when set, limits this entry to a subset of each large pool.
	tables func() *table.Snapshot
	zone   string
	// pinned instances are polled until the time given.
	pinned map[string]time.Time
	// outliers holds the outlier detector of each pool.
	outliers map[string]*balance.OutlierDetector
}

// livenessState tracks when an agent last replied. Its context ends when the
// agent stops replying.
type livenessState struct {
	ctx       context.Context
	cancel    context.CancelFunc
	lastReply time.Time
}

// NewAgentStates returns states that are polled at the given interval once Run
// is called.
func NewAgentStates(members *membership.View, client *peer.Client, self string, interval time.Duration) *AgentStates {
	return &AgentStates{
		members:  members,
		client:   client,
		self:     self,
		interval: interval,
		agents:   map[string]agentState{},
		readers:  map[string]bool{},

		watchedInstances: map[string]member.Instance{},
		stateChanged:     make(chan struct{}, 1),
		suspect:          map[string]bool{},
		stateRead:        make(chan struct{}, 1),
		pinned:           map[string]time.Time{},
		outliers:         map[string]*balance.OutlierDetector{},
		inFlight:         map[string]int{},
		liveness:         map[string]*livenessState{},
	}
}

// Run polls the states until ctx ends.
func (s *AgentStates) Run(ctx context.Context) {
	ticker := time.NewTicker(min(s.interval, shortReadInterval))
	defer ticker.Stop()
	for {
		s.updateReaders(ctx, s.agentsToWatch(time.Now()))
		s.removeUnlisted()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// updateReaders starts to poll the given instances that are not polled yet, and
// stops polling all others.
func (s *AgentStates) updateReaders(ctx context.Context, instances []member.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.watchedInstances)
	for _, instance := range instances {
		s.watchedInstances[instance.Name] = instance
		if !s.readers[instance.Name] {
			s.readers[instance.Name] = true
			go s.readLoop(ctx, instance.Name)
		}
	}
}

// readLoop long-polls one agent's state. The agent replies when its state has
// changed or when the hold time has passed.
func (s *AgentStates) readLoop(ctx context.Context, name string) {
	defer func() {
		s.mu.Lock()
		delete(s.readers, name)
		s.mu.Unlock()
	}()
	for ctx.Err() == nil {
		s.mu.Lock()
		instance, watched := s.watchedInstances[name]
		seen, hold := s.longPollArgs(name)
		s.mu.Unlock()
		if !watched || !s.readState(ctx, instance, seen, hold) {
			return
		}
	}
}

// longPollArgs returns the last known state of an agent and how long the agent
// may hold its reply while that state is unchanged. An agent that admits
// requests is polled at the configured interval, because responses to attempts
// report its load in between. Any other agent is polled more often, and so is
// an owner of key slots, because slots move according to its last reported
// state. The caller holds the lock.
func (s *AgentStates) longPollArgs(name string) (message.RoutingState, time.Duration) {
	state, known := s.agents[name]
	if !known || s.suspect[name] {
		return message.RoutingState{}, 0
	}
	if state.Open && state.OwnersRevision == 0 {
		return state.RoutingState(), s.interval
	}
	return state.RoutingState(), min(s.interval, shortReadInterval)
}

// LimitToSubset makes this entry poll only a part of each large pool. Call it
// before Run.
func (s *AgentStates) LimitToSubset(availabilityZone string, tables func() *table.Snapshot) {
	s.zone, s.tables = availabilityZone, tables
}

// pin keeps an instance polled for pinDuration, also outside of the subset.
func (s *AgentStates) pin(name string) {
	s.mu.Lock()
	s.pinned[name] = time.Now().Add(pinDuration)
	s.mu.Unlock()
}

// agentsToWatch returns the agents to poll: the subset of each pool, and those
// that are pinned. Agents without a pool are treated as one more pool.
func (s *AgentStates) agentsToWatch(now time.Time) []member.Instance {
	agents := s.members.Current().Role(member.RoleAgent)
	if s.tables == nil || s.tables() == nil {
		return agents
	}
	pools := map[string][]member.Instance{}
	for _, instance := range agents {
		pool, _ := s.tables().PoolOf(instance.Name)
		pools[pool.Name] = append(pools[pool.Name], instance)
	}
	chosen := map[string]bool{}
	for _, instances := range pools {
		for _, name := range balance.Subset(s.self, s.zone, instances, subsetSize) {
			chosen[name] = true
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.pinned, func(_ string, until time.Time) bool { return now.After(until) })
	return slices.DeleteFunc(agents, func(instance member.Instance) bool {
		_, pinned := s.pinned[instance.Name]
		return !chosen[instance.Name] && !pinned
	})
}

// recordRunning records the number of requests that an agent had in progress
// when it responded to an attempt.
func (s *AgentStates) recordRunning(name string, running int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state, found := s.agents[name]; found {
		state.Running, state.ownAttempts = running, s.inFlight[name]
		s.agents[name] = state
	}
}

// capacity returns how many attempts of this entry the instances of pool can
// have in progress, as far as is known.
func (s *AgentStates) capacity(pool string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := 0
	for name, state := range s.agents {
		if s.usable(name, state, pool) {
			total += max(0, state.MaxRunning-state.otherRequests())
		}
	}
	return total
}

// usable reports whether an instance can get an attempt; the caller holds the
// lock.
func (s *AgentStates) usable(name string, state agentState, pool string) bool {
	return state.Pool == pool && state.Open && !s.suspect[name] && state.instance.State == member.StateLive
}

// readState reads one agent's state and reports whether the agent replied.
func (s *AgentStates) readState(ctx context.Context, instance member.Instance, seen message.RoutingState, hold time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, hold+stateTimeout)
	defer cancel()
	var reply message.StateReply
	err := s.client.Call(ctx, instance.ControlAddress, message.MethodState, message.StateArgs{From: s.self, Seen: seen, Hold: hold}, &reply)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		delete(s.agents, instance.Name)
		s.cancelIfSilent(instance.Name)
		return false
	}
	s.recordReply(instance.Name)
	delete(s.suspect, instance.Name)
	if last, known := s.agents[instance.Name]; !known || last.RoutingState() != reply.RoutingState() {
		ring.Notify(s.stateChanged)
	}
	s.agents[instance.Name] = agentState{StateReply: reply, instance: instance, readAt: time.Now(), ownAttempts: s.inFlight[instance.Name]}
	ring.Notify(s.stateRead)
	return true
}

// removeUnlisted removes agents that are no longer in the instance list, and
// states older than stateTTL.
func (s *AgentStates) removeUnlisted() {
	list := s.members.Current()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, detector := range s.outliers {
		detector.Remove(func(name string) bool {
			_, listed := list.Find(name)
			return !listed
		})
	}
	for name := range s.liveness {
		if _, listed := list.Find(name); !listed {
			s.cancelIfSilent(name)
		}
	}
	for name, state := range s.agents {
		instance, listed := list.Find(name)
		if !listed || time.Since(state.readAt) > stateTTL {
			delete(s.agents, name)
			delete(s.suspect, name)
			continue
		}
		state.instance = instance
		s.agents[name] = state
	}
}

// All returns the known states by instance.
func (s *AgentStates) All() map[string]message.StateReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make(map[string]message.StateReply, len(s.agents))
	for name, state := range s.agents {
		all[name] = state.StateReply
	}
	return all
}

// candidates returns the instances of pool, other than the tried ones, that can get an
// attempt now. Slow and failing ones are excluded unless no others are available.
func (s *AgentStates) candidates(pool string, tried map[string]bool, random *rand.Rand) []balance.Candidate {
	s.mu.Lock()
	defer s.mu.Unlock()
	var healthy, outliers []balance.Candidate
	for name, state := range s.agents {
		load := s.inFlight[name] + state.otherRequests()
		if tried[name] || !s.usable(name, state, pool) || load >= state.MaxRunning {
			continue
		}
		candidate := balance.Candidate{Name: name, AvailabilityZone: state.instance.AvailabilityZone, Load: load}
		if share := s.outlierDetector(pool).TrafficShare(name, time.Now()); share < 1 && random.Float64() >= share {
			outliers = append(outliers, candidate)
			continue
		}
		healthy = append(healthy, candidate)
	}
	if len(healthy) == 0 {
		return outliers
	}
	return healthy
}

// outlierDetector returns the outlier detector of a pool; the caller holds the
// lock.
func (s *AgentStates) outlierDetector(pool string) *balance.OutlierDetector {
	if s.outliers[pool] == nil {
		s.outliers[pool] = balance.NewOutlierDetector(outlierConfig)
	}
	return s.outliers[pool]
}

// recordAttempt reports an attempt to the outlier detector; elapsed is the time
// to the response header.
func (s *AgentStates) recordAttempt(pool, name string, elapsed time.Duration, failed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for other, state := range s.agents {
		if state.Pool == pool {
			names = append(names, other)
		}
	}
	s.outlierDetector(pool).Observe(name, elapsed, failed, names, time.Now())
}

// recordReply records that an agent replied; the caller holds the lock.
func (s *AgentStates) recordReply(name string) {
	if s.liveness[name] == nil {
		ctx, cancel := context.WithCancel(context.Background())
		s.liveness[name] = &livenessState{ctx: ctx, cancel: cancel}
	}
	s.liveness[name].lastReply = time.Now()
}

// cancelIfSilent cancels the attempts that wait for an agent that has not
// replied for maxAgentSilence; the caller holds the lock.
func (s *AgentStates) cancelIfSilent(name string) {
	if last := s.liveness[name]; last != nil && time.Since(last.lastReply) > maxAgentSilence {
		last.cancel()
		delete(s.liveness, name)
	}
}

// startAttempt counts an attempt on the named instance and returns its state,
// with a context that ends when the agent stops replying.
func (s *AgentStates) startAttempt(name string) (agentState, context.Context, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state, found := s.agents[name]
	if !found || s.liveness[name] == nil {
		return agentState{}, nil, false
	}
	s.inFlight[name]++
	return state, s.liveness[name].ctx, true
}

// lookup returns the known state of the named instance.
func (s *AgentStates) lookup(name string) (agentState, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state, found := s.agents[name]
	return state, found
}

// endAttempt counts the end of an attempt.
func (s *AgentStates) endAttempt(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight[name]--
	if s.inFlight[name] <= 0 {
		delete(s.inFlight, name)
	}
}

// markSuspect excludes an instance until its state is read again, which starts
// at once.
func (s *AgentStates) markSuspect(name string) {
	s.mu.Lock()
	state, found := s.agents[name]
	s.suspect[name] = true
	s.mu.Unlock()
	if found {
		go s.readState(context.Background(), state.instance, message.RoutingState{}, 0)
	}
}

// inPool returns the known states of the agents in pool.
func (s *AgentStates) inPool(pool string) []agentState {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []agentState
	for _, state := range s.agents {
		if state.Pool == pool {
			found = append(found, state)
		}
	}
	return found
}

// recordOwnersRevision records the revision of the ownership map that an agent
// holds.
func (s *AgentStates) recordOwnersRevision(name string, revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state, found := s.agents[name]; found && state.OwnersRevision < revision {
		state.OwnersRevision = revision
		s.agents[name] = state
	}
}

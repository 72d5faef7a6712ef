// Package gateway is an entry's request path: address answers, routing,
// attempts on agents and the outcome told to the caller.
package gateway

import (
	"context"
	"sync"
	"time"

	"plantainrelay/internal/balance"
	"plantainrelay/internal/member"
	"plantainrelay/internal/membership"
	"plantainrelay/internal/message"
	"plantainrelay/internal/peer"
)

const (
	stateTimeout = 2 * time.Second
	// stateTTL is how long a state counts after it was read.
	stateTTL = 5 * time.Second
	// silentAfter is how long an agent may leave its peers without an answer
	// before attempts that wait for it are broken off.
	silentAfter = 5 * time.Second
)

// agentState is the last state read from one agent.
type agentState struct {
	message.StateReply
	instance member.Instance
	at       time.Time
}

// States polls the state of the agents and counts this entry's own attempts.
// It is safe for concurrent use.
type States struct {
	members  *membership.View
	client   *peer.Client
	self     string
	interval time.Duration

	mu      sync.Mutex
	agents  map[string]agentState
	polling map[string]bool
	// distrusted instances take no attempt until their state is read again.
	distrusted map[string]bool
	inFlight   map[string]int
	pulses     map[string]*pulse
}

// pulse is when an agent last answered; its context ends when it fell silent.
type pulse struct {
	ctx    context.Context
	cancel context.CancelFunc
	at     time.Time
}

// NewStates returns states that are read at the given interval once Run is
// called.
func NewStates(members *membership.View, client *peer.Client, self string, interval time.Duration) *States {
	return &States{
		members:  members,
		client:   client,
		self:     self,
		interval: interval,
		agents:   map[string]agentState{},
		polling:  map[string]bool{},

		distrusted: map[string]bool{},
		inFlight:   map[string]int{},
		pulses:     map[string]*pulse{},
	}
}

// Run polls until ctx ends.
func (s *States) Run(ctx context.Context) {
	ticker := time.NewTicker(s.interval)
	defer ticker.Stop()
	for {
		for _, instance := range s.members.Current().Role(member.RoleAgent) {
			s.poll(ctx, instance)
		}
		s.forget()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// poll reads one agent's state, unless a read is in progress.
func (s *States) poll(ctx context.Context, instance member.Instance) {
	s.mu.Lock()
	busy := s.polling[instance.Name]
	s.polling[instance.Name] = true
	s.mu.Unlock()
	if busy {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, stateTimeout)
		defer cancel()
		var reply message.StateReply
		err := s.client.Call(ctx, instance.ControlAddress, message.MethodState, message.StateArgs{From: s.self}, &reply)
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.polling, instance.Name)
		if err != nil {
			delete(s.agents, instance.Name)
			s.missed(instance.Name)
			return
		}
		s.beat(instance.Name)
		delete(s.distrusted, instance.Name)
		s.agents[instance.Name] = agentState{StateReply: reply, instance: instance, at: time.Now()}
	}()
}

// forget drops agents that the list no longer names.
func (s *States) forget() {
	list := s.members.Current()
	s.mu.Lock()
	defer s.mu.Unlock()
	for name := range s.pulses {
		if _, listed := list.Find(name); !listed {
			s.missed(name)
		}
	}
	for name, state := range s.agents {
		instance, listed := list.Find(name)
		if !listed || time.Since(state.at) > stateTTL {
			delete(s.agents, name)
			delete(s.distrusted, name)
			continue
		}
		state.instance = instance
		s.agents[name] = state
	}
}

// All returns the known states by instance.
func (s *States) All() map[string]message.StateReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make(map[string]message.StateReply, len(s.agents))
	for name, state := range s.agents {
		all[name] = state.StateReply
	}
	return all
}

// candidates returns the instances of pool that may take an attempt now.
func (s *States) candidates(pool string) []balance.Candidate {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []balance.Candidate
	for name, state := range s.agents {
		if state.Pool != pool || !state.Open || s.distrusted[name] || state.instance.State != member.StateLive {
			continue
		}
		found = append(found, balance.Candidate{
			Name:             name,
			AvailabilityZone: state.instance.AvailabilityZone,
			Reported:         state.Running,
			InFlight:         s.inFlight[name],
		})
	}
	return found
}

// beat notes an answer; the caller holds the lock.
func (s *States) beat(name string) {
	if s.pulses[name] == nil {
		ctx, cancel := context.WithCancel(context.Background())
		s.pulses[name] = &pulse{ctx: ctx, cancel: cancel}
	}
	s.pulses[name].at = time.Now()
}

// missed breaks off what waits for an agent that has been silent for long; the
// caller holds the lock.
func (s *States) missed(name string) {
	if last := s.pulses[name]; last != nil && time.Since(last.at) > silentAfter {
		last.cancel()
		delete(s.pulses, name)
	}
}

// start counts an attempt on the named instance and returns its state, with a
// context that ends when the agent falls silent.
func (s *States) start(name string) (agentState, context.Context, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state, found := s.agents[name]
	if !found || s.pulses[name] == nil {
		return agentState{}, nil, false
	}
	s.inFlight[name]++
	return state, s.pulses[name].ctx, true
}

// state returns the known state of the named instance.
func (s *States) state(name string) (agentState, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state, found := s.agents[name]
	return state, found
}

// end counts the end of an attempt.
func (s *States) end(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight[name]--
	if s.inFlight[name] <= 0 {
		delete(s.inFlight, name)
	}
}

// distrust stops the use of an instance until its state is read again, which
// begins at once.
func (s *States) distrust(name string) {
	s.mu.Lock()
	state, found := s.agents[name]
	s.distrusted[name] = true
	s.mu.Unlock()
	if found {
		s.poll(context.Background(), state.instance)
	}
}

// ofPool returns the known states of the agents that serve pool.
func (s *States) ofPool(pool string) []agentState {
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

// heldOwners notes the revision of the map of owners that an agent holds.
func (s *States) heldOwners(name string, revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state, found := s.agents[name]; found && state.OwnersRevision < revision {
		state.OwnersRevision = revision
		s.agents[name] = state
	}
}

package gateway

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"plantainrelay/internal/failure"
	"plantainrelay/internal/member"
	"plantainrelay/internal/membership"
	"plantainrelay/internal/message"
	"plantainrelay/internal/ownership"
	"plantainrelay/internal/peer"
	"plantainrelay/internal/platform"
	"plantainrelay/internal/table"
	"plantainrelay/internal/tablesync"
)

// OwnersKind is the kind of the store's objects that hold maps of owners; the
// object's name is the pool's.
const OwnersKind = "ownership"

const (
	ownersInterval = 250 * time.Millisecond
	ownersTimeout  = 2 * time.Second
	// turnDelay is how long an entry leaves a needed change to each entry that
	// ranks before it.
	turnDelay = 2 * time.Second
	// goneAfter is how long an instance that this entry saw in the list must be
	// absent from it; goneUnseenAfter holds for one that it never saw.
	goneAfter       = 3 * time.Second
	goneUnseenAfter = time.Minute
	// goneAnswering holds for one that still answers its peers.
	goneAnswering = 15 * time.Second
	// maxPlanners bounds the entries that may move a pool's slots.
	maxPlanners = 5
	// startingFor is how long slots without an owner wait for an instance of the
	// pool that does not admit requests yet.
	startingFor = 3 * time.Second
	// listFresh is the age up to which the list proves an absence.
	listFresh = 3 * time.Second
)

// Owners keeps the maps of owners and moves slots. It is safe for concurrent
// use.
type Owners struct {
	self    string
	store   platform.ObjectStore
	tables  *tablesync.Sync
	members *membership.View
	states  *States
	client  *peer.Client
	log     *logrus.Entry
	started time.Time

	mu   sync.Mutex
	maps map[string]*ownership.Map

	// The fields below belong to the goroutine of Run.
	seen        map[string]member.Instance
	absentSince map[string]time.Time
	neededSince map[string]time.Time
	closedSince map[string]time.Time
}

// NewOwners returns owners that learn and move slots once Run is called.
func NewOwners(self string, store platform.ObjectStore, tables *tablesync.Sync, members *membership.View, states *States, client *peer.Client, log *logrus.Entry) *Owners {
	return &Owners{
		self:        self,
		store:       store,
		tables:      tables,
		members:     members,
		states:      states,
		client:      client,
		log:         log,
		started:     time.Now(),
		maps:        map[string]*ownership.Map{},
		seen:        map[string]member.Instance{},
		absentSince: map[string]time.Time{},
		neededSince: map[string]time.Time{},
		closedSince: map[string]time.Time{},
	}
}

// of returns the owner of a customer's key.
func (o *Owners) of(pool, customer, key string) (ownership.Owner, bool) {
	held := o.held(pool)
	if held == nil {
		return ownership.Owner{}, false
	}
	owner := held.Slots[ownership.SlotOf(customer, key)]
	return owner, owner.Instance != ""
}

func (o *Owners) held(pool string) *ownership.Map {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.maps[pool]
}

func (o *Owners) offer(newer *ownership.Map) {
	if newer == nil || len(newer.Slots) != ownership.SlotCount {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if held := o.maps[newer.Pool]; held == nil || held.Revision < newer.Revision {
		o.maps[newer.Pool] = newer
	}
}

// Run learns maps from agents and moves slots until ctx ends.
func (o *Owners) Run(ctx context.Context) {
	ticker := time.NewTicker(ownersInterval)
	defer ticker.Stop()
	for {
		o.observe(time.Now())
		for _, pool := range keyedPools(o.tables.Current()) {
			o.tend(ctx, pool)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-o.states.stirred:
		}
	}
}

// keyedPools returns the pools that take requests which are not repeatable.
func keyedPools(snapshot *table.Snapshot) []table.Pool {
	if snapshot == nil {
		return nil
	}
	named := map[string]bool{}
	for _, route := range snapshot.Routes {
		if !route.Repeatable {
			named[route.Pool] = true
		}
	}
	var pools []table.Pool
	for _, pool := range snapshot.Pools {
		if named[pool.Name] {
			pools = append(pools, pool)
		}
	}
	return pools
}

// observe notes which instances the list names and since when others are
// absent. A list that is old, or that lacks this entry, proves nothing.
func (o *Owners) observe(now time.Time) {
	if len(keyedPools(o.tables.Current())) == 0 {
		return
	}
	list, readAt := o.members.Read()
	if _, listed := list.Find(o.self); !listed || now.Sub(readAt) > listFresh {
		clear(o.absentSince)
		return
	}
	for _, instance := range list.Role(member.RoleAgent) {
		o.seen[instance.Name] = instance
		delete(o.absentSince, instance.Name)
	}
	for _, pool := range keyedPools(o.tables.Current()) {
		held := o.held(pool.Name)
		if held == nil {
			continue
		}
		for _, owner := range held.Slots {
			o.noteAbsence(list, owner.Instance, now)
		}
	}
}

func (o *Owners) noteAbsence(list *member.List, name string, now time.Time) {
	if _, listed := list.Find(name); listed || name == "" {
		return
	}
	if _, noted := o.absentSince[name]; !noted {
		o.absentSince[name] = now
	}
}

// gone reports whether the platform has declared an instance gone.
func (o *Owners) gone(ctx context.Context, name string, now time.Time) bool {
	since, absent := o.absentSince[name]
	if !absent {
		return false
	}
	last, wasSeen := o.seen[name]
	if !wasSeen {
		return now.Sub(since) >= goneUnseenAfter
	}
	if now.Sub(since) < goneAfter || now.Sub(since) >= goneAnswering {
		return now.Sub(since) >= goneAnswering
	}
	// While it still answers, the list that lacks it may be a stale one.
	call, cancel := context.WithTimeout(ctx, ownersTimeout)
	defer cancel()
	var state message.StateReply
	err := o.client.Call(call, last.ControlAddress, message.MethodState, message.StateArgs{From: o.self}, &state)
	return err != nil || state.Instance != name || state.Released
}

// tend learns the pool's newest map, passes it to agents that lack it and
// moves the slots that have to move.
func (o *Owners) tend(ctx context.Context, pool table.Pool) {
	rank := o.rank(pool.Name)
	plans := rank >= 0 && rank < maxPlanners
	if plans {
		o.watchAll(pool)
	}
	agents := o.states.ofPool(pool.Name)
	o.learn(ctx, pool.Name, agents)
	if !plans {
		return
	}
	if rank == 0 {
		o.spread(ctx, pool.Name, agents)
	}
	fleet := o.fleet(ctx, pool, agents)
	held := o.held(pool.Name)
	now := time.Now()
	next, changed := ownership.Plan(held, pool.Name, fleet, later(o.started, now))
	if !changed {
		delete(o.neededSince, pool.Name)
		return
	}
	if _, noted := o.neededSince[pool.Name]; !noted {
		o.neededSince[pool.Name] = now
	}
	if now.Sub(o.neededSince[pool.Name]) < time.Duration(rank)*turnDelay {
		return
	}
	if o.write(ctx, held, next) {
		o.spread(ctx, pool.Name, agents)
	}
}

// watchAll keeps all instances of the pool watched.
func (o *Owners) watchAll(pool table.Pool) {
	for _, instance := range o.members.Current().Role(member.RoleAgent) {
		if pool.Selects(instance.Name) {
			o.states.want(instance.Name)
		}
	}
}

// later returns the later of what the clock says now and what it would say
// without any jump since the start.
func later(started, now time.Time) time.Time {
	steady := started.Add(now.Sub(started)).Round(0)
	if wall := now.Round(0); wall.After(steady) {
		return wall
	}
	return steady
}

// rank returns this entry's turn in moving the pool's slots, or -1 when the
// list does not name it as live.
func (o *Owners) rank(pool string) int {
	var names []string
	for _, instance := range o.members.Current().Role(member.RoleEntry) {
		if instance.State == member.StateLive {
			names = append(names, instance.Name)
		}
	}
	for i, name := range member.Rank("ownership/"+pool, names) {
		if name == o.self {
			return i
		}
	}
	return -1
}

// starting reports whether an instance of the pool is listed as live and does not
// admit requests yet, and has not been so for long.
func (o *Owners) starting(pool table.Pool, agents []agentState, now time.Time) bool {
	open := map[string]bool{}
	for _, agent := range agents {
		open[agent.Instance] = agent.Open
	}
	starting := false
	for _, instance := range o.members.Current().Role(member.RoleAgent) {
		if instance.State != member.StateLive || !pool.Selects(instance.Name) || open[instance.Name] {
			delete(o.closedSince, instance.Name)
			continue
		}
		if _, noted := o.closedSince[instance.Name]; !noted {
			o.closedSince[instance.Name] = now
		}
		starting = starting || now.Sub(o.closedSince[instance.Name]) < startingFor
	}
	return starting
}

func (o *Owners) fleet(ctx context.Context, pool table.Pool, agents []agentState) ownership.Fleet {
	fleet := ownership.Fleet{Gone: map[string]bool{}, Starting: o.starting(pool, agents, time.Now())}
	for _, agent := range agents {
		fleet.Agents = append(fleet.Agents, ownership.Agent{
			Instance:      agent.Instance,
			Incarnation:   agent.Incarnation,
			Eligible:      agent.Open && agent.instance.State == member.StateLive && pool.Selects(agent.Instance),
			Consents:      agent.Released,
			HighestIssued: agent.HighestIssued,
		})
	}
	checked := map[string]bool{}
	if held := o.held(pool.Name); held != nil {
		for _, owner := range held.Slots {
			if !checked[owner.Instance] {
				checked[owner.Instance] = true
				fleet.Gone[owner.Instance] = o.gone(ctx, owner.Instance, time.Now())
			}
		}
	}
	return fleet
}

// learn fetches a newer map from an agent that holds one.
func (o *Owners) learn(ctx context.Context, pool string, agents []agentState) {
	for _, agent := range agents {
		held := o.held(pool)
		if held != nil && agent.OwnersRevision <= held.Revision || agent.OwnersRevision == 0 {
			continue
		}
		o.exchange(ctx, agent, message.OwnersArgs{From: o.self})
	}
}

// spread passes the map to agents that hold an older one.
func (o *Owners) spread(ctx context.Context, pool string, agents []agentState) {
	held := o.held(pool)
	if held == nil {
		return
	}
	for _, agent := range agents {
		if agent.OwnersRevision < held.Revision {
			o.exchange(ctx, agent, message.OwnersArgs{From: o.self, Revision: held.Revision, Offer: held})
		}
	}
}

func (o *Owners) exchange(ctx context.Context, agent agentState, args message.OwnersArgs) {
	ctx, cancel := context.WithTimeout(ctx, ownersTimeout)
	defer cancel()
	var reply message.OwnersReply
	if err := o.client.Call(ctx, agent.instance.ControlAddress, message.MethodOwners, args, &reply); err == nil {
		o.offer(reply.Owners)
		o.states.heldOwners(agent.Instance, reply.Revision)
	}
}

// write replaces held by next in the store and reports whether it did. When
// another entry came first, it learns that entry's map.
func (o *Owners) write(ctx context.Context, held, next *ownership.Map) bool {
	ctx, cancel := context.WithTimeout(ctx, ownersTimeout)
	defer cancel()
	value, err := json.Marshal(next)
	if err != nil {
		o.log.WithError(err).Error("a map of owners cannot be encoded")
		return false
	}
	expected := int64(0)
	if held != nil {
		expected = held.Revision
	}
	object, err := o.store.Put(ctx, OwnersKind, next.Pool, value, expected)
	if err == nil {
		next.Revision = object.Version
		o.offer(next)
		o.log.WithFields(logrus.Fields{"pool": next.Pool, "revision": next.Revision}).Info("slots of keys were moved")
		return true
	}
	o.log.WithError(err).Warning("slots of keys could not be moved; the next round tries again")
	if failure.Is(err, failure.Conflict) || failure.Is(err, failure.Unknown) {
		o.readBack(ctx, next.Pool)
	}
	return false
}

func (o *Owners) readBack(ctx context.Context, pool string) {
	object, err := o.store.Get(ctx, OwnersKind, pool)
	if err != nil {
		return
	}
	var stored ownership.Map
	if err := json.Unmarshal(object.Value, &stored); err != nil {
		o.log.WithError(err).Error("the map of owners in the store is garbled; remove the object to start anew once all its keys are older than the callers' retries")
		return
	}
	stored.Pool, stored.Revision = pool, object.Version
	o.offer(&stored)
}

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

// OwnershipKind is the kind of the store objects that hold ownership maps. An
// object has the name of its pool.
const OwnershipKind = "ownership"

const (
	ownershipInterval = 250 * time.Millisecond
	ownershipTimeout  = 2 * time.Second
	// rankDelay is how long an entry waits, for each entry that ranks before it,
	// before it makes a needed change itself.
	rankDelay = 2 * time.Second
	// removalTimeout is how long an instance must be absent from the instance list
	// to count as removed, if this entry has seen it there; unseenRemovalTimeout
	// applies if it has not.
	removalTimeout       = 3 * time.Second
	unseenRemovalTimeout = time.Minute
	// answeringRemovalTimeout applies to an absent instance that still answers RPCs.
	answeringRemovalTimeout = 15 * time.Second
	// maxPlanners limits the entries that may move a pool's slots.
	maxPlanners = 5
	// startupGrace is how long slots without an owner wait for an instance of the
	// pool that does not admit requests yet.
	startupGrace = 3 * time.Second
	// maxListAge is the age up to which the instance list proves that an instance
	// is absent.
	maxListAge = 3 * time.Second
)

// OwnershipManager keeps the ownership maps of the pools and moves slots between
// instances. It is safe for concurrent use.
type OwnershipManager struct {
	self        string
	store       platform.ObjectStore
	tables      *tablesync.Sync
	members     *membership.View
	agentStates *AgentStates
	client      *peer.Client
	log         *logrus.Entry
	started     time.Time

	mu       sync.Mutex
	poolMaps map[string]*ownership.Map

	// The fields below are used by the goroutine of Run only.
	lastSeen          map[string]member.Instance
	absentSince       map[string]time.Time
	changeNeededSince map[string]time.Time
	notOpenSince      map[string]time.Time
}

// NewOwnershipManager returns a manager that fetches maps and moves slots once
// Run is called.
func NewOwnershipManager(self string, store platform.ObjectStore, tables *tablesync.Sync, members *membership.View, states *AgentStates, client *peer.Client, log *logrus.Entry) *OwnershipManager {
	return &OwnershipManager{
		self:              self,
		store:             store,
		tables:            tables,
		members:           members,
		agentStates:       states,
		client:            client,
		log:               log,
		started:           time.Now(),
		poolMaps:          map[string]*ownership.Map{},
		lastSeen:          map[string]member.Instance{},
		absentSince:       map[string]time.Time{},
		changeNeededSince: map[string]time.Time{},
		notOpenSince:      map[string]time.Time{},
	}
}

// ownerOf returns the owner of a customer's key.
func (o *OwnershipManager) ownerOf(pool, customer, key string) (ownership.Owner, bool) {
	current := o.currentMap(pool)
	if current == nil {
		return ownership.Owner{}, false
	}
	owner := current.Slots[ownership.SlotOf(customer, key)]
	return owner, owner.Instance != ""
}

func (o *OwnershipManager) currentMap(pool string) *ownership.Map {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.poolMaps[pool]
}

func (o *OwnershipManager) adoptIfNewer(offered *ownership.Map) {
	if offered == nil || len(offered.Slots) != ownership.SlotCount {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if current := o.poolMaps[offered.Pool]; current == nil || current.Revision < offered.Revision {
		o.poolMaps[offered.Pool] = offered
	}
}

// Run exchanges maps with agents and moves slots until ctx ends.
func (o *OwnershipManager) Run(ctx context.Context) {
	ticker := time.NewTicker(ownershipInterval)
	defer ticker.Stop()
	for {
		o.updateAbsences(time.Now())
		for _, pool := range keyedPools(o.tables.Current()) {
			o.reconcile(ctx, pool)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-o.agentStates.stateChanged:
		}
	}
}

// keyedPools returns the pools that serve requests that are not repeatable.
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

// updateAbsences records which instances are in the instance list and since
// when others are absent. A list that is old or lacks this entry may be stale
// and proves no absence.
func (o *OwnershipManager) updateAbsences(now time.Time) {
	if len(keyedPools(o.tables.Current())) == 0 {
		return
	}
	list, readAt := o.members.DirectRead()
	if _, listed := list.Find(o.self); !listed || now.Sub(readAt) > maxListAge {
		clear(o.absentSince)
		return
	}
	for _, instance := range list.Role(member.RoleAgent) {
		o.lastSeen[instance.Name] = instance
		delete(o.absentSince, instance.Name)
	}
	for _, pool := range keyedPools(o.tables.Current()) {
		current := o.currentMap(pool.Name)
		if current == nil {
			continue
		}
		for _, owner := range current.Slots {
			o.recordAbsence(list, owner.Instance, now)
		}
	}
}

func (o *OwnershipManager) recordAbsence(list *member.List, name string, now time.Time) {
	if _, listed := list.Find(name); listed || name == "" {
		return
	}
	if _, recorded := o.absentSince[name]; !recorded {
		o.absentSince[name] = now
	}
}

// isRemoved reports whether the platform has removed an instance.
func (o *OwnershipManager) isRemoved(ctx context.Context, name string, now time.Time) bool {
	since, absent := o.absentSince[name]
	if !absent {
		return false
	}
	lastListed, seen := o.lastSeen[name]
	if !seen {
		return now.Sub(since) >= unseenRemovalTimeout
	}
	if now.Sub(since) < removalTimeout || now.Sub(since) >= answeringRemovalTimeout {
		return now.Sub(since) >= answeringRemovalTimeout
	}
	// While the instance still answers, the list without it may be stale.
	call, cancel := context.WithTimeout(ctx, ownershipTimeout)
	defer cancel()
	var state message.StateReply
	err := o.client.Call(call, lastListed.ControlAddress, message.MethodState, message.StateArgs{From: o.self}, &state)
	return err != nil || state.Instance != name || state.Released
}

// reconcile fetches the pool's newest map, sends it to agents that hold an
// older one, and moves slots as needed.
func (o *OwnershipManager) reconcile(ctx context.Context, pool table.Pool) {
	rank := o.plannerRank(pool.Name)
	isPlanner := rank >= 0 && rank < maxPlanners
	if isPlanner {
		o.watchPool(pool)
	}
	agents := o.agentStates.inPool(pool.Name)
	o.pullMap(ctx, pool.Name, agents)
	if !isPlanner {
		return
	}
	if rank == 0 {
		o.pushMap(ctx, pool.Name, agents)
	}
	fleet := o.fleetState(ctx, pool, agents)
	current := o.currentMap(pool.Name)
	now := time.Now()
	next, changed := ownership.Plan(current, pool.Name, fleet, latestTime(o.started, now))
	if !changed {
		delete(o.changeNeededSince, pool.Name)
		return
	}
	if _, recorded := o.changeNeededSince[pool.Name]; !recorded {
		o.changeNeededSince[pool.Name] = now
	}
	if now.Sub(o.changeNeededSince[pool.Name]) < time.Duration(rank)*rankDelay {
		return
	}
	if o.writeMap(ctx, current, next) {
		o.pushMap(ctx, pool.Name, agents)
	}
}

// watchPool pins all instances of the pool, so that their states are polled.
func (o *OwnershipManager) watchPool(pool table.Pool) {
	for _, instance := range o.members.Current().Role(member.RoleAgent) {
		if pool.Selects(instance.Name) {
			o.agentStates.pin(instance.Name)
		}
	}
}

// latestTime returns the later of the wall clock and the start time plus the
// monotonic time since, so that a backward jump of the clock has no effect.
func latestTime(started, now time.Time) time.Time {
	monotonic := started.Add(now.Sub(started)).Round(0)
	if wall := now.Round(0); wall.After(monotonic) {
		return wall
	}
	return monotonic
}

// plannerRank returns the rank of this entry among those that may move the
// pool's slots, or -1 when the instance list does not show it as live.
func (o *OwnershipManager) plannerRank(pool string) int {
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

// hasStarting reports whether an instance of the pool is listed as live and
// does not admit requests yet, for less than startupGrace.
func (o *OwnershipManager) hasStarting(pool table.Pool, agents []agentState, now time.Time) bool {
	open := map[string]bool{}
	for _, agent := range agents {
		open[agent.Instance] = agent.Open
	}
	starting := false
	for _, instance := range o.members.Current().Role(member.RoleAgent) {
		if instance.State != member.StateLive || !pool.Selects(instance.Name) || open[instance.Name] {
			delete(o.notOpenSince, instance.Name)
			continue
		}
		if _, recorded := o.notOpenSince[instance.Name]; !recorded {
			o.notOpenSince[instance.Name] = now
		}
		starting = starting || now.Sub(o.notOpenSince[instance.Name]) < startupGrace
	}
	return starting
}

func (o *OwnershipManager) fleetState(ctx context.Context, pool table.Pool, agents []agentState) ownership.Fleet {
	fleet := ownership.Fleet{Removed: map[string]bool{}, Starting: o.hasStarting(pool, agents, time.Now())}
	for _, agent := range agents {
		fleet.Agents = append(fleet.Agents, ownership.Agent{
			Instance:      agent.Instance,
			Incarnation:   agent.Incarnation,
			Eligible:      agent.Open && agent.instance.State == member.StateLive && pool.Selects(agent.Instance),
			Released:      agent.Released,
			HighestIssued: agent.HighestIssued,
		})
	}
	checked := map[string]bool{}
	if current := o.currentMap(pool.Name); current != nil {
		for _, owner := range current.Slots {
			if !checked[owner.Instance] {
				checked[owner.Instance] = true
				fleet.Removed[owner.Instance] = o.isRemoved(ctx, owner.Instance, time.Now())
			}
		}
	}
	return fleet
}

// pullMap fetches a newer map from an agent that holds one.
func (o *OwnershipManager) pullMap(ctx context.Context, pool string, agents []agentState) {
	for _, agent := range agents {
		current := o.currentMap(pool)
		if current != nil && agent.OwnersRevision <= current.Revision || agent.OwnersRevision == 0 {
			continue
		}
		o.exchangeMap(ctx, agent, message.OwnersArgs{From: o.self})
	}
}

// pushMap sends the map to agents that hold an older one.
func (o *OwnershipManager) pushMap(ctx context.Context, pool string, agents []agentState) {
	current := o.currentMap(pool)
	if current == nil {
		return
	}
	for _, agent := range agents {
		if agent.OwnersRevision < current.Revision {
			o.exchangeMap(ctx, agent, message.OwnersArgs{From: o.self, Revision: current.Revision, Offer: current})
		}
	}
}

func (o *OwnershipManager) exchangeMap(ctx context.Context, agent agentState, args message.OwnersArgs) {
	ctx, cancel := context.WithTimeout(ctx, ownershipTimeout)
	defer cancel()
	var reply message.OwnersReply
	if err := o.client.Call(ctx, agent.instance.ControlAddress, message.MethodOwners, args, &reply); err == nil {
		o.adoptIfNewer(reply.Owners)
		o.agentStates.recordOwnersRevision(agent.Instance, reply.Revision)
	}
}

// writeMap replaces the map current by next in the store and reports whether it
// succeeded. After a conflict with another entry it reads that entry's map.
func (o *OwnershipManager) writeMap(ctx context.Context, current, next *ownership.Map) bool {
	ctx, cancel := context.WithTimeout(ctx, ownershipTimeout)
	defer cancel()
	value, err := json.Marshal(next)
	if err != nil {
		o.log.WithError(err).Error("cannot encode the ownership map")
		return false
	}
	expected := int64(0)
	if current != nil {
		expected = current.Revision
	}
	object, err := o.store.Put(ctx, OwnershipKind, next.Pool, value, expected)
	if err == nil {
		next.Revision = object.Version
		o.adoptIfNewer(next)
		o.log.WithFields(logrus.Fields{"pool": next.Pool, "revision": next.Revision}).Info("ownership slots moved")
		return true
	}
	o.log.WithError(err).Warning("cannot move ownership slots; retrying in the next round")
	if failure.Is(err, failure.Conflict) || failure.Is(err, failure.Unknown) {
		o.readStoredMap(ctx, next.Pool)
	}
	return false
}

func (o *OwnershipManager) readStoredMap(ctx context.Context, pool string) {
	object, err := o.store.Get(ctx, OwnershipKind, pool)
	if err != nil {
		return
	}
	var stored ownership.Map
	if err := json.Unmarshal(object.Value, &stored); err != nil {
		o.log.WithError(err).Error("the ownership map in the store cannot be decoded; remove the object to start with a new one once all its keys are older than the callers' retries")
		return
	}
	stored.Pool, stored.Revision = pool, object.Version
	o.adoptIfNewer(&stored)
}

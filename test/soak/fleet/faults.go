package fleet

import (
	"slices"
	"sync"
	"syscall"
	"time"

	"plantainrelay/internal/member"
	"plantainrelay/platform/standin"
	"plantainrelay/test/testfleet"
)

// fault is one kind of fault; run injects it, waits, and removes it.
type fault struct {
	kind string
	run  func(r *run) error
}

// pairProbability is the probability that two faults are injected at once.
const pairProbability = 0.5

// The store is down for storeRestoreTime before it comes back from a copy of storeCopyAge;
// the operator writes again after operatorRewriteDelay.
const (
	storeRestoreTime     = time.Second
	storeCopyAge         = 6 * time.Second
	operatorRewriteDelay = 1500 * time.Millisecond
)

// extraPause is how much longer than the Revoke bound entries are paused.
const extraPause = 3 * time.Second

var faults = []fault{
	{"entry killed", func(r *run) error { return r.killProcess("entry killed", r.isEntry) }},
	{"agent killed", func(r *run) error { return r.killProcess("agent killed", r.isAgent) }},
	{"entry paused", func(r *run) error { return r.pauseProcess("entry paused", r.isEntry) }},
	{"agent paused", func(r *run) error { return r.pauseProcess("agent paused", r.isAgent) }},
	{"entry stopped", (*run).stopEntry},
	{"settings reloaded", (*run).reloadSettings},
	{"instance crashed", func(r *run) error { return r.crashInstance("instance crashed", true) }},
	{"instance lost power", func(r *run) error { return r.crashInstance("instance lost power", false) }},
	{"instance replaced", (*run).replaceInstance},
	{"prompts crash instances", (*run).crashByPrompts},
	{"known prompts crash instances", (*run).crashByKnownPrompts},
	{"instance leaves unlisted", (*run).leaveUnlisted},
	{"instance asks to wait", func(r *run) error {
		return r.setFaults("instance asks to wait", standin.BackendFaults{RetryAfter: "2.5"})
	}},
	{"instance slow", func(r *run) error { return r.setFaults("instance slow", standin.BackendFaults{SlowFactor: 6}) }},
	{"answers lost", func(r *run) error { return r.setFaults("answers lost", standin.BackendFaults{DropResponses: true}) }},
	{"answers cut", func(r *run) error { return r.setFaults("answers cut", standin.BackendFaults{TruncateResponses: true}) }},
	{"instance silent", func(r *run) error { return r.setFaults("instance silent", standin.BackendFaults{Hang: true}) }},
	{"instances pause at new tables", (*run).pauseInstances},
	{"endless headers", func(r *run) error {
		return r.setFaults("endless headers", standin.BackendFaults{Endless: standin.EndlessHeader})
	}},
	{"endless bodies", func(r *run) error {
		return r.setFaults("endless bodies", standin.BackendFaults{Endless: standin.EndlessBody})
	}},
	{"endless slow bodies", func(r *run) error {
		return r.setFaults("endless slow bodies", standin.BackendFaults{Endless: standin.EndlessChunkedBody, EndlessInterval: time.Second})
	}},
	{"store down", func(r *run) error { return r.failStore("store down", standin.StoreFaults{Down: true}, 4*time.Second) }},
	{"store silent", func(r *run) error {
		return r.failStore("store silent", standin.StoreFaults{Silent: true}, 6*time.Second)
	}},
	{"store slow", func(r *run) error {
		return r.failStore("store slow", standin.StoreFaults{Delay: 400 * time.Millisecond}, 4*time.Second)
	}},
	{"store answers lost", func(r *run) error {
		return r.failStore("store answers lost", standin.StoreFaults{DropResponses: true}, 3*time.Second)
	}},
	{"store forgets", func(r *run) error { r.Store.Compact(); return nil }},
	{"store cut off one way", func(r *run) error {
		return r.stallLink("store cut off one way", r.isProcess, testfleet.NetStore, true, 6*time.Second)
	}},
	{"store cut off", func(r *run) error {
		return r.stallLink("store cut off", r.isProcess, testfleet.NetStore, false, 6*time.Second)
	}},
	{"callers' link silent", func(r *run) error { return r.stallDuplex("callers' link silent", testfleet.NetCallers, r.isEntry) }},
	{"instance's link silent", func(r *run) error { return r.stallDuplex("instance's link silent", testfleet.NetEntries, r.isBackend) }},
	{"callers' connections reset", func(r *run) error { return r.reset("callers' connections reset", testfleet.NetCallers, r.isEntry) }},
	{"instance's connections reset", func(r *run) error { return r.reset("instance's connections reset", testfleet.NetEntries, r.isBackend) }},
	{"origin down at a release", func(r *run) error { return r.releaseVersion(true, false) }},
	{"origin garbles a release", func(r *run) error { return r.releaseVersion(false, true) }},
	{"release", func(r *run) error { return r.releaseVersion(false, false) }},
	{"tables changed", (*run).changeRoute},
	{"key taken away", (*run).revokeKey},
	{"key taken from paused entries", (*run).revokeKeyDuringPause},
	{"store refuses its readers", (*run).stallTableWatchers},
	{"store restored", (*run).restoreStore},
}

// selectedFaults returns the kinds of faults that the run injects.
func (r *run) selectedFaults() []fault {
	if len(r.config.Only) == 0 {
		return slices.Concat(faults, plannedFaults)
	}
	return slices.DeleteFunc(slices.Concat(faults, plannedFaults), func(candidate fault) bool { return !slices.Contains(r.config.Only, candidate.kind) })
}

// inject injects random faults, single or in pairs, for the duration of the run.
// Every kind is injected once before any is repeated. Faults may overlap.
func (r *run) inject() {
	var injected sync.WaitGroup
	defer injected.Wait()
	var order []fault
	for until := time.Now().Add(r.config.Duration); time.Now().Before(until); time.Sleep(faultInterval) {
		count := 1
		if r.random.Float64() < pairProbability {
			count = 2
		}
		for range count {
			if len(order) == 0 {
				order = r.selectedFaults()
				r.random.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
			}
			next := order[0]
			order = order[1:]
			r.logf("fault: %s", next.kind)
			injected.Go(func() {
				if err := next.run(r); err != nil {
					r.history.addViolation("SOAK", next.kind+": "+err.Error())
				}
			})
		}
		r.checkAlive()
	}
}

func (r *run) isEntry(instance *testfleet.Instance) bool   { return instance.Pool == "" }
func (r *run) isAgent(instance *testfleet.Instance) bool   { return instance.Pool == testfleet.ModelPool }
func (r *run) isProcess(instance *testfleet.Instance) bool { return r.ProcessOf(instance) != nil }
func (r *run) isBackend(instance *testfleet.Instance) bool { return instance.Pool != "" }

// reserveInstance reserves a random instance that has no fault in progress, and returns
// it with a function that ends the reservation. It returns nil if there is none.
func (r *run) reserveInstance(matches func(*testfleet.Instance) bool) (instance *testfleet.Instance, done func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	free := slices.DeleteFunc(r.Instances(), func(instance *testfleet.Instance) bool { return r.reserved[instance.Name] || !matches(instance) })
	if len(free) == 0 {
		return nil, nil
	}
	instance = free[r.random.IntN(len(free))]
	r.reserved[instance.Name] = true
	return instance, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.reserved, instance.Name)
	}
}

// injectAtInstance injects a fault at a free instance and records its time span.
func (r *run) injectAtInstance(kind string, matches func(*testfleet.Instance) bool, inject func(*testfleet.Instance) error) error {
	instance, done := r.reserveInstance(matches)
	if instance == nil {
		return nil
	}
	defer done()
	defer r.history.beginFault(kind, instance.Name)()
	return inject(instance)
}

func (r *run) killProcess(kind string, matches func(*testfleet.Instance) bool) error {
	return r.injectAtInstance(kind, matches, func(instance *testfleet.Instance) error {
		if err := r.Signal(instance, syscall.SIGKILL); err != nil {
			return err
		}
		<-r.ProcessOf(instance).Exited
		time.Sleep(500 * time.Millisecond)
		return r.StartProcess(instance)
	})
}

func (r *run) pauseProcess(kind string, matches func(*testfleet.Instance) bool) error {
	return r.pauseProcessFor(kind, matches, 3*time.Second)
}

func (r *run) pauseProcessFor(kind string, matches func(*testfleet.Instance) bool, wait time.Duration) error {
	return r.injectAtInstance(kind, matches, func(instance *testfleet.Instance) error {
		if err := r.Signal(instance, syscall.SIGSTOP); err != nil {
			return err
		}
		time.Sleep(wait)
		return r.Signal(instance, syscall.SIGCONT)
	})
}

// stopEntry stops an entry gracefully and restarts it. It records no fault window,
// because a planned stop must not disturb requests.
func (r *run) stopEntry() error {
	instance, done := r.reserveInstance(r.isEntry)
	if instance == nil {
		return nil
	}
	defer done()
	r.stopAndStart(instance)
	return nil
}

// stopAndStart stops a reserved entry gracefully and starts it again. An entry that has just
// been started gets no SIGTERM before it can handle one.
func (r *run) stopAndStart(instance *testfleet.Instance) {
	awaitReady(instance)
	from := time.Now()
	if err := r.Signal(instance, syscall.SIGTERM); err != nil {
		r.history.addViolation("SOAK", "SIGTERM: "+err.Error())
		return
	}
	r.logf("%s: SIGTERM was sent", instance.Name)
	select {
	case <-r.ProcessOf(instance).Exited:
		if !r.ProcessOf(instance).Cmd.ProcessState.Success() {
			r.history.addViolation("LOST", instance.Name+" exited with an error after a graceful stop: "+r.ProcessOf(instance).Cmd.ProcessState.String())
		}
	case <-time.After(shutdownTimeout):
		r.history.update(func() {
			r.history.Overdue = append(r.history.Overdue, FaultWindow{Target: instance.Name, From: from, To: time.Now()})
		})
		_ = r.Signal(instance, syscall.SIGKILL)
		<-r.ProcessOf(instance).Exited
	}
	r.history.addStop(FaultWindow{Kind: "entry stopped", Target: instance.Name, From: from, To: time.Now()})
	if err := r.StartProcess(instance); err != nil {
		r.history.addViolation("SOAK", "start after a stop: "+err.Error())
	}
}

func (r *run) reloadSettings() error {
	instance, done := r.reserveInstance(r.isProcess)
	if instance == nil {
		return nil
	}
	defer done()
	return r.reload(instance)
}

// crashInstance stops an instance without notice and restarts it. Staged chunks survive
// a crash but not a power loss. The list drops the instance only after the heartbeat
// timeout.
func (r *run) crashInstance(kind string, keepChunks bool) error {
	return r.injectAtInstance(kind, r.isBackend, func(instance *testfleet.Instance) error {
		if keepChunks {
			r.RefuseConnections(instance)
		}
		start, staged := instance.StartCount, instance.Backend.Stop()
		if !keepChunks {
			staged = nil
		}
		time.Sleep(heartbeatTimeout)
		r.Deregister(instance, start)
		return r.StartBackend(instance, 0, staged)
	})
}

// replaceInstance announces the shutdown of an instance, stops it after the drain time,
// and later starts another one at the same address.
func (r *run) replaceInstance() error {
	instance, done := r.reserveInstance(r.isBackend)
	if instance == nil {
		return nil
	}
	defer done()
	start := instance.StartCount
	instance.Backend.SetLeaving()
	if err := r.Register(instance); err != nil {
		return err
	}
	r.history.addDrainNotice(instance.BackendID(), time.Now())
	time.Sleep(drainTime)
	defer r.history.beginFault("instance replaced", instance.Name)()
	r.Deregister(instance, start)
	instance.Backend.Stop()
	time.Sleep(2 * time.Second)
	return r.StartBackend(instance, 0, nil)
}

// leaveUnlisted makes an instance say in its answers that it leaves, while its list entry
// lags or never says so, stops it, and later starts another one at the same address.
func (r *run) leaveUnlisted() error {
	instance, done := r.reserveInstance(r.isBackend)
	if instance == nil {
		return nil
	}
	defer done()
	r.mu.Lock()
	lags := r.random.IntN(2) == 0
	r.mu.Unlock()
	start := instance.StartCount
	instance.Backend.SayLeaving()
	time.Sleep(r.config.Bounds.Drain/2 + drainTime)
	if lags {
		instance.Backend.SetLeaving()
		if err := r.Register(instance); err != nil {
			return err
		}
		time.Sleep(drainTime)
	}
	defer r.history.beginFault("instance leaves unlisted", instance.Name)()
	instance.Backend.Stop()
	r.Deregister(instance, start)
	time.Sleep(2 * time.Second)
	return r.StartBackend(instance, 0, nil)
}

func (r *run) setFaults(kind string, faults standin.BackendFaults) error {
	return r.injectAtInstance(kind, r.isBackend, func(instance *testfleet.Instance) error {
		instance.Backend.SetFaults(faults)
		time.Sleep(3 * time.Second)
		instance.Backend.SetFaults(standin.BackendFaults{})
		return nil
	})
}

// pausedInstances is the number of instances that pause at once, instancePause how long each
// of their responses does, before an event or before it begins.
const (
	pausedInstances = 3
	instancePause   = 1500 * time.Millisecond
)

// pauseInstances makes the responses of some instances pause, while the tables change. That
// is no fault, and excuses nothing.
func (r *run) pauseInstances() error {
	var group sync.WaitGroup
	defer group.Wait()
	for range pausedInstances {
		instance, done := r.reserveInstance(r.isBackend)
		if instance == nil {
			break
		}
		r.mu.Lock()
		faults := standin.BackendFaults{SilentAt: 1 + r.random.IntN(3), SilentFor: instancePause}
		r.mu.Unlock()
		group.Go(func() {
			defer done()
			instance.Backend.SetFaults(faults)
			time.Sleep(3 * time.Second)
			instance.Backend.SetFaults(standin.BackendFaults{})
		})
	}
	time.Sleep(instancePause / 2)
	return r.changeRoute()
}

// reserve reserves a shared resource, such as the store, against other faults until
// release is called. release is nil if the resource is already reserved.
func (r *run) reserve(name string) (release func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.reserved[name] {
		return nil
	}
	r.reserved[name] = true
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.reserved, name)
	}
}

// failStore injects faults into the store. It reserves the store, because a
// second store fault would end the first one early.
func (r *run) failStore(kind string, faults standin.StoreFaults, wait time.Duration) error {
	release := r.reserve("store")
	if release == nil {
		return nil
	}
	defer release()
	defer r.history.beginFault(kind, "")()
	r.Store.SetFaults(faults)
	time.Sleep(wait)
	r.Store.SetFaults(standin.StoreFaults{})
	return nil
}

// restoreStore takes the store down for a moment and restores it from a copy that is some
// seconds old. The operator and the instances then write again what was lost.
func (r *run) restoreStore() error {
	release := r.reserve("store")
	if release == nil {
		return nil
	}
	defer release()
	defer r.history.beginFault("store restored", "")()
	r.Store.SetFaults(standin.StoreFaults{Down: true})
	time.Sleep(storeRestoreTime)
	r.Store.Restore(storeCopyAge)
	r.Store.SetFaults(standin.StoreFaults{})
	time.Sleep(operatorRewriteDelay)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.Store.Put(standin.KindTables, standin.TableName, r.table.Encode()); err != nil {
		return err
	}
	if r.version == 0 {
		return nil
	}
	return r.Store.Put(standin.KindReleases, testfleet.ModelWeights.Model, standin.EncodeRelease(testfleet.ModelWeights.Model, r.version+1))
}

// stallLink blocks data from location to an instance and, unless oneWay, vice versa.
func (r *run) stallLink(kind string, matches func(*testfleet.Instance) bool, location string, oneWay bool, wait time.Duration) error {
	return r.injectAtInstance(kind, matches, func(instance *testfleet.Instance) error {
		resume := r.Network.StallOneWay(location, instance.Name)
		if !oneWay {
			resume = r.Network.Stall(instance.Name, location)
		}
		time.Sleep(wait)
		resume()
		return nil
	})
}

func (r *run) stallDuplex(kind, from string, matches func(*testfleet.Instance) bool) error {
	return r.injectAtInstance(kind, matches, func(instance *testfleet.Instance) error {
		resume := r.Network.Stall(from, instance.Name)
		time.Sleep(3 * time.Second)
		resume()
		return nil
	})
}

func (r *run) reset(kind, from string, matches func(*testfleet.Instance) bool) error {
	return r.injectAtInstance(kind, matches, func(instance *testfleet.Instance) error { return r.Network.Reset(from, instance.Name) })
}

// releaseVersion releases a version, optionally with the origin down or corrupting data.
func (r *run) releaseVersion(down, corrupt bool) error {
	if !down && !corrupt {
		return r.nameVersion()
	}
	release := r.reserve("origin")
	if release == nil {
		return nil
	}
	defer release()
	defer r.history.beginFault(originKind, "")()
	r.Origin.Down.Store(down)
	r.Origin.CorruptChunks.Store(corrupt)
	err := r.nameVersion()
	time.Sleep(2 * time.Second)
	r.Origin.Down.Store(false)
	r.Origin.CorruptChunks.Store(false)
	return err
}

// changeRoute switches the last route between the bookings pool and the records pool.
func (r *run) changeRoute() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.Routes = slices.Clone(r.table.Routes)
	route := &r.table.Routes[len(r.table.Routes)-1]
	if route.Pool == testfleet.BookingsPool {
		route.Pool = testfleet.RecordsPool
	} else {
		route.Pool = testfleet.BookingsPool
	}
	r.table.Version += 3
	r.publishTables()
	return nil
}

// revokeKey permanently revokes a key unless only those never revoked are left.
func (r *run) revokeKey() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	kept := r.table.Keys["firm-2"]
	if len(kept) == 1 {
		return nil
	}
	r.table.Keys = map[string][]string{"firm-1": {"key-1"}, "firm-2": kept[:len(kept)-1]}
	r.table.Version += 2
	r.publishTables()
	return nil
}

// revokeKeyDuringPause pauses half of the entries for longer than the Revoke bound and
// revokes a key in the meantime, while callers keep using it.
func (r *run) revokeKeyDuringPause() error {
	var group sync.WaitGroup
	for range (r.config.Entries*len(testfleet.ZoneRegions) + 1) / 2 {
		group.Go(func() {
			err := r.pauseProcessFor("key taken from paused entries", r.isEntry, r.config.Bounds.Revoke+extraPause)
			if err != nil {
				r.history.addViolation("SOAK", err.Error())
			}
		})
	}
	time.Sleep(faultInterval / 8)
	err := r.revokeKey()
	group.Wait()
	return err
}

// stallTableWatchers stalls the links between the store and the entries that watch it for
// the tables, and changes the tables. Other entries must still get them in time.
func (r *run) stallTableWatchers() error {
	release := r.reserve("readers")
	if release == nil {
		return nil
	}
	defer release()
	watchers := r.tableWatchers()
	var group sync.WaitGroup
	for _, name := range watchers {
		group.Go(func() {
			err := r.stallLink("store refuses its readers", func(instance *testfleet.Instance) bool { return instance.Name == name }, testfleet.NetStore, false, 12*time.Second)
			if err != nil {
				r.history.addViolation("SOAK", err.Error())
			}
		})
	}
	for range 3 {
		r.mu.Lock()
		wait := time.Duration(r.random.Int64N(int64(2 * time.Second)))
		r.mu.Unlock()
		time.Sleep(wait)
		if err := r.changeRoute(); err != nil {
			return err
		}
		time.Sleep(2*r.config.Bounds.Apply - time.Second)
	}
	group.Wait()
	return nil
}

// tableWatchers returns the entry of first rank in each zone, which is assigned to watch
// the store for the tables.
func (r *run) tableWatchers() []string {
	names, hosts := map[string]string{}, map[string][]string{}
	for _, entry := range r.entries() {
		names[entry.IP] = entry.Name
		hosts[entry.Zone] = append(hosts[entry.Zone], entry.IP)
	}
	var first []string
	for _, zone := range hosts {
		first = append(first, names[member.Rank(standin.KindTables, zone)[0]])
	}
	return first
}

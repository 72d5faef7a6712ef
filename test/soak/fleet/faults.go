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

// pairShare is the probability that two faults are injected at once.
const pairShare = 0.5

// pausedLonger is how much longer than the Revoke bound entries are paused in
// takesKeyFromPaused.
const pausedLonger = 3 * time.Second

var faults = []fault{
	{"entry killed", func(r *run) error { return r.killed("entry killed", r.isEntry) }},
	{"agent killed", func(r *run) error { return r.killed("agent killed", r.isAgent) }},
	{"entry paused", func(r *run) error { return r.paused("entry paused", r.isEntry) }},
	{"agent paused", func(r *run) error { return r.paused("agent paused", r.isAgent) }},
	{"entry stopped", (*run).stopped},
	{"settings reloaded", (*run).reloaded},
	{"instance crashed", func(r *run) error { return r.crashed("instance crashed", true) }},
	{"instance lost power", func(r *run) error { return r.crashed("instance lost power", false) }},
	{"instance replaced", (*run).departs},
	{"instance slow", func(r *run) error { return r.misbehaves("instance slow", standin.RunnerFaults{Slow: 6}) }},
	{"answers lost", func(r *run) error { return r.misbehaves("answers lost", standin.RunnerFaults{LoseAnswers: true}) }},
	{"answers cut", func(r *run) error { return r.misbehaves("answers cut", standin.RunnerFaults{Cut: true}) }},
	{"instance silent", func(r *run) error { return r.misbehaves("instance silent", standin.RunnerFaults{Hang: true}) }},
	{"store down", func(r *run) error { return r.storeFails("store down", standin.StoreFaults{Down: true}, 4*time.Second) }},
	{"store silent", func(r *run) error {
		return r.storeFails("store silent", standin.StoreFaults{Silent: true}, 6*time.Second)
	}},
	{"store slow", func(r *run) error {
		return r.storeFails("store slow", standin.StoreFaults{Delay: 400 * time.Millisecond}, 4*time.Second)
	}},
	{"store answers lost", func(r *run) error {
		return r.storeFails("store answers lost", standin.StoreFaults{LoseAnswers: true}, 3*time.Second)
	}},
	{"store forgets", func(r *run) error { r.Store.Compact(); return nil }},
	{"store cut off one way", func(r *run) error {
		return r.linkStalls("store cut off one way", r.isProcess, testfleet.Store, true, 6*time.Second)
	}},
	{"store cut off", func(r *run) error {
		return r.linkStalls("store cut off", r.isProcess, testfleet.Store, false, 6*time.Second)
	}},
	{"callers' link silent", func(r *run) error { return r.inLinkStalls("callers' link silent", testfleet.Callers, r.isEntry) }},
	{"instance's link silent", func(r *run) error { return r.inLinkStalls("instance's link silent", testfleet.Entries, r.isBackend) }},
	{"callers' connections reset", func(r *run) error { return r.resets("callers' connections reset", testfleet.Callers, r.isEntry) }},
	{"instance's connections reset", func(r *run) error { return r.resets("instance's connections reset", testfleet.Entries, r.isBackend) }},
	{"origin down at a release", func(r *run) error { return r.releases(true, false) }},
	{"origin garbles a release", func(r *run) error { return r.releases(false, true) }},
	{"release", func(r *run) error { return r.releases(false, false) }},
	{"tables changed", (*run).changesTables},
	{"key taken away", (*run).takesKey},
	{"key taken from paused entries", (*run).takesKeyFromPaused},
	{"store refuses its readers", (*run).refusesReaders},
}

// chosen returns the kinds of faults that the run injects.
func (r *run) chosen() []fault {
	if len(r.config.Only) == 0 {
		return slices.Clone(faults)
	}
	return slices.DeleteFunc(slices.Clone(faults), func(one fault) bool { return !slices.Contains(r.config.Only, one.kind) })
}

// inject injects random faults, single or in pairs, for the duration of the run.
// Every kind is injected once before any is repeated. Faults may overlap.
func (r *run) inject() {
	var injected sync.WaitGroup
	defer injected.Wait()
	var order []fault
	for until := time.Now().Add(r.config.Duration); time.Now().Before(until); time.Sleep(faultInterval) {
		count := 1
		if r.random.Float64() < pairShare {
			count = 2
		}
		for range count {
			if len(order) == 0 {
				order = r.chosen()
				r.random.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
			}
			next := order[0]
			order = order[1:]
			r.logf("fault: %s", next.kind)
			injected.Go(func() {
				if err := next.run(r); err != nil {
					r.history.noteProblem("SOAK", next.kind+": "+err.Error())
				}
			})
		}
		r.checkAlive()
	}
}

func (r *run) isEntry(one *testfleet.Place) bool   { return one.Pool == "" }
func (r *run) isAgent(one *testfleet.Place) bool   { return one.Pool == testfleet.ModelPool }
func (r *run) isProcess(one *testfleet.Place) bool { return r.ProcessOf(one) != nil }
func (r *run) isBackend(one *testfleet.Place) bool { return one.Pool != "" }

// take reserves a random instance that has no fault in progress; done releases
// it. It returns nil if there is none.
func (r *run) take(fits func(*testfleet.Place) bool) (one *testfleet.Place, done func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	free := slices.DeleteFunc(r.Places(), func(one *testfleet.Place) bool { return r.busy[one.Name] || !fits(one) })
	if len(free) == 0 {
		return nil, nil
	}
	one = free[r.random.IntN(len(free))]
	r.busy[one.Name] = true
	return one, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.busy, one.Name)
	}
}

// with reserves an instance, runs cause on it, and records the fault's time span.
func (r *run) with(kind string, fits func(*testfleet.Place) bool, cause func(*testfleet.Place) error) error {
	one, done := r.take(fits)
	if one == nil {
		return nil
	}
	defer done()
	defer r.history.noteWindow(kind, one.Name)()
	return cause(one)
}

func (r *run) killed(kind string, fits func(*testfleet.Place) bool) error {
	return r.with(kind, fits, func(one *testfleet.Place) error {
		if err := r.Signal(one, syscall.SIGKILL); err != nil {
			return err
		}
		<-r.ProcessOf(one).Exited
		time.Sleep(500 * time.Millisecond)
		return r.StartProcess(one)
	})
}

func (r *run) paused(kind string, fits func(*testfleet.Place) bool) error {
	return r.pausedFor(kind, fits, 3*time.Second)
}

func (r *run) pausedFor(kind string, fits func(*testfleet.Place) bool, wait time.Duration) error {
	return r.with(kind, fits, func(one *testfleet.Place) error {
		if err := r.Signal(one, syscall.SIGSTOP); err != nil {
			return err
		}
		time.Sleep(wait)
		return r.Signal(one, syscall.SIGCONT)
	})
}

// stopped stops an entry gracefully and restarts it. It records no fault window,
// because a planned stop must not disturb requests.
func (r *run) stopped() error {
	one, done := r.take(r.isEntry)
	if one == nil {
		return nil
	}
	defer done()
	from := time.Now()
	if err := r.Signal(one, syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-r.ProcessOf(one).Exited:
		if !r.ProcessOf(one).Cmd.ProcessState.Success() {
			r.history.noteProblem("LOST", one.Name+" exited with an error after a graceful stop: "+r.ProcessOf(one).Cmd.ProcessState.String())
		}
	case <-time.After(graceTime):
		r.history.note(func() {
			r.history.Overdue = append(r.history.Overdue, Window{Target: one.Name, From: from, To: time.Now()})
		})
		_ = r.Signal(one, syscall.SIGKILL)
		<-r.ProcessOf(one).Exited
	}
	r.history.noteStop(Window{Kind: "entry stopped", Target: one.Name, From: from, To: time.Now()})
	return r.StartProcess(one)
}

func (r *run) reloaded() error {
	one, done := r.take(r.isProcess)
	if one == nil {
		return nil
	}
	defer done()
	return r.Signal(one, syscall.SIGHUP)
}

// crashed stops an instance without notice and restarts it. Staged chunks survive
// a crash but not a power loss. The instance is removed from the list only after
// the heartbeat timeout.
func (r *run) crashed(kind string, keeps bool) error {
	return r.with(kind, r.isBackend, func(one *testfleet.Place) error {
		start, staged := one.Starts, one.Runner.Stop()
		if !keeps {
			staged = nil
		}
		time.Sleep(lapse)
		r.Unlist(one, start)
		return r.StartBackend(one, 0, staged)
	})
}

// departs announces the shutdown of an instance, stops it after the drain time,
// and later starts another one at the same address.
func (r *run) departs() error {
	one, done := r.take(r.isBackend)
	if one == nil {
		return nil
	}
	defer done()
	start := one.Starts
	one.Runner.Leave()
	if err := r.List(one); err != nil {
		return err
	}
	r.history.noteDeparture(one.BackendID(), time.Now())
	time.Sleep(drainServes)
	defer r.history.noteWindow("instance replaced", one.Name)()
	r.Unlist(one, start)
	one.Runner.Stop()
	time.Sleep(2 * time.Second)
	return r.StartBackend(one, 0, nil)
}

func (r *run) misbehaves(kind string, faults standin.RunnerFaults) error {
	return r.with(kind, r.isBackend, func(one *testfleet.Place) error {
		one.Runner.SetFaults(faults)
		time.Sleep(3 * time.Second)
		one.Runner.SetFaults(standin.RunnerFaults{})
		return nil
	})
}

// hold reserves a shared resource, such as the store, against other faults until
// free is called. free is nil if the resource is already reserved.
func (r *run) hold(name string) (free func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.busy[name] {
		return nil
	}
	r.busy[name] = true
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.busy, name)
	}
}

// storeFails injects faults into the store. It reserves the store, because a
// second store fault would end the first one early.
func (r *run) storeFails(kind string, faults standin.StoreFaults, wait time.Duration) error {
	free := r.hold("store")
	if free == nil {
		return nil
	}
	defer free()
	defer r.history.noteWindow(kind, "")()
	r.Store.SetFaults(faults)
	time.Sleep(wait)
	r.Store.SetFaults(standin.StoreFaults{})
	return nil
}

// linkStalls blocks what the place sends to an instance and, unless oneWay is set,
// also the other direction.
func (r *run) linkStalls(kind string, fits func(*testfleet.Place) bool, to string, oneWay bool, wait time.Duration) error {
	return r.with(kind, fits, func(one *testfleet.Place) error {
		resume := r.Network.StallOneWay(to, one.Name)
		if !oneWay {
			resume = r.Network.Stall(one.Name, to)
		}
		time.Sleep(wait)
		resume()
		return nil
	})
}

func (r *run) inLinkStalls(kind, from string, fits func(*testfleet.Place) bool) error {
	return r.with(kind, fits, func(one *testfleet.Place) error {
		resume := r.Network.Stall(from, one.Name)
		time.Sleep(3 * time.Second)
		resume()
		return nil
	})
}

func (r *run) resets(kind, from string, fits func(*testfleet.Place) bool) error {
	return r.with(kind, fits, func(one *testfleet.Place) error { return r.Network.Reset(from, one.Name) })
}

// releases releases a new version. The origin may be down or return corrupted
// data for a while.
func (r *run) releases(down, garble bool) error {
	if down || garble {
		defer r.history.noteWindow("origin fails", "")()
	}
	r.Origin.Down.Store(down)
	r.Origin.Garble.Store(garble)
	r.mu.Lock()
	r.version++
	version := r.version + 1
	err := r.Store.Put(standin.KindReleases, testfleet.Weights.Model, standin.EncodeRelease(testfleet.Weights.Model, version))
	r.history.noteRelease(version, time.Now())
	r.mu.Unlock()
	if down || garble {
		time.Sleep(2 * time.Second)
		r.Origin.Down.Store(false)
		r.Origin.Garble.Store(false)
	}
	return err
}

// changesTables changes the pool of the last route, from the plain pool to the
// other pool or back.
func (r *run) changesTables() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.Routes = slices.Clone(r.table.Routes)
	look := &r.table.Routes[len(r.table.Routes)-1]
	if look.Pool == testfleet.PlainPool {
		look.Pool = testfleet.OtherPool
	} else {
		look.Pool = testfleet.PlainPool
	}
	r.table.Version += 3
	r.publish()
	return nil
}

// takesKey permanently revokes a key. It does nothing if only the two keys that
// are never revoked are left.
func (r *run) takesKey() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	kept := r.table.Keys["firm-2"]
	if len(kept) == 1 {
		return nil
	}
	r.table.Keys = map[string][]string{"firm-1": {"key-1"}, "firm-2": kept[:len(kept)-1]}
	r.table.Version += 2
	r.publish()
	return nil
}

// takesKeyFromPaused pauses half of the entries (rounded up) for longer than the
// Revoke bound and revokes a key in the meantime. Callers keep sending requests
// with that key.
func (r *run) takesKeyFromPaused() error {
	var group sync.WaitGroup
	for range (r.config.Entries*len(testfleet.Zones) + 1) / 2 {
		group.Go(func() {
			err := r.pausedFor("key taken from paused entries", r.isEntry, r.config.Bounds.Revoke+pausedLonger)
			if err != nil {
				r.history.noteProblem("SOAK", err.Error())
			}
		})
	}
	time.Sleep(faultInterval / 8)
	err := r.takesKey()
	group.Wait()
	return err
}

// refusesReaders stalls the links between the store and the entries that are
// responsible for reading the tables, and changes the tables. The other entries must
// still get them in time.
func (r *run) refusesReaders() error {
	free := r.hold("readers")
	if free == nil {
		return nil
	}
	defer free()
	readers := r.readers()
	var group sync.WaitGroup
	for _, name := range readers {
		group.Go(func() {
			err := r.linkStalls("store refuses its readers", func(one *testfleet.Place) bool { return one.Name == name }, testfleet.Store, false, 12*time.Second)
			if err != nil {
				r.history.noteProblem("SOAK", err.Error())
			}
		})
	}
	for range 3 {
		r.mu.Lock()
		wait := time.Duration(r.random.Int64N(int64(2 * time.Second)))
		r.mu.Unlock()
		time.Sleep(wait)
		if err := r.changesTables(); err != nil {
			return err
		}
		time.Sleep(2*r.config.Bounds.Apply - time.Second)
	}
	group.Wait()
	return nil
}

// readers returns the entry with the first rank in each availability zone, which is
// the one responsible for reading the tables.
func (r *run) readers() []string {
	names, hosts := map[string]string{}, map[string][]string{}
	for _, one := range r.entries() {
		names[one.IP] = one.Name
		hosts[one.Zone] = append(hosts[one.Zone], one.IP)
	}
	var first []string
	for _, zone := range hosts {
		first = append(first, names[member.Rank(standin.KindTables, zone)[0]])
	}
	return first
}

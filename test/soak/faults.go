package soak

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"syscall"
	"time"

	"plantainrelay/internal/member"
	"plantainrelay/test/checker"
	"plantainrelay/test/cluster"
	"plantainrelay/test/standin"
)

const (
	stallDuration       = 6 * time.Second
	storeDownDuration   = 8 * time.Second
	storeSlowDuration   = 6 * time.Second
	storeDelay          = time.Second
	storeLossDuration   = 5 * time.Second
	pauseDuration       = 8 * time.Second
	listLagDuration     = 8 * time.Second
	listLag             = 3 * time.Second
	engineFaultDuration = 3 * time.Second
	rackFailureDuration = 6 * time.Second
	corruptionDuration  = 4 * time.Second
	midFlightPause      = 1200 * time.Millisecond
	// staleListDuration is how long the list still contains a crashed instance.
	staleListDuration = 1500 * time.Millisecond
	// faultAftermath is how long calls may still break after the end of a fault. It
	// covers the longest silence of a backend server that an entry tolerates.
	faultAftermath = 12 * time.Second
	// drainTimeout bounds a graceful shutdown; it exceeds the longest call.
	drainTimeout = 60 * time.Second
	tokenDelay   = 5 * time.Millisecond
	// ledgerExecutionTime is the execution time of a booking or certificate.
	ledgerExecutionTime = 400 * time.Millisecond
)

// fault is one kind of fault; run injects it, waits, and removes it.
type fault struct {
	kind string
	run  func(r *run, ctx context.Context) error
}

// faults are the failures that the system must tolerate according to the brief.
var faults = []fault{
	{"agent killed and replaced", (*run).killAgent},
	{"agent process restarted", (*run).restartAgent},
	{"all ledger agents restarted", (*run).restartLedgerAgents},
	{"agent left", (*run).shutDownAgent},
	{"entry killed and replaced", (*run).killEntry},
	{"entry left", (*run).shutDownEntry},
	{"link stalled", (*run).stallLink},
	{"chunk corrupted", (*run).corruptChunks},
	{"version changed mid-flight", (*run).changeVersionMidFlight},
	{"store down", func(r *run, ctx context.Context) error {
		return r.storeFault(ctx, "store down", standin.StoreFaults{Down: true}, storeDownDuration)
	}},
	{"store slow", func(r *run, ctx context.Context) error {
		return r.storeFault(ctx, "store slow", standin.StoreFaults{Delay: storeDelay}, storeSlowDuration)
	}},
	{"store answer lost", func(r *run, ctx context.Context) error {
		return r.storeFault(ctx, "store answer lost", standin.StoreFaults{DropResponses: true}, storeLossDuration)
	}},
	{"process paused", (*run).pauseProcess},
	{"list lagging", (*run).delayList},
	{"engine cuts answers", func(r *run, ctx context.Context) error {
		return r.engineFault(ctx, "engine cuts answers", func(f *standin.EngineFaults) { f.TruncateResponses = true })
	}},
	{"engine loses answers", func(r *run, ctx context.Context) error {
		return r.engineFault(ctx, "engine loses answers", func(f *standin.EngineFaults) { f.DropResponses = true })
	}},
}

// beginFault records the start of a fault; the returned function records its end.
func (r *run) beginFault(kind string, breaksCalls bool, instances ...string) func() {
	return r.recordFault(time.Now(), kind, breaksCalls, instances...)
}

// beginKill kills instances and records that as a fault that breaks calls; the returned
// function records its end. If one was not running, nothing is recorded, so that what
// it broke is not excused.
func (r *run) beginKill(kind string, instances ...string) (end func(), err error) {
	from := time.Now()
	if len(instances) == 0 {
		return nil, errNoneLeft
	}
	for _, name := range instances {
		if err := r.fleet.Kill(name); err != nil {
			return nil, err
		}
	}
	return r.recordFault(from, kind, true, instances...), nil
}

func (r *run) recordFault(from time.Time, kind string, breaksCalls bool, instances ...string) func() {
	r.logf("fault: %s %s", kind, strings.Join(instances, " "))
	r.mu.Lock()
	index := len(r.faults)
	r.faults = append(r.faults, checker.Fault{Kind: kind, Instances: instances, BreaksCalls: breaksCalls, From: from, To: time.Now().Add(time.Hour)})
	r.mu.Unlock()
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.faults[index].To = time.Now()
		if breaksCalls {
			r.faults[index].To = time.Now().Add(faultAftermath)
		}
	}
}

func sleep(ctx context.Context, pause time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(pause):
	}
}

var errNoneLeft = errors.New("all candidate instances already have a fault in progress")

// reserve reserves a random instance that has no fault in progress. It returns a
// function that ends the reservation.
func (r *run) reserve(names func() []string) (name string, release func(), err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := names()
	r.random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	for _, name := range all {
		if !r.reserved[name] {
			r.reserved[name] = true
			return name, func() {
				r.mu.Lock()
				delete(r.reserved, name)
				r.mu.Unlock()
			}, nil
		}
	}
	return "", nil, errNoneLeft
}

// liveAgents returns the agents that faults may affect: those of pools with more than
// one instance.
func (r *run) liveAgents() []string {
	var names []string
	for name, instance := range r.live {
		if r.agents[name] && !strings.HasPrefix(instance.Name, r.config.Deployment.RecordName) {
			names = append(names, name)
		}
	}
	return sorted(names)
}

func (r *run) liveEntries() []string {
	var names []string
	for name := range r.live {
		if !r.agents[name] {
			names = append(names, name)
		}
	}
	return sorted(names)
}

// replace starts a new instance in place of one that has stopped.
func (r *run) replace(name string) error {
	r.mu.Lock()
	old, agent := r.live[name], r.agents[name]
	delete(r.live, name)
	r.replacements++
	replacement := old
	replacement.Name = fmt.Sprintf("%s-%d", strings.Split(name, "-")[0], 100+r.replacements)
	r.mu.Unlock()
	r.fleet.SetListedState(name, "")
	if err := r.fleet.PublishList(); err != nil {
		return err
	}
	if err := r.start(replacement, agent); err != nil {
		return err
	}
	return r.fleet.PublishList()
}

func (r *run) killAgent(ctx context.Context) error {
	name, done, err := r.reserve(r.liveAgents)
	if err != nil {
		return err
	}
	defer done()
	end, err := r.beginKill("agent killed and replaced", name)
	if err != nil {
		return err
	}
	defer end()
	if err := r.fleet.Kill(name + "-backend"); err != nil {
		return err
	}
	sleep(ctx, staleListDuration)
	return r.replace(name)
}

func (r *run) restartAgent(ctx context.Context) error {
	name, done, err := r.reserve(r.liveAgents)
	if err != nil {
		return err
	}
	defer done()
	end, err := r.beginKill("agent process restarted", name)
	if err != nil {
		return err
	}
	defer end()
	sleep(ctx, time.Second)
	if err := r.fleet.RestartDaemon(name); err != nil {
		return err
	}
	r.observeProcess(name)
	return cluster.WaitHTTP("http://" + r.fleet.Listed(name).HTTPAddress + "/healthz")
}

// restartLedgerAgents kills at once all agents of the ledger pool that have no
// fault in progress, as when a rack fails, and restarts them.
func (r *run) restartLedgerAgents(ctx context.Context) error {
	var names []string
	for {
		name, done, err := r.reserve(r.liveLedgerAgents)
		if err != nil {
			break
		}
		defer done()
		names = append(names, name)
	}
	end, err := r.beginKill("all ledger agents restarted", names...)
	if err != nil {
		return err
	}
	defer end()
	sleep(ctx, rackFailureDuration)
	for _, name := range names {
		if err := r.fleet.RestartDaemon(name); err != nil {
			return err
		}
		r.observeProcess(name)
	}
	return nil
}

func (r *run) liveLedgerAgents() []string {
	return slices.DeleteFunc(r.liveAgents(), func(name string) bool {
		return !strings.HasPrefix(name, r.config.Deployment.LedgerName)
	})
}

func (r *run) killEntry(ctx context.Context) error {
	name, done, err := r.reserve(r.liveEntries)
	if err != nil {
		return err
	}
	defer done()
	end, err := r.beginKill("entry killed and replaced", name)
	if err != nil {
		return err
	}
	defer end()
	r.load.removeEntry(name)
	sleep(ctx, staleListDuration)
	return r.replace(name)
}

func (r *run) shutDownAgent(ctx context.Context) error {
	return r.shutDownGracefully(ctx, r.liveAgents, false)
}

func (r *run) shutDownEntry(ctx context.Context) error {
	return r.shutDownGracefully(ctx, r.liveEntries, true)
}

// shutDownGracefully shuts an instance down gracefully and replaces it.
func (r *run) shutDownGracefully(_ context.Context, names func() []string, entry bool) error {
	name, done, err := r.reserve(names)
	if err != nil {
		return err
	}
	defer done()
	r.logf("fault: graceful shutdown of %s", name)
	shutdown := checker.Shutdown{Instance: name, Entry: entry, Requested: time.Now()}
	r.fleet.SetListedState(name, member.StateLeaving)
	if err := r.fleet.PublishList(); err != nil {
		return err
	}
	process := r.fleet.Process(name)
	_ = r.fleet.Signal(name, syscall.SIGTERM)
	select {
	case <-process.Exited():
		shutdown.Ended, shutdown.Clean = time.Now(), process.Err() == nil
	case <-time.After(drainTimeout):
		_ = r.fleet.Signal(name, syscall.SIGKILL)
	}
	if !entry {
		_ = r.fleet.Signal(name+"-backend", syscall.SIGKILL)
	}
	r.load.removeEntry(name)
	r.mu.Lock()
	r.faults = append(r.faults, checker.Fault{Kind: "graceful shutdown of " + name, From: shutdown.Requested, To: time.Now()})
	r.shutdowns = append(r.shutdowns, shutdown)
	r.mu.Unlock()
	return r.replace(name)
}

func (r *run) stallLink(ctx context.Context) error {
	zones := r.config.Deployment.Zones
	r.mu.Lock()
	first := r.random.IntN(len(zones))
	r.mu.Unlock()
	a, b := zones[first], zones[(first+1)%len(zones)]
	end := r.beginFault("link stalled "+a+" to "+b, true)
	defer end()
	resume := r.network.Stall(a, b)
	defer resume()
	sleep(ctx, stallDuration)
	return nil
}

func (r *run) corruptChunks(ctx context.Context) error {
	end := r.beginFault("chunk corrupted", false)
	defer end()
	if err := cluster.PutJSON(r.fleet.PlatformURL+"/faults/origin", standin.OriginFaults{Corrupt: true}); err != nil {
		return err
	}
	released := r.operators.release(r.nextVersion())
	sleep(ctx, corruptionDuration)
	if err := cluster.PutJSON(r.fleet.PlatformURL+"/faults/origin", standin.OriginFaults{}); err != nil {
		return err
	}
	return released
}

func (r *run) changeVersionMidFlight(ctx context.Context) error {
	end := r.beginFault("version changed mid-flight", false)
	defer end()
	if err := r.operators.release(r.nextVersion()); err != nil {
		return err
	}
	sleep(ctx, midFlightPause)
	return r.operators.release(r.nextVersion())
}

func (r *run) storeFault(ctx context.Context, kind string, faults standin.StoreFaults, pause time.Duration) error {
	r.storeMu.Lock()
	defer r.storeMu.Unlock()
	end := r.beginFault(kind, false)
	defer end()
	if err := cluster.PutJSON(r.fleet.PlatformURL+"/faults/store", faults); err != nil {
		return err
	}
	sleep(ctx, pause)
	return cluster.PutJSON(r.fleet.PlatformURL+"/faults/store", standin.StoreFaults{})
}

func (r *run) pauseProcess(ctx context.Context) error {
	name, done, err := r.reserve(func() []string { return append(r.liveAgents(), r.liveEntries()...) })
	if err != nil {
		return err
	}
	defer done()
	from := time.Now()
	if err := r.fleet.Signal(name, syscall.SIGSTOP); err != nil {
		return err
	}
	end := r.recordFault(from, "process paused", true, name)
	defer end()
	sleep(ctx, pauseDuration)
	return r.fleet.Signal(name, syscall.SIGCONT)
}

func (r *run) delayList(ctx context.Context) error {
	end := r.beginFault("list lagging", false)
	defer end()
	if err := cluster.PutJSON(r.fleet.PlatformURL+"/faults/list", standin.ListFaults{Lag: listLag}); err != nil {
		return err
	}
	sleep(ctx, listLagDuration)
	if err := cluster.PutJSON(r.fleet.PlatformURL+"/faults/list", standin.ListFaults{}); err != nil {
		return err
	}
	// Delayed updates have to arrive before the list is published again.
	time.Sleep(listLag)
	return r.fleet.PublishList()
}

func (r *run) engineFault(ctx context.Context, kind string, set func(*standin.EngineFaults)) error {
	name, done, err := r.reserve(r.liveAgents)
	if err != nil {
		return err
	}
	defer done()
	end := r.beginFault(kind, true, name)
	defer end()
	faults := r.faultFreeSettings(name)
	set(&faults)
	if err := r.setEngine(name, faults); err != nil {
		return err
	}
	sleep(ctx, engineFaultDuration)
	return r.setEngine(name, r.faultFreeSettings(name))
}

// faultFreeSettings returns the settings of a backend server without a fault.
func (r *run) faultFreeSettings(agent string) standin.EngineFaults {
	settings := standin.EngineFaults{TokenDelay: tokenDelay}
	if strings.HasPrefix(agent, r.config.Deployment.LedgerName) {
		settings.Delay = ledgerExecutionTime
	}
	return settings
}

func (r *run) setEngine(agent string, faults standin.EngineFaults) error {
	return cluster.PutJSON(r.fleet.BackendURL(agent)+"/faults/engine", faults)
}

package soak

import (
	"context"
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
	stallTime      = 6 * time.Second
	storeDownTime  = 8 * time.Second
	storeSlowTime  = 6 * time.Second
	storeDelay     = time.Second
	storeLossTime  = 5 * time.Second
	pauseTime      = 8 * time.Second
	listLagTime    = 8 * time.Second
	listLag        = 3 * time.Second
	engineTime     = 3 * time.Second
	rackTime       = 6 * time.Second
	corruptTime    = 4 * time.Second
	midFlightPause = 1200 * time.Millisecond
	// goneAfter is how long the list still contains an instance that has crashed.
	goneAfter = 1500 * time.Millisecond
	// afterCut is how long calls may still break after the end of a fault. It
	// covers the longest silence of a backend server that an entry tolerates.
	afterCut = 12 * time.Second
	// drainLimit bounds a graceful shutdown; it exceeds the longest call.
	drainLimit = 60 * time.Second
	tokenDelay = 5 * time.Millisecond
	// ledgerDelay is the execution time of a booking or certificate.
	ledgerDelay = 400 * time.Millisecond
)

// fault is one kind of fault; run injects it, waits, and removes it.
type fault struct {
	kind string
	run  func(r *run, ctx context.Context) error
}

// faults are the failures that the project's brief requires the system to
// tolerate.
var faults = []fault{
	{"agent killed and replaced", (*run).killAgent},
	{"agent process restarted", (*run).restartAgent},
	{"all ledger agents restarted", (*run).restartLedgers},
	{"agent left", (*run).leaveAgent},
	{"entry killed and replaced", (*run).killEntry},
	{"entry left", (*run).leaveEntry},
	{"link stalled", (*run).stallLink},
	{"chunk corrupted", (*run).corruptChunks},
	{"version changed mid-flight", (*run).changeMidFlight},
	{"store down", func(r *run, ctx context.Context) error {
		return r.storeFault(ctx, "store down", standin.StoreFaults{Down: true}, storeDownTime)
	}},
	{"store slow", func(r *run, ctx context.Context) error {
		return r.storeFault(ctx, "store slow", standin.StoreFaults{Delay: storeDelay}, storeSlowTime)
	}},
	{"store answer lost", func(r *run, ctx context.Context) error {
		return r.storeFault(ctx, "store answer lost", standin.StoreFaults{LoseAnswers: true}, storeLossTime)
	}},
	{"process paused", (*run).pauseProcess},
	{"list lagging", (*run).lagList},
	{"engine cuts answers", func(r *run, ctx context.Context) error {
		return r.engineFault(ctx, "engine cuts answers", func(f *standin.EngineFaults) { f.CutAnswers = true })
	}},
	{"engine loses answers", func(r *run, ctx context.Context) error {
		return r.engineFault(ctx, "engine loses answers", func(f *standin.EngineFaults) { f.LoseAnswers = true })
	}},
}

// began records the start of a fault and returns a function that records its
// end.
func (r *run) began(kind string, cuts bool, instances ...string) func() {
	r.logf("fault: %s %s", kind, strings.Join(instances, " "))
	r.mu.Lock()
	index := len(r.faults)
	r.faults = append(r.faults, checker.Fault{Kind: kind, Instances: instances, BreaksCalls: cuts, From: time.Now(), To: time.Now().Add(time.Hour)})
	r.mu.Unlock()
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.faults[index].To = time.Now()
		if cuts {
			r.faults[index].To = time.Now().Add(afterCut)
		}
	}
}

func wait(ctx context.Context, pause time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(pause):
	}
}

// take reserves a random instance that has no fault in progress; done releases
// it.
func (r *run) take(names func() []string) (name string, done func(), err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := names()
	r.random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	for _, name := range all {
		if !r.busy[name] {
			r.busy[name] = true
			return name, func() {
				r.mu.Lock()
				delete(r.busy, name)
				r.mu.Unlock()
			}, nil
		}
	}
	return "", nil, fmt.Errorf("all candidate instances already have a fault in progress")
}

// liveAgents returns the agents that faults may affect: those of pools with
// more than one instance.
func (r *run) liveAgents() []string {
	var names []string
	for name, instance := range r.live {
		if r.agents[name] && !strings.HasPrefix(instance.Name, r.config.Firm.RecordName) {
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
	r.number++
	fresh := old
	fresh.Name = fmt.Sprintf("%s-%d", strings.Split(name, "-")[0], 100+r.number)
	r.mu.Unlock()
	r.fleet.SetState(name, "")
	if err := r.fleet.PublishList(); err != nil {
		return err
	}
	if err := r.start(fresh, agent); err != nil {
		return err
	}
	return r.fleet.PublishList()
}

func (r *run) killAgent(ctx context.Context) error {
	name, done, err := r.take(r.liveAgents)
	if err != nil {
		return err
	}
	defer done()
	end := r.began("agent killed and replaced", true, name)
	defer end()
	_ = r.fleet.Signal(name, syscall.SIGKILL)
	_ = r.fleet.Signal(name+"-backend", syscall.SIGKILL)
	wait(ctx, goneAfter)
	return r.replace(name)
}

func (r *run) restartAgent(ctx context.Context) error {
	name, done, err := r.take(r.liveAgents)
	if err != nil {
		return err
	}
	defer done()
	end := r.began("agent process restarted", true, name)
	defer end()
	_ = r.fleet.Signal(name, syscall.SIGKILL)
	<-r.fleet.Process(name).Exited()
	wait(ctx, time.Second)
	if err := r.fleet.RestartDaemon(name); err != nil {
		return err
	}
	r.restarted(name)
	return cluster.WaitHTTP("http://" + r.fleet.Row(name).HTTPAddress + "/healthz")
}

// restartLedgers kills all agents of the ledger pool at once, as when a rack
// fails, and restarts them.
func (r *run) restartLedgers(ctx context.Context) error {
	var names []string
	for {
		name, done, err := r.take(r.liveLedgers)
		if err != nil {
			break
		}
		defer done()
		names = append(names, name)
	}
	end := r.began("all ledger agents restarted", true, names...)
	defer end()
	for _, name := range names {
		_ = r.fleet.Signal(name, syscall.SIGKILL)
		<-r.fleet.Process(name).Exited()
	}
	wait(ctx, rackTime)
	for _, name := range names {
		if err := r.fleet.RestartDaemon(name); err != nil {
			return err
		}
		r.restarted(name)
	}
	return nil
}

func (r *run) liveLedgers() []string {
	return slices.DeleteFunc(r.liveAgents(), func(name string) bool {
		return !strings.HasPrefix(name, r.config.Firm.LedgerName)
	})
}

func (r *run) killEntry(ctx context.Context) error {
	name, done, err := r.take(r.liveEntries)
	if err != nil {
		return err
	}
	defer done()
	end := r.began("entry killed and replaced", true, name)
	defer end()
	_ = r.fleet.Signal(name, syscall.SIGKILL)
	r.callers.unlearn(name)
	wait(ctx, goneAfter)
	return r.replace(name)
}

func (r *run) leaveAgent(ctx context.Context) error {
	return r.leave(ctx, r.liveAgents, false)
}

func (r *run) leaveEntry(ctx context.Context) error {
	return r.leave(ctx, r.liveEntries, true)
}

// leave shuts an instance down gracefully and replaces it.
func (r *run) leave(_ context.Context, names func() []string, entry bool) error {
	name, done, err := r.take(names)
	if err != nil {
		return err
	}
	defer done()
	r.logf("fault: leave %s", name)
	leave := checker.Shutdown{Instance: name, Entry: entry, Requested: time.Now()}
	r.fleet.SetState(name, member.StateLeaving)
	if err := r.fleet.PublishList(); err != nil {
		return err
	}
	process := r.fleet.Process(name)
	_ = r.fleet.Signal(name, syscall.SIGTERM)
	select {
	case <-process.Exited():
		leave.Ended, leave.Clean = time.Now(), process.Err() == nil
	case <-time.After(drainLimit):
		_ = r.fleet.Signal(name, syscall.SIGKILL)
	}
	if !entry {
		_ = r.fleet.Signal(name+"-backend", syscall.SIGKILL)
	}
	r.callers.unlearn(name)
	r.mu.Lock()
	r.faults = append(r.faults, checker.Fault{Kind: "left gracefully " + name, From: leave.Requested, To: time.Now()})
	r.leaves = append(r.leaves, leave)
	r.mu.Unlock()
	return r.replace(name)
}

func (r *run) stallLink(ctx context.Context) error {
	zones := r.config.Firm.Zones
	r.mu.Lock()
	first := r.random.IntN(len(zones))
	r.mu.Unlock()
	a, b := zones[first], zones[(first+1)%len(zones)]
	end := r.began("link stalled "+a+" to "+b, true)
	defer end()
	resume := r.network.Stall(a, b)
	defer resume()
	wait(ctx, stallTime)
	return nil
}

func (r *run) corruptChunks(ctx context.Context) error {
	end := r.began("chunk corrupted", false)
	defer end()
	if err := cluster.PutJSON(r.fleet.PlatformURL+"/faults/origin", standin.OriginFaults{Corrupt: true}); err != nil {
		return err
	}
	released := r.operators.release(r.nextVersion())
	wait(ctx, corruptTime)
	if err := cluster.PutJSON(r.fleet.PlatformURL+"/faults/origin", standin.OriginFaults{}); err != nil {
		return err
	}
	return released
}

func (r *run) changeMidFlight(ctx context.Context) error {
	end := r.began("version changed mid-flight", false)
	defer end()
	if err := r.operators.release(r.nextVersion()); err != nil {
		return err
	}
	wait(ctx, midFlightPause)
	return r.operators.release(r.nextVersion())
}

func (r *run) storeFault(ctx context.Context, kind string, faults standin.StoreFaults, pause time.Duration) error {
	r.storeMu.Lock()
	defer r.storeMu.Unlock()
	end := r.began(kind, false)
	defer end()
	if err := cluster.PutJSON(r.fleet.PlatformURL+"/faults/store", faults); err != nil {
		return err
	}
	wait(ctx, pause)
	return cluster.PutJSON(r.fleet.PlatformURL+"/faults/store", standin.StoreFaults{})
}

func (r *run) pauseProcess(ctx context.Context) error {
	name, done, err := r.take(func() []string { return append(r.liveAgents(), r.liveEntries()...) })
	if err != nil {
		return err
	}
	defer done()
	end := r.began("process paused", true, name)
	defer end()
	_ = r.fleet.Signal(name, syscall.SIGSTOP)
	wait(ctx, pauseTime)
	return r.fleet.Signal(name, syscall.SIGCONT)
}

func (r *run) lagList(ctx context.Context) error {
	end := r.began("list lagging", false)
	defer end()
	if err := cluster.PutJSON(r.fleet.PlatformURL+"/faults/list", standin.ListFaults{Lag: listLag}); err != nil {
		return err
	}
	wait(ctx, listLagTime)
	if err := cluster.PutJSON(r.fleet.PlatformURL+"/faults/list", standin.ListFaults{}); err != nil {
		return err
	}
	// Delayed updates have to arrive before the list is published again.
	time.Sleep(listLag)
	return r.fleet.PublishList()
}

func (r *run) engineFault(ctx context.Context, kind string, set func(*standin.EngineFaults)) error {
	name, done, err := r.take(r.liveAgents)
	if err != nil {
		return err
	}
	defer done()
	end := r.began(kind, true, name)
	defer end()
	faults := r.usual(name)
	set(&faults)
	if err := r.setEngine(name, faults); err != nil {
		return err
	}
	wait(ctx, engineTime)
	return r.setEngine(name, r.usual(name))
}

// usual returns the settings of a backend server without a fault.
func (r *run) usual(agent string) standin.EngineFaults {
	usual := standin.EngineFaults{TokenDelay: tokenDelay}
	if strings.HasPrefix(agent, r.config.Firm.LedgerName) {
		usual.Delay = ledgerDelay
	}
	return usual
}

func (r *run) setEngine(agent string, faults standin.EngineFaults) error {
	return cluster.PutJSON(r.fleet.BackendURL(agent)+"/faults/engine", faults)
}

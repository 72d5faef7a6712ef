// Package fleet is the soak test of the system on stand-ins of the users' platform. It
// injects faults from outside into real processes and checks the records of callers and
// backend servers.
package fleet

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"plantainrelay/platform/standin"
	"plantainrelay/test/testfleet"
)

// Config describes one run.
type Config struct {
	Seed uint64
	// Duration is the time of load and faults, without startup and recovery.
	Duration time.Duration
	// Entries and Engines are the numbers of instances in each availability zone.
	Entries, Engines int
	Callers          int
	Bounds           Bounds
	// VersionSwitchTime is the Version bound in the settings of the processes; the checked one
	// if it is 0.
	VersionSwitchTime time.Duration
	// Only lists the kinds of faults to inject; all if it is empty.
	Only []string
	// Bin is the directory of the built binaries, Dir that of settings and logs.
	Bin, Dir string
	Log      io.Writer
}

const (
	// heartbeatInterval is the interval at which instances renew their entry in the
	// list, which drops an instance after heartbeatTimeout without a renewal.
	heartbeatInterval = 400 * time.Millisecond
	heartbeatTimeout  = 3600 * time.Millisecond
	// drainTime is how long an instance serves after it has announced its shutdown.
	drainTime       = 3 * time.Second
	shutdownTimeout = 8 * time.Second
	startTimeout    = 30 * time.Second
	// faultInterval is the time between two injections of a fault or a pair.
	faultInterval     = 2200 * time.Millisecond
	settleTime        = 8 * time.Second
	recoveryCheckTime = 4 * time.Second
	// maxRecoveryChecks bounds the recovery checks, which are repeated after a stall.
	maxRecoveryChecks = 4
	// stallCheckInterval is the interval at which the clock is read. If two readings
	// are more than stallThreshold apart, the whole machine was short of CPU time.
	stallCheckInterval = 50 * time.Millisecond
	stallThreshold     = 700 * time.Millisecond
)

// run holds the state of one soak run.
type run struct {
	*testfleet.Fleet
	config    Config
	random    *rand.Rand
	startedAt time.Time
	history   *History
	load      *loadGenerator

	mu       sync.Mutex
	reserved map[string]bool
	table    standin.Table
	version  int64
	// crashingParts holds the parts of prompts at which instances crash now, crashedParts the
	// number of those there ever were.
	crashingParts []string
	crashedParts  int
	restarts      sync.WaitGroup
}

// Run executes one run and returns its history.
func Run(config Config) (*History, error) {
	config.VersionSwitchTime = cmp.Or(config.VersionSwitchTime, config.Bounds.Version)
	r := &run{
		config: config, random: rand.New(rand.NewPCG(config.Seed, 1)), startedAt: time.Now(), history: &History{Bounds: config.Bounds}, reserved: map[string]bool{},
	}
	var err error
	r.Fleet, err = testfleet.New(testfleet.Config{
		Entries: config.Entries, Engines: config.Engines, KeyRevokeTime: config.Bounds.Revoke, VersionSwitchTime: config.VersionSwitchTime, ShutdownGrace: shutdownTimeout,
		Bin: config.Bin, Dir: config.Dir, OnExecution: r.history.addExecution, OnArrival: r.history.addArrival, OnProcessStart: func(name string) { r.history.addStart(name, time.Now()) },
		CrashPart: crashPart, OnCrash: r.instanceCrashed,
	})
	if err != nil {
		return nil, err
	}
	defer r.Close()
	r.writeInitialTables()
	if err := r.Start(); err != nil {
		return nil, err
	}
	r.load = newLoadGenerator(r)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := r.load.waitUntilServed(ctx); err != nil {
		return nil, err
	}
	r.logf("%d instances are serving; starting load and faults", len(r.Instances()))
	var load sync.WaitGroup
	load.Go(func() { r.load.run(ctx) })
	load.Go(func() { r.sendHeartbeats(ctx) })
	load.Go(func() { r.watchStalls(ctx) })
	r.inject()
	r.restarts.Wait()
	r.logf("faults have ended")
	for range maxRecoveryChecks {
		time.Sleep(settleTime)
		r.history.RecoveryCheckFrom = time.Now()
		time.Sleep(recoveryCheckTime)
		if !r.history.stalledSince(r.history.RecoveryCheckFrom.Add(-settleTime)) {
			break
		}
	}
	cancel()
	load.Wait()
	r.checkAlive()
	r.history.StoreCalls, r.history.OriginChunks = r.Store.CallCount(), r.Origin.ChunksSent()
	return r.history, nil
}

func (r *run) logf(format string, args ...any) {
	if r.config.Log != nil {
		fmt.Fprintf(r.config.Log, "%6.1fs %s\n", time.Since(r.startedAt).Seconds(), fmt.Sprintf(format, args...))
	}
}

func (r *run) writeInitialTables() {
	weights := testfleet.ModelWeights
	r.table = standin.Table{
		Version: 1,
		Routes: []standin.Route{
			{Name: "write", Host: host, PathPrefix: "/write/", Pool: testfleet.ModelPool, Kind: standin.Streaming, Timeout: 6 * time.Second, Objective: 500 * time.Millisecond},
			{Name: "book", Host: host, PathPrefix: "/book/", Pool: testfleet.BookingsPool, Kind: standin.NonIdempotent, Timeout: 2500 * time.Millisecond, Objective: 200 * time.Millisecond},
			{Name: "look", Host: host, PathPrefix: "/look/", Pool: testfleet.BookingsPool, Kind: standin.Idempotent, Timeout: 2500 * time.Millisecond, Objective: 200 * time.Millisecond},
		},
		Pools: []standin.Pool{
			{Name: testfleet.ModelPool, Slots: 8, Weights: &weights}, {Name: testfleet.BookingsPool}, {Name: testfleet.RecordsPool}, {Name: testfleet.OriginPool, Origin: r.OriginAddress, Zone: "a"},
		},
		Keys: map[string][]string{"firm-1": {"key-1"}, "firm-2": slices.Clone(keys[1:])},
	}
	r.publishTables()
}

// publishTables writes the tables to the store; the caller holds mu or runs alone.
func (r *run) publishTables() {
	if err := r.Store.Put(standin.KindTables, standin.TableName, r.table.Encode()); err != nil {
		r.logf("tables could not be written: %v", err)
	}
	r.history.addTable(r.table, time.Now())
	r.logf("tables version %d was published", r.table.Version)
}

// sendHeartbeats renews the list entries of the instances until ctx ends. Instances
// with a fault in progress are skipped.
func (r *run) sendHeartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		r.mu.Lock()
		for _, instance := range r.Instances() {
			if instance.Backend == nil || r.reserved[instance.Name] {
				continue
			}
			if err := r.Register(instance); err != nil {
				r.logf("%s: heartbeat failed: %v", instance.Name, err)
			}
		}
		r.mu.Unlock()
		time.Sleep(heartbeatInterval)
	}
}

// watchStalls records the times in which this process itself got no CPU time, as on
// an overloaded machine. Time bounds can't be checked then.
func (r *run) watchStalls(ctx context.Context) {
	last := time.Now()
	for ctx.Err() == nil {
		time.Sleep(stallCheckInterval)
		now := time.Now()
		if now.Sub(last) > stallThreshold {
			r.logf("the test machine stalled for %s", now.Sub(last).Round(time.Millisecond))
			r.history.addStall(last, now)
		}
		last = now
	}
}

// checkAlive records the processes that have exited by themselves.
func (r *run) checkAlive() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, instance := range r.Instances() {
		process := r.ProcessOf(instance)
		if process == nil || r.reserved[instance.Name] {
			continue
		}
		select {
		case <-process.Exited:
			r.history.addViolation("EXIT", fmt.Sprintf("%s exited by itself: %v", instance.Name, process.Cmd.ProcessState))
		default:
		}
	}
}

package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"plantainrelay/internal/weights"
	"plantainrelay/test/checker"
	"plantainrelay/test/cluster"
	"plantainrelay/test/faultproxy"
)

// Config describes one run.
type Config struct {
	Firm Firm
	Seed uint64
	// Duration is the time under load, without startup and draining.
	Duration time.Duration
	// Rate scales the request rate.
	Rate float64
	// FaultInterval is the time between two injections of a fault or a pair.
	FaultInterval time.Duration
	// Faults, if set, are the kinds of the first faults to inject, in this order
	// and never in pairs.
	Faults      []string
	WeightBytes int
	// Bin and Dir are as in cluster.Config.
	Bin, Dir string
	Log      io.Writer
}

const (
	chunkBytes     = 64 << 10
	versions       = 8
	warmUp         = 2 * time.Minute
	settleLimit    = 90 * time.Second
	pairLikelihood = 0.5
	entryExtra     = "[shutdown]\nleave_delay = 7s\n"
	usageExtra     = "[usage]\nflush_interval = 3s\n"
	// usageWait is longer than flush_interval, so that all usage has been written.
	usageWait    = 5 * time.Second
	usageTimeout = 20 * time.Second
)

// run holds the state of one run.
type run struct {
	config    Config
	fleet     *cluster.Cluster
	network   *faultproxy.Network
	callers   *callers
	operators *operators
	observer  *observer
	begun     time.Time
	context   context.Context

	storeMu sync.Mutex

	mu       sync.Mutex
	random   *rand.Rand
	live     map[string]cluster.Instance
	agents   map[string]bool
	all      []cluster.Instance
	busy     map[string]bool
	process  map[string]int
	number   int
	version  int
	versions []target
	faults   []checker.Fault
	leaves   []checker.Shutdown
	errors   []string
}

// Run executes one run.
func Run(config Config) (*Result, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r := &run{
		config: config, begun: time.Now(), context: ctx,
		random: rand.New(rand.NewPCG(config.Seed, 0)),
		live:   map[string]cluster.Instance{}, agents: map[string]bool{}, busy: map[string]bool{}, process: map[string]int{},
	}
	r.network = faultproxy.NewNetwork(config.Firm.path)
	defer r.network.Close()
	if err := r.setUp(); err != nil {
		if r.fleet != nil {
			r.fleet.Stop()
		}
		return nil, err
	}
	defer r.fleet.Stop()
	return r.carryOut(ctx)
}

func (r *run) logf(format string, args ...any) {
	if r.config.Log != nil {
		fmt.Fprintf(r.config.Log, "%6.1fs %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, args...))
	}
}

func (r *run) setUp() error {
	firm := r.config.Firm
	var err error
	r.fleet, err = cluster.Start(cluster.Config{
		Bin: r.config.Bin, Dir: r.config.Dir, Network: r.network, StoreZone: firm.Zones[0], Record: true,
	})
	if err != nil {
		return err
	}
	r.observer = newObserver(r.fleet.FleetKey())
	r.callers = newCallers(firm, r.fleet, r.network, r.config.Rate)
	r.operators = &operators{firm: firm, cluster: r.fleet, entry: r.anyEntry}
	for _, instance := range firm.entries() {
		instance.Extra = entryExtra + usageExtra
		if err := r.start(instance, false); err != nil {
			return err
		}
	}
	for _, instance := range firm.agents() {
		instance.Extra = usageExtra
		if err := r.start(instance, true); err != nil {
			return err
		}
	}
	return errors.Join(r.fleet.PublishList(), r.publish())
}

// start starts an instance and registers it with the load generator and the
// observer.
func (r *run) start(instance cluster.Instance, agent bool) error {
	begin := r.fleet.StartEntry
	if agent {
		begin = r.fleet.StartAgent
	}
	if err := begin(instance); err != nil {
		return fmt.Errorf("%s: %w", instance.Name, err)
	}
	if agent {
		if err := r.setEngine(instance.Name, r.usual(instance.Name)); err != nil {
			return err
		}
	} else if err := r.callers.learn(instance.Name); err != nil {
		return err
	}
	r.mu.Lock()
	r.live[instance.Name], r.agents[instance.Name] = instance, agent
	r.all = append(r.all, instance)
	r.mu.Unlock()
	r.restarted(instance.Name)
	return nil
}

// restarted makes the observer poll the new process of an instance.
func (r *run) restarted(name string) {
	r.mu.Lock()
	r.process[name]++
	process := observed{instance: name, zone: r.live[name].AvailabilityZone, process: r.process[name], started: time.Now(), control: r.fleet.Row(name).ControlAddress}
	r.mu.Unlock()
	r.observer.watch(r.context, process)
}

func (r *run) publish() error {
	random := rand.NewChaCha8([32]byte{byte(r.config.Seed)})
	data := make([]byte, r.config.WeightBytes)
	for number := range versions {
		// All versions have the first half of their data in common.
		from := len(data) / 2
		if number == 0 {
			from = 0
		}
		_, _ = random.Read(data[from:])
		name := fmt.Sprintf("v%d", number+1)
		manifest, err := r.fleet.Publish(name, "", data, chunkBytes)
		if err != nil {
			return err
		}
		r.versions = append(r.versions, target{version: name, manifest: manifest, whole: weights.DigestOf(data)})
	}
	return nil
}

// nextVersion returns the version that follows the last released one. After
// the last version it starts over with the first.
func (r *run) nextVersion() target {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version++
	return r.versions[r.version%len(r.versions)]
}

// anyEntry returns the name of a random entry without a fault in progress, or
// any entry if there is none.
func (r *run) anyEntry() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	names := r.liveEntries()
	rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	for _, name := range names {
		if !r.busy[name] {
			return name
		}
	}
	return names[0]
}

func (r *run) carryOut(ctx context.Context) (*Result, error) {
	r.logf("%d processes started", len(r.all))
	if err := r.operators.release(r.versions[0]); err != nil {
		return nil, err
	}
	if err := r.settle(warmUp); err != nil {
		return nil, fmt.Errorf("startup, before any fault: %w", err)
	}
	r.logf("all model agents serve version 1; starting load")
	result := &Result{}
	load, stop := context.WithTimeout(ctx, r.config.Duration)
	defer stop()
	var parts sync.WaitGroup
	for _, part := range []func(){
		func() { r.callers.run(load, r.config.Seed) },
		func() { r.operators.race(load) },
		func() { r.release(load) },
		func() { r.inject(load) },
		func() { r.measure(load, result) },
	} {
		parts.Add(1)
		go func() {
			defer parts.Done()
			part()
		}()
	}
	parts.Wait()
	r.logf("load and faults have ended")
	result.Settled = "yes"
	if err := r.settle(settleLimit); err != nil {
		result.Settled = err.Error()
	}
	time.Sleep(usageWait)
	return result, errors.Join(r.collect(result), r.saveBurn())
}

// settle waits until all agents of the model pool serve the target version and
// all other agents accept requests.
func (r *run) settle(limit time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	r.operators.mu.Lock()
	version := r.operators.target.version
	r.operators.mu.Unlock()
	var models, services []string
	for name := range r.live {
		switch {
		case !r.agents[name]:
		case strings.HasPrefix(name, r.config.Firm.ModelName):
			models = append(models, name)
		default:
			services = append(services, name)
		}
	}
	entry := r.anyEntry()
	return errors.Join(r.fleet.WaitVersion(ctx, entry, version, models...), r.fleet.WaitVersion(ctx, entry, "", services...))
}

// release makes the next version the target after a third of the run.
func (r *run) release(ctx context.Context) {
	wait(ctx, r.config.Duration/3)
	if err := r.operators.release(r.nextVersion()); err != nil {
		r.failed("release", err)
	}
}

func (r *run) failed(kind string, err error) {
	r.logf("%s: %v", kind, err)
	r.mu.Lock()
	r.errors = append(r.errors, kind+": "+err.Error())
	r.mu.Unlock()
}

// inject injects random faults, single or in pairs, until ctx ends. Every kind
// is injected once before any is repeated.
func (r *run) inject(ctx context.Context) {
	var injected sync.WaitGroup
	defer injected.Wait()
	order := r.chosen()
	draw := func() fault {
		r.mu.Lock()
		defer r.mu.Unlock()
		if len(order) == 0 {
			order = slices.Clone(faults)
			r.random.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
		}
		next := order[0]
		order = order[1:]
		return next
	}
	for ctx.Err() == nil {
		count := 1
		r.mu.Lock()
		if len(r.config.Faults) == 0 && r.random.Float64() < pairLikelihood {
			count = 2
		}
		r.mu.Unlock()
		for range count {
			next := draw()
			injected.Add(1)
			go func() {
				defer injected.Done()
				if err := next.run(r, ctx); err != nil {
					r.failed(next.kind, err)
				}
			}()
		}
		wait(ctx, r.config.FaultInterval)
	}
}

// chosen returns the faults named in Config.Faults, in that order.
func (r *run) chosen() []fault {
	var chosen []fault
	for _, kind := range r.config.Faults {
		for _, one := range faults {
			if one.kind == kind {
				chosen = append(chosen, one)
			}
		}
	}
	return chosen
}

// measure records the maxima of total resident memory and process count.
func (r *run) measure(ctx context.Context, result *Result) {
	for ctx.Err() == nil {
		bytes, count := r.fleet.TotalRSS()
		result.MaxRSSBytes = max(result.MaxRSSBytes, bytes)
		result.Processes = max(result.Processes, count)
		wait(ctx, time.Second)
	}
}

func sorted(names []string) []string {
	slices.Sort(names)
	return names
}

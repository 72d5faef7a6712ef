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
	Deployment Deployment
	Seed       uint64
	// Duration is the time under load, without startup and draining.
	Duration time.Duration
	// Rate scales the request rate.
	Rate float64
	// FaultInterval is the time between two injections of a fault or a pair.
	FaultInterval time.Duration
	// Faults, if set, are the kinds to inject first, in this order and not in pairs.
	Faults      []string
	WeightBytes int
	// Bin and Dir are as in cluster.Config.
	Bin, Dir string
	Log      io.Writer
}

const (
	chunkBytes      = 64 << 10
	versionCount    = 8
	startupTimeout  = 2 * time.Minute
	settleTimeout   = 90 * time.Second
	pairProbability = 0.5
	entrySettings   = "[shutdown]\nleave_delay = 7s\n"
	usageSettings   = "[usage]\nflush_interval = 3s\n"
	// usageWait is longer than flush_interval, so that all usage has been written.
	usageWait    = 5 * time.Second
	usageTimeout = 20 * time.Second
)

// run holds the state of one run.
type run struct {
	config    Config
	fleet     *cluster.Cluster
	network   *faultproxy.Network
	load      *loadGenerator
	operators *operators
	observer  *observer
	startedAt time.Time
	context   context.Context

	storeMu sync.Mutex

	mu            sync.Mutex
	random        *rand.Rand
	live          map[string]cluster.Instance
	agents        map[string]bool
	all           []cluster.Instance
	reserved      map[string]bool
	processCounts map[string]int
	replacements  int
	versionIndex  int
	versions      []target
	faults        []checker.Fault
	shutdowns     []checker.Shutdown
	faultErrors   []string
}

// Run executes one run.
func Run(config Config) (*Result, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r := &run{
		config: config, startedAt: time.Now(), context: ctx,
		random: rand.New(rand.NewPCG(config.Seed, 0)),
		live:   map[string]cluster.Instance{}, agents: map[string]bool{}, reserved: map[string]bool{}, processCounts: map[string]int{},
	}
	r.network = faultproxy.NewNetwork(config.Deployment.linkConfig)
	defer r.network.Close()
	if err := r.setUp(); err != nil {
		if r.fleet != nil {
			r.fleet.Stop()
		}
		return nil, err
	}
	defer r.fleet.Stop()
	return r.execute(ctx)
}

func (r *run) logf(format string, args ...any) {
	if r.config.Log != nil {
		fmt.Fprintf(r.config.Log, "%6.1fs %s\n", time.Since(r.startedAt).Seconds(), fmt.Sprintf(format, args...))
	}
}

func (r *run) setUp() error {
	deployment := r.config.Deployment
	var err error
	r.fleet, err = cluster.Start(cluster.Config{
		BinDir: r.config.Bin, Dir: r.config.Dir, Network: r.network, StoreZone: deployment.Zones[0], RecordExecutions: true,
	})
	if err != nil {
		return err
	}
	r.observer = newObserver(r.fleet.FleetKey())
	r.load = newLoadGenerator(deployment, r.fleet, r.network, r.config.Rate)
	r.operators = &operators{deployment: deployment, cluster: r.fleet, pickEntry: r.anyEntry}
	for _, instance := range deployment.entries() {
		instance.ExtraSettings = entrySettings + usageSettings
		if err := r.start(instance, false); err != nil {
			return err
		}
	}
	for _, instance := range deployment.agents() {
		instance.ExtraSettings = usageSettings
		if err := r.start(instance, true); err != nil {
			return err
		}
	}
	return errors.Join(r.fleet.PublishList(), r.publishVersions())
}

// start starts an instance and makes the observer poll it. An entry is also added to
// those that address queries are sent to.
func (r *run) start(instance cluster.Instance, agent bool) error {
	startInstance := r.fleet.StartEntry
	if agent {
		startInstance = r.fleet.StartAgent
	}
	if err := startInstance(instance); err != nil {
		return fmt.Errorf("%s: %w", instance.Name, err)
	}
	if agent {
		if err := r.setEngine(instance.Name, r.faultFreeSettings(instance.Name)); err != nil {
			return err
		}
	} else if err := r.load.addEntry(instance.Name); err != nil {
		return err
	}
	r.mu.Lock()
	r.live[instance.Name], r.agents[instance.Name] = instance, agent
	r.all = append(r.all, instance)
	r.mu.Unlock()
	r.observeProcess(instance.Name)
	return nil
}

// observeProcess makes the observer poll the new process of an instance.
func (r *run) observeProcess(name string) {
	r.mu.Lock()
	r.processCounts[name]++
	process := observedProcess{instance: name, zone: r.live[name].AvailabilityZone, process: r.processCounts[name], started: time.Now(), control: r.fleet.Listed(name).ControlAddress}
	r.mu.Unlock()
	r.observer.watch(r.context, process)
}

func (r *run) publishVersions() error {
	random := rand.NewChaCha8([32]byte{byte(r.config.Seed)})
	data := make([]byte, r.config.WeightBytes)
	for number := range versionCount {
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
		r.versions = append(r.versions, target{version: name, manifest: manifest, wholeDigest: weights.DigestOf(data)})
	}
	return nil
}

// nextVersion returns the version after the last released one, in a cycle.
func (r *run) nextVersion() target {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.versionIndex++
	return r.versions[r.versionIndex%len(r.versions)]
}

// anyEntry returns a random entry, if possible one without a fault in progress.
func (r *run) anyEntry() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	names := r.liveEntries()
	rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	for _, name := range names {
		if !r.reserved[name] {
			return name
		}
	}
	return names[0]
}

func (r *run) execute(ctx context.Context) (*Result, error) {
	r.logf("%d processes started", len(r.all))
	if err := r.operators.release(r.versions[0]); err != nil {
		return nil, err
	}
	if err := r.waitSettled(startupTimeout); err != nil {
		return nil, fmt.Errorf("startup, before any fault: %w", err)
	}
	r.logf("all model agents serve version 1; starting load")
	result := &Result{}
	loadContext, cancelLoad := context.WithTimeout(ctx, r.config.Duration)
	defer cancelLoad()
	var tasks sync.WaitGroup
	for _, task := range []func(){
		func() { r.load.run(loadContext, r.config.Seed) },
		func() { r.operators.raceEdits(loadContext) },
		func() { r.releaseMidRun(loadContext) },
		func() { r.inject(loadContext) },
		func() { r.sampleProcesses(loadContext, result) },
	} {
		tasks.Add(1)
		go func() {
			defer tasks.Done()
			task()
		}()
	}
	tasks.Wait()
	r.logf("load and faults have ended")
	result.Settled = "yes"
	if err := r.waitSettled(settleTimeout); err != nil {
		result.Settled = err.Error()
	}
	time.Sleep(usageWait)
	return result, errors.Join(r.collect(result), r.saveServiceLevelReport())
}

// waitSettled waits until all agents of the model pool serve the target version and
// all other agents accept requests.
func (r *run) waitSettled(limit time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	r.operators.mu.Lock()
	version := r.operators.target.version
	r.operators.mu.Unlock()
	var models, services []string
	for name := range r.live {
		switch {
		case !r.agents[name]:
		case strings.HasPrefix(name, r.config.Deployment.ModelName):
			models = append(models, name)
		default:
			services = append(services, name)
		}
	}
	entry := r.anyEntry()
	return errors.Join(r.fleet.WaitVersion(ctx, entry, version, models...), r.fleet.WaitVersion(ctx, entry, "", services...))
}

// releaseMidRun makes the next version the target after a third of the run.
func (r *run) releaseMidRun(ctx context.Context) {
	sleep(ctx, r.config.Duration/3)
	if err := r.operators.release(r.nextVersion()); err != nil {
		r.recordError("release", err)
	}
}

func (r *run) recordError(kind string, err error) {
	r.logf("%s: %v", kind, err)
	r.mu.Lock()
	r.faultErrors = append(r.faultErrors, kind+": "+err.Error())
	r.mu.Unlock()
}

// inject injects random faults, single or in pairs, until ctx ends. Every kind
// is injected once before any is repeated.
func (r *run) inject(ctx context.Context) {
	var injected sync.WaitGroup
	defer injected.Wait()
	order := r.configuredFaults()
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
		if len(r.config.Faults) == 0 && r.random.Float64() < pairProbability {
			count = 2
		}
		r.mu.Unlock()
		for range count {
			next := draw()
			injected.Add(1)
			go func() {
				defer injected.Done()
				if err := next.run(r, ctx); err != nil {
					r.recordError(next.kind, err)
				}
			}()
		}
		sleep(ctx, r.config.FaultInterval)
	}
}

// configuredFaults returns the faults named in Config.Faults, in that order.
func (r *run) configuredFaults() []fault {
	var chosen []fault
	for _, kind := range r.config.Faults {
		for _, candidate := range faults {
			if candidate.kind == kind {
				chosen = append(chosen, candidate)
			}
		}
	}
	return chosen
}

// sampleProcesses records the maxima of total resident memory and process count.
func (r *run) sampleProcesses(ctx context.Context, result *Result) {
	for ctx.Err() == nil {
		bytes, count := r.fleet.TotalRSS()
		result.MaxRSSBytes = max(result.MaxRSSBytes, bytes)
		result.Processes = max(result.Processes, count)
		sleep(ctx, time.Second)
	}
}

func sorted(names []string) []string {
	slices.Sort(names)
	return names
}

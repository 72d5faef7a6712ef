package simulation

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"plantainrelay/internal/replica"
)

const (
	// usualRequestsPerEntry is the rate of requests of scenarios that name none.
	usualRequestsPerEntry = 5
	// checkEvery is the interval between two checks of the engines and of the calls.
	checkEvery = 100 * time.Millisecond
	seedHosts  = 3
)

// world is the state of one run.
type world struct {
	scheduler
	scenario  Scenario
	random    *rand.Rand
	network   *network
	store     *store
	processes []*process
	engines   []*engine
	byHost    map[string]*process
	// seeds are the entries that every process knows at its start.
	seeds   []string
	judge   *judge
	journal []Event
	version int64
	callers int
	// lateOrigins counts the faults in progress in which no chunk arrives.
	lateOrigins int
	// prompts draws the prompts and what engines do at them, so that runs without prompts
	// stay as they are.
	prompts *rand.Rand
}

func newWorld(s Scenario) *world {
	w := &world{scheduler: scheduler{now: epoch}, scenario: s, random: rand.New(rand.NewPCG(s.Seed, 1)), network: newNetwork(), byHost: map[string]*process{}, version: loadedAtStart, prompts: rand.New(rand.NewPCG(s.Seed, 4))}
	w.judge = newJudge(w)
	w.store = newStore(w)
	for number := range s.Entries + s.Agents {
		p := &process{world: w, number: number}
		p.host, p.zone = hostOf(number, s.Entries)
		w.processes, w.byHost[p.host] = append(w.processes, p), p
		if number < min(seedHosts, s.Entries) {
			w.seeds = append(w.seeds, p.host)
		}
		if number >= s.Entries {
			e := &engine{world: w, host: p.host, zone: p.zone, stagedVersion: loadedAtStart, stagedCount: chunks}
			if len(s.FirstTokenMs) > 0 {
				e.leastFirstToken = time.Duration(s.FirstTokenMs[number-s.Entries]) * time.Millisecond
			}
			w.engines = append(w.engines, e)
		}
	}
	return w
}

// begin starts all processes with a fleet at rest, and schedules the day.
func (w *world) begin() {
	w.store.write(tables, replica.Document{Name: "main"})
	w.store.writeRelease(loadedAtStart)
	for _, e := range w.engines {
		e.begin(loadedAtStart)
		e.writeDocument(replica.Document{Name: e.id()}, listedEngine{id: e.id(), start: e.start, loaded: e.loaded})
	}
	for _, p := range w.processes {
		w.after(w.randomBelow(entryHeartbeatInterval), p.begin)
	}
	for _, at := range w.scenario.ReleasesMs {
		w.after(time.Duration(at)*time.Millisecond, w.release)
	}
	for _, f := range w.scenario.Faults {
		w.after(f.begin().Sub(epoch), func() { w.beginFault(f) })
	}
	w.after(warmUp, w.nextRequest)
	w.after(checkEvery, w.check)
}

// release publishes the next version. The answer of the store is immediate.
func (w *world) release() {
	if w.store.down > 0 || w.store.refusing > 0 {
		return
	}
	w.version++
	w.store.writeRelease(w.version)
	w.judge.released(w.version)
	w.record("", "release acknowledged", w.version, 0, "")
}

func (w *world) check() {
	w.judge.check()
	w.after(checkEvery, w.check)
}

// nextRequest sends a request to a random entry.
func (w *world) nextRequest() {
	w.callers++
	r := newRequest(w.callers, w.now)
	if w.scenario.Prompts {
		w.addPrompt(r)
	}
	to := w.processes[w.random.IntN(w.scenario.Entries)]
	w.judge.sent(r)
	w.after(w.delay("", to.zone), func() { to.run(func() { to.entry.accept(r) }) })
	mean := time.Second / time.Duration(w.scenario.requestsPerEntry()*w.scenario.Entries)
	w.after(w.randomBelow(2*mean), w.nextRequest)
}

func (w *world) beginFault(f Fault) {
	w.record("", "fault begins", 0, 0, f.String())
	end := func() {}
	switch p := w.processes[f.Instance]; {
	case f.onStore():
		w.store.change(f, 1)
		end = func() { w.store.change(f, -1) }
	case f.onLinks():
		w.network.change(f, 1)
		end = func() { w.network.change(f, -1) }
	case f.Kind == Kill:
		p.kill()
		end = p.restart
	case f.Kind == Pause:
		end = p.pause()
	case f.Kind == Crash:
		e := w.engines[f.Instance-w.scenario.Entries]
		e.crash(false)
		end = e.restart
	case f.Kind == Silence:
		end = w.engines[f.Instance-w.scenario.Entries].fallSilent()
	case f.Kind == LateOrigin:
		w.lateOrigins++
		end = func() { w.lateOrigins-- }
	case f.Kind == KillEntries:
		for _, p := range w.processes[:w.scenario.Entries] {
			p.kill()
		}
		end = func() { restartAll(w.processes[:w.scenario.Entries]) }
	case f.Kind == PowerLoss:
		w.losePower()
		end = w.restorePower
	}
	w.after(f.end().Sub(w.now), func() {
		w.record("", "fault ends", 0, 0, f.String())
		end()
	})
}

func (w *world) losePower() {
	for _, p := range w.processes {
		p.kill()
	}
	for _, e := range w.engines {
		e.crash(true)
	}
}

func (w *world) restorePower() {
	for _, e := range w.engines {
		e.powerless--
		e.restart()
	}
	restartAll(w.processes)
}

func restartAll(processes []*process) {
	for _, p := range processes {
		p.restart()
	}
}

func (w *world) randomBelow(most time.Duration) time.Duration {
	return time.Duration(w.random.Int64N(int64(most)))
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

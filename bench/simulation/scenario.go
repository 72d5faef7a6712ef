package simulation

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// FaultKind is the kind of a fault.
type FaultKind string

// The kinds of faults.
const (
	// Kill ends a process; it starts again empty after the fault's duration.
	Kill FaultKind = "kill"
	// Pause stops a process for the duration. What arrives meanwhile is processed
	// afterwards, in order.
	Pause FaultKind = "pause"
	// CutOut loses all that an instance sends, CutIn all that is sent to it.
	CutOut FaultKind = "cut-out"
	CutIn  FaultKind = "cut-in"
	// CutPair loses what an instance sends to one other instance.
	CutPair FaultKind = "cut-pair"
	// Loss loses a part of the datagrams from and to an instance and delays its calls.
	Loss FaultKind = "loss"
	// Crash ends a model engine; it starts again without weights.
	Crash FaultKind = "crash"
	// StoreDown leaves all calls of the store unanswered, StoreRefusing rejects all,
	// StoreSlow delays them.
	StoreDown     FaultKind = "store-down"
	StoreRefusing FaultKind = "store-refusing"
	StoreSlow     FaultKind = "store-slow"
	// StoreRejectsSome rejects the calls of every other process, from the fault's
	// instance on.
	StoreRejectsSome FaultKind = "store-rejects-some"
	// KillEntries ends all entries.
	KillEntries FaultKind = "kill-entries"
	// PowerLoss ends all processes and engines.
	PowerLoss FaultKind = "power-loss"
	// Silence stops a model engine for at most maxSilence: it holds what it receives and goes
	// on. LateOrigin lets no chunk of any version arrive. Neither excuses an instance.
	Silence    FaultKind = "silence"
	LateOrigin FaultKind = "late-origin"
)

// Fault is one fault of a scenario.
type Fault struct {
	Kind FaultKind `json:"kind"`
	// AtMs is the begin and ForMs the duration in milliseconds.
	AtMs  int `json:"at_ms"`
	ForMs int `json:"for_ms"`
	// Instance is the number of the instance, entries before agents; Other is the
	// destination of a CutPair.
	Instance int `json:"instance"`
	Other    int `json:"other,omitempty"`
}

func (f Fault) begin() time.Time { return epoch.Add(time.Duration(f.AtMs) * time.Millisecond) }

func (f Fault) end() time.Time { return f.begin().Add(time.Duration(f.ForMs) * time.Millisecond) }

// isDisturbance reports whether the fault may excuse an instance. A sound engine may be silent
// for a while, and weights that do not arrive change no bound.
func (f Fault) isDisturbance() bool { return f.Kind != Silence && f.Kind != LateOrigin }

// onStore reports whether the fault disturbs the store.
func (f Fault) onStore() bool {
	return slices.Contains([]FaultKind{StoreDown, StoreRefusing, StoreSlow, StoreRejectsSome}, f.Kind)
}

// onLinks reports whether the fault disrupts links.
func (f Fault) onLinks() bool {
	return slices.Contains([]FaultKind{CutOut, CutIn, CutPair, Loss}, f.Kind)
}

// String returns the fault in one line.
func (f Fault) String() string {
	text := fmt.Sprintf("%s for %d ms", f.Kind, f.ForMs)
	switch {
	case f.Kind == CutPair:
		return fmt.Sprintf("%s, instance %d to %d", text, f.Instance, f.Other)
	case f.onStore() || f.Kind == PowerLoss || f.Kind == KillEntries || f.Kind == LateOrigin:
		return text
	}
	return fmt.Sprintf("%s, instance %d", text, f.Instance)
}

// Scenario is the input of a run.
type Scenario struct {
	// Seed determines delays, loads and other draws of the run.
	Seed       uint64   `json:"seed"`
	Entries    int      `json:"entries"`
	Agents     int      `json:"agents"`
	DurationMs int      `json:"duration_ms"`
	Mutation   Mutation `json:"mutation,omitempty"`
	// Rules limits the checks, to all if it is empty.
	Rules []string `json:"rules,omitempty"`
	// ReleasesMs holds the times at which releases are published, in milliseconds.
	ReleasesMs []int   `json:"releases_ms"`
	Faults     []Fault `json:"faults"`
	// RequestsPerEntry is the rate of requests, per second and entry; usualRequestsPerEntry if it
	// is 0.
	RequestsPerEntry int `json:"requests_per_entry,omitempty"`
	// FirstTokenMs holds the least time from a request's slot to its first token, by engine; none
	// if it is empty.
	FirstTokenMs []int `json:"first_token_ms,omitempty"`
	// Prompts gives the requests prompts. CrashingParts are parts of them at which engines
	// crash.
	Prompts       bool           `json:"prompts,omitempty"`
	CrashingParts []CrashingPart `json:"crashing_parts,omitempty"`
}

func (s Scenario) requestsPerEntry() int { return cmp.Or(s.RequestsPerEntry, usualRequestsPerEntry) }

// Size is the size of a fleet and the length of its day.
type Size struct {
	Entries, Agents int
	Duration        time.Duration
}

const (
	// warmUp is the time before the first release and the first fault.
	warmUp = 3 * time.Second
	// maxFaults bounds the faults in 60 s.
	maxFaults = 14
	// One in longFaultEvery faults lasts longer than a few seconds.
	longFaultEvery = 5
	zones          = 3
)

// weightedKinds holds each kind of fault as often as it is to be drawn, relative to the
// others. Faults of the store and of links are rarer than those of single processes,
// since they excuse most rules for several seconds.
var weightedKinds = []FaultKind{
	Kill, Kill, Kill, Kill, Kill, Kill, Kill, Pause, Pause, Pause, Pause, Pause, Crash, Crash, Crash,
	CutOut, CutIn, CutPair, Loss, StoreDown, StoreRefusing, StoreSlow, StoreRejectsSome, KillEntries, KillEntries, PowerLoss,
}

// Draw returns the scenario of a seed.
func Draw(seed uint64, size Size) Scenario {
	random := rand.New(rand.NewPCG(seed, 2))
	s := Scenario{Seed: seed, Entries: size.Entries, Agents: size.Agents, DurationMs: int(size.Duration.Milliseconds())}
	s.ReleasesMs = drawReleases(random, s.DurationMs)
	s.Faults = drawFaults(random, s)
	return s
}

// drawReleases draws groups of releases that follow each other within their bound.
func drawReleases(random *rand.Rand, duration int) []int {
	var releases []int
	at := int(warmUp.Milliseconds()) + random.IntN(4000)
	for at < duration-2000 {
		for range 1 + random.IntN(4) {
			releases = append(releases, at)
			at += 1500 + random.IntN(3500)
		}
		at += 3000 + random.IntN(9000)
	}
	return releases
}

// drawFaults draws series of faults that overlap.
func drawFaults(random *rand.Rand, s Scenario) []Fault {
	var faults []Fault
	count := 1 + random.IntN(max(maxFaults*s.DurationMs/60_000, 1))
	instances := s.Entries + s.Agents
	for len(faults) < count {
		series := drawSeries(random, s)
		storeFault := false
		for range 1 + random.IntN(5) {
			f := Fault{Kind: weightedKinds[random.IntN(len(weightedKinds))], AtMs: series + random.IntN(4000), ForMs: 200 + random.IntN(3000)}
			if random.IntN(longFaultEvery) == 0 {
				f.ForMs += random.IntN(8000)
			}
			f.Instance, f.Other = random.IntN(instances), random.IntN(instances)
			if f.Kind == Crash {
				f.Instance = s.Entries + random.IntN(s.Agents)
			}
			if f.Kind != CutPair || f.Other == f.Instance {
				f.Other = 0
			}
			if f.onStore() && storeFault {
				continue
			}
			storeFault = storeFault || f.onStore()
			faults = append(faults, f)
		}
	}
	slices.SortStableFunc(faults, func(a, b Fault) int { return a.AtMs - b.AtMs })
	return faults
}

// drawSeries returns the begin of a series of faults, half of the time near a release.
func drawSeries(random *rand.Rand, s Scenario) int {
	if random.IntN(2) == 0 {
		release := s.ReleasesMs[random.IntN(len(s.ReleasesMs))]
		return max(release-3000+random.IntN(4000), int(warmUp.Milliseconds()))
	}
	return int(warmUp.Milliseconds()) + random.IntN(max(s.DurationMs-8000, 1))
}

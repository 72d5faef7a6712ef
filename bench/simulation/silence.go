package simulation

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// maxSilence is how long a sound engine may be silent, minSilenceGap the least time between
	// two silences of an engine: shorter ones would be a longer silence.
	minSilence    = 400 * time.Millisecond
	maxSilence    = 1600 * time.Millisecond
	minSilenceGap = 3 * time.Second
	// silencesFrom and silencesRange bound the begin of silences after a release.
	silencesFrom  = 4500 * time.Millisecond
	silencesRange = 3500 * time.Millisecond
	// silentShare is the share of engines that fall silent in each of these periods.
	silentShare = 0.4
	// lateOriginShare is the share of releases whose chunks arrive only after the bound, by up to
	// lateOriginRange.
	lateOriginShare = 0.3
	lateOriginRange = 3 * time.Second
	// slowFirstTokenShare is the share of engines with a time to the first token.
	slowFirstTokenShare = 0.4
	// maxRequestsPerEntry nearly fills the slots of all engines.
	maxRequestsPerEntry = 8
)

// DrawWithSilences returns the scenario of a seed in which engines fall silent around the ends of
// bounds, some take a while to the first token, chunks of some releases arrive late, and the slots
// may be nearly all in use.
func DrawWithSilences(seed uint64, size Size) Scenario {
	s := Draw(seed, size)
	random := rand.New(rand.NewPCG(seed, 5))
	below := func(most time.Duration) int { return random.IntN(int(most.Milliseconds())) }
	s.RequestsPerEntry = usualRequestsPerEntry + random.IntN(maxRequestsPerEntry-usualRequestsPerEntry+1)
	for range s.Agents {
		least := 0
		if random.Float64() < slowFirstTokenShare {
			least = below(slowBegin)
		}
		s.FirstTokenMs = append(s.FirstTokenMs, least)
	}
	silentUntil := make([]int, s.Agents)
	for _, release := range s.ReleasesMs {
		if random.Float64() < lateOriginShare {
			s.Faults = append(s.Faults, Fault{Kind: LateOrigin, AtMs: release, ForMs: int(versionBound.Milliseconds()) + below(lateOriginRange)})
		}
		for i := range s.Agents {
			f := Fault{
				Kind: Silence, AtMs: release + int(silencesFrom.Milliseconds()) + below(silencesRange), Instance: s.Entries + i,
				ForMs: int(minSilence.Milliseconds()) + below(maxSilence-minSilence+time.Millisecond),
			}
			if random.Float64() >= silentShare || f.AtMs < silentUntil[i]+int(minSilenceGap.Milliseconds()) {
				continue
			}
			silentUntil[i] = f.AtMs + f.ForMs
			s.Faults = append(s.Faults, f)
		}
	}
	return s
}

// fallSilent stops the engine until resume is called. It holds what it receives meanwhile.
func (e *engine) fallSilent() (resume func()) {
	if !e.up {
		return func() {}
	}
	life := e.life
	if e.silences++; e.silences == 1 {
		e.silentSince = e.world.now
	}
	for _, a := range slices.Concat(e.queued, e.running) {
		a.held = a.held || !a.canceled
	}
	return func() {
		if e.life == life {
			e.resume()
		}
	}
}

func (e *engine) resume() {
	if e.silences--; e.silences > 0 {
		return
	}
	waiting := e.postponed
	e.postponed = nil
	for _, do := range waiting {
		do()
	}
	// What got no slot at once begins only after the engine has noticed that it is canceled.
	for _, a := range e.queued {
		a.held = false
	}
	e.report()
}

// run calls do now, or after the silence.
func (e *engine) run(do func()) {
	if e.silences > 0 {
		e.postponed = append(e.postponed, do)
		return
	}
	do()
}

// after calls do on this start of the engine.
func (e *engine) after(delay time.Duration, do func()) {
	life := e.life
	e.world.after(delay, func() {
		if e.life == life {
			e.run(do)
		}
	})
}

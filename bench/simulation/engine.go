package simulation

import (
	"fmt"
	"strconv"
	"time"

	"plantainrelay/internal/catalog"
	"plantainrelay/internal/replica"
)

const (
	engineSlots = 8
	chunks      = 40
	// minReportLag and reportLagRange bound the time until the store's list has a
	// change of an engine; lapseDelay is when a dead one leaves it.
	minReportLag   = 300 * time.Millisecond
	reportLagRange = 600 * time.Millisecond
	lapseDelay     = 1500 * time.Millisecond
	// minLoad and loadRange bound the time of a load.
	minLoad   = 300 * time.Millisecond
	loadRange = 300 * time.Millisecond
	// Most requests begin within a pass; one in slowBeginEvery waits for prompts of
	// others.
	passTime       = 40 * time.Millisecond
	slowBegin      = 350 * time.Millisecond
	slowBeginEvery = 10
	// minRun and runRange bound the time for which a request runs.
	minRun   = 100 * time.Millisecond
	runRange = 1500 * time.Millisecond
	// loadedAtStart is the version that engines hold when the day begins.
	loadedAtStart = 1
)

var engineSettings = &catalog.Engine{Model: model, Slots: engineSlots, Chunks: chunks}

// listedEngine is the content of an engine's document in the store.
type listedEngine struct {
	id     string
	start  int64
	loaded int64
}

type attemptOutcome int

const (
	attemptBegun attemptOutcome = iota
	attemptDone
	// attemptRefused means that the engine has not run the request and never will.
	attemptRefused
	attemptBroken
)

// attempt is a request at an engine.
type attempt struct {
	request  *request
	entry    *process
	id       string
	expected int64
	sentAt   time.Time
	belief   *versions
	begun    bool
	begunAt  time.Time
	canceled bool
	// held says that the engine was silent while it had the attempt, and will not notice that it
	// is canceled.
	held bool
	// outlived says that the response has gone on long enough to clear the request's parts.
	outlived bool
	// broken says that the response broke off.
	broken bool
	answer func(attemptOutcome)
}

// engine models a model engine beside an agent.
type engine struct {
	world *world
	host  string
	zone  string
	// start is the time of its start in Unix milliseconds. life counts the starts.
	start int64
	life  int
	up    bool
	// downs counts the faults in progress that keep it down, powerless those in which its
	// instance is down, too.
	downs, powerless int
	// silences counts the silences in progress, postponed holds what waits for their end.
	silences    int
	silentSince time.Time
	postponed   []func()
	loaded      int64
	loading     bool
	// stagedVersion and stagedCount describe the staging area.
	stagedVersion int64
	stagedCount   int
	// leastFirstToken is the least time from a request's slot to its first token.
	leastFirstToken time.Duration
	queued          []*attempt
	running         []*attempt
	// listed is the document in the store that was written last.
	listed listedEngine
	// overdueSince is when the engine was first seen with an outdated version although
	// it could load another one; zero if it is not.
	overdueSince time.Time
	// usableSince is from when the engine could have taken requests and has not, arrivedAt
	// when the last one arrived.
	usableSince, arrivedAt time.Time
}

func (e *engine) id() string { return e.host + "-" + strconv.FormatInt(e.start, 10) }

func (e *engine) begin(loaded int64) {
	e.life++
	e.up, e.loaded, e.loading, e.start = true, loaded, false, e.world.now.UnixMilli()
	e.report()
}

// crash ends the engine. The staging area survives unless the power is lost.
func (e *engine) crash(powerLost bool) {
	gone := e.listed
	e.downs++
	e.life++
	e.silences, e.postponed = 0, nil
	e.up, e.loaded, e.loading, e.listed = false, 0, false, listedEngine{}
	if powerLost {
		e.powerless++
	}
	if powerLost && e.world.scenario.Prompts {
		// Nothing resets its connections.
		e.queued, e.running = nil, nil
	}
	e.breakAll(attemptBroken)
	if powerLost {
		e.stagedVersion, e.stagedCount = 0, 0
	}
	if gone.id != "" {
		e.world.after(lapseDelay, func() { e.writeDocument(replica.Document{Name: gone.id, Removed: true}, listedEngine{}) })
	}
}

func (e *engine) restart() {
	if e.downs--; e.downs == 0 {
		e.begin(0)
	}
}

func (e *engine) breakAll(outcome attemptOutcome) {
	for _, a := range e.queued {
		a.answer(attemptRefused)
	}
	for _, a := range e.running {
		a.answer(outcome)
	}
	e.queued, e.running = nil, nil
}

// report writes the engine's state into the list of the store, with a delay.
func (e *engine) report() {
	life := e.life
	e.world.after(minReportLag+e.world.randomBelow(reportLagRange), func() {
		if e.life != life || e.silences > 0 {
			return
		}
		state := listedEngine{id: e.id(), start: e.start, loaded: e.loaded}
		if state != e.listed {
			e.writeDocument(replica.Document{Name: state.id}, state)
		}
	})
}

// writeDocument writes to the list once the store is available.
func (e *engine) writeDocument(document replica.Document, state listedEngine) {
	s := e.world.store
	if s.down > 0 || s.refusing > 0 {
		e.world.after(minReportLag, func() { e.writeDocument(document, state) })
		return
	}
	e.listed = state
	s.backends[s.revision+1] = state
	s.write(backends, document)
}

// order loads the staged version, and reports whether it was accepted. Requests that run
// are cut, those that wait refused.
func (e *engine) order(version int64) bool {
	if !e.up || e.loading || e.stagedVersion != version || e.stagedCount < chunks {
		return false
	}
	e.loading = true
	e.world.record(e.host, "engine loads", version, 0, "")
	e.breakAll(attemptBroken)
	life := e.life
	e.after(minLoad+e.world.randomBelow(loadRange), func() {
		if e.life != life {
			return
		}
		e.loading, e.loaded = false, version
		e.world.record(e.host, "engine serves", version, 0, "")
		e.report()
	})
	return true
}

// arrive takes an attempt.
func (e *engine) arrive(a *attempt) {
	e.arrivedAt = e.world.now
	a.held = e.silences > 0
	e.run(func() { e.take(a) })
}

// take queues or refuses an attempt that has arrived.
func (e *engine) take(a *attempt) {
	if a.request.crashing != "" && e.up {
		e.world.judge.arrived(a)
	}
	switch {
	case !e.up:
	case a.id != e.id(), e.loading, e.loaded == 0, a.expected > 0 && a.expected != e.loaded:
		a.answer(attemptRefused)
	default:
		e.queued = append(e.queued, a)
		e.next()
	}
}

// next lets the first waiting attempt begin if there is a free slot.
func (e *engine) next() {
	if len(e.queued) == 0 || len(e.running) >= engineSlots {
		return
	}
	a := e.queued[0]
	e.queued = e.queued[1:]
	e.running = append(e.running, a)
	delay := e.world.randomBelow(passTime)
	if e.world.random.IntN(slowBeginEvery) == 0 {
		delay = e.world.randomBelow(slowBegin)
	}
	delay = max(delay, e.leastFirstToken)
	life := e.life
	e.after(delay, func() { e.startAttempt(a, life) })
}

// startAttempt begins an attempt after its wait.
func (e *engine) startAttempt(a *attempt, life int) {
	if e.life != life || !e.holds(a) {
		return
	}
	if (a.canceled || a.request.canceled) && !a.held {
		e.finish(a)
		return
	}
	e.world.judge.begun(e, a)
	if a.request.crashing != "" {
		if !a.request.crashesBeforeHeader {
			a.answer(attemptBegun)
		}
		e.crashAt(a)
		return
	}
	answer := a.answer
	if a.canceled {
		answer = func(attemptOutcome) {}
	}
	answer(attemptBegun)
	e.after(minRun+e.world.randomBelow(runRange), func() {
		if e.life == life && e.holds(a) {
			answer(attemptDone)
			e.finish(a)
		}
	})
}

func (e *engine) holds(a *attempt) bool {
	for _, one := range e.running {
		if one == a {
			return true
		}
	}
	return false
}

func (e *engine) finish(a *attempt) {
	for i, one := range e.running {
		if one == a {
			e.running = append(e.running[:i:i], e.running[i+1:]...)
			break
		}
	}
	e.next()
}

// decodeBackends returns the list in a copy.
func (w *world) decodeBackends(held *replica.Replica) []catalog.Backend {
	documents := held.Documents()
	var list []catalog.Backend
	for _, name := range sortedKeys(documents) {
		state, found := w.store.backends[documents[name].Revision.Number]
		if !found {
			panic(fmt.Sprintf("no content for revision %d", documents[name].Revision.Number))
		}
		host := name[:len(name)-len(strconv.FormatInt(state.start, 10))-1]
		at := w.byHost[host]
		list = append(list, catalog.Backend{
			ID: name, Start: state.start, Pool: pool, Address: host + ":80", Host: host, AvailabilityZone: at.zone, Slots: engineSlots,
			LoadedVersions: map[string]int64{model: state.loaded},
		})
	}
	return list
}

func decodeRelease(held *replica.Replica) (version int64, found bool) {
	document, found := held.Documents()[model]
	if !found {
		return 0, false
	}
	version, err := strconv.ParseInt(string(document.Body), 10, 64)
	return version, err == nil
}

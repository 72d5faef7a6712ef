package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/catalog"
	"plantainrelay/internal/placement"
)

// largeFleet models the entries and engines of five availability zones. Entries learn the
// loads that cause others in their zone at once, of the others in turns, which take
// longer than a load is used.
type largeFleet struct {
	c           *qt.C
	random      *rand.Rand
	now         time.Time
	entries     []*placement.Fleet
	hosts       []string
	running     []runningRequest
	trueLoads   map[string]int
	placed      int
	otherZone   int
	beyondSlots int
}

type runningRequest struct {
	entry    int
	choice   placement.Choice
	started  time.Time
	ends     time.Time
	hasBegun bool
}

const (
	zonesOfFleet    = 5
	entriesPerZone  = 12
	enginesPerZone  = 12
	slotsPerEngine  = 8
	modelStep       = 10 * time.Millisecond
	nearMessageStep = 400 * time.Millisecond
	zoneMessageStep = 200 * time.Millisecond
	farMessageStep  = 3 * time.Second
)

func newLargeFleet(c *qt.C) *largeFleet {
	m := &largeFleet{c: c, random: rand.New(rand.NewPCG(5, 6)), now: epoch, trueLoads: map[string]int{}}
	var all []catalog.Backend
	for i := range zonesOfFleet * enginesPerZone {
		engine := backend(i)
		engine.AvailabilityZone, engine.Slots = fmt.Sprintf("z%d", i%zonesOfFleet), slotsPerEngine
		all = append(all, engine)
	}
	for i := range zonesOfFleet * entriesPerZone {
		fleet := placement.New(placement.Config{
			AvailabilityZone: fmt.Sprintf("z%d", i%zonesOfFleet), MaxPeerLoadAge: 1200 * time.Millisecond, FailureBackoff: time.Second, MaxFailureBackoff: time.Second,
			Seed: uint64(i), Engine: func(string) *catalog.Engine { return engine },
		})
		fleet.SetList(all, time.Time{}, m.now)
		m.entries, m.hosts = append(m.entries, fleet), append(m.hosts, fmt.Sprintf("10.1.0.%d", i))
	}
	return m
}

func (m *largeFleet) sameZone(a, b int) bool { return a%zonesOfFleet == b%zonesOfFleet }

// tell passes the loads of one entry on to the others for which matches returns true.
func (m *largeFleet) tell(from int, loads map[string]placement.Load, complete bool, matches func(to int) bool) {
	for to, fleet := range m.entries {
		if to != from && matches(to) {
			fleet.UpdatePeerLoads(m.hosts[from], loads, complete, m.now)
		}
	}
}

func (m *largeFleet) exchangeMessages(step int) {
	every := func(interval time.Duration, offset int) bool { return (step+offset)%int(interval/modelStep) == 0 }
	for from, fleet := range m.entries {
		if every(nearMessageStep, from) {
			m.tell(from, fleet.OwnLoads(), true, func(to int) bool { return m.sameZone(from, to) })
		}
		if every(farMessageStep, 7*from) {
			m.tell(from, fleet.OwnLoads(), true, func(to int) bool { return !m.sameZone(from, to) })
		}
		if every(zoneMessageStep, from) {
			for range 8 {
				m.entries[m.random.IntN(len(m.entries))].UpdateZoneLoads(fmt.Sprintf("z%d", from%zonesOfFleet), fleet.ZoneLoads(m.now), m.now)
			}
		}
	}
}

func (m *largeFleet) place(entry int, duration time.Duration) {
	request := need
	request.MaxWait = 600 * time.Millisecond
	choice, found := m.entries[entry].Choose(request, m.now)
	if !found {
		return
	}
	id := choice.Backend.ID
	m.placed++
	if choice.Backend.AvailabilityZone != fmt.Sprintf("z%d", entry%zonesOfFleet) {
		m.otherZone++
	}
	if m.trueLoads[id]++; m.trueLoads[id] > slotsPerEngine {
		m.beyondSlots++
	}
	m.running = append(m.running, runningRequest{entry: entry, choice: choice, started: m.now, ends: m.now.Add(duration)})
	m.tell(entry, map[string]placement.Load{id: m.entries[entry].OwnLoad(id)}, false, func(to int) bool { return m.sameZone(entry, to) })
}

func (m *largeFleet) finishRequests() {
	var running []runningRequest
	for _, r := range m.running {
		fleet := m.entries[r.entry]
		if !r.hasBegun && m.now.Sub(r.started) >= 150*time.Millisecond {
			fleet.ResponseStarted(r.choice)
			r.hasBegun = true
		}
		if m.now.Before(r.ends) {
			running = append(running, r)
			continue
		}
		fleet.AttemptFinished(r.choice, placement.Succeeded, m.now)
		m.trueLoads[r.choice.Backend.ID]--
	}
	m.running = running
}

// run sends requests to random entries of the given zones for some time.
func (m *largeFleet) run(duration time.Duration, requestsPerSecond int, zones int) {
	const requestTime = time.Second
	arrivals := 0.0
	for step := range int(duration / modelStep) {
		m.now = m.now.Add(modelStep)
		m.finishRequests()
		m.exchangeMessages(step)
		for arrivals += float64(requestsPerSecond) * modelStep.Seconds(); arrivals >= 1; arrivals-- {
			entry := m.random.IntN(entriesPerZone)*zonesOfFleet + m.random.IntN(zones)
			m.place(entry, requestTime/2+time.Duration(m.random.Float64()*float64(requestTime)))
		}
	}
}

// TestLargeFleetUsesItsOwnZone covers steady traffic of seven tenths of what the engines
// can do. Entries do not know what far entries send to far engines: those must not look
// idle. Engines get no more requests than they have slots, and few requests leave the
// zone.
func TestLargeFleetUsesItsOwnZone(t *testing.T) {
	m := newLargeFleet(qt.New(t))
	const capacity = zonesOfFleet * enginesPerZone * slotsPerEngine
	m.run(10*time.Second, capacity*7/10, zonesOfFleet)
	m.c.Check(m.otherZone <= m.placed/10, qt.IsTrue, qt.Commentf("%d of %d requests went to other zones", m.otherZone, m.placed))
	m.c.Check(m.beyondSlots <= m.placed/100, qt.IsTrue, qt.Commentf("%d of %d requests found no slot", m.beyondSlots, m.placed))
}

// TestCrowdedZoneUsesOthers covers traffic that comes to one zone only, twice as much as
// its engines can do: the others take the rest.
func TestCrowdedZoneUsesOthers(t *testing.T) {
	m := newLargeFleet(qt.New(t))
	const capacity = enginesPerZone * slotsPerEngine
	m.run(10*time.Second, 2*capacity, 1)
	m.c.Check(m.placed >= 10*2*capacity*95/100, qt.IsTrue, qt.Commentf("%d of %d requests were placed", m.placed, 10*2*capacity))
	m.c.Check(m.otherZone >= m.placed*4/10, qt.IsTrue, qt.Commentf("%d of %d requests went to other zones", m.otherZone, m.placed))
	m.c.Check(m.beyondSlots <= m.placed/20, qt.IsTrue, qt.Commentf("%d of %d requests found no slot", m.beyondSlots, m.placed))
}

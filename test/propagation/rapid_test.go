package propagation

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"plantainrelay/internal/propagate"
)

const (
	// propagationBound is the time within which an accepted edit must be in force.
	propagationBound = 6 * time.Second
	// eventsPerCase is the number of random events in one test case.
	eventsPerCase = 12
)

// TestMain sets a fixed seed and number of test cases, unless they are given on
// the command line, so that the result is the same on every run.
func TestMain(m *testing.M) {
	flag.Parse()
	onCommandLine := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { onCommandLine[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "7", "rapid.checks": "12", "rapid.nofailfile": "true"} {
		if onCommandLine[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// fleetMachine applies random events to a simulated fleet of the target size.
type fleetMachine struct {
	fleet *Fleet
	// acceptedAt holds the time at which each revision was accepted.
	acceptedAt map[int64]time.Time
	lastSeen   map[*Node]int64
	lastRun    map[*Node]int
}

func (m *fleetMachine) randomNode(t *rapid.T) *Node {
	return m.fleet.Nodes[rapid.IntRange(0, len(m.fleet.Nodes)-1).Draw(t, "node")]
}

func (m *fleetMachine) accept(t *rapid.T) {
	entry := m.fleet.Nodes[rapid.IntRange(0, m.fleet.config.Entries-1).Draw(t, "entry")]
	if m.fleet.StoreDown || entry.Paused() || entry.State() != propagate.Current {
		return
	}
	m.acceptedAt[m.fleet.AcceptEdit(entry)] = m.fleet.Now()
}

func (m *fleetMachine) pause(t *rapid.T) {
	for range rapid.IntRange(1, 20).Draw(t, "count") {
		m.fleet.Pause(m.randomNode(t))
	}
}

func (m *fleetMachine) resume() {
	for _, node := range m.fleet.Nodes {
		m.fleet.Resume(node)
	}
}

func (m *fleetMachine) replace(t *rapid.T) {
	for range rapid.IntRange(1, 20).Draw(t, "count") {
		m.fleet.Replace(m.randomNode(t))
	}
}

func (m *fleetMachine) partition(t *rapid.T) {
	pairs := [][2]string{{"region-0", "region-1"}, {"region-1", "region-2"}, {"region-0", "region-2"}}
	pair := rapid.SampledFrom(pairs).Draw(t, "pair")
	m.fleet.HealPartitions()
	m.fleet.Cut(pair[0], pair[1])
}

// check verifies the invariants of every node: its revision does not decrease
// within a run, and it does not serve a revision older than the bound allows.
func (m *fleetMachine) check(t *rapid.T) {
	minRevision := m.minRevision()
	for _, node := range m.fleet.Nodes {
		if m.lastRun[node] != node.run {
			m.lastRun[node], m.lastSeen[node] = node.run, 0
		}
		if node.Revision < m.lastSeen[node] {
			t.Fatalf("the revision of %s decreased from %d to %d", node.Instance.Name, m.lastSeen[node], node.Revision)
		}
		m.lastSeen[node] = node.Revision
		if node.Serves(m.fleet.Now()) && node.Revision < minRevision {
			t.Fatalf("%s serves revision %d; %d was accepted longer ago than the bound", node.Instance.Name, node.Revision, minRevision)
		}
	}
}

// minRevision returns the highest revision that must be in force by now.
func (m *fleetMachine) minRevision() int64 {
	var highest int64
	for revision, at := range m.acceptedAt {
		if m.fleet.Now().Sub(at) >= propagationBound {
			highest = max(highest, revision)
		}
	}
	return highest
}

func (m *fleetMachine) step(t *rapid.T) {
	switch rapid.IntRange(0, 7).Draw(t, "event") {
	case 0, 1:
		m.accept(t)
	case 2:
		m.pause(t)
	case 3:
		m.resume()
	case 4:
		m.replace(t)
	case 5:
		m.partition(t)
	case 6:
		m.fleet.HealPartitions()
	case 7:
		m.fleet.StoreDown = !m.fleet.StoreDown
	}
	m.check(t)
	m.fleet.Run(time.Duration(rapid.IntRange(1, 4000).Draw(t, "milliseconds")) * time.Millisecond)
}

// TestRevisionsNeverDecrease checks, for random sequences of edits, pauses,
// replacements, network partitions and store outages, that the revision of a
// process never decreases, that a process that has compared its tables with
// those of peers does not serve a revision older than the bound allows, and that
// in the end all processes hold the last accepted edit.
func TestRevisionsNeverDecrease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &fleetMachine{
			fleet:      New(targetConfig(rapid.Uint64().Draw(t, "seed"))),
			acceptedAt: map[int64]time.Time{},
			lastSeen:   map[*Node]int64{},
			lastRun:    map[*Node]int{},
		}
		m.fleet.Run(3 * time.Second)
		for range eventsPerCase {
			m.step(t)
			m.check(t)
		}
		m.fleet.HealPartitions()
		m.resume()
		m.fleet.Run(2 * propagationBound)
		m.check(t)
		if last := m.fleet.storedRevision; !m.fleet.AllHold(last) {
			t.Fatalf("revision %d is not in force everywhere", last)
		}
	})
}

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
	// bound is the time within which an accepted edit must be in force.
	bound = 6 * time.Second
	// machineSteps is the number of random events in one test case.
	machineSteps = 12
)

// TestMain sets a fixed seed and number of test cases, unless they are given on
// the command line, so that the result is the same on every run.
func TestMain(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "7", "rapid.checks": "12", "rapid.nofailfile": "true"} {
		if given[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// machine applies random events to a simulated fleet of the target size.
type machine struct {
	fleet *Fleet
	// accepted holds the time at which each revision was accepted.
	accepted map[int64]time.Time
	seen     map[*Node]int64
	runs     map[*Node]int
}

func (m *machine) node(t *rapid.T) *Node {
	return m.fleet.Nodes[rapid.IntRange(0, len(m.fleet.Nodes)-1).Draw(t, "node")]
}

func (m *machine) accept(t *rapid.T) {
	entry := m.fleet.Nodes[rapid.IntRange(0, m.fleet.config.Entries-1).Draw(t, "entry")]
	if m.fleet.StoreDown || entry.Paused() || entry.State() != propagate.Current {
		return
	}
	m.accepted[m.fleet.Accept(entry)] = m.fleet.Now()
}

func (m *machine) pause(t *rapid.T) {
	for range rapid.IntRange(1, 20).Draw(t, "count") {
		m.fleet.Pause(m.node(t))
	}
}

func (m *machine) resume() {
	for _, node := range m.fleet.Nodes {
		m.fleet.Resume(node)
	}
}

func (m *machine) replace(t *rapid.T) {
	for range rapid.IntRange(1, 20).Draw(t, "count") {
		m.fleet.Replace(m.node(t))
	}
}

func (m *machine) cut(t *rapid.T) {
	pairs := [][2]string{{"region-0", "region-1"}, {"region-1", "region-2"}, {"region-0", "region-2"}}
	pair := rapid.SampledFrom(pairs).Draw(t, "pair")
	m.fleet.Heal()
	m.fleet.Cut(pair[0], pair[1])
}

// check verifies the invariants of every node: its revision does not decrease
// within a run, and it does not serve a revision older than the bound allows.
func (m *machine) check(t *rapid.T) {
	floor := m.floor()
	for _, node := range m.fleet.Nodes {
		if m.runs[node] != node.incarnation {
			m.runs[node], m.seen[node] = node.incarnation, 0
		}
		if node.Revision < m.seen[node] {
			t.Fatalf("the revision of %s decreased from %d to %d", node.Instance.Name, m.seen[node], node.Revision)
		}
		m.seen[node] = node.Revision
		if node.Serves(m.fleet.Now()) && node.Revision < floor {
			t.Fatalf("%s serves revision %d; %d was accepted longer ago than the bound", node.Instance.Name, node.Revision, floor)
		}
	}
}

// floor returns the highest revision that must be in force by now.
func (m *machine) floor() int64 {
	var floor int64
	for revision, at := range m.accepted {
		if m.fleet.Now().Sub(at) >= bound {
			floor = max(floor, revision)
		}
	}
	return floor
}

func (m *machine) step(t *rapid.T) {
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
		m.cut(t)
	case 6:
		m.fleet.Heal()
	case 7:
		m.fleet.StoreDown = !m.fleet.StoreDown
	}
	m.check(t)
	m.fleet.Run(time.Duration(rapid.IntRange(1, 4000).Draw(t, "milliseconds")) * time.Millisecond)
}

// TestFleetNeverGoesBack checks, for random sequences of edits, pauses,
// replacements, network partitions and store outages, that the revision of a
// process never decreases, that a process that has compared its tables with
// those of peers does not serve a revision older than the bound allows, and that
// in the end all processes hold the last accepted edit.
func TestFleetNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{
			fleet:    New(target(rapid.Uint64().Draw(t, "seed"))),
			accepted: map[int64]time.Time{},
			seen:     map[*Node]int64{},
			runs:     map[*Node]int{},
		}
		m.fleet.Run(3 * time.Second)
		for range machineSteps {
			m.step(t)
			m.check(t)
		}
		m.fleet.Heal()
		m.resume()
		m.fleet.Run(2 * bound)
		m.check(t)
		if last := m.fleet.stored; !m.fleet.Everywhere(last) {
			t.Fatalf("revision %d is not in force everywhere", last)
		}
	})
}

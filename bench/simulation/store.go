package simulation

import (
	"slices"
	"strconv"
	"time"

	"plantainrelay/internal/replica"
)

// The collections of the store.
const (
	tables = iota
	backends
	releases
	// blockedParts is read only where requests have prompts.
	blockedParts
	collections
)

const (
	storeLatency = 4 * time.Millisecond
	// maxSlowness is the longest additional delay of a slow store.
	maxSlowness = 900 * time.Millisecond
	// historyLength is the number of changes that the store keeps for watches.
	historyLength = 60
)

// storeResult is the result of a call to the store.
type storeResult int

const (
	storeAnswered storeResult = iota
	storeFailed
	// historyGone means that the changes since the revision are no longer kept.
	historyGone
)

type storeChange struct {
	collection int
	document   replica.Document
}

// waiter is a watch that waits for a change.
type waiter struct {
	collection int
	from       int64
	reply      func()
}

// store models the platform's store.
type store struct {
	world     *world
	revision  int64
	documents [collections]map[string]replica.Document
	history   []storeChange
	// floor is the revision after which the history is complete.
	floor   int64
	waiters []*waiter
	// The counters of the faults in progress. rejecting is the number of the first
	// process that is rejected.
	down, refusing, slow, rejectsSome int
	rejecting                         int
	// backends holds the content of the documents in the list, by revision.
	backends map[int64]listedEngine
}

func newStore(w *world) *store {
	s := &store{world: w, backends: map[int64]listedEngine{}}
	for i := range s.documents {
		s.documents[i] = map[string]replica.Document{}
	}
	return s
}

func (s *store) change(f Fault, step int) {
	switch f.Kind {
	case StoreDown:
		s.down += step
		s.waiters = nil
	case StoreRefusing:
		s.refusing += step
	case StoreSlow:
		s.slow += step
	case StoreRejectsSome:
		s.rejectsSome += step
		s.rejecting = f.Instance
	}
}

// write replaces or removes a document and returns its revision.
func (s *store) write(collection int, document replica.Document) int64 {
	s.revision++
	document.Revision = replica.Revision{Number: s.revision}
	if document.Removed {
		delete(s.documents[collection], document.Name)
	} else {
		s.documents[collection][document.Name] = document
	}
	s.history = append(s.history, storeChange{collection, document})
	if len(s.history) > historyLength {
		s.floor = s.history[0].document.Revision.Number
		s.history = s.history[1:]
	}
	s.world.judge.storeWritten()
	waiting := s.waiters
	s.waiters = nil
	for _, w := range waiting {
		if w.collection == collection {
			w.reply()
		} else {
			s.waiters = append(s.waiters, w)
		}
	}
	return s.revision
}

func (s *store) writeRelease(version int64) {
	s.write(releases, replica.Document{Name: model, Body: []byte(strconv.FormatInt(version, 10))})
}

// call lists a collection, or watches it from a revision if that is above 0. done is
// called unless the call remains without an answer.
func (s *store) call(p *process, collection int, from int64, wait time.Duration, done func(storeResult, replica.Change)) {
	w := s.world
	w.judge.storeCalled(p)
	life := p.life
	answer := func(result storeResult, change replica.Change) {
		w.transfer(storeNumber, p.number, "", p.zone, func() {
			if p.life == life {
				p.run(func() { done(result, change) })
			}
		})
	}
	w.transfer(p.number, storeNumber, p.zone, "", func() {
		if s.down > 0 {
			return
		}
		latency := storeLatency
		if s.slow > 0 {
			latency += w.randomBelow(maxSlowness)
		}
		w.after(latency, func() { s.execute(p, collection, from, wait, answer) })
	})
}

func (s *store) execute(p *process, collection int, from int64, wait time.Duration, answer func(storeResult, replica.Change)) {
	switch {
	case s.down > 0:
	case s.refusing > 0 || s.rejectsSome > 0 && p.number%2 == s.rejecting%2:
		answer(storeFailed, replica.Change{})
	case from > 0 && from < s.floor:
		answer(historyGone, replica.Change{})
	case from == 0:
		answer(storeAnswered, s.list(collection))
	default:
		s.watch(collection, from, wait, answer)
	}
}

func (s *store) watch(collection int, from int64, wait time.Duration, answer func(storeResult, replica.Change)) {
	change := s.since(collection, from)
	if len(change.Documents) > 0 {
		answer(storeAnswered, change)
		return
	}
	one := &waiter{collection: collection, from: from}
	one.reply = func() { answer(storeAnswered, s.since(collection, from)) }
	s.waiters = append(s.waiters, one)
	s.world.after(wait, func() {
		if at := slices.Index(s.waiters, one); at >= 0 {
			s.waiters = slices.Delete(s.waiters, at, at+1)
			one.reply()
		}
	})
}

func (s *store) list(collection int) replica.Change {
	change := replica.Change{Whole: true, AsOf: replica.Revision{Number: s.revision}}
	for _, name := range sortedKeys(s.documents[collection]) {
		change.Documents = append(change.Documents, s.documents[collection][name])
	}
	return change
}

// since returns the latest change of each document after a revision.
func (s *store) since(collection int, from int64) replica.Change {
	change := replica.Change{AsOf: replica.Revision{Number: s.revision}}
	for _, one := range s.history {
		if one.collection == collection && one.document.Revision.Number > from {
			change.Documents = append(change.Documents, one.document)
		}
	}
	return change
}

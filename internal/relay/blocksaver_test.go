package relay

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/blocklist"
	"plantainrelay/platform/standin"
)

// newSavers returns two entries that have read the record of a blocked part, and the record of
// the trial that both of them may enter in the store next.
func newSavers(t *testing.T) (a, b *saverFixture, trial blocklist.Record) {
	t.Helper()
	store := standin.NewStore()
	a, b = newSaverFixture(t, store, 0), newSaverFixture(t, store, 0)
	blocked := blocklist.Record{Part: badPart, Version: 1, Crashes: 4}
	qt.Assert(t, a.save(t.Context(), blocked), qt.IsTrue)
	a.read(t)
	b.read(t)
	trial = blocked
	trial.Version, trial.Trials = 2, 1
	return a, b, trial
}

// TestLiftIsNotOverwrittenByATrial guards against a lifted block that is in force again, because
// another entry decided on a trial before it had read the lift, and saves it after that.
func TestLiftIsNotOverwrittenByATrial(t *testing.T) {
	c := qt.New(t)
	a, b, trial := newSavers(t)
	a.blocker.responseComplete(modelName, []string{crashPart})
	a.saveDue(t.Context(), a.blocker.unsaved(1)[0].LearnedAt)
	b.read(t)
	c.Assert(b.blocker.isBlocked(), qt.IsFalse)
	b.saveTrial(t.Context(), trial)
	c.Assert(a.storedRecords(c)[0].Lifted, qt.IsTrue)
	a.read(t)
	c.Assert(a.blocker.isBlocked(), qt.IsFalse)
	c.Assert(b.blocker.isBlocked(), qt.IsFalse)
}

// TestTrialOfAnotherEntryIsNotGrantedAgain guards against two requests that crash an engine
// each, because an entry saves a trial after it has read that of another one.
func TestTrialOfAnotherEntryIsNotGrantedAgain(t *testing.T) {
	c := qt.New(t)
	a, b, trial := newSavers(t)
	a.saveTrial(t.Context(), trial)
	b.read(t)
	b.saveTrial(t.Context(), trial)
	letThrough := 0
	for _, entry := range []*saverFixture{a, b} {
		if _, isTrial, _ := entry.blocker.admit(modelName, []string{crashPart}); isTrial {
			letThrough++
		}
	}
	c.Assert(letThrough, qt.Equals, 1)
}

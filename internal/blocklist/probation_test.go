package blocklist_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/blocklist"
)

// burst records crashes in quick succession, which count as few independent ones.
func burst(l *blocklist.List, first, count, fromMs, spacingMs int, suspects ...string) {
	for i := range count {
		one := crashAt(first+i, fromMs+i*spacingMs, suspects...)
		l.RecordCrash(one, one.At)
	}
}

// probes returns how many requests with badPart some entries send. One of them gets one every
// 40 ms. Each that is sent crashes an instance, which all of them learn.
func probes(lists []*blocklist.List, from, until time.Time) (sent int) {
	const interval = 40 * time.Millisecond
	random := rand.New(rand.NewPCG(uint64(len(lists)), 1))
	for now := from; now.Before(until); now = now.Add(interval) {
		rank := random.IntN(len(lists))
		l := lists[rank]
		_, blocked := l.Blocked(model, []string{"bad"})
		turn := func(blocklist.Part) (int, int) { return rank, len(lists) }
		if !blocked && l.StartProbe(model, []string{"first", "bad"}, turn, now) {
			sent++
			for _, other := range lists {
				one := crashAt(1000+sent, int(now.Sub(epoch).Milliseconds())+100, "bad")
				other.RecordCrash(one, one.At.Add(200*time.Millisecond))
			}
		}
		for _, l := range lists {
			l.Evaluate(now)
		}
	}
	return sent
}

// TestQuickCrashesLimitFurtherRequests guards against requests with a part that crash all
// instances within a second, and again when these are back, because crashes in quick
// succession count as few (incident 0005). All entries together may send as many as the
// platform's bound allows.
func TestQuickCrashesLimitFurtherRequests(t *testing.T) {
	for _, entries := range []int{1, 3, 8, 24, 150} {
		for _, spacing := range []int{0, 20, 40, 60, 80, 125} {
			c := qt.New(t)
			lists := make([]*blocklist.List, entries)
			for i := range lists {
				lists[i] = newList()
				burst(lists[i], 1, 9, 0, spacing, "first", "bad")
				lists[i].Evaluate(at(2000))
				lists[i].RecordResponse(model, 1, []string{"first"}, at(3000))
			}
			sent := probes(lists, at(3500), at(33_500))
			comment := qt.Commentf("%d entries, %d ms, %d sent", entries, spacing, sent)
			c.Check(sent <= maxSentLate, qt.IsTrue, comment)
			_, blocked := lists[0].Blocked(model, []string{"bad"})
			c.Check(blocked, qt.IsTrue, comment)
		}
	}
}

// TestProbationEndsWithAResponse guards against sound parts that stay limited though a
// response has cleared them, here or at another entry.
func TestProbationEndsWithAResponse(t *testing.T) {
	c := qt.New(t)
	alone := func(blocklist.Part) (int, int) { return 0, 1 }
	l, other := newList(), newList()
	for _, one := range []*blocklist.List{l, other} {
		burst(one, 1, 9, 0, 60, "sound", "bad")
		one.Evaluate(at(2000))
		c.Assert(one.OnProbation(model, []string{"sound"}), qt.HasLen, 1)
	}
	c.Assert(l.StartProbe(model, []string{"sound"}, alone, at(3000)), qt.IsTrue, qt.Commentf("one request is let through"))
	c.Assert(l.StartProbe(model, []string{"sound"}, alone, at(3100)), qt.IsFalse)
	l.RecordResponse(model, 1, []string{"sound"}, at(3400))
	other.RecordCleared(blocklist.Cleared{Part: blocklist.Part{Model: model, ID: "sound"}, Version: 1, At: at(3400)}, at(3500))
	for _, one := range []*blocklist.List{l, other} {
		c.Assert(one.OnProbation(model, []string{"sound"}), qt.HasLen, 0)
		c.Assert(one.OnProbation(model, []string{"bad"}), qt.DeepEquals, []blocklist.Part{badPart})
		for i := range 20 {
			c.Assert(one.StartProbe(model, []string{"sound"}, alone, at(3500+i)), qt.IsTrue)
		}
	}
}

// TestOneOccurrenceLimitsNothing guards against limits after the failure of a rack or of all
// instances, when callers return and nothing has cleared their parts since, and against
// limits because of a few crashes or of weights that may crash at any request.
func TestOneOccurrenceLimitsNothing(t *testing.T) {
	c := qt.New(t)
	l := newList()
	l.RecordResponse(model, 1, []string{"first", "rare"}, at(-5000))
	burst(l, 1, 24, 0, 8, "first", "rare")
	l.Evaluate(at(2000))
	c.Assert(l.OnProbation(model, []string{"first", "rare"}), qt.HasLen, 0)

	l = newList()
	burst(l, 1, 3, 0, 400, "rare")
	l.Evaluate(at(2000))
	c.Assert(l.OnProbation(model, []string{"rare"}), qt.HasLen, 0)

	l = newList()
	for i := range 9 {
		one := crashAt(i, 60*i, "first")
		one.Version = 2
		l.RecordCrash(one, one.At)
	}
	l.Evaluate(at(2000))
	c.Assert(l.OnProbation(model, []string{"first"}), qt.HasLen, 0)
}

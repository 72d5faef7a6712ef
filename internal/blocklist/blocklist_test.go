package blocklist_test

import (
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/blocklist"
)

const (
	model = "m"
	// enough is the number of crashes after which a part is blocked.
	enough = 4
)

var epoch = time.Unix(1_000, 0)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

// crashAt returns the crash of an instance with the given number.
func crashAt(instance, ms int, suspects ...string) blocklist.Crash {
	return blocklist.Crash{Start: blocklist.Start{Instance: "i-" + strconv.Itoa(instance), Born: 1}, Model: model, Version: 1, At: at(ms), Suspects: suspects}
}

// newList returns a list of an entry whose requests are answered.
func newList() *blocklist.List {
	l := blocklist.New()
	for i := range 20 {
		l.RecordResponse(model, 1, []string{fmt.Sprint("answered before ", i)}, at(-i))
	}
	return l
}

// settled is the time after which a crash counts.
const settled = 250 * time.Millisecond

// evaluate returns the IDs of the parts about which the list decides.
func evaluate(l *blocklist.List, now time.Time) (ids []string) {
	for _, decision := range l.Evaluate(now) {
		ids = append(ids, decision.ID)
	}
	return ids
}

// record records crashes as they occur, and returns the IDs of the parts that are blocked.
func record(l *blocklist.List, crashes ...blocklist.Crash) (ids []string) {
	for _, one := range crashes {
		l.RecordCrash(one, one.At)
		ids = append(ids, evaluate(l, one.At.Add(settled))...)
	}
	return ids
}

func isBlocked(l *blocklist.List, id string) bool {
	_, blocked := l.Blocked(model, []string{"other", id})
	return blocked
}

// TestOneCrashCountsOnce guards against a block because of a single crash that several
// entries and attempts report, in any order and more than once.
func TestOneCrashCountsOnce(t *testing.T) {
	c := qt.New(t)
	l := newList()
	for i := range 20 {
		c.Assert(record(l, crashAt(1, 100*i, "first", fmt.Sprint("own-", i%3))), qt.HasLen, 0)
	}
	c.Assert(l.BlockedParts(), qt.Equals, 0)
}

// TestOnlyTheCommonPartIsBlocked guards against blocks of what sound requests share with
// those that crash instances: the first part, and parts that both happen to have.
func TestOnlyTheCommonPartIsBlocked(t *testing.T) {
	c := qt.New(t)
	l := newList()
	for i := range enough {
		// Sound requests with the first part are answered all the time, and one victim is
		// suspected in two of the crashes.
		l.RecordResponse(model, 1, []string{"first"}, at(1000*i-100))
		suspects := []string{"first", "bad", fmt.Sprint("rare-", i)}
		if i < 2 {
			suspects = append(suspects, "victim")
		}
		blocked := record(l, crashAt(i, 1000*i, suspects...))
		if i < enough-1 {
			c.Assert(blocked, qt.HasLen, 0)
		}
		l.RecordResponse(model, 1, []string{"first"}, at(1000*i+400))
	}
	c.Assert(isBlocked(l, "bad"), qt.IsTrue)
	for _, id := range []string{"first", "victim", "rare-0"} {
		c.Assert(isBlocked(l, id), qt.IsFalse, qt.Commentf(id))
	}
	_, elsewhere := l.Blocked("another model", []string{"bad"})
	c.Assert(elsewhere, qt.IsFalse)
}

// TestSimultaneousCrashesAreOneOccurrence guards against blocks after the crash of a rack
// or of all instances, in which popular and rare parts are on many of them.
func TestSimultaneousCrashesAreOneOccurrence(t *testing.T) {
	c := qt.New(t)
	l := newList()
	for round := range enough - 1 {
		for i := range 24 {
			c.Assert(record(l, crashAt(100*round+i, 5000*round+8*i, "first", "hot", "rare")), qt.HasLen, 0)
		}
	}
	// The next failure of all instances comes after some have served requests again.
	l.RecordResponse(model, 1, []string{"first", "hot", "rare"}, at(19_000))
	for i := range 24 {
		c.Assert(record(l, crashAt(900+i, 20_000+8*i, "first", "hot", "rare")), qt.HasLen, 0)
	}
}

// TestResponseClearsEarlierCrashesOnly guards against a part whose requests are answered
// now and then being blocked, also when reports of a crash arrive after the response; and
// against a response that clears crashes after it.
func TestResponseClearsEarlierCrashesOnly(t *testing.T) {
	c := qt.New(t)
	l := newList()
	for i := range 10 {
		crash := crashAt(i, 1000*i, "sound")
		c.Assert(record(l, crash), qt.HasLen, 0)
		l.RecordResponse(model, 1, []string{"sound"}, at(1000*i+500))
		// The report of another entry arrives late.
		l.RecordCrash(crash, at(1000*i+600))
		c.Assert(evaluate(l, at(1000*i+900)), qt.HasLen, 0)
	}
	c.Assert(record(l, crashAt(20, 20_000, "sound"), crashAt(21, 21_000, "sound"), crashAt(22, 22_000, "sound")), qt.HasLen, 0)
	// Another entry has seen a response before the last crashes.
	l.RecordCleared(blocklist.Cleared{Part: blocklist.Part{Model: model, ID: "sound"}, Version: 1, At: at(19_000)}, at(22_500))
	c.Assert(record(l, crashAt(23, 23_000, "sound")), qt.DeepEquals, []string{"sound"})
}

// TestPartsThatCannotBeToldApart guards against a block of what sound requests share, at the
// beginning of prompts, while none of them has been answered yet; and against a wrong
// choice that holds when later crashes tell the parts apart.
func TestPartsThatCannotBeToldApart(t *testing.T) {
	c := qt.New(t)
	l := newList()
	var blocked []string
	for i := range enough {
		c.Assert(blocked, qt.HasLen, 0)
		blocked = record(l, crashAt(i, 300*i, "first", "bad"))
	}
	c.Assert(blocked, qt.DeepEquals, []string{"bad"})
	c.Assert(record(l, crashAt(10, 3000, "first", "bad")), qt.HasLen, 0)

	l = newList()
	for i := range enough {
		blocked = record(l, crashAt(i, 300*i, "bad", "victim"))
	}
	c.Assert(blocked, qt.DeepEquals, []string{"victim"})
	c.Assert(record(l, crashAt(10, 3000, "bad", "rare")), qt.DeepEquals, []string{"bad", "victim"})
	c.Assert(isBlocked(l, "bad"), qt.IsTrue)
	c.Assert(isBlocked(l, "victim"), qt.IsFalse)
}

// TestLastSuspectNeedsLessEvidence guards against one more crash when responses have cleared
// everything else that was suspected.
func TestLastSuspectNeedsLessEvidence(t *testing.T) {
	c := qt.New(t)
	l := newList()
	for i := range enough - 1 {
		first := fmt.Sprint("first-", i)
		c.Assert(record(l, crashAt(i, 1000*i, first, "bad")), qt.HasLen, 0)
		if i < enough-2 {
			l.RecordResponse(model, 1, []string{first}, at(1000*i+600))
		}
	}
	l.RecordResponse(model, 1, []string{"first-2"}, at(3000))
	c.Assert(evaluate(l, at(3000)), qt.DeepEquals, []string{"bad"})
}

// TestCrashingPartBehindManyOthers guards against a part that is never suspected because
// more parts stand before it than are kept of a crash, or because requests with other parts
// were reported first (incident 0005).
func TestCrashingPartBehindManyOthers(t *testing.T) {
	for name, requests := range map[string]int{"one request": 1, "several requests": 3} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			l := newList()
			var shared []string
			for i := range 40 {
				shared = append(shared, fmt.Sprint("shared-", i))
			}
			var blocked []string
			for i := range enough {
				l.RecordResponse(model, 1, shared, at(1000*i-100))
				for request := range requests - 1 {
					l.RecordCrash(crashAt(i, 1000*i, append(slices.Clone(shared), fmt.Sprint("own-", i, "-", request))...), at(1000*i))
				}
				blocked = append(blocked, record(l, crashAt(i, 1000*i, append(slices.Clone(shared), "bad")...))...)
				l.RecordResponse(model, 1, shared, at(1000*i+500))
			}
			c.Assert(isBlocked(l, "bad"), qt.IsTrue, qt.Commentf("%v", blocked))
			c.Assert(l.BlockedParts(), qt.Equals, 1)
		})
	}
}

// TestTwoPartsAtOnce guards against one part hiding the other.
func TestTwoPartsAtOnce(t *testing.T) {
	c := qt.New(t)
	l := newList()
	var blocked []string
	for i := range 2 * enough {
		bad := []string{"bad-1", "bad-2"}[i%2]
		blocked = append(blocked, record(l, crashAt(i, 300*i, bad, "first", fmt.Sprint("rare-", i)))...)
		l.RecordResponse(model, 1, []string{"first"}, at(300*i+200))
	}
	c.Assert(blocked, qt.DeepEquals, []string{"bad-1", "bad-2"})
}

// TestNewerWeights guards against a response with earlier weights that clears a part, and
// against a block that ends with a release. One with later weights clears it.
func TestNewerWeights(t *testing.T) {
	c := qt.New(t)
	l := newList()
	for range 20 {
		l.RecordResponse(model, 2, []string{"first"}, at(0))
	}
	for i := range enough {
		l.RecordResponse(model, 1, []string{"bad"}, at(1000*i+500))
		crash := crashAt(i, 1000*i, "bad")
		crash.Version = 2
		record(l, crash)
	}
	c.Assert(isBlocked(l, "bad"), qt.IsTrue)
	l.RecordResponse(model, 3, []string{"other"}, at(9000))
	c.Assert(isBlocked(l, "bad"), qt.IsTrue)
	c.Assert(record(l, crashAt(11, 10_000, "sound")), qt.HasLen, 0)
	l.RecordResponse(model, 4, []string{"sound"}, at(11_000))
	c.Assert(l.SuspectedParts(), qt.Equals, 0)
}

// TestWeightsThatNeverRespond guards against blocks of parts, which outlive the weights,
// because engines crash at any request with new weights.
func TestWeightsThatNeverRespond(t *testing.T) {
	c := qt.New(t)
	l := newList()
	for i := range 40 {
		crash := crashAt(i, 300*i, "first", fmt.Sprint("part-", i%4))
		crash.Version = 2
		c.Assert(record(l, crash), qt.HasLen, 0)
	}
}

// TestManyInterruptedRequestsNeedMoreEvidence guards against blocks while requests of all
// kinds are on instances that crash.
func TestManyInterruptedRequestsNeedMoreEvidence(t *testing.T) {
	c := qt.New(t)
	l := newList()
	for range 40 {
		l.RecordInterruption(model, 1, []string{"other"}, at(0))
	}
	var blockedAfter int
	for i := 1; i <= 10 && blockedAfter == 0; i++ {
		if len(record(l, crashAt(i, 300*i, "part"))) > 0 {
			blockedAfter = i
		}
	}
	c.Assert(blockedAfter, qt.Equals, 8)
}

// TestSlowCrashesCount guards against evidence that lapses, or needs a burst: the part
// comes once in some minutes.
func TestSlowCrashesCount(t *testing.T) {
	c := qt.New(t)
	l := newList()
	const minute = 60_000
	c.Assert(record(l, crashAt(1, 0, "bad"), crashAt(2, 10*minute, "bad"), crashAt(3, 20*minute, "bad")), qt.HasLen, 0)
	c.Assert(record(l, crashAt(4, 30*minute, "bad")), qt.DeepEquals, []string{"bad"})
}

// TestVictimsOfABlockedPartAreNotSuspected guards against blocks of sound parts that were
// on the same instances as a blocked one, when entries report them apart or late.
func TestVictimsOfABlockedPartAreNotSuspected(t *testing.T) {
	c := qt.New(t)
	l := newList()
	c.Assert(record(l, crashAt(1, 0, "bad"), crashAt(2, 300, "bad"), crashAt(3, 600, "bad"), crashAt(4, 900, "bad")), qt.DeepEquals, []string{"bad"})
	// Requests that were on their way crash further instances.
	for i := 5; i < 10; i++ {
		c.Assert(record(l, crashAt(i, 300*i, "victim", "bad")), qt.HasLen, 0)
		c.Assert(record(l, crashAt(i, 300*i, "victim")), qt.HasLen, 0)
	}
	for i := 1; i < 5; i++ {
		c.Assert(record(l, crashAt(i, 300*i, "victim")), qt.HasLen, 0)
	}
	c.Assert(isBlocked(l, "victim"), qt.IsFalse)
}

// TestDelayedReportsDoNotMultiplyAnOccurrence guards against reports of one failure that
// seem to be of several, because some of them arrive late.
func TestDelayedReportsDoNotMultiplyAnOccurrence(t *testing.T) {
	c := qt.New(t)
	l := newList()
	for i := range enough {
		c.Assert(record(l, crashAt(i, 5*i, "sound")), qt.HasLen, 0)
	}
	for i := range enough {
		delayed := crashAt(i, 1000*i, "sound")
		l.RecordCrash(delayed, at(5000))
		c.Assert(evaluate(l, at(6000)), qt.HasLen, 0)
	}
}

// TestMemoryIsBounded covers callers whose prompts have parts that never repeat, while
// instances crash all the time: the rest of the evidence is still found.
func TestMemoryIsBounded(t *testing.T) {
	c := qt.New(t)
	l := newList()
	for i := range 3000 {
		l.RecordResponse(model, 1, []string{fmt.Sprint("answered-", i)}, at(20*i))
		record(l, crashAt(i, 20*i, fmt.Sprint("a-", i), fmt.Sprint("b-", i)))
	}
	c.Assert(l.SuspectedParts() <= 2*256, qt.IsTrue, qt.Commentf("%d", l.SuspectedParts()))
	c.Assert(l.HasResponse(model, 1, []string{"answered-2999"}), qt.IsTrue)
	c.Assert(l.HasResponse(model, 1, []string{"answered-1"}), qt.IsFalse)
	c.Assert(record(l, crashAt(9001, 60_000, "bad"), crashAt(9002, 60_300, "bad"), crashAt(9003, 60_600, "bad"), crashAt(9005, 60_900, "bad")), qt.DeepEquals, []string{"bad"})
}

// manyParts returns the IDs of parts that no other call returns.
func manyParts(call, count int) []string {
	ids := make([]string, count)
	for i := range ids {
		ids[i] = fmt.Sprintf("%04x%04x", call, i)
	}
	return ids
}

// TestCrashingPartAmongManyUnknownOthers guards against a part that is never blocked because it
// stands in prompts with more parts without a known response than are kept of a crash,
// wherever it stands (review/9).
func TestCrashingPartAmongManyUnknownOthers(t *testing.T) {
	for _, others := range []int{17, 18, 300, 2000} {
		for name, place := range map[string]int{"first": 0, "in the middle": others / 2, "last": others} {
			t.Run(fmt.Sprintf("%d others, %s", others, name), func(t *testing.T) {
				c := qt.New(t)
				l := newList()
				for i := range enough {
					parts := manyParts(i, others)
					record(l, crashAt(i, 1000*i, slices.Insert(slices.Clone(parts), place, "bad")...))
					// A sound request shares the other parts.
					l.RecordResponse(model, 1, parts, at(1000*i+600))
				}
				evaluate(l, at(1000*enough))
				c.Assert(isBlocked(l, "bad"), qt.IsTrue)
				c.Assert(l.BlockedParts(), qt.Equals, 1)
			})
		}
	}
}

// TestSuspicionsAreBounded guards against memory and records in the store that grow with prompts
// of thousands of parts which nothing clears, while instances crash all the time; and against
// evidence that gets lost then: what crashes have in common is kept.
func TestSuspicionsAreBounded(t *testing.T) {
	const maxSuspicions = 1 << 15
	c := qt.New(t)
	l := newList()
	for i := range 40 {
		parts := manyParts(i, 4000)
		if i%8 == 4 {
			parts[0] = "bad"
		}
		l.RecordResponse(model, 1, []string{"sound"}, at(1000*i+600))
		record(l, crashAt(i, 1000*i, parts...))
		c.Assert(l.SuspectedParts() <= maxSuspicions, qt.IsTrue, qt.Commentf("%d", l.SuspectedParts()))
		c.Assert(len(l.Records()) <= 1, qt.IsTrue, qt.Commentf("%d records", len(l.Records())))
	}
	c.Assert(isBlocked(l, "bad"), qt.IsTrue)
	c.Assert(l.BlockedParts(), qt.Equals, 1)
}

// TestManyCrashesKeepWhatIsInCommon guards against a part whose crashes are forgotten because
// hundreds of instances without anything in common crash between them.
func TestManyCrashesKeepWhatIsInCommon(t *testing.T) {
	c := qt.New(t)
	l := newList()
	record(l, crashAt(1, 0, "bad"), crashAt(2, 1000, "bad"))
	for i := range 600 {
		record(l, crashAt(10+i, 2000+i, manyParts(i, 2)...))
	}
	c.Assert(record(l, crashAt(3, 3000, "bad"), crashAt(4, 4000, "bad")), qt.DeepEquals, []string{"bad"})
}

// TestReportsCoverAllSuspects guards against a suspect that no other entry learns of, because
// the suspects of a crash do not fit into one report, and against a report that lacks what
// crashes have in common.
func TestReportsCoverAllSuspects(t *testing.T) {
	c := qt.New(t)
	limits := blocklist.ReportLimits{Crashes: 12, SuspectBytes: 3 << 10, ClearedBytes: 100}
	l := newList()
	l.RecordCrash(crashAt(1, 0, manyParts(1, 1000)...), at(0))
	// A receiver may get only each second report.
	for _, step := range []int{1, 2, 3} {
		told := map[string]bool{}
		for report := range 60 {
			size := 0
			for _, id := range l.RecentCrashes(at(-1), limits)[0].Suspects {
				size += len(id)
				told[id] = told[id] || report%step == 0
			}
			c.Assert(size <= limits.SuspectBytes, qt.IsTrue)
		}
		missing := 0
		for _, isTold := range told {
			if !isTold {
				missing++
			}
		}
		c.Check(missing, qt.Equals, 0, qt.Commentf("each %d", step))
		c.Check(told, qt.HasLen, 1000)
	}
	l.RecordCrash(crashAt(2, 1000, append(manyParts(2, 1000), manyParts(1, 1000)[700:703]...)...), at(1000))
	for _, reported := range l.RecentCrashes(at(-1), limits) {
		c.Check(reported.Suspects[:3], qt.DeepEquals, manyParts(1, 1000)[700:703], qt.Commentf("%v", reported.Start))
	}
	c.Check(l.RecentCrashes(at(999), limits), qt.HasLen, 2, qt.Commentf("what has become common is news"))
}

// TestReportsAreForRecentNews covers what one entry tells others, and that it does not go
// round: what was known is no news.
func TestReportsAreForRecentNews(t *testing.T) {
	c := qt.New(t)
	l := newList()
	record(l, crashAt(1, 0, "a"), crashAt(2, 2000, "b", "c"))
	limits := blocklist.ReportLimits{Crashes: 10, SuspectBytes: 100, ClearedBytes: 100}
	c.Assert(l.RecentCrashes(at(1000), limits), qt.DeepEquals, []blocklist.Crash{crashAt(2, 2000, "b", "c")})
	l.RecordCrash(crashAt(1, 0, "a"), at(2500))
	c.Assert(l.RecentCrashes(at(1000), limits), qt.HasLen, 1)
	c.Assert(l.RecentCrashes(at(0), blocklist.ReportLimits{Crashes: 1, SuspectBytes: 100}), qt.HasLen, 1)

	l.RecordResponse(model, 1, []string{"b", "never suspected"}, at(3000))
	cleared := l.RecentlyCleared(at(2900), limits)
	c.Assert(cleared, qt.DeepEquals, []blocklist.Cleared{{Part: blocklist.Part{Model: model, ID: "b"}, Version: 1, At: at(3000)}})
	other := newList()
	record(other, crashAt(2, 2000, "b"))
	other.RecordCleared(cleared[0], at(3200))
	c.Assert(other.SuspectedParts(), qt.Equals, 0)
	c.Assert(other.RecentlyCleared(at(3100), limits), qt.HasLen, 1)
	other.RecordCleared(cleared[0], at(9000))
	c.Assert(other.RecentlyCleared(at(8000), limits), qt.HasLen, 0)
}

func TestWindows(t *testing.T) {
	c := qt.New(t)
	c.Assert(blocklist.Window(0), qt.Equals, 150*time.Millisecond)
	c.Assert(blocklist.Window(3), qt.Equals, 450*time.Millisecond)
	c.Assert(blocklist.Window(100), qt.Equals, time.Second)
	c.Assert(blocklist.Outlives(400*time.Millisecond, 2, 1), qt.IsTrue)
	c.Assert(blocklist.Outlives(400*time.Millisecond, 1, 1), qt.IsFalse, qt.Commentf("it may hang before it crashes"))
	c.Assert(blocklist.Outlives(400*time.Millisecond, 2, 2), qt.IsFalse)
}

package usage_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/dispatch"
	"plantainrelay/internal/member"
	"plantainrelay/internal/usage"
)

const largeDocumentBytes = 1 << 20

var start = time.Date(2026, 12, 3, 0, 30, 0, 0, time.UTC)

func event(customer, version string, tokens int64) usage.Event {
	return usage.Event{Key: usage.Key{Customer: customer, Pool: "model", Version: version}, Outcome: dispatch.Done, TokensOut: tokens}
}

// store holds encoded documents by name, like the object API.
type store map[string][]byte

func (s store) merge(t *testing.T, report usage.Report, maxBytes int) {
	t.Helper()
	name := usage.DocumentName(report.Source, report.Hour)
	document, err := usage.Decode(s[name])
	qt.Assert(t, err, qt.IsNil)
	document.Merge(report)
	s[name], err = document.Encode(maxBytes)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(s[name]) <= maxBytes, qt.IsTrue)
}

func (s store) total(t *testing.T) (entries, agents usage.Counts) {
	t.Helper()
	summary := usage.NewSummary(usage.HourOf(start)-100, usage.HourOf(start)+1000)
	for _, raw := range s {
		document, err := usage.Decode(raw)
		qt.Assert(t, err, qt.IsNil)
		summary.Add(document)
	}
	for _, line := range summary.Lines() {
		entries, agents = entries.Add(line.Entries), agents.Add(line.Agents)
	}
	return entries, agents
}

// TestNothingIsLostOrCountedTwice guards against lost and duplicate counts. The
// store has long outages, loses responses after writes, and receives closed
// reports again much later.
func TestNothingIsLostOrCountedTwice(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 1))
		s := store{}
		now := start
		var counters []*usage.Counter
		roles := []member.Role{member.RoleEntry, member.RoleAgent, member.RoleAgent}
		for i, role := range roles {
			counters = append(counters, usage.NewCounter(usage.Source{Name: fmt.Sprint("source-", i), Role: role}, usage.Limits{MaxHours: 4, MaxRows: 3}))
		}
		counted := map[member.Role]usage.Counts{}
		var delivered []usage.Report
		down := false
		for range 400 {
			i := random.IntN(len(counters))
			switch random.IntN(6) {
			case 0, 1:
				tokens := random.Int64N(10)
				counters[i].Count(event(fmt.Sprint("customer-", random.IntN(5)), fmt.Sprint("v", random.IntN(3)), tokens), now)
				counted[roles[i]] = counted[roles[i]].Add(usage.Counts{Done: 1, TokensOut: tokens})
			case 2:
				now = now.Add(time.Duration(random.IntN(90)) * time.Minute)
			case 3:
				down = random.IntN(2) == 0
			case 4:
				flush(t, s, counters[i], now, down, random, &delivered)
			case 5:
				// A closed report arrives again, long after it was added to
				// the sums.
				if len(delivered) > 0 && !down {
					s.merge(t, delivered[random.IntN(len(delivered))], largeDocumentBytes)
				}
			}
		}
		for _, counter := range counters {
			counter.Close()
			flush(t, s, counter, now, false, rand.New(rand.NewPCG(0, 0)), &delivered)
			for _, report := range counter.Pending(now) {
				s.merge(t, report, largeDocumentBytes)
				counter.MarkWritten(report)
			}
			qt.Assert(t, counter.Pending(now), qt.HasLen, 0)
		}
		entries, agents := s.total(t)
		qt.Assert(t, entries, qt.Equals, counted[member.RoleEntry], qt.Commentf("seed %d", seed))
		qt.Assert(t, agents, qt.Equals, counted[member.RoleAgent], qt.Commentf("seed %d", seed))
	}
}

// flush writes the pending reports. The responses to some writes are lost.
func flush(t *testing.T, s store, counter *usage.Counter, now time.Time, down bool, random *rand.Rand, delivered *[]usage.Report) {
	t.Helper()
	if down {
		return
	}
	for _, report := range counter.Pending(now) {
		s.merge(t, report, largeDocumentBytes)
		if random.IntN(3) == 0 {
			continue // the response was lost
		}
		counter.MarkWritten(report)
		if report.Closed {
			*delivered = append(*delivered, report)
		}
	}
}

// TestMemoryIsBoundedDuringLongOutage checks that memory stays bounded during a
// store outage of weeks and that no request is lost.
func TestMemoryIsBoundedDuringLongOutage(t *testing.T) {
	c := qt.New(t)
	counter := usage.NewCounter(usage.Source{Name: "a", Role: member.RoleEntry}, usage.Limits{MaxHours: 5, MaxRows: 10})
	const events = 500
	for i := range events {
		counter.Count(event(fmt.Sprint("customer-", i), "v1", 1), start.Add(time.Duration(i)*time.Hour))
	}
	after := start.Add(events * time.Hour)
	pending := counter.Pending(after)
	c.Assert(len(pending) <= 5, qt.IsTrue)
	s := store{}
	for len(pending) > 0 {
		for _, report := range pending {
			c.Assert(len(report.Rows) <= 11, qt.IsTrue)
			s.merge(t, report, largeDocumentBytes)
			counter.MarkWritten(report)
		}
		pending = counter.Pending(after)
	}
	entries, _ := s.total(t)
	c.Assert(entries, qt.Equals, usage.Counts{Done: events, TokensOut: events})
}

// TestDocumentStaysSmall checks that a day with many sources, customers and
// versions fits into the size limit with exact totals. A report that arrives
// again after its hour was merged with others must not be added twice.
func TestDocumentStaysSmall(t *testing.T) {
	c := qt.New(t)
	const maxBytes = 64 << 10
	document := &usage.Document{}
	var last usage.Report
	var wanted int64
	for hour := range 23 {
		for source := range 10 {
			counter := usage.NewCounter(usage.Source{Name: fmt.Sprint("entry-", source), Role: member.RoleEntry}, usage.Limits{MaxHours: 5, MaxRows: 100})
			for customer := range 10 {
				for version := range 10 {
					counter.Count(event(fmt.Sprint("customer-", customer), fmt.Sprintf("v%d-%d", hour, version), 1000), start.Add(time.Duration(hour)*time.Hour))
					wanted++
				}
			}
			counter.Close()
			last = counter.Pending(start)[0]
			document.Merge(last)
			document.Merge(last)
			raw, err := document.Encode(maxBytes)
			c.Assert(err, qt.IsNil)
			document, err = usage.Decode(raw)
			c.Assert(err, qt.IsNil)
		}
	}
	document.Merge(last)
	summary := usage.NewSummary(usage.HourOf(start), usage.HourOf(start)+24)
	summary.Add(document)
	var total usage.Counts
	for _, line := range summary.Lines() {
		total = total.Add(line.Entries)
	}
	c.Assert(total, qt.Equals, usage.Counts{Done: wanted, TokensOut: 1000 * wanted})
	// A range within merged hours is widened to all of them, and From and To
	// show it.
	first := usage.HourOf(start)
	narrow := usage.NewSummary(first+2, first+3)
	narrow.Add(document)
	c.Assert(narrow.Lines(), qt.Not(qt.HasLen), 0)
	c.Assert(narrow.From, qt.Equals, first)
	c.Assert(narrow.To > first+3, qt.IsTrue)
}

func TestSummaryCoversOnlyTheRange(t *testing.T) {
	c := qt.New(t)
	document := &usage.Document{}
	counter := usage.NewCounter(usage.Source{Name: "a", Role: member.RoleAgent}, usage.Limits{MaxHours: 10, MaxRows: 10})
	for hour := range 4 {
		counter.Count(event("small", "v1", int64(hour+1)), start.Add(time.Duration(hour)*time.Hour))
	}
	for _, report := range counter.Pending(start.Add(3 * time.Hour)) {
		document.Merge(report)
	}
	first := usage.HourOf(start)
	summary := usage.NewSummary(first+1, first+4)
	summary.Add(document)
	c.Assert(summary.Lines(), qt.DeepEquals, []usage.Line{{
		Key:    usage.Key{Customer: "small", Pool: "model", Version: "v1"},
		Agents: usage.Counts{Done: 3, TokensOut: 9},
	}})
}

func TestInvalidDocumentIsRejected(t *testing.T) {
	for _, raw := range []string{"x", `{"keys":[],"sums":[{"role":"entry","rows":[[0,1,0,0,0,0]]}]}`, `{"live":[{"rows":[[-1,0,0,0,0,0]]}]}`} {
		_, err := usage.Decode([]byte(raw))
		qt.Check(t, err, qt.IsNotNil, qt.Commentf("%s", raw))
	}
}

func TestTokenCounter(t *testing.T) {
	text := "data: a\n\ndata: b\ndata: c\n\n: comment\n\nevent: done\ndata: {}\n\ndata:d\r\n\r\n"
	for size := 1; size < 9; size++ {
		var tokens usage.TokenCounter
		for rest := text; rest != ""; {
			count := min(size, len(rest))
			_, _ = tokens.Write([]byte(rest[:count]))
			rest = rest[count:]
		}
		qt.Check(t, tokens.Count(), qt.Equals, int64(3))
	}
}

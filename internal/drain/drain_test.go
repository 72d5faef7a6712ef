package drain_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"plantainrelay/internal/drain"
)

var signaledAt = time.Unix(1000, 0)

// TestRequestsThatCannotEndAreRejected guards against requests that a stopping process takes
// and cuts at its end (incident 0009).
func TestRequestsThatCannotEndAreRejected(t *testing.T) {
	c := qt.New(t)
	plan := drain.Plan{SignaledAt: signaledAt, AnswerBy: signaledAt.Add(7 * time.Second)}
	for name, test := range map[string]struct {
		after, limit, longest time.Duration
		repeatable, want      bool
	}{
		"ends in time":                        {after: time.Second, limit: 6 * time.Second, want: true},
		"late, but short":                     {after: 5900 * time.Millisecond, limit: time.Second, want: true},
		"may not be repeated":                 {after: 2 * time.Second, limit: 6 * time.Second, longest: time.Second},
		"repeatable, others took as long":     {after: 2 * time.Second, limit: 6 * time.Second, longest: 6 * time.Second, repeatable: true},
		"repeatable, others ended sooner":     {after: 2 * time.Second, limit: 6 * time.Second, longest: 4 * time.Second, repeatable: true, want: true},
		"repeatable, nothing known of others": {after: 2 * time.Second, limit: 6 * time.Second, repeatable: true},
		"after the last response":             {after: 7 * time.Second, limit: time.Second, longest: time.Millisecond, repeatable: true},
	} {
		now := signaledAt.Add(test.after)
		got := plan.Admits(drain.Request{Deadline: now.Add(test.limit), Repeatable: test.repeatable, Longest: test.longest}, now)
		c.Check(got, qt.Equals, test.want, qt.Commentf("%s", name))
	}
}

// TestAdmittedRequestsEndInTime checks on random requests that what may not be repeated is
// only taken if it ends before the process does, and that no later request is taken where an
// earlier one like it was rejected.
func TestAdmittedRequestsEndInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		milliseconds := func(name string, limit int) time.Duration {
			return time.Duration(rapid.IntRange(0, limit).Draw(t, name)) * time.Millisecond
		}
		plan := drain.Plan{SignaledAt: signaledAt, AnswerBy: signaledAt.Add(milliseconds("answer by", 20_000))}
		now, limit := signaledAt.Add(milliseconds("now", 25_000)), milliseconds("limit", 10_000)
		request := drain.Request{Deadline: now.Add(limit), Repeatable: rapid.Bool().Draw(t, "repeatable"), Longest: milliseconds("longest", 10_000)}
		admitted := plan.Admits(request, now)
		if admitted && !request.Repeatable && request.Deadline.After(plan.AnswerBy) {
			t.Fatal("a request that may not be repeated is taken though it may be cut")
		}
		later := milliseconds("later", 5_000)
		request.Deadline = request.Deadline.Add(later)
		if !admitted && plan.Admits(request, now.Add(later)) {
			t.Fatal("a later request is taken, an earlier one was not")
		}
	})
}

func TestDurationsForgetOldRequests(t *testing.T) {
	c := qt.New(t)
	d := drain.NewDurations(10*time.Second, 2)
	now := signaledAt
	c.Assert(d.Longest("a", now), qt.Equals, time.Duration(0))
	d.Record("a", 3*time.Second, now)
	d.Record("a", time.Second, now)
	d.Record("b", time.Second, now)
	d.Record("beyond the limit", time.Second, now)
	c.Assert(d.Longest("a", now.Add(15*time.Second)), qt.Equals, 3*time.Second)
	c.Assert(d.Longest("beyond the limit", now), qt.Equals, time.Duration(0))
	d.Record("a", time.Second, now.Add(16*time.Second))
	c.Assert(d.Longest("a", now.Add(26*time.Second)), qt.Equals, time.Second)
	c.Assert(d.Longest("a", now.Add(60*time.Second)), qt.Equals, time.Duration(0))
}

package dispatch_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"plantainrelay/internal/dispatch"
)

// TestOutcomeMatchesStartedAttempts runs requests through random attempts: one that
// is not repeatable never starts twice, and not_run is reported only if no attempt
// started.
func TestOutcomeMatchesStartedAttempts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		repeatable := rapid.Bool().Draw(t, "repeatable")
		now := time.UnixMilli(1_700_000_000_000)
		r := dispatch.New(dispatch.Config{
			Repeatable:    repeatable,
			Deadline:      now.Add(20 * time.Second),
			MaxAttempts:   3,
			QueryInterval: 300 * time.Millisecond,
			MaxWait:       5 * time.Second,
			WaitInterval:  50 * time.Millisecond,
			MaxSilence:    10 * time.Second,
		})
		runs, sent, started := 0, 0, false
		action := r.Start(now)
		for range 2000 {
			now = now.Add(action.Wait + time.Duration(rapid.IntRange(0, 500).Draw(t, "ms"))*time.Millisecond)
			switch action.Kind {
			case dispatch.Send:
				sent++
				started = false
				switch rapid.SampledFrom([]string{"no instance", "refused", "lost", "broken"}).Draw(t, "attempt") {
				case "no instance":
					action = r.NoInstance(now)
				case "refused":
					action = r.NotStarted(now)
				case "lost":
					action = r.AttemptInterrupted(false, now)
				case "broken":
					runs++
					started = true
					action = r.AttemptInterrupted(false, now)
				}
			case dispatch.QueryStatus:
				switch {
				case rapid.Bool().Draw(t, "silent"):
					action = r.NoReply(now)
				case !started:
					action = r.StatusReceived(dispatch.AttemptNeverStarted, now)
				default:
					action = r.StatusReceived(rapid.SampledFrom([]dispatch.AttemptStatus{dispatch.AttemptRunning, dispatch.AttemptDone, dispatch.AttemptUnknown}).Draw(t, "status"), now)
				}
			case dispatch.Deliver:
				if !started {
					t.Fatal("the response of an attempt that did not start is delivered")
				}
				return
			case dispatch.Finish:
				if action.Outcome == dispatch.NotRun && runs > 0 {
					t.Fatalf("reported not_run after %d runs", runs)
				}
				return
			}
			if !repeatable && runs > 1 {
				t.Fatalf("ran %d times", runs)
			}
		}
		t.Fatalf("no outcome after 2000 actions, %d attempts", sent)
	})
}

// TestBudgetBoundsRetries checks that retries stay within the budget when every
// attempt of many requests fails.
func TestBudgetBoundsRetries(t *testing.T) {
	const requests = 1000
	budget := dispatch.NewBudget(0.1, 20)
	now := time.UnixMilli(1_700_000_000_000)
	attempts := 0
	for range requests {
		budget.RecordRequest()
		r := dispatch.New(dispatch.Config{Repeatable: true, Deadline: now.Add(time.Minute), MaxAttempts: 3, Retry: budget.TryRetry})
		for action := r.Start(now); action.Kind == dispatch.Send; action = r.AttemptInterrupted(false, now) {
			attempts++
		}
	}
	if attempts > requests+requests/10+20 {
		t.Fatalf("%d attempts for %d requests", attempts, requests)
	}
}

// TestRequestThatEndsInstancesIsNotSentToAThird guards against a request that ends one
// instance after the other, up to MaxAttempts, because each of them looks faulty.
func TestRequestThatEndsInstancesIsNotSentToAThird(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	r := dispatch.New(dispatch.Config{Repeatable: true, Deadline: now.Add(time.Minute), MaxAttempts: 10, MaxInterruptions: 2})
	sent := 0
	action := r.Start(now)
	for action.Kind == dispatch.Send {
		sent++
		if action = r.NotStarted(now); action.Kind == dispatch.Send {
			action = r.AttemptInterrupted(false, now)
		}
	}
	if want := (dispatch.Action{Kind: dispatch.Finish, Outcome: dispatch.Unknown}); sent != 2 || action != want {
		t.Fatalf("%d instances, then %+v; want 2, then %+v", sent, action, want)
	}
}

// TestDeadlineEndsBrokenAndHeldRequests checks that a request gets its outcome at its
// deadline: no status is queried and no instance is waited for beyond it.
func TestDeadlineEndsBrokenAndHeldRequests(t *testing.T) {
	deadline := time.UnixMilli(1_700_000_000_000)
	newRequest := func(repeatable bool) *dispatch.Request {
		r := dispatch.New(dispatch.Config{
			Repeatable: repeatable, Deadline: deadline, MaxAttempts: 3, QueryInterval: time.Second,
			MaxWait: time.Minute, WaitInterval: time.Second, MaxSilence: time.Minute, RetryDelay: time.Second,
		})
		r.Start(deadline.Add(-time.Minute))
		return r
	}
	late := deadline.Add(-time.Millisecond)
	for name, test := range map[string]struct {
		got  dispatch.Action
		want dispatch.Outcome
	}{
		"broken after the deadline":       {newRequest(false).AttemptInterrupted(false, deadline), dispatch.Unknown},
		"key in use after the deadline":   {newRequest(false).KeyInUse(deadline), dispatch.Unknown},
		"held beyond the deadline":        {newRequest(true).NoInstance(late), dispatch.NotRun},
		"retry delay beyond the deadline": {newRequest(true).AttemptInterrupted(false, late), dispatch.Unknown},
	} {
		if want := (dispatch.Action{Kind: dispatch.Finish, Outcome: test.want}); test.got != want {
			t.Errorf("%s: %+v, want %+v", name, test.got, want)
		}
	}
}

// TestMayRepeatFollowsTheBounds checks that MayRepeat foresees what AttemptInterrupted does.
func TestMayRepeatFollowsTheBounds(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, repeatable := range []bool{true, false} {
		for maxAttempts := 1; maxAttempts <= 3; maxAttempts++ {
			for maxInterruptions := range 4 {
				r := dispatch.New(dispatch.Config{Repeatable: repeatable, Deadline: now.Add(time.Second), MaxAttempts: maxAttempts, MaxInterruptions: maxInterruptions})
				for action := r.Start(now); action.Kind == dispatch.Send; {
					if r.MayRepeat(now.Add(time.Second)) {
						t.Error("a request may be repeated after its deadline")
					}
					mayRepeat := r.MayRepeat(now)
					action = r.AttemptInterrupted(false, now)
					if isRepeated := action.Kind == dispatch.Send; isRepeated != mayRepeat {
						t.Errorf("repeated: %t, expected %t (%d attempts, %d interruptions)", isRepeated, mayRepeat, maxAttempts, maxInterruptions)
					}
				}
			}
		}
	}
}

package placement_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/catalog"
	"plantainrelay/internal/placement"
)

// TestLoadOutlivesTheListEntry guards against more requests than an instance has slots, because
// those in progress are forgotten when its list entry, or its pool, is missing for a moment.
func TestLoadOutlivesTheListEntry(t *testing.T) {
	c := qt.New(t)
	fleet := newFleet(1)
	fleet.SetList(backends(1), time.Time{}, epoch)
	var choices []placement.Choice
	for range backend(0).Slots {
		choice, found := fleet.Choose(need, epoch)
		c.Assert(found, qt.IsTrue)
		choices = append(choices, choice)
	}
	fleet.ResponseStarted(choices[0])
	fleet.SetList(nil, time.Time{}, epoch)
	fleet.ResponseStarted(choices[1])
	fleet.AttemptFinished(choices[2], placement.Succeeded, epoch)
	fleet.SetList(backends(1), time.Time{}, epoch)
	const ended, started = 1, 2
	c.Assert(fleet.OwnLoad("i-00"), qt.Equals, placement.Load{
		Count: len(choices) - ended, PendingPromptTokens: (len(choices) - ended - started) * need.PromptTokens,
	})
	_, found := fleet.Choose(need, epoch)
	c.Assert(found, qt.IsTrue)
	_, found = fleet.Choose(need, epoch)
	c.Assert(found, qt.IsFalse)
}

// TestAttemptAtAnEarlierStartSaysNothingOfTheNextOne guards against a restarted instance that
// is avoided, or gets too many requests, because attempts at its earlier start end.
func TestAttemptAtAnEarlierStartSaysNothingOfTheNextOne(t *testing.T) {
	for name, result := range map[string]placement.Result{"failed": placement.Failed, "address reused": placement.AddressReused} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			fleet := newFleet(1)
			fleet.SetList(backends(1), time.Time{}, epoch)
			earlier, _ := fleet.Choose(need, epoch)
			restarted := backend(0)
			restarted.Start, restarted.Address = 2, "10.0.0.0:81"
			fleet.SetList([]catalog.Backend{restarted}, time.Time{}, epoch)
			_, found := fleet.Choose(need, epoch)
			c.Assert(found, qt.IsTrue)
			fleet.AttemptFinished(earlier, result, epoch)
			c.Assert(fleet.OwnLoad("i-00").Count, qt.Equals, 1)
			_, found = fleet.Choose(need, epoch)
			c.Assert(found, qt.IsTrue)
		})
	}
}

package fleet

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"plantainrelay/test/testfleet"
)

const (
	// crashPart begins the IDs of the parts at which instances crash.
	crashPart = "crash-"
	// crashPeriod is how long callers send requests with such a part, crashShare their share
	// of all streams then, and restartTime how long a crashed instance is away.
	crashPeriod = 9 * time.Second
	crashShare  = 0.15
	restartTime = 2500 * time.Millisecond
	// firstParts is the number of parts at the beginning of prompts, rareShare the share of
	// prompts with another part that few others have.
	firstParts = 8
	rareShare  = 0.3
	// crashesUntilBlocked and maxSentLate are the platform's bound: later than the Stable
	// time after so many crashes no more requests with a part may reach instances.
	crashesUntilBlocked = 5
	maxSentLate         = 3
	blockedReason       = "blocked_prompt"
)

// PartCrash is the crash of an instance at a part of a prompt.
type PartCrash struct {
	Part string
	At   time.Time
}

// promptParts returns the parts of a prompt and the one at which instances crash, if any.
func (c *caller) promptParts(number int64) (parts []string, crashing string) {
	parts = []string{fmt.Sprintf("first-%d", c.random.IntN(firstParts))}
	if c.random.Float64() < rareShare {
		parts = append(parts, fmt.Sprintf("rare-%d", number/3))
	}
	c.soak.mu.Lock()
	active := slices.Clone(c.soak.crashingParts)
	c.soak.mu.Unlock()
	if len(active) > 0 && c.random.Float64() < crashShare {
		crashing = active[c.random.IntN(len(active))]
		parts = slices.Insert(parts, c.random.IntN(len(parts)+1), crashing)
	}
	return append(parts, fmt.Sprintf("own-%d", number)), crashing
}

// crashByPrompts makes callers send requests with a new part at which instances crash.
func (r *run) crashByPrompts() error {
	r.mu.Lock()
	r.crashedParts++
	part := fmt.Sprintf("%s%d", crashPart, r.crashedParts)
	r.mu.Unlock()
	return r.sendCrashingPart(part)
}

// crashByKnownPrompts is the same with a part of before, if there is one.
func (r *run) crashByKnownPrompts() error {
	r.mu.Lock()
	if r.crashedParts == 0 {
		r.crashedParts = 1
	}
	part := fmt.Sprintf("%s%d", crashPart, 1+r.random.IntN(r.crashedParts))
	r.mu.Unlock()
	return r.sendCrashingPart(part)
}

func (r *run) sendCrashingPart(part string) error {
	r.mu.Lock()
	r.crashingParts = append(r.crashingParts, part)
	r.mu.Unlock()
	time.Sleep(crashPeriod)
	r.mu.Lock()
	defer r.mu.Unlock()
	index := slices.Index(r.crashingParts, part)
	r.crashingParts = slices.Delete(r.crashingParts, index, index+1)
	return nil
}

// instanceCrashed records the crash of an instance and restarts it later, unless another
// fault does.
func (r *run) instanceCrashed(instance *testfleet.Instance, part string) {
	r.history.update(func() { r.history.Crashes = append(r.history.Crashes, PartCrash{Part: part, At: time.Now()}) })
	end, start := r.history.beginFault("crashed at "+part, instance.Name), instance.StartCount
	r.restarts.Go(func() {
		defer end()
		release := r.awaitReservation(instance.Name, func() bool { return instance.StartCount == start })
		if release == nil {
			return
		}
		defer release()
		time.Sleep(restartTime)
		staged := instance.Backend.Stop()
		r.Deregister(instance, start)
		if err := r.StartBackend(instance, 0, staged); err != nil {
			r.history.addViolation("SOAK", "restart after a crash: "+err.Error())
		}
	})
}

// awaitReservation reserves an instance as soon as no other fault does. It returns nil if
// wanted becomes false before.
func (r *run) awaitReservation(name string, wanted func() bool) (release func()) {
	for wanted() {
		if release = r.reserve(name); release != nil {
			return release
		}
		time.Sleep(stallCheckInterval)
	}
	return nil
}

// checkCrashingParts checks that requests with a part at which instances crash stop reaching
// them, and that no other requests are refused because of it.
func (c *check) checkCrashingParts() {
	crashes := map[string][]time.Time{}
	for _, crash := range c.history.Crashes {
		crashes[crash.Part] = append(crashes[crash.Part], crash.At)
	}
	for part, all := range crashes {
		slices.SortFunc(all, time.Time.Compare)
		if len(all) >= crashesUntilBlocked {
			c.checkPart(part, all[crashesUntilBlocked-1], len(all))
		}
	}
	for _, call := range c.history.Calls {
		if call.CrashingPart == "" && strings.Contains(call.Detail, blockedReason) {
			c.violation("LOST part", "%s was refused because of a blocked part; its parts are %v", call.Attempt, call.Parts)
		}
	}
}

// checkPart checks one part, at which as many instances as the bound allows have crashed
// until the given time.
func (c *check) checkPart(part string, last time.Time, count int) {
	late := 0
	for _, arrival := range c.history.Arrivals {
		call := c.calls[arrival.Attempt]
		if call.CrashingPart != part || arrival.At.Sub(last) <= c.history.Bounds.Stable {
			continue
		}
		if c.noEntryFaultDuring(call.Entry, arrival.At, arrival.At) && !c.startedRecently(call.Entry, arrival.At) && !c.machineStalledDuring(last, arrival.At) {
			late++
		}
	}
	if late > maxSentLate {
		c.violation("BUDGET part", "%d requests with %s reached instances later than %s after it had crashed %d of them; %d in all", late, part, c.history.Bounds.Stable, crashesUntilBlocked, count)
	}
}

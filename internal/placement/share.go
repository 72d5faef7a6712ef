package placement

import (
	"slices"
	"time"

	"plantainrelay/internal/catalog"
	"plantainrelay/internal/member"
)

// settlingPeriod is how long after an instance has become available the entries divide
// its slots: they learn of it at the same time, and not yet what the others send there.
const settlingPeriod = 300 * time.Millisecond

// entryShare is the share of this entry in an instance that has become available.
type entryShare struct {
	// rank is the place of this entry among the entries in the order for the instance.
	rank int
	// revision is the revision of the entries for which the rank was computed.
	revision int
}

// SetEntries sets the entries that are live, self among them.
func (f *Fleet) SetEntries(self string, hosts []string) {
	sorted := slices.Clone(hosts)
	slices.Sort(sorted)
	if self == f.self && slices.Equal(sorted, f.entries) {
		return
	}
	f.self, f.entries = self, sorted
	f.entriesRevision++
}

// updateAvailability records whether an instance accepts requests, after a change that
// was learned now. An engine that has loaded other weights counts as available again.
func (f *Fleet) updateAvailability(inst *instance, now time.Time) {
	available, version := true, int64(0)
	if engine := f.engine(inst.Pool); engine != nil {
		version = inst.version(engine.Model)
		available = version > 0 && !inst.switching()
	}
	if available && (!inst.available || version != inst.servedVersion) {
		inst.availableSince = now
	}
	if version != inst.servedVersion {
		f.held.Forget(heldBy(inst.Backend))
	}
	inst.available, inst.servedVersion = available, version
}

// settlingLimit returns how many requests this entry may have in progress at an instance
// that has just become available. The limits of all entries add up to the number of
// requests that the instance can process at once and, for an engine, start within
// need.MaxWait. It returns false when the instance is not settling.
func (f *Fleet) settlingLimit(inst *instance, need Requirements, now time.Time) (int, bool) {
	if len(f.entries) < 2 || inst.availableSince.IsZero() || now.Sub(inst.availableSince) >= settlingPeriod {
		return 0, false
	}
	if inst.share.revision != f.entriesRevision {
		rank := slices.Index(member.Rank(inst.ID, f.entries), f.self)
		inst.share = entryShare{rank: rank, revision: f.entriesRevision}
	}
	slots := f.limit(inst)
	if engine := f.engine(inst.Pool); engine != nil {
		slots = min(slots, onTimeCapacity(engine, need, inst.slowdown()))
	}
	limit := slots / len(f.entries)
	if inst.share.rank >= 0 && inst.share.rank < slots%len(f.entries) {
		limit++
	}
	return limit, true
}

// onTimeCapacity returns how many prompts like that of a request an idle engine can
// process within the acceptable wait, at least one.
func onTimeCapacity(engine *catalog.Engine, need Requirements, slowdown float64) int {
	if engine.PromptTokensPerSecond <= 0 || need.MaxWait <= 0 || need.PromptTokens <= 0 {
		return engine.Slots
	}
	left := need.MaxWait - estimateFirstEvent(engine, 0, slowdown)
	return max(int(left/prefillTime(engine, need.PromptTokens, slowdown)), 1)
}

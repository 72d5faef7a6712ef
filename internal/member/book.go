package member

import (
	"slices"
	"strings"
	"time"
)

const (
	// maxShrinkPercent is the percentage of a role's instances that one list
	// update may remove. If it removes more, the removed instances are kept for
	// as long as they answer.
	maxShrinkPercent = 30
	// minShrink is the number of removed instances below which an update is
	// always applied.
	minShrink = 3
	// evidenceTime is how long after an answer an instance is assumed to be
	// running.
	evidenceTime = 10 * time.Second
	// goneAfterFailures is the number of consecutive failed calls after which a
	// kept instance is considered gone.
	goneAfterFailures = 2
	// dropWait is how long a kept instance may go without answering before it
	// is considered gone.
	dropWait = 30 * time.Second
	// maxProbes is the maximum number of kept instances to probe at a time.
	maxProbes = 16
)

// Standing is the status of an instance, derived from the platform's list and
// the calls that this process made to and received from the instance.
type Standing string

// The values of Standing.
const (
	// StandingGood means that the instance is listed and its last call did not
	// fail.
	StandingGood Standing = "good"
	// StandingUnreachable means that the instance is listed but does not answer.
	// Nothing new is sent to it; only its removal from the list makes it gone.
	StandingUnreachable Standing = "unreachable"
	// StandingKept means that the instance was removed from the list together
	// with too many others and has not been confirmed gone.
	StandingKept Standing = "kept"
	// StandingUnlisted means that the instance answers or calls this process
	// but is not in the list.
	StandingUnlisted Standing = "unlisted"
)

// evidence is what this process observed in its own calls with an instance.
type evidence struct {
	incarnation uint64
	answered    time.Time
	failures    int
}

// dropped is an instance that is kept although the list no longer contains it.
type dropped struct {
	instance Instance
	since    time.Time
	failures int
}

// Book combines the platform's list with the observations of this process.
type Book struct {
	listed   map[string]Instance
	evidence map[string]evidence
	kept     map[string]dropped
}

// NewBook returns a Book without instances.
func NewBook() *Book {
	return &Book{listed: map[string]Instance{}, evidence: map[string]evidence{}, kept: map[string]dropped{}}
}

// Update applies a new state of the list. Instances that it no longer contains
// are gone, unless it removed more than maxShrinkPercent of a role at once.
func (b *Book) Update(list *List, now time.Time) {
	next := make(map[string]Instance, len(list.Instances))
	for _, instance := range list.Instances {
		next[instance.Name] = instance
		delete(b.kept, instance.Name)
	}
	for _, role := range []Role{RoleEntry, RoleAgent} {
		b.drop(role, next, now)
	}
	b.listed = next
	b.forget(now)
}

// forget deletes expired observations of instances that are neither listed nor
// kept.
func (b *Book) forget(now time.Time) {
	for name, seen := range b.evidence {
		_, listed := b.listed[name]
		_, kept := b.kept[name]
		if !listed && !kept && now.Sub(seen.answered) >= evidenceTime {
			delete(b.evidence, name)
		}
	}
}

// Probes returns the kept instances to probe because they have not answered
// recently.
func (b *Book) Probes(now time.Time) []Instance {
	var probes []Instance
	for name, entry := range b.kept {
		if now.Sub(b.evidence[name].answered) >= evidenceTime {
			probes = append(probes, entry.instance)
		}
	}
	slices.SortFunc(probes, func(a, b Instance) int { return strings.Compare(a.Name, b.Name) })
	return probes[:min(len(probes), maxProbes)]
}

// Unlisted returns the names of the instances that answer but are not listed.
func (b *Book) Unlisted(now time.Time) []string {
	var names []string
	for name := range b.evidence {
		if b.Standing(name, now) == StandingUnlisted {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// drop keeps the instances of a role that are missing in next if there are too
// many of them. Any number of instances in StateLeaving may disappear, because
// their departure was announced.
func (b *Book) drop(role Role, next map[string]Instance, now time.Time) {
	total, missing := 0, []Instance{}
	for name, instance := range b.listed {
		if instance.Role != role || instance.State != StateLive {
			continue
		}
		total++
		if _, found := next[name]; !found {
			missing = append(missing, instance)
		}
	}
	if len(missing) < minShrink || len(missing)*100 <= total*maxShrinkPercent {
		return
	}
	for _, instance := range missing {
		b.kept[instance.Name] = dropped{instance: instance, since: now}
	}
}

// Expire removes the kept instances that were confirmed gone or did not answer
// for dropWait. It reports whether any were removed.
func (b *Book) Expire(now time.Time) bool {
	ended := false
	for name, entry := range b.kept {
		silent := now.Sub(entry.since) >= dropWait && now.Sub(b.evidence[name].answered) >= dropWait
		if entry.failures >= goneAfterFailures || silent {
			delete(b.kept, name)
			delete(b.evidence, name)
			ended = true
		}
	}
	return ended
}

// Answered records that an instance answered with the given incarnation. It
// reports whether the incarnation differs from the previous one, that is, whether
// the instance was replaced by one of the same name.
func (b *Book) Answered(name string, incarnation uint64, now time.Time) (replaced bool) {
	before := b.evidence[name]
	replaced = before.incarnation != 0 && incarnation != 0 && before.incarnation != incarnation
	b.evidence[name] = evidence{incarnation: incarnation, answered: now}
	if entry, found := b.kept[name]; found {
		if replaced {
			// The kept instance is gone. Its replacement is not used until
			// it is listed.
			delete(b.kept, name)
			return true
		}
		entry.failures = 0
		b.kept[name] = entry
	}
	return replaced
}

// Failed records that a call to an instance failed.
func (b *Book) Failed(name string) {
	seen := b.evidence[name]
	seen.failures++
	b.evidence[name] = seen
	if entry, found := b.kept[name]; found {
		entry.failures++
		b.kept[name] = entry
	}
}

// Standing returns the status of an instance, or "" if it is unknown or gone.
func (b *Book) Standing(name string, now time.Time) Standing {
	seen := b.evidence[name]
	if _, found := b.listed[name]; found {
		if seen.failures > 0 {
			return StandingUnreachable
		}
		return StandingGood
	}
	if _, found := b.kept[name]; found {
		return StandingKept
	}
	if !seen.answered.IsZero() && now.Sub(seen.answered) < evidenceTime {
		return StandingUnlisted
	}
	return ""
}

// Kept returns the number of instances that are kept although the list no
// longer contains them.
func (b *Book) Kept() int { return len(b.kept) }

// List returns the listed and the kept instances, sorted by name.
func (b *Book) List() *List {
	list := &List{Instances: make([]Instance, 0, len(b.listed)+len(b.kept))}
	for _, instance := range b.listed {
		list.Instances = append(list.Instances, instance)
	}
	for _, entry := range b.kept {
		list.Instances = append(list.Instances, entry.instance)
	}
	slices.SortFunc(list.Instances, func(a, b Instance) int { return strings.Compare(a.Name, b.Name) })
	return list
}

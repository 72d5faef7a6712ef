package member

import (
	"slices"
	"strings"
	"time"
)

const (
	// maxShrinkPercent is the share of a role's instances that the list may
	// drop at once; beyond it the dropped ones stay as long as they answer.
	maxShrinkPercent = 30
	// minShrink is the number of dropped instances below which the list is
	// always believed.
	minShrink = 3
	// evidenceTime is how long an answer proves that an instance runs.
	evidenceTime = 10 * time.Second
	// goneAfterFailures failed calls in a row confirm that an instance that
	// the list dropped is gone.
	goneAfterFailures = 2
	// dropWait is how long a dropped instance has to show that it runs.
	dropWait = 30 * time.Second
	// maxProbes bounds the probes of dropped instances at once.
	maxProbes = 16
)

// Standing is what the list and the own evidence say together.
type Standing string

// The standings.
const (
	// StandingGood instances are listed and nothing speaks against them.
	StandingGood Standing = "good"
	// StandingUnreachable instances are listed and do not answer. Nothing new
	// is sent to them; only the list may declare them gone.
	StandingUnreachable Standing = "unreachable"
	// StandingKept instances were dropped by the list together with too many
	// others, and have not been confirmed gone.
	StandingKept Standing = "kept"
	// StandingUnlisted instances call this process and are not in the list.
	StandingUnlisted Standing = "unlisted"
)

// evidence is what this process itself saw of an instance.
type evidence struct {
	incarnation uint64
	answered    time.Time
	failures    int
}

// dropped is an instance that the list no longer names.
type dropped struct {
	instance Instance
	since    time.Time
	failures int
}

// Book joins the platform's list with this process's own evidence.
type Book struct {
	listed   map[string]Instance
	evidence map[string]evidence
	kept     map[string]dropped
}

// NewBook returns a book without instances.
func NewBook() *Book {
	return &Book{listed: map[string]Instance{}, evidence: map[string]evidence{}, kept: map[string]dropped{}}
}

// Update takes in the list. Instances that it no longer names are gone, unless
// it dropped more than a set share of a role at once.
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

// forget drops old evidence on instances that are neither listed nor kept.
func (b *Book) forget(now time.Time) {
	for name, seen := range b.evidence {
		_, listed := b.listed[name]
		_, kept := b.kept[name]
		if !listed && !kept && now.Sub(seen.answered) >= evidenceTime {
			delete(b.evidence, name)
		}
	}
}

// Probes returns the kept instances that have to be asked whether they run.
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

// Unlisted returns the names of the instances that answer and are not listed.
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

// drop handles the instances of a role that next no longer names. Leaving
// instances were announced, so their end is believed in any number.
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

// Expire ends the keeping of dropped instances that were confirmed gone or did
// not show in time that they run. It reports whether any ended.
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

// Answered records that an instance answered under an incarnation, and reports
// whether another incarnation has taken its name since.
func (b *Book) Answered(name string, incarnation uint64, now time.Time) (replaced bool) {
	before := b.evidence[name]
	replaced = before.incarnation != 0 && incarnation != 0 && before.incarnation != incarnation
	b.evidence[name] = evidence{incarnation: incarnation, answered: now}
	if entry, found := b.kept[name]; found {
		if replaced {
			// The instance that the list dropped is gone; the new run has to
			// be listed before it counts.
			delete(b.kept, name)
			return true
		}
		entry.failures = 0
		b.kept[name] = entry
	}
	return replaced
}

// Failed records that an instance did not answer or refused the connection.
func (b *Book) Failed(name string) {
	seen := b.evidence[name]
	seen.failures++
	b.evidence[name] = seen
	if entry, found := b.kept[name]; found {
		entry.failures++
		b.kept[name] = entry
	}
}

// Standing returns the standing of an instance, or "" for one that is gone.
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

// Kept returns the number of instances kept against the list.
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

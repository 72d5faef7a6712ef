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
	// minKeptDrop is the number of removed instances below which an update is
	// always applied.
	minKeptDrop = 3
	// observationTTL is how long after an answer an instance is assumed to be
	// running.
	observationTTL = 10 * time.Second
	// maxKeptFailures is the number of consecutive failed calls after which a
	// kept instance is considered gone.
	maxKeptFailures = 2
	// keptTimeout is how long a kept instance may go without answering before it
	// is considered gone.
	keptTimeout = 30 * time.Second
	// maxProbes is the maximum number of kept instances to probe at a time.
	maxProbes = 16
)

// PeerStatus is the status of an instance, derived from the platform's list and
// the calls that this process made to and received from the instance.
type PeerStatus string

// The statuses.
const (
	// StatusGood means that the instance is listed and its last call did not
	// fail.
	StatusGood PeerStatus = "good"
	// StatusUnreachable means that the instance is listed but does not answer.
	// Nothing new is sent to it; only its removal from the list makes it gone.
	StatusUnreachable PeerStatus = "unreachable"
	// StatusKept means that the instance was removed from the list together
	// with too many others and has not been confirmed gone.
	StatusKept PeerStatus = "kept"
	// StatusUnlisted means that the instance answers or calls this process
	// but is not in the list.
	StatusUnlisted PeerStatus = "unlisted"
)

// observation is what this process observed in its own calls with an instance.
type observation struct {
	incarnation uint64
	answered    time.Time
	failures    int
}

// keptInstance is an instance that is kept although the list no longer contains
// it.
type keptInstance struct {
	instance Instance
	since    time.Time
	failures int
}

// Registry combines the platform's list with the observations of this process.
type Registry struct {
	listed       map[string]Instance
	observations map[string]observation
	kept         map[string]keptInstance
}

// NewRegistry returns a Registry without instances.
func NewRegistry() *Registry {
	return &Registry{listed: map[string]Instance{}, observations: map[string]observation{}, kept: map[string]keptInstance{}}
}

// Update applies a new state of the list. Instances that it no longer contains
// are gone, unless it removed more than maxShrinkPercent of a role at once.
func (r *Registry) Update(list *List, now time.Time) {
	next := make(map[string]Instance, len(list.Instances))
	for _, instance := range list.Instances {
		next[instance.Name] = instance
		delete(r.kept, instance.Name)
	}
	for _, role := range []Role{RoleEntry, RoleAgent} {
		r.keepDropped(role, next, now)
	}
	r.listed = next
	r.deleteExpired(now)
}

// deleteExpired deletes the expired observations of instances that are neither
// listed nor kept.
func (r *Registry) deleteExpired(now time.Time) {
	for name, seen := range r.observations {
		_, listed := r.listed[name]
		_, kept := r.kept[name]
		if !listed && !kept && now.Sub(seen.answered) >= observationTTL {
			delete(r.observations, name)
		}
	}
}

// Probes returns the kept instances to probe because they have not answered
// recently.
func (r *Registry) Probes(now time.Time) []Instance {
	var probes []Instance
	for name, entry := range r.kept {
		if now.Sub(r.observations[name].answered) >= observationTTL {
			probes = append(probes, entry.instance)
		}
	}
	slices.SortFunc(probes, func(a, b Instance) int { return strings.Compare(a.Name, b.Name) })
	return probes[:min(len(probes), maxProbes)]
}

// Unlisted returns the names of the instances that answer but are not listed.
func (r *Registry) Unlisted(now time.Time) []string {
	var names []string
	for name := range r.observations {
		if r.Status(name, now) == StatusUnlisted {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// keepDropped keeps the instances of a role that are missing in next if there
// are too many of them. Any number of instances in StateLeaving may disappear,
// because their departure was announced.
func (r *Registry) keepDropped(role Role, next map[string]Instance, now time.Time) {
	total, missing := 0, []Instance{}
	for name, instance := range r.listed {
		if instance.Role != role || instance.State != StateLive {
			continue
		}
		total++
		if _, found := next[name]; !found {
			missing = append(missing, instance)
		}
	}
	if len(missing) < minKeptDrop || len(missing)*100 <= total*maxShrinkPercent {
		return
	}
	for _, instance := range missing {
		r.kept[instance.Name] = keptInstance{instance: instance, since: now}
	}
}

// Expire removes the kept instances that were confirmed gone or did not answer
// for keptTimeout. It reports whether any were removed.
func (r *Registry) Expire(now time.Time) bool {
	removed := false
	for name, entry := range r.kept {
		silent := now.Sub(entry.since) >= keptTimeout && now.Sub(r.observations[name].answered) >= keptTimeout
		if entry.failures >= maxKeptFailures || silent {
			delete(r.kept, name)
			delete(r.observations, name)
			removed = true
		}
	}
	return removed
}

// Answered records that an instance answered with the given incarnation. It
// reports whether the incarnation differs from the previous one, which means
// that the instance was replaced by another run under the same name.
func (r *Registry) Answered(name string, incarnation uint64, now time.Time) (replaced bool) {
	previous := r.observations[name]
	replaced = previous.incarnation != 0 && incarnation != 0 && previous.incarnation != incarnation
	r.observations[name] = observation{incarnation: incarnation, answered: now}
	if entry, found := r.kept[name]; found {
		if replaced {
			// The kept instance is gone. Its replacement is not used until
			// it is listed.
			delete(r.kept, name)
			return true
		}
		entry.failures = 0
		r.kept[name] = entry
	}
	return replaced
}

// Failed records that a call to an instance failed.
func (r *Registry) Failed(name string) {
	seen := r.observations[name]
	seen.failures++
	r.observations[name] = seen
	if entry, found := r.kept[name]; found {
		entry.failures++
		r.kept[name] = entry
	}
}

// Status returns the status of an instance, or "" if it is unknown or gone.
func (r *Registry) Status(name string, now time.Time) PeerStatus {
	seen := r.observations[name]
	if _, found := r.listed[name]; found {
		if seen.failures > 0 {
			return StatusUnreachable
		}
		return StatusGood
	}
	if _, found := r.kept[name]; found {
		return StatusKept
	}
	if !seen.answered.IsZero() && now.Sub(seen.answered) < observationTTL {
		return StatusUnlisted
	}
	return ""
}

// KeptCount returns the number of instances that are kept although the list no
// longer contains them.
func (r *Registry) KeptCount() int { return len(r.kept) }

// List returns the listed and the kept instances, sorted by name.
func (r *Registry) List() *List {
	list := &List{Instances: make([]Instance, 0, len(r.listed)+len(r.kept))}
	for _, instance := range r.listed {
		list.Instances = append(list.Instances, instance)
	}
	for _, entry := range r.kept {
		list.Instances = append(list.Instances, entry.instance)
	}
	slices.SortFunc(list.Instances, func(a, b Instance) int { return strings.Compare(a.Name, b.Name) })
	return list
}

package duty

import (
	"cmp"
	"slices"
	"time"

	"plantainrelay/internal/replica"
)

const (
	// PullTimeout is the timeout of one pull.
	PullTimeout = time.Second
	// PullHedgeDelay is how long a pull may take before another peer is asked as well. It is
	// many times the usual duration of a pull.
	PullHedgeDelay = 300 * time.Millisecond
	// PullRetryDelay is the time between a failed pull and the next one from the same peer.
	PullRetryDelay = 100 * time.Millisecond
	// maxSourceAge is how long after its last report a peer is asked.
	maxSourceAge = 3 * time.Second
)

// PullPlan holds the settings of the pulls of one collection.
type PullPlan struct {
	// MinInterval is the minimum time between two successful pulls.
	MinInterval time.Duration
	// MaxConcurrent bounds the pulls that run at once.
	MaxConcurrent int
}

// Source is a peer that has reported newer documents than those of this process.
type Source struct {
	Host string
	// Near means that the peer is in the availability zone of this process.
	Near bool
	// Content and Versions describe its copy, as in package replica.
	Content  replica.Revision
	Versions int64
}

// Pull is a pull to start.
type Pull struct {
	Host    string
	Started time.Time
	// NewConnection means that an existing connection to the peer must not be used: others
	// have gone silent.
	NewConnection bool
}

// Pulls decides from which peers a process pulls the changes of one collection. A pull that
// hangs does not delay the next one by more than PullHedgeDelay, as long as MaxConcurrent
// is at least PullTimeout/PullHedgeDelay. It is not safe for concurrent use.
type Pulls struct {
	plan       PullPlan
	sources    map[string]*knownSource
	inProgress []Pull
	// lastSuccess is the start of the last successful pull; zero before the first one.
	lastSuccess time.Time
	// failing means that a pull has failed since the last successful one.
	failing bool
}

// knownSource is a source and what is known of its last pull.
type knownSource struct {
	Source
	reportedAt time.Time
	// retryAt is the earliest time of the next pull.
	retryAt time.Time
	// failed means that the last pull got no answer.
	failed bool
	// running is the number of pulls in progress.
	running int
}

// NewPulls returns the decisions of a process without sources.
func NewPulls(plan PullPlan) *Pulls {
	return &Pulls{plan: plan, sources: map[string]*knownSource{}}
}

// Reported records that a peer has newer documents.
func (p *Pulls) Reported(source Source, now time.Time) {
	known := p.sources[source.Host]
	if known == nil {
		known = &knownSource{}
		p.sources[source.Host] = known
	}
	known.Source, known.reportedAt = source, now
}

// Updated records the state of the copy of this process. Sources that have nothing newer
// are not asked any more.
func (p *Pulls) Updated(content replica.Revision, versions int64) {
	for host, source := range p.sources {
		if !source.Content.After(content) && source.Versions <= versions {
			delete(p.sources, host)
		}
	}
}

// AllowNow ends the minimum interval since the last successful pull.
func (p *Pulls) AllowNow() { p.lastSuccess = time.Time{} }

// InProgress returns the number of pulls in progress.
func (p *Pulls) InProgress() int { return len(p.inProgress) }

// Next returns the pull to start now, if any, and registers it. It has to be called after each
// report, PullHedgeDelay after each start of a pull, and right after and PullRetryDelay after
// the end of one.
func (p *Pulls) Next(now time.Time) (Pull, bool) {
	if !p.lastSuccess.IsZero() && now.Sub(p.lastSuccess) < p.plan.MinInterval || len(p.inProgress) >= p.plan.MaxConcurrent {
		return Pull{}, false
	}
	for _, running := range p.inProgress {
		if now.Sub(running.Started) < PullHedgeDelay {
			return Pull{}, false
		}
	}
	source := p.best(now)
	if source == nil {
		return Pull{}, false
	}
	pull := Pull{Host: source.Host, Started: now, NewConnection: p.failing || len(p.inProgress) > 0}
	p.inProgress = append(p.inProgress, pull)
	return pull, true
}

// best returns the source to ask: one that is not being asked and has not failed, in the own
// availability zone if possible, and of these the one that reported last, since it has been
// asked by the fewest.
func (p *Pulls) best(now time.Time) *knownSource {
	var best *knownSource
	for host, source := range p.sources {
		if now.Sub(source.reportedAt) > maxSourceAge {
			delete(p.sources, host)
			continue
		}
		if now.Before(source.retryAt) {
			continue
		}
		source.running = p.running(host)
		if best == nil || source.compare(best) < 0 {
			best = source
		}
	}
	return best
}

// running returns the number of pulls from host in progress.
func (p *Pulls) running(host string) int {
	count := 0
	for _, running := range p.inProgress {
		if running.Host == host {
			count++
		}
	}
	return count
}

// compare returns a negative number if s is to be asked before other.
func (s *knownSource) compare(other *knownSource) int {
	return cmp.Or(
		cmp.Compare(s.running, other.running), cmp.Compare(s.distance(), other.distance()),
		other.reportedAt.Compare(s.reportedAt), cmp.Compare(s.Host, other.Host),
	)
}

// distance ranks sources of the own availability zone first, and those that have failed last.
func (s *knownSource) distance() int {
	switch {
	case s.failed:
		return 2
	case s.Near:
		return 0
	}
	return 1
}

// Ended records the end of a pull.
func (p *Pulls) Ended(pull Pull, now time.Time, succeeded bool) {
	p.inProgress = slices.DeleteFunc(p.inProgress, func(running Pull) bool { return running == pull })
	p.failing = !succeeded
	if succeeded {
		p.lastSuccess = pull.Started
	}
	if source := p.sources[pull.Host]; source != nil {
		source.failed, source.retryAt = !succeeded, now.Add(PullRetryDelay)
	}
}

package simulation

import (
	"fmt"
	"slices"
	"time"
)

// The checks, each with the line of docs/platform-rules.md that it stands for.
const (
	// RuleVersion is VERSION: after the bound only instances with the version.
	RuleVersion = "VERSION"
	// RuleRecover is RECOVER: requests are served after the last fault.
	RuleRecover = "RECOVER"
	// RuleOutdated belongs to VERSION, too: an engine that may start no requests loads
	// the newer version that it has staged (TestDeadlineOverridesSwitchLimit).
	RuleOutdated = "outdated engine"
	// RuleUnused stands for no rule, but for the price of refusals while engines have
	// free slots: an engine that may start requests gets some.
	RuleUnused = "unused engine"
	// RuleBudget is BUDGET: requests with a part that has crashed five instances reach no
	// further ones.
	RuleBudget = "BUDGET"
	// RuleLost is LOST: requests that only share other parts with them go on.
	RuleLost = "LOST"
	// RuleCalls stands for the price of calls to the store, with the figures of
	// docs/decisions/0050-platform.md.
	RuleCalls = "store calls"
)

const (
	// recoverTime is the time after the last fault from which requests are served.
	recoverTime = 12 * time.Second
	// minServedShare is the share of requests that are served then.
	minServedShare = 0.25
	minJudged      = 20
	// maxOverdue is how long an engine may stay at a version that may no longer start
	// requests although a newer one is staged completely.
	maxOverdue = time.Second
	// maxUnused is how long an engine gets no request although nothing is in its way.
	// It covers the time in which it drains, and the backoff of entries after a failure.
	maxUnused = 5 * time.Second
	// servingMargin is how long before its end a bound may already be enforced.
	servingMargin = 2 * time.Second
	// callWindow is the window in which calls are counted, by whole seconds.
	callWindow = 10
	// maxCallsPerProcess bounds the calls of a process in a window.
	maxCallsPerProcess = 120
	// crashesUntilBlocked and maxSentLate are the platform's bound: later than stablePeriod
	// after so many crashes no more requests with a part may reach engines.
	crashesUntilBlocked = 5
	maxSentLate         = 3
	// settleSeconds is the time after a fault until the calls are those at rest.
	settleSeconds = 5
	// callMargin is the factor on the calls at rest.
	callMargin = 1.2
)

// Finding is a broken rule.
type Finding struct {
	Rule string
	Text string
	At   time.Duration
	// Since is from when events explain the finding, Hosts whose.
	Since time.Duration
	Hosts []string
	// Beliefs describes what the processes believed.
	Beliefs string
}

// acknowledgement is that of a release.
type acknowledgement struct {
	version int64
	at      time.Time
	// boundEnds is when the bound has passed.
	boundEnds time.Time
}

type interval struct{ begin, end time.Time }

// judge checks the rules from what engines, callers and the store see. It takes the
// times of the faults from the scenario.
type judge struct {
	world    *world
	acked    []acknowledgement
	findings []Finding
	// unstable holds the times at which no bound of a version counts: the core is not
	// stable, or links are disrupted.
	unstable []interval
	// calls and writes count by second, callsBy by process and second.
	calls, writes []int
	callsBy       [][]int
	// recoverFrom is the time from which requests count as after the last fault.
	recoverFrom   time.Time
	owed, served  int
	sentAll       int
	servedAll     int
	refusedAll    int
	callsAll      int
	checkedSecond int
	// crashes holds the times of the crashes at each part, sentLate the number of requests
	// with it that were sent too late.
	crashes  map[string][]time.Time
	sentLate map[string]int
}

func newJudge(w *world) *judge {
	s := w.scenario
	j := &judge{world: w, recoverFrom: epoch.Add(recoverTime), callsBy: make([][]int, s.Entries+s.Agents), crashes: map[string][]time.Time{}, sentLate: map[string]int{}}
	seconds := s.DurationMs/1000 + 2
	j.calls, j.writes = make([]int, seconds), make([]int, seconds)
	for i := range j.callsBy {
		j.callsBy[i] = make([]int, seconds)
	}
	for _, f := range s.Faults {
		if after := f.end().Add(recoverTime); f.Kind != Silence && after.After(j.recoverFrom) {
			j.recoverFrom = after
		}
		switch {
		case f.onStore():
			j.unstable = append(j.unstable, interval{f.begin(), f.end().Add(stablePeriod)})
		case f.onLinks():
			j.unstable = append(j.unstable, interval{f.begin(), f.end()})
		}
	}
	slices.SortFunc(j.unstable, func(a, b interval) int { return a.begin.Compare(b.begin) })
	return j
}

func (j *judge) second() int { return int(j.world.now.Sub(epoch) / time.Second) }

func (j *judge) storeCalled(p *process) {
	j.calls[j.second()]++
	j.callsBy[p.number][j.second()]++
	j.callsAll++
}

func (j *judge) storeWritten() { j.writes[j.second()]++ }

func (j *judge) released(version int64) {
	at := j.world.now
	j.acked = append(j.acked, acknowledgement{version: version, at: at, boundEnds: j.boundEnds(at)})
}

// boundEnds returns the end of the first stretch of the length of the bound, after an
// acknowledgement, in which the core was stable and no link disrupted.
func (j *judge) boundEnds(acked time.Time) time.Time {
	from := acked
	for _, one := range j.unstable {
		if one.end.After(from) && one.begin.Before(from.Add(versionBound)) {
			from = one.end
		}
	}
	return from.Add(versionBound)
}

// required returns the newest release whose bound has passed.
func (j *judge) required() (acknowledgement, bool) {
	for _, one := range slices.Backward(j.acked) {
		if !j.world.now.Before(one.boundEnds) {
			return one, true
		}
	}
	return acknowledgement{}, false
}

// mayServe reports whether a version may start requests for some time to come, even if
// nothing stretches the bounds.
func (j *judge) mayServe(version int64) bool {
	for _, one := range j.acked {
		if one.version > version && j.world.now.Sub(one.at) > versionBound-servingMargin {
			return false
		}
	}
	return version > 0
}

// inTouch reports whether an instance is in touch at the given time: neither it nor the
// core was disturbed in the stable period before.
func (j *judge) inTouch(number int, at time.Time) bool {
	if at.Before(epoch.Add(stablePeriod)) {
		return false
	}
	for _, f := range j.world.scenario.Faults {
		own := f.Kind == PowerLoss || f.Kind == KillEntries && number < j.world.scenario.Entries || f.Kind != Crash && f.Kind != KillEntries && f.Instance == number || f.Kind == CutPair && f.Other == number
		if f.isDisturbance() && (own || f.onStore()) && !at.Before(f.begin()) && at.Before(f.end().Add(stablePeriod)) {
			return false
		}
	}
	return true
}

// begun checks the version on which an engine begins a request.
func (j *judge) begun(e *engine, a *attempt) {
	w := j.world
	w.record(e.host, "request begins", e.loaded, 0, a.request.String())
	if !a.canceled {
		j.servedAll++
	}
	if !a.canceled && !a.request.sentAt.Before(j.recoverFrom) {
		j.served++
	}
	newest, found := j.required()
	if !found || e.loaded >= newest.version || !j.inTouch(a.entry.number, a.sentAt) {
		return
	}
	j.report(Finding{
		Rule: RuleVersion, Since: newest.at.Sub(epoch) - time.Second, Hosts: []string{a.entry.host, e.host},
		Text: fmt.Sprintf("%s begins on version %d, %d ms after version %d was acknowledged and %d ms after its bound; sent on by %s %d ms ago",
			a.request, e.loaded, w.now.Sub(newest.at).Milliseconds(), newest.version, w.now.Sub(newest.boundEnds).Milliseconds(), a.entry.host, w.now.Sub(a.sentAt).Milliseconds()),
		Beliefs: a.entry.host + ": " + a.belief.describe(w.now),
	})
}

func (j *judge) sent(r *request) {
	j.sentAll++
	if !r.sentAt.Before(j.recoverFrom) && r.crashing == "" {
		j.owed++
	}
}

func (j *judge) refused(*request) { j.refusedAll++ }

func (j *judge) crashed(part string) { j.crashes[part] = append(j.crashes[part], j.world.now) }

// arrived checks a request with a part that crashes engines, at one of them.
func (j *judge) arrived(a *attempt) {
	part := a.request.crashing
	crashes := j.crashes[part]
	if len(crashes) < crashesUntilBlocked || a.sentAt.Sub(crashes[crashesUntilBlocked-1]) <= stablePeriod || !j.inTouch(a.entry.number, a.sentAt) {
		return
	}
	if j.sentLate[part]++; j.sentLate[part] <= maxSentLate {
		return
	}
	j.report(Finding{
		Rule: RuleBudget, Since: crashes[0].Sub(epoch) - time.Second, Hosts: []string{a.entry.host},
		Text:    fmt.Sprintf("%s with part %s reaches an engine, sent by %s %d ms after %d engines had crashed at it; it is the %dth", a.request, part, a.entry.host, a.sentAt.Sub(crashes[crashesUntilBlocked-1]).Milliseconds(), crashesUntilBlocked, j.sentLate[part]),
		Beliefs: fmt.Sprintf("%s: blocked parts %v", a.entry.host, a.entry.blockRecords()),
	})
}

// blocked checks a request that is refused because one of its parts is blocked.
func (j *judge) blocked(e *entry, r *request) {
	j.refusedAll++
	if r.crashing != "" {
		return
	}
	j.report(Finding{
		Rule: RuleLost, Since: max(j.world.now.Sub(epoch)-2*recoverTime, 0), Hosts: []string{e.host},
		Text:    fmt.Sprintf("%s with the parts %v is refused by %s, and none of them crashes engines", r, r.parts, e.host),
		Beliefs: fmt.Sprintf("%s: blocked parts %v", e.host, e.blockRecords()),
	})
}

// check checks what is seen over time.
func (j *judge) check() {
	for i, e := range j.world.engines {
		p := j.world.processes[j.world.scenario.Entries+i]
		j.checkOverdue(p, e)
		j.checkUnused(p, e)
	}
	if second := j.second(); second > j.checkedSecond {
		j.checkedSecond = second
		j.checkCalls(second)
	}
}

// checkOverdue checks that an engine which could load a version that is required does so.
func (j *judge) checkOverdue(p *process, e *engine) {
	now := j.world.now
	newest, found := j.required()
	overdue := found && e.up && e.silences == 0 && !e.loading && e.loaded > 0 && e.loaded < newest.version && e.stagedVersion >= newest.version && e.stagedCount == chunks && j.inTouch(p.number, now)
	switch {
	case !overdue:
		e.overdueSince = time.Time{}
	case e.overdueSince.IsZero():
		e.overdueSince = now
	case now.Sub(e.overdueSince) >= maxOverdue:
		j.report(Finding{
			Rule: RuleOutdated, Since: newest.at.Sub(epoch) - time.Second, Hosts: []string{e.host},
			Text: fmt.Sprintf("the engine of %s stays at version %d, which may serve nothing since %d ms, with version %d staged",
				e.host, e.loaded, now.Sub(newest.boundEnds).Milliseconds(), e.stagedVersion),
			Beliefs: j.agentBeliefs(p),
		})
	}
}

// checkUnused checks that callers' requests reach an engine that may start them.
func (j *judge) checkUnused(p *process, e *engine) {
	now := j.world.now
	usable := e.up && !e.loading && j.mayServe(e.loaded) && j.calm(now)
	switch {
	case !usable:
		e.usableSince = time.Time{}
	case e.usableSince.IsZero() || e.arrivedAt.After(e.usableSince):
		e.usableSince = now
	case now.Sub(e.usableSince) >= maxUnused:
		j.report(Finding{
			Rule: RuleUnused, Since: e.usableSince.Sub(epoch) - versionBound, Hosts: []string{e.host}, Beliefs: j.agentBeliefs(p),
			Text: fmt.Sprintf("the engine of %s serves version %d and has got no request for %d ms", e.host, e.loaded, now.Sub(e.usableSince).Milliseconds()),
		})
	}
}

// calm reports whether no fault is in progress or has ended within the stable period.
func (j *judge) calm(at time.Time) bool {
	for _, f := range j.world.scenario.Faults {
		if f.isDisturbance() && !at.Before(f.begin()) && at.Before(f.end().Add(stablePeriod)) {
			return false
		}
	}
	return true
}

func (j *judge) agentBeliefs(p *process) string {
	if p.agent == nil {
		return p.host + ": not running"
	}
	a := p.agent
	return fmt.Sprintf("%s: target %d, switches regardless of others from %d ms on, switching: %t", p.host, a.target.version, a.switchBy().Sub(epoch).Milliseconds(), a.switching)
}

// checkCalls checks the calls to the store in the window before a second.
func (j *judge) checkCalls(second int) {
	from := second - callWindow
	if from < settleSeconds {
		return
	}
	for number, calls := range j.callsBy {
		if total := sum(calls[from:second]); total > maxCallsPerProcess {
			j.reportCalls(from, fmt.Sprintf("%s made %d calls in %d s", j.world.processes[number].host, total, callWindow), j.world.processes[number].host)
			return
		}
	}
	perSecond := 0.0
	for _, plan := range entryPlans {
		perSecond += zones / plan.WatchTimeout.Seconds()
	}
	total, limit := sum(j.calls[from:second]), callMargin*callWindow*perSecond+float64(zones*sum(j.writes[from:second]))
	if j.atRest(from, second) && float64(total) > limit {
		j.reportCalls(from, fmt.Sprintf("the fleet at rest made %d calls in %d s, of %.0f", total, callWindow, limit))
	}
}

func (j *judge) reportCalls(from int, text string, hosts ...string) {
	j.report(Finding{Rule: RuleCalls, Text: text, Since: time.Duration(from) * time.Second, Hosts: hosts})
}

// atRest reports whether no fault can have caused calls in the seconds.
func (j *judge) atRest(from, to int) bool {
	begin, end := epoch.Add(time.Duration(from-settleSeconds)*time.Second), epoch.Add(time.Duration(to)*time.Second)
	for _, f := range j.world.scenario.Faults {
		if f.isDisturbance() && f.begin().Before(end) && f.end().After(begin) {
			return false
		}
	}
	return true
}

// end checks what is known only at the end of the day.
func (j *judge) end() {
	if j.owed >= minJudged && float64(j.served) < minServedShare*float64(j.owed) {
		j.report(Finding{
			Rule: RuleRecover, Text: fmt.Sprintf("%d of %d requests were served after the last fault", j.served, j.owed), Since: j.recoverFrom.Sub(epoch),
		})
	}
}

// report records a finding, unless the scenario is about other rules.
func (j *judge) report(f Finding) {
	if rules := j.world.scenario.Rules; len(rules) > 0 && !slices.Contains(rules, f.Rule) {
		return
	}
	f.At = j.world.now.Sub(epoch)
	j.findings = append(j.findings, f)
}

func sum(counts []int) int {
	total := 0
	for _, count := range counts {
		total += count
	}
	return total
}

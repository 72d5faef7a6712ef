package loader

import (
	"context"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"plantainrelay/internal/catalog"
	"plantainrelay/internal/clock"
	"plantainrelay/internal/failure"
	"plantainrelay/internal/rollout"
	"plantainrelay/internal/weights"
	"plantainrelay/platform"
)

const (
	// localLimit is the timeout of a call to the engine on this instance.
	localLimit = 800 * time.Millisecond
	// switchShare is the maximum fraction of an availability zone's engines that
	// switch at the same time.
	switchShare = 0.34
	// switchReserve is the time between the latest start of a switch and the
	// deadline for the version. It covers the order, the load and the first
	// requests.
	switchReserve = 1500 * time.Millisecond
	// verifiedFor is how long a verification of the staged chunks is reused before
	// they are read again.
	verifiedFor = 1200 * time.Millisecond
	// verifiedLimit is the age of the verification beyond which no order is sent:
	// the platform tolerates chunks that were corrupted within the last 3 s.
	verifiedLimit = 2600 * time.Millisecond
	// minDrain gives entries time to learn that an engine accepts no more requests
	// before it gets its order. maxDrain limits the time for its streams to end;
	// the remaining ones are then cut and resumed on other instances.
	minDrain = 60 * time.Millisecond
	maxDrain = 800 * time.Millisecond
	// drainRounds divides the time that is left for a version: it is the number of
	// groups of a zone's instances that switch one after the other.
	drainRounds = 3
	// neighborAge is how long a neighbor's report is used.
	neighborAge = 2500 * time.Millisecond
	// orderPause is the delay after a failed order.
	orderPause = 300 * time.Millisecond
	// orderLimit is how long after an order the engine may take to start on it;
	// afterwards the order is sent again.
	orderLimit = 10 * time.Second
)

// order is the last order sent to the engine.
type order struct {
	version int64
	born    int64
	at      time.Time
}

// switches orders the engine to load the target once all chunks are held, until ctx
// is done.
func (a *agent) switches(ctx context.Context) {
	timer := time.NewTimer(tick)
	defer timer.Stop()
	var last order
	var verified verification
	var reportedAt time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		pause, interval := a.pause(), reportInterval
		timer.Reset(pause)
		if pause == quietTick {
			interval = quietReportInterval
		}
		now := clock.Now()
		if now.Sub(reportedAt) >= interval || a.isSwitching() {
			reportedAt = now
			a.readReport(ctx)
		}
		whole, turn := a.ready(last, now)
		if !whole {
			continue
		}
		if now.Sub(verified.at) >= verifiedFor || a.stages.othersSince(verified.version, verified.at) || verified.version != a.currentTarget().version {
			verified = a.verifyStage(ctx)
		}
		if turn && verified.version == a.currentTarget().version {
			last = a.switchTo(ctx, verified, last)
		}
	}
}

func (a *agent) isSwitching() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.switching
}

func (a *agent) currentTarget() target {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.target
}

// readReport reads the engine's state and notifies others of a change.
func (a *agent) readReport(ctx context.Context) {
	engine, known := a.enginePool()
	if !known {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, localLimit)
	defer cancel()
	report, err := a.engine.Report(ctx, engine)
	a.mu.Lock()
	defer a.mu.Unlock()
	if err != nil {
		if a.report.Born > 0 {
			a.log.WithError(err).Warning("the engine does not respond")
		}
		a.report = platform.Report{}
		return
	}
	last := a.report
	a.report = report
	if a.switching && (report.Loaded == a.target.version || report.Born != last.Born) {
		a.switching = false
		a.notify()
	}
	if report.Born != last.Born || report.Loaded != last.Loaded {
		if report.Loaded > last.Loaded && report.Loaded == a.target.version {
			since(a.metrics.switched, a.target.seen, clock.Now())
		}
		a.log.WithFields(logrus.Fields{"born": report.Born, "version": report.Loaded, "last_version": last.Loaded}).Info("the engine's state changed")
		a.notify()
	}
}

func (a *agent) enginePool() (catalog.Engine, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.pool.Engine == nil {
		return catalog.Engine{}, false
	}
	return *a.pool.Engine, true
}

// ready reports whether all chunks of the target are held and the engine does not
// serve it, and whether the engine may be given an order now.
func (a *agent) ready(last order, now time.Time) (whole, turn bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.report.Born == 0 || a.target.version == 0 || a.report.Loaded >= a.target.version || a.report.Busy {
		return false, false
	}
	if last.version == a.target.version && last.born == a.report.Born && now.Sub(last.at) < orderLimit {
		return false, false
	}
	have, found := a.holding.have(a.target.version)
	if !found || have.Count() < a.pool.Engine.Chunks {
		return false, false
	}
	return true, a.report.Loaded == 0 || a.mayStop(now)
}

// mayStop decides whether an engine that is serving may stop in order to switch.
// The caller holds mu.
func (a *agent) mayStop(now time.Time) bool {
	turn := rollout.Turn{Share: switchShare, Latest: a.target.seen.Add(a.settings.Bounds.Switch - switchReserve)}
	var neighbors []rollout.Neighbor
	for _, member := range a.members {
		if member.AvailabilityZone != a.settings.AvailabilityZone || member.Name == a.settings.IP {
			continue
		}
		known, found := a.neighbors[member.Name]
		if !found || now.Sub(known.at) > neighborAge {
			continue
		}
		neighbors = append(neighbors, rollout.Neighbor{
			Name: member.Name, Done: known.report.Loaded >= a.target.version, Idle: known.report.Loaded == 0,
		})
	}
	return turn.May(a.settings.IP, strconv.FormatInt(a.target.version, 10), neighbors, now)
}

// switchTo orders the engine to load the target, whose staged chunks were verified.
// It returns the last order in effect.
func (a *agent) switchTo(ctx context.Context, verified verification, last order) order {
	a.mu.Lock()
	wanted, report, cut := a.target, a.report, a.table.Resumable(a.settings.Pool)
	a.mu.Unlock()
	log := a.log.WithFields(logrus.Fields{"version": wanted.version, "from": report.Loaded, "born": report.Born})
	a.setSwitching(true)
	if report.Loaded > 0 {
		a.drain(ctx)
	}
	if !a.holds(verified) {
		log.WithField("verified_ms", clock.Now().Sub(verified.at).Milliseconds()).Info("the verification of the staged chunks is no longer valid; verifying again")
		a.setSwitching(false)
		return last
	}
	ctx, cancel := context.WithTimeout(ctx, localLimit)
	defer cancel()
	err := a.engine.Load(ctx, wanted.model, wanted.version, cut)
	if err == nil {
		a.metrics.orders.WithLabelValues("accepted").Inc()
		log.WithField("after_ms", clock.Now().Sub(wanted.seen).Milliseconds()).Info("the engine accepted the order to load")
		return order{version: wanted.version, born: report.Born, at: clock.Now()}
	}
	a.metrics.orders.WithLabelValues(string(failure.Of(err))).Inc()
	log.WithError(err).Warning("the engine did not accept the order to load")
	if failure.Is(err, failure.NotReachable) {
		// The order may have been accepted; the next reports show it.
		return order{version: wanted.version, born: report.Born, at: clock.Now().Add(orderPause - orderLimit)}
	}
	a.setSwitching(false)
	time.Sleep(orderPause)
	return last
}

// drain waits until the engine's requests have ended, at most a share of the time
// that is left for the version.
func (a *agent) drain(ctx context.Context) {
	began := clock.Now()
	a.mu.Lock()
	left := a.target.seen.Add(a.settings.Bounds.Switch-switchReserve).Sub(began) / drainRounds
	a.mu.Unlock()
	limit := min(max(left, minDrain), maxDrain)
	for {
		time.Sleep(tick)
		a.readReport(ctx)
		a.mu.Lock()
		report := a.report
		a.mu.Unlock()
		passed := clock.Now().Sub(began)
		if passed >= limit || (passed >= minDrain && report.Running+report.Queued == 0) {
			return
		}
	}
}

func (a *agent) setSwitching(switching bool) {
	a.mu.Lock()
	a.switching = switching
	a.mu.Unlock()
	a.notify()
}

// verification records when the staged chunks of a version were last found to match
// the manifest.
type verification struct {
	version int64
	at      time.Time
}

// holds reports whether a verification is still valid: it is recent, and no chunk
// of another version may have been staged since.
func (a *agent) holds(verified verification) bool {
	now := clock.Now()
	return now.Sub(verified.at) < verifiedLimit && !a.stages.othersSince(verified.version, verified.at)
}

// verifyStage reads all staged chunks of the target and replaces those that do not
// match the manifest. The version is 0 if that failed.
func (a *agent) verifyStage(ctx context.Context) verification {
	wanted, began := a.currentTarget(), clock.Now()
	manifest, found := a.holding.manifest(wanted.version)
	if !found {
		return verification{}
	}
	for chunk, digest := range manifest.Digests {
		if !a.verifyChunk(ctx, wanted, chunk, digest) {
			return verification{}
		}
	}
	return verification{version: wanted.version, at: began}
}

func (a *agent) verifyChunk(ctx context.Context, wanted target, chunk int, digest weights.Digest) bool {
	ctx, cancel := context.WithTimeout(ctx, localLimit)
	defer cancel()
	staged, err := a.engine.Staged(ctx, wanted.model, chunk)
	if err == nil && weights.DigestOf(staged) == digest {
		return true
	}
	if err != nil && !failure.Is(err, failure.NotFound) {
		a.log.WithError(err).WithField("chunk", chunk).Warning("cannot read a staged chunk")
		return false
	}
	data, held := a.holding.chunk(wanted.version, chunk)
	if !held {
		return false
	}
	a.log.WithFields(logrus.Fields{"chunk": chunk, "version": wanted.version, "missing": err != nil}).Info("replacing a missing or corrupt staged chunk")
	if err := a.engine.Stage(ctx, wanted.model, chunk, data); err != nil {
		a.log.WithError(err).WithField("chunk", chunk).Warning("cannot stage a chunk")
		return false
	}
	again, err := a.engine.Staged(ctx, wanted.model, chunk)
	return err == nil && weights.DigestOf(again) == digest
}

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
	// localLimit bounds a call of the engine beside the agent.
	localLimit = 800 * time.Millisecond
	// switchShare is the part of an availability zone's engines that switch at
	// once.
	switchShare = 0.34
	// switchReserve is kept between the latest begin of a switch and the bound on
	// the version: the order, the load and the first requests take their time.
	switchReserve = 1500 * time.Millisecond
	// verifiedFor is how long staged chunks that were read back count as right.
	verifiedFor = 1200 * time.Millisecond
	// verifiedLimit is the age of the verification beyond which no order is given: the
	// platform allows for chunks that turned bad in the last 3 s.
	verifiedLimit = 2600 * time.Millisecond
	// minDrain is how long entries have to learn that an engine takes no more
	// requests before it gets its order; maxDrain bounds the time in which its
	// streams may end before they are cut and go on elsewhere.
	minDrain = 60 * time.Millisecond
	maxDrain = 800 * time.Millisecond
	// drainRounds divides the time that is left for a version: as many instances
	// of a zone switch one after the other.
	drainRounds = 3
	// neighborAge is how long a neighbor's word counts.
	neighborAge = 2500 * time.Millisecond
	// orderPause is the wait after an order that did not fit.
	orderPause = 300 * time.Millisecond
	// orderLimit is how long after an order the engine may take to begin with it;
	// afterwards the order is given again.
	orderLimit = 10 * time.Second
)

// order is the last order given to the engine.
type order struct {
	version int64
	born    int64
	at      time.Time
}

// switches brings the engine to the target whenever its chunks are whole.
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

// readReport asks the engine for its state and tells others what changed.
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
			a.log.WithError(err).Warning("the engine was lost")
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

// ready reports whether the engine lacks the target while its chunks are whole,
// and whether it may get an order now.
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

// mayStop decides whether a serving engine may stop to switch. The caller holds
// mu.
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

// switchTo orders the engine to load the target, whose staged chunks were verified. It
// returns the order that stands.
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
		log.WithField("verified_ms", clock.Now().Sub(verified.at).Milliseconds()).Info("the staged chunks are verified again before the order")
		a.setSwitching(false)
		return last
	}
	ctx, cancel := context.WithTimeout(ctx, localLimit)
	defer cancel()
	err := a.engine.Load(ctx, wanted.model, wanted.version, cut)
	if err == nil {
		a.metrics.orders.WithLabelValues("accepted").Inc()
		log.WithField("after_ms", clock.Now().Sub(wanted.seen).Milliseconds()).Info("the engine was ordered to load")
		return order{version: wanted.version, born: report.Born, at: clock.Now()}
	}
	a.metrics.orders.WithLabelValues(string(failure.Of(err))).Inc()
	log.WithError(err).Warning("the order was not accepted")
	if failure.Is(err, failure.NotReachable) {
		// It may have been accepted; the next reports tell.
		return order{version: wanted.version, born: report.Born, at: clock.Now().Add(orderPause - orderLimit)}
	}
	a.setSwitching(false)
	time.Sleep(orderPause)
	return last
}

// drain waits until the engine's requests have ended, for as long as the time
// that is left for the version allows.
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

// verification says that all staged chunks of a version were read back right.
type verification struct {
	version int64
	at      time.Time
}

// holds reports whether a verification still counts: the time since is short, and no
// chunk of another version may have been staged.
func (a *agent) holds(verified verification) bool {
	now := clock.Now()
	return now.Sub(verified.at) < verifiedLimit && !a.stages.othersSince(verified.version, verified.at)
}

// verifyStage reads all staged chunks of the target back and puts those right
// that are not what the manifest says. The version is 0 when that failed.
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
		a.log.WithError(err).WithField("chunk", chunk).Warning("a staged chunk could not be read back")
		return false
	}
	data, held := a.holding.chunk(wanted.version, chunk)
	if !held {
		return false
	}
	a.log.WithFields(logrus.Fields{"chunk": chunk, "version": wanted.version, "missing": err != nil}).Info("a staged chunk is put right")
	if err := a.engine.Stage(ctx, wanted.model, chunk, data); err != nil {
		a.log.WithError(err).WithField("chunk", chunk).Warning("a chunk could not be staged")
		return false
	}
	again, err := a.engine.Staged(ctx, wanted.model, chunk)
	return err == nil && weights.DigestOf(again) == digest
}

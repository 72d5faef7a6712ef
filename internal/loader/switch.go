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
	// engineCallTimeout is the timeout of a call to the engine on this instance.
	engineCallTimeout = 800 * time.Millisecond
	// stagingCallTimeout is the timeout of a call that stages a chunk. It is longer than any
	// pause of a sound engine, since only a response tells that the call was executed.
	stagingCallTimeout = 10 * time.Second
	// maxSwitchFraction is the maximum fraction of an availability zone's engines
	// that switch at the same time.
	maxSwitchFraction = 0.34
	// verificationReuseTime is how long a verification of the staged chunks is
	// reused before they are read again.
	verificationReuseTime = 1200 * time.Millisecond
	// maxVerificationAge is the age of the verification beyond which no order is
	// sent: the platform tolerates chunks that were corrupted within the last 3 s.
	maxVerificationAge = 2600 * time.Millisecond
	// minDrain gives entries time to learn that an engine accepts no more requests
	// before it gets its order. maxDrain limits the time for its streams to end;
	// the remaining ones are then cut and resumed on other instances.
	minDrain = 60 * time.Millisecond
	maxDrain = 800 * time.Millisecond
	// switchRounds divides the time that is left for a version: it is the number of
	// groups of a zone's instances that switch one after the other.
	switchRounds = 3
	// neighborTimeout is how long a neighbor's report is used.
	neighborTimeout = 2500 * time.Millisecond
	engineRemedy    = "check the engine on this instance"
	// orderRetryDelay is the delay after a failed order.
	orderRetryDelay = 300 * time.Millisecond
	// orderTimeout is how long after an order the engine may take to start on it;
	// afterwards the order is sent again.
	orderTimeout = 10 * time.Second
)

// loadOrder is an order sent to the engine.
type loadOrder struct {
	version     int64
	engineStart int64
	sentAt      time.Time
}

// switchLoop orders the engine to load the target once all chunks are held, until
// ctx is done.
func (a *agent) switchLoop(ctx context.Context) {
	timer := time.NewTimer(pollInterval)
	defer timer.Stop()
	var last loadOrder
	var verified verification
	var reportedAt time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		delay, interval := a.pollDelay(), reportInterval
		timer.Reset(delay)
		if delay == idlePollInterval {
			interval = idleReportInterval
		}
		now := clock.Now()
		if now.Sub(reportedAt) >= interval || a.isSwitching() || a.isEngineUnknown() {
			reportedAt = now
			a.readReport(ctx)
		}
		complete, allowed := a.mayLoad(last, now)
		if !complete {
			continue
		}
		if staged := a.stagedVerification(); staged.at.After(verified.at) {
			verified = staged
		}
		if now.Sub(verified.at) >= verificationReuseTime || a.stagingCalls.otherVersionSince(verified.version, verified.at) || verified.version != a.currentTarget().version {
			verified = a.verifyStagedChunks(ctx)
		}
		if allowed && verified.version == a.currentTarget().version {
			last = a.loadTarget(ctx, verified, last)
		}
	}
}

func (a *agent) lastReport() platform.EngineReport {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.report
}

func (a *agent) isSwitching() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.switching
}

// isEngineLeaving reports whether this start of the engine has said that it leaves.
func (a *agent) isEngineLeaving() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.report.Leaving
}

// isEngineUnknown reports whether the engine has not been reached.
func (a *agent) isEngineUnknown() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.report.Start == 0
}

// stagedVerification returns the verification of a version that was staged already when
// its fetch began. The version is 0 if there is none.
func (a *agent) stagedVerification() verification {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.fetchInProgress == nil {
		return verification{}
	}
	return a.fetchInProgress.staged
}

func (a *agent) currentTarget() target {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.target
}

// readReport reads the engine's state and notifies others of a change.
func (a *agent) readReport(ctx context.Context) {
	engine, known := a.poolEngine()
	if !known {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, engineCallTimeout)
	defer cancel()
	requestedAt := clock.Now()
	report, err := a.engine.Report(ctx, engine)
	if err == nil {
		a.settleCalls(report, requestedAt)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if err != nil {
		if a.report.Start > 0 {
			a.log.WithError(err).Warning("the engine does not respond")
		}
		a.report = platform.EngineReport{}
		return
	}
	last := a.report
	report.Leaving = report.Leaving || last.Leaving && last.Start == report.Start
	a.report = report
	if report.Leaving && !(last.Leaving && last.Start == report.Start) {
		a.log.WithFields(logrus.Fields{"born": report.Start, "version": report.LoadedVersion}).Info("the engine says that it is leaving; it gets no more orders")
		a.triggerMessage()
	}
	if a.switching && rollout.SwitchEnded(engineState(last), engineState(report), a.target.version) {
		a.switching = false
		a.triggerMessage()
	}
	if report.Start != last.Start || report.LoadedVersion != last.LoadedVersion {
		if report.LoadedVersion > last.LoadedVersion && report.LoadedVersion == a.target.version {
			observeSince(a.metrics.switchTime, a.target.learnedAt, clock.Now())
		}
		a.log.WithFields(logrus.Fields{"born": report.Start, "version": report.LoadedVersion, "last_version": last.LoadedVersion}).Info("the engine's state changed")
		a.triggerMessage()
	}
}

// settleCalls uses a report to decide which calls without a response the engine can no longer
// execute.
func (a *agent) settleCalls(report platform.EngineReport, requestedAt time.Time) {
	if version := a.stagingCalls.reportReceived(report, requestedAt, clock.Now()); version > 0 {
		a.log.WithFields(logrus.Fields{
			"version": version, "born": report.Start, "orders": report.Orders, "loaded": report.LoadedVersion, "busy": report.Busy,
		}).Info("the engine has accepted the order without a response, or can no longer accept it")
	}
}

func engineState(report platform.EngineReport) rollout.EngineState {
	return rollout.EngineState{Start: report.Start, Version: report.LoadedVersion}
}

// chunkLimit returns the size above which bytes are no chunk of the engine's weights.
func (a *agent) chunkLimit() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.pool.Engine == nil {
		return platform.ChunkLimit(0)
	}
	return platform.ChunkLimit(a.pool.Engine.ChunkBytes)
}

func (a *agent) poolEngine() (catalog.Engine, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.pool.Engine == nil {
		return catalog.Engine{}, false
	}
	return *a.pool.Engine, true
}

// mayLoad reports whether all chunks of the target are held and the engine does not
// serve it, and whether the engine may be given an order now. An engine that leaves gets
// none: it would cut its last streams for weights that it will not serve.
func (a *agent) mayLoad(last loadOrder, now time.Time) (complete, allowed bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.report.Start == 0 || a.report.Leaving || a.target.version == 0 || a.report.LoadedVersion >= a.target.version || a.report.Busy {
		return false, false
	}
	if last.version == a.target.version && last.engineStart == a.report.Start && now.Sub(last.sentAt) < orderTimeout {
		return false, false
	}
	have, found := a.chunks.bitmap(a.target.version)
	if !found || have.Count() < a.pool.Engine.Chunks {
		return false, false
	}
	return true, a.report.LoadedVersion == 0 || a.stagingCalls.pendingVersion() == a.target.version || a.maySwitch(now)
}

// maySwitch decides whether an engine that is serving may stop in order to switch.
// The caller holds mu.
func (a *agent) maySwitch(now time.Time) bool {
	limit := rollout.SwitchLimit{
		MaxFraction: maxSwitchFraction, SwitchBy: a.target.boundFrom().Add(rollout.SwitchPeriod(a.settings.Bounds.VersionSwitchTime)), Served: a.report.LoadedVersion,
	}
	var neighbors []rollout.Neighbor
	for _, member := range a.members {
		if member.AvailabilityZone != a.settings.AvailabilityZone || member.Name == a.settings.IP {
			continue
		}
		last, found := a.neighbors[member.Name]
		// Engines that leave do not switch.
		if !found || now.Sub(last.sentAt) > neighborTimeout || last.report.Leaving {
			continue
		}
		neighbors = append(neighbors, rollout.Neighbor{
			Name: member.Name, Updated: last.report.Loaded >= a.target.version, NotServing: last.report.Loaded == 0, Served: last.report.Loaded,
		})
	}
	return limit.Allows(a.settings.IP, strconv.FormatInt(a.target.version, 10), neighbors, now)
}

// loadTarget orders the engine to load the target. It sends no order if the staged
// chunks were verified for another version, or if their verification is no longer
// valid when the order is due. It returns the last order in effect.
func (a *agent) loadTarget(ctx context.Context, verified verification, last loadOrder) loadOrder {
	a.mu.Lock()
	wanted, report, resumable := a.target, a.report, a.table.Resumable(a.settings.Pool)
	a.mu.Unlock()
	log := a.log.WithFields(logrus.Fields{"version": wanted.version, "from": report.LoadedVersion, "born": report.Start})
	if wanted.version != verified.version {
		log.WithField("verified_version", verified.version).Info("the target has changed since the verification; no order is sent")
		return last
	}
	a.setSwitching(true)
	if report.LoadedVersion > 0 {
		a.drain(ctx)
	}
	if ctx.Err() != nil || a.isEngineLeaving() {
		a.setSwitching(false)
		return last
	}
	start := report.Start
	if report = a.lastReport(); report.Start != start {
		log.WithField("new_start", report.Start).Info("the engine does not respond or has restarted; no order is sent")
		a.setSwitching(false)
		return last
	}
	if !a.stillValid(verified) || !a.stagingCalls.beginOrder(verified.version, verified.at, report) {
		log.WithField("verified_ms", clock.Now().Sub(verified.at).Milliseconds()).Info("the verification of the staged chunks is no longer valid; verifying again")
		a.setSwitching(false)
		return last
	}
	ctx, cancel := context.WithTimeout(ctx, engineCallTimeout)
	defer cancel()
	err := a.engine.StartLoad(ctx, platform.LoadOrder{Model: wanted.model, Version: wanted.version, Truncate: resumable, Orders: report.Orders})
	a.stagingCalls.endOrder(!failure.Is(err, failure.NotReachable))
	if err == nil {
		a.metrics.loadOrders.WithLabelValues("accepted").Inc()
		log.WithField("after_ms", clock.Now().Sub(wanted.learnedAt).Milliseconds()).Info("the engine accepted the order to load")
		return loadOrder{version: wanted.version, engineStart: report.Start, sentAt: clock.Now()}
	}
	a.metrics.loadOrders.WithLabelValues(string(failure.KindOf(err))).Inc()
	if failure.Is(err, failure.NotReachable) {
		log.WithError(err).WithField("orders", report.Orders).Warning("the order to load got no response; the target stays until a report shows what became of it")
		return loadOrder{version: wanted.version, engineStart: report.Start, sentAt: clock.Now().Add(orderRetryDelay - orderTimeout)}
	}
	log.WithError(err).Warning("the engine did not accept the order to load")
	a.setSwitching(false)
	clock.Sleep(ctx, orderRetryDelay)
	return last
}

// drain waits until the engine's requests have ended or ctx is done, for a share of
// the time that is left for the version, within minDrain and maxDrain.
func (a *agent) drain(ctx context.Context) {
	began := clock.Now()
	a.mu.Lock()
	drainBy := a.target.boundFrom().Add(rollout.DrainPeriod(a.settings.Bounds.VersionSwitchTime))
	a.mu.Unlock()
	limit := min(max(drainBy.Sub(began)/switchRounds, minDrain), maxDrain)
	for clock.Sleep(ctx, pollInterval) {
		a.readReport(ctx)
		report := a.lastReport()
		elapsed := clock.Now().Sub(began)
		if elapsed >= limit || (elapsed >= minDrain && report.Running+report.Queued == 0) {
			return
		}
	}
}

func (a *agent) setSwitching(switching bool) {
	a.mu.Lock()
	a.switching = switching
	a.mu.Unlock()
	a.triggerMessage()
}

// verification records when the staged chunks of a version were last found to match
// the manifest.
type verification struct {
	version int64
	at      time.Time
}

// stillValid reports whether a verification is still valid: it is recent, and no
// chunk of another version may have been staged since.
func (a *agent) stillValid(verified verification) bool {
	now := clock.Now()
	return now.Sub(verified.at) < maxVerificationAge && !a.stagingCalls.otherVersionSince(verified.version, verified.at)
}

// verifyStagedChunks reads all staged chunks of the target and replaces those that
// do not match the manifest. The version is 0 if that failed.
func (a *agent) verifyStagedChunks(ctx context.Context) verification {
	wanted, began := a.currentTarget(), clock.Now()
	manifest, found := a.chunks.manifest(wanted.version)
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
	ctx, cancel := context.WithTimeout(ctx, engineCallTimeout)
	defer cancel()
	staged, err := a.engine.ReadStaged(ctx, wanted.model, chunk, a.chunkLimit())
	if err == nil && weights.DigestOf(staged) == digest {
		return true
	}
	if err != nil && !failure.Is(err, failure.NotFound) {
		a.log.WithError(err).WithField("chunk", chunk).Warning("cannot read a staged chunk")
		return false
	}
	data, held := a.chunks.chunk(wanted.version, chunk)
	if !held {
		return false
	}
	a.log.WithFields(logrus.Fields{"chunk": chunk, "version": wanted.version, "missing": err != nil}).Info("replacing a missing or corrupt staged chunk")
	if err := a.stage(ctx, wanted, chunk, data); err != nil {
		a.log.WithError(err).WithField("chunk", chunk).Warning("cannot stage a chunk")
		return false
	}
	again, err := a.engine.ReadStaged(ctx, wanted.model, chunk, a.chunkLimit())
	return err == nil && weights.DigestOf(again) == digest
}

// stage puts a chunk of a version into the engine's staging area. The call goes on after ctx is
// done, until the engine answers it: it may be executed at any time until then. A
// failure.Conflict error means that it must not be made now.
func (a *agent) stage(ctx context.Context, wanted target, chunk int, data []byte) error {
	if !a.stagingCalls.begin(wanted.version, clock.Now()) {
		return failure.New(failure.Conflict, "stage it later", "the engine may still execute an earlier call")
	}
	// The target may have changed before the call was recorded.
	if a.currentTarget().version != wanted.version {
		a.stagingCalls.end(wanted.version, true, clock.Now())
		return failure.New(failure.Conflict, "stage the new target", "the target has changed")
	}
	done := make(chan error, 1)
	go func() {
		callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stagingCallTimeout)
		defer cancel()
		err := a.engine.Stage(callCtx, wanted.model, chunk, data)
		a.stagingCalls.end(wanted.version, !failure.Is(err, failure.NotReachable), clock.Now())
		done <- err
	}()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return failure.Wrap(ctx.Err(), failure.NotReachable, engineRemedy, "the engine has not answered yet")
	}
}

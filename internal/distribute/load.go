package distribute

import (
	"context"
	"time"

	"plantainrelay/internal/clock"
	"plantainrelay/internal/engine"
	"plantainrelay/internal/rollout"
)

// startDrain closes the gate and sends an event when no request is in progress.
func (d *Driver) startDrain(ctx context.Context) {
	idle := d.gate.Close()
	d.drainCount++
	number := d.drainCount
	go func() {
		select {
		case <-idle:
			d.send(ctx, drained{number: number})
		case <-ctx.Done():
		}
	}()
}

// drained is the event that no request is in progress behind the closed gate.
type drained struct {
	number int
}

func (e drained) apply(ctx context.Context, d *Driver) {
	if e.number == d.drainCount {
		d.perform(ctx, d.rollout.Drained(time.Now()))
	}
}

// startLoad starts the load of the target.
func (d *Driver) startLoad(ctx context.Context) {
	target := d.rollout.Target()
	order := engine.Order{
		Version:  target.Version,
		Manifest: target.Manifest,
		Whole:    d.manifest.Whole,
		Chunks:   len(d.manifest.Chunks),
		Fence:    target.Revision,
	}
	permitExpiry := d.rollout.PermitExpiry()
	d.engineEpoch++
	go func() {
		d.send(ctx, loaded{result: d.load(ctx, order, permitExpiry)})
	}()
}

// permitExpired compares both the monotonic clock and the wall clock. The
// monotonic clock does not advance while the machine is suspended, and the wall
// clock may be adjusted.
func permitExpired(expiry, now time.Time) bool {
	return !now.Before(expiry) || !now.Round(0).Before(expiry.Round(0))
}

// load orders the engine to load the weights and reads back which weights it
// holds.
func (d *Driver) load(ctx context.Context, order engine.Order, permitExpiry time.Time) rollout.LoadResult {
	result := rollout.LoadResult{Order: rollout.WeightsID{Version: order.Version, Manifest: order.Manifest, Whole: order.Whole}}
	if permitExpired(permitExpiry, time.Now()) {
		result.PermitExpired = true
		return result
	}
	call, cancel := context.WithTimeout(ctx, d.config.LoadTimeout)
	err := d.controller.Load(call, order)
	cancel()
	if err != nil {
		result.Cause = err.Error()
	}
	call, cancel = context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	status, statusErr := d.controller.Status(call)
	result.Answered, result.Loaded = statusErr == nil, engineWeights(status)
	if result.Cause == "" && result.Loaded != (rollout.EngineWeights{Manifest: order.Manifest, Whole: order.Whole}) {
		result.Cause = "the engine holds other weights than ordered; publish the weights again"
	}
	return result
}

func engineWeights(status engine.Status) rollout.EngineWeights {
	return rollout.EngineWeights{Manifest: status.Manifest, Whole: status.Whole}
}

// loaded is the event of a completed load order.
type loaded struct {
	result rollout.LoadResult
}

func (e loaded) apply(ctx context.Context, d *Driver) {
	d.engineEpoch++
	if e.result.Cause != "" {
		d.log.WithField("cause", e.result.Cause).Error("loading the weights failed")
	}
	d.perform(ctx, d.rollout.Loaded(e.result, time.Now()))
}

// watchEngine periodically queries the status of the engine.
func (d *Driver) watchEngine(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, d.config.EngineInterval)
		reply := make(chan int, 1)
		d.send(ctx, epochRequest{reply: reply})
		var epoch int
		select {
		case epoch = <-reply:
		case <-ctx.Done():
			return
		}
		if epoch < 0 {
			continue
		}
		call, cancel := context.WithTimeout(ctx, dialTimeout)
		status, err := d.controller.Status(call)
		cancel()
		d.send(ctx, engineReport{epoch: epoch, status: status, err: err})
	}
}

// epochRequest is a request of watchEngine for the current epoch. The epoch
// changes at the start and the end of each load order, so that a status read
// before is discarded. Without a target it is -1.
type epochRequest struct {
	reply chan int
}

func (e epochRequest) apply(_ context.Context, d *Driver) {
	if d.rollout.Stage() == rollout.StageIdle {
		e.reply <- -1
		return
	}
	e.reply <- d.engineEpoch
}

// engineReport is the event of a status query to the engine.
type engineReport struct {
	epoch  int
	status engine.Status
	err    error
}

func (e engineReport) apply(ctx context.Context, d *Driver) {
	if e.epoch != d.engineEpoch {
		return
	}
	if e.err != nil {
		d.perform(ctx, d.rollout.EngineUnresponsive())
		return
	}
	restarted := d.engineIncarnation != "" && d.engineIncarnation != e.status.Incarnation
	d.engineIncarnation = e.status.Incarnation
	d.perform(ctx, d.rollout.EngineReported(engineWeights(e.status), restarted))
}

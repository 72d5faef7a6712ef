package distribute

import (
	"context"
	"time"

	"plantainrelay/internal/engine"
	"plantainrelay/internal/rollout"
)

// startDrain closes the gate and reports when it is empty.
func (d *Driver) startDrain(ctx context.Context) {
	idle := d.gate.Close()
	d.drains++
	number := d.drains
	go func() {
		select {
		case <-idle:
			d.send(ctx, drained{number: number})
		case <-ctx.Done():
		}
	}()
}

// drained says that no request is in progress behind the closed gate.
type drained struct {
	number int
}

func (e drained) apply(ctx context.Context, d *Driver) {
	if e.number == d.drains {
		d.act(ctx, d.rollout.Drained(time.Now()))
	}
}

// startLoad orders the engine to load the target and reads back what it holds.
func (d *Driver) startLoad(ctx context.Context) {
	target := d.rollout.Target()
	order := engine.Order{
		Version:  target.Version,
		Manifest: target.Manifest,
		Whole:    d.manifest.Whole,
		Chunks:   len(d.manifest.Chunks),
		Fence:    target.Revision,
	}
	until := d.rollout.PermitExpiry()
	d.engineEpoch++
	go func() {
		d.send(ctx, loaded{result: d.load(ctx, order, until)})
	}()
}

// lapsed compares on both clocks: the wall clock shows a pause of the whole
// machine, the monotonic one an adjustment of the wall clock.
func lapsed(until, now time.Time) bool {
	return !now.Before(until) || !now.Round(0).Before(until.Round(0))
}

func (d *Driver) load(ctx context.Context, order engine.Order, until time.Time) rollout.LoadResult {
	result := rollout.LoadResult{Order: rollout.WeightsID{Version: order.Version, Manifest: order.Manifest, Whole: order.Whole}}
	if lapsed(until, time.Now()) {
		result.PermitExpired = true
		return result
	}
	call, cancel := context.WithTimeout(ctx, d.config.LoadTimeout)
	err := d.model.Load(call, order)
	cancel()
	if err != nil {
		result.Cause = err.Error()
	}
	call, cancel = context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	status, statusErr := d.model.Status(call)
	result.Answered, result.Loaded = statusErr == nil, heldBy(status)
	if result.Cause == "" && result.Loaded != (rollout.EngineWeights{Manifest: order.Manifest, Whole: order.Whole}) {
		result.Cause = "the engine holds other weights than ordered; publish the weights again"
	}
	return result
}

func heldBy(status engine.Status) rollout.EngineWeights {
	return rollout.EngineWeights{Manifest: status.Manifest, Whole: status.Whole}
}

// loaded is the result of a load order.
type loaded struct {
	result rollout.LoadResult
}

func (e loaded) apply(ctx context.Context, d *Driver) {
	d.engineEpoch++
	if e.result.Cause != "" {
		d.log.WithField("cause", e.result.Cause).Error("the load failed")
	}
	d.act(ctx, d.rollout.Loaded(e.result, time.Now()))
}

// watchEngine asks the engine at intervals what it holds.
func (d *Driver) watchEngine(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, d.config.EngineInterval)
		reply := make(chan int, 1)
		d.send(ctx, engineAsked{epoch: reply})
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
		status, err := d.model.Status(call)
		cancel()
		d.send(ctx, engineSeen{epoch: epoch, status: status, err: err})
	}
}

// engineAsked gives the watch of the engine the current epoch, which changes
// with each load order, or -1 when there is no target.
type engineAsked struct {
	epoch chan int
}

func (e engineAsked) apply(_ context.Context, d *Driver) {
	if d.rollout.Stage() == rollout.StageIdle {
		e.epoch <- -1
		return
	}
	e.epoch <- d.engineEpoch
}

// engineSeen is what the engine said of itself.
type engineSeen struct {
	epoch  int
	status engine.Status
	err    error
}

func (e engineSeen) apply(ctx context.Context, d *Driver) {
	if e.epoch != d.engineEpoch {
		return
	}
	if e.err != nil {
		d.act(ctx, d.rollout.EngineUnresponsive())
		return
	}
	restarted := d.incarnation != "" && d.incarnation != e.status.Incarnation
	d.incarnation = e.status.Incarnation
	d.act(ctx, d.rollout.EngineReported(heldBy(e.status), restarted))
}

package distribute

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/pathvar"

	"plantainrelay/internal/engine"
	"plantainrelay/internal/failure"
	"plantainrelay/internal/message"
	"plantainrelay/internal/rollout"
	"plantainrelay/internal/weights"
)

// startDrain closes the gate and reports when it is empty.
func (d *Driver) startDrain(ctx context.Context) {
	idle := d.gate.Close()
	go func() {
		select {
		case <-idle:
			d.send(ctx, drained{})
		case <-ctx.Done():
		}
	}()
}

// drained says that no request is in progress behind the closed gate.
type drained struct{}

func (drained) apply(ctx context.Context, d *Driver) {
	d.act(ctx, d.rollout.Drained())
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
	go func() {
		held, err := d.load(ctx, order)
		d.send(ctx, loaded{order: order, held: held, err: err})
	}()
}

func (d *Driver) load(ctx context.Context, order engine.Order) (rollout.Held, error) {
	ctx, cancel := context.WithTimeout(ctx, d.config.LoadTimeout)
	defer cancel()
	if err := d.model.Load(ctx, order); err != nil {
		return rollout.Held{}, err
	}
	status, err := d.model.Status(ctx)
	if err != nil {
		return rollout.Held{}, err
	}
	if status.Whole != order.Whole || status.Manifest != order.Manifest {
		return rollout.Held{}, failure.New(failure.Refused, "publish the weights again", "the engine holds other weights than ordered")
	}
	return heldBy(status), nil
}

// loaded is the result of a load order.
type loaded struct {
	order engine.Order
	held  rollout.Held
	err   error
}

func (e loaded) apply(ctx context.Context, d *Driver) {
	if e.err != nil {
		d.log.WithError(e.err).Error("the load failed")
		d.act(ctx, d.rollout.LoadFailed(e.order.Manifest, e.err.Error(), time.Now()))
		return
	}
	d.act(ctx, d.rollout.Loaded(e.order.Manifest, e.held, e.order.Whole))
}

// ChunkRoute serves staged chunks to other agents that hold the fleet's key.
func (d *Driver) ChunkRoute() rest.Route {
	return rest.Route{Method: http.MethodGet, Path: message.PathChunk, Handler: d.serveChunk}
}

func (d *Driver) serveChunk(w http.ResponseWriter, r *http.Request) {
	if !d.config.Security.Authorized(r) {
		http.Error(w, "the fleet's key or certificate is missing or wrong", http.StatusUnauthorized)
		return
	}
	vars := pathvar.Vars(r)
	manifest := weights.Digest(vars["manifest"])
	chunk, err := strconv.Atoi(vars["chunk"])
	if err != nil || chunk < 0 || !manifest.Valid() {
		http.Error(w, "name a manifest digest and a chunk number", http.StatusBadRequest)
		return
	}
	// A plain service has no target; the request would be run by it.
	if d.Status().Target.Manifest == "" {
		http.Error(w, "the chunk is not held here", http.StatusNotFound)
		return
	}
	data, err := d.model.ReadStaged(r.Context(), manifest, chunk)
	if err != nil {
		http.Error(w, "the chunk is not held here", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, _ = w.Write(data)
}

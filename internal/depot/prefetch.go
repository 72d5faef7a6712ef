package depot

import (
	"maps"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"plantainrelay/internal/clock"
	"plantainrelay/internal/rollout"
	"plantainrelay/platform"
)

const (
	// prefetchWorkers is the number of chunks of one version that are prefetched
	// concurrently.
	prefetchWorkers = 4
	// prefetchTimeout is the time limit of the prefetch of a version, and the
	// minimum time between two prefetches of one version.
	prefetchTimeout = 30 * time.Second
)

// Prefetch starts to fetch this depot's part of a version before it is requested:
// the chunks that this depot fetches from the origin, and those that enter its
// availability zone through it. The origin has the narrowest link; prefetching
// keeps it busy from the start of a release.
func (d *Depot) Prefetch(args VersionArgs) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := clock.Now()
	maps.DeleteFunc(d.prefetchStarts, func(_ VersionArgs, at time.Time) bool { return now.Sub(at) > prefetchTimeout })
	if last := d.newest[args.Model]; args.Version > last {
		d.newest[args.Model] = args.Version
		d.dropBefore(VersionArgs{Model: args.Model, Version: last})
	}
	if _, before := d.prefetchStarts[args]; before || args.Version < d.newest[args.Model] {
		return
	}
	d.prefetchStarts[args] = now
	go d.prefetch(args)
}

// dropBefore drops the chunks of versions older than kept.
func (d *Depot) dropBefore(kept VersionArgs) {
	for _, held := range d.chunks.Keys() {
		if held.Model == kept.Model && held.Version < kept.Version {
			d.chunks.Remove(held)
		}
	}
}

// prefetchState is the state of the prefetch of one version.
type prefetchState struct {
	args     VersionArgs
	deadline time.Time

	mu       sync.Mutex
	progress rollout.Progress
}

func (d *Depot) prefetch(args VersionArgs) {
	now := clock.Now()
	state := &prefetchState{args: args, deadline: now.Add(prefetchTimeout), progress: rollout.Progress{LastChunkAt: now, ServeBy: now.Add(prefetchTimeout)}}
	var manifest platform.Manifest
	for d.Manifest(args, &manifest) != nil {
		if !d.shouldContinue(state) {
			return
		}
		time.Sleep(retryDelay)
	}
	upstream := d.config.Upstream()
	var chunks []int
	for chunk := range manifest.Digests {
		key := strconv.Itoa(chunk)
		if d.originFetcher(key, upstream) == d.config.Host || d.zoneDepot(key, upstream) == d.config.Host {
			chunks = append(chunks, chunk)
		}
	}
	state.progress.Chunks = len(chunks)
	d.prefetchChunks(state, chunks)
	d.log.WithFields(logrus.Fields{
		"model": args.Model, "version": args.Version, "chunks": len(chunks), "held": state.progress.Held, "ms": clock.Now().Sub(now).Milliseconds(),
	}).Info("prefetch of a version has ended")
}

// prefetchChunks fetches the chunks in order, a few of them concurrently.
func (d *Depot) prefetchChunks(state *prefetchState, chunks []int) {
	next := make(chan int)
	var workers sync.WaitGroup
	for range prefetchWorkers {
		workers.Go(func() {
			for chunk := range next {
				d.prefetchChunk(state, chunk)
			}
		})
	}
	for _, chunk := range chunks {
		next <- chunk
	}
	close(next)
	workers.Wait()
}

func (d *Depot) prefetchChunk(state *prefetchState, chunk int) {
	for d.shouldContinue(state) {
		if _, err := d.getChunk(ChunkArgs{VersionArgs: state.args, Chunk: chunk}); err == nil {
			state.mu.Lock()
			state.progress.Held++
			state.progress.LastChunkAt = clock.Now()
			state.mu.Unlock()
			return
		}
		time.Sleep(retryDelay)
	}
}

// shouldContinue reports whether the prefetch of the version should continue. It
// stops once a newer version is known, unless most chunks of this one are already
// held.
func (d *Depot) shouldContinue(state *prefetchState) bool {
	now := clock.Now()
	if !now.Before(state.deadline) {
		return false
	}
	d.mu.Lock()
	newest := d.newest[state.args.Model]
	d.mu.Unlock()
	state.mu.Lock()
	defer state.mu.Unlock()
	return newest <= state.args.Version || state.progress.ShouldFinish(now)
}

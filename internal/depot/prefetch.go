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
	// prefetchers is the number of chunks of one version that are prefetched
	// concurrently.
	prefetchers = 4
	// prefetchLimit is the time limit of the prefetch of a version, and the minimum
	// time between two prefetches of one version.
	prefetchLimit = 30 * time.Second
)

// Prefetch starts to fetch this depot's part of a version before it is requested:
// the chunks that this depot fetches from the origin, and those that enter its
// availability zone through it. The origin has the narrowest link; prefetching
// keeps it busy from the start of a release.
func (d *Depot) Prefetch(args VersionArgs) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := clock.Now()
	maps.DeleteFunc(d.prefetched, func(_ VersionArgs, at time.Time) bool { return now.Sub(at) > prefetchLimit })
	if last := d.newest[args.Model]; args.Version > last {
		d.newest[args.Model] = args.Version
		d.dropBefore(VersionArgs{Model: args.Model, Version: last})
	}
	if _, before := d.prefetched[args]; before || args.Version < d.newest[args.Model] {
		return
	}
	d.prefetched[args] = now
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

// prefetching is the state of the prefetch of one version.
type prefetching struct {
	args  VersionArgs
	until time.Time

	mu       sync.Mutex
	progress rollout.Progress
}

func (d *Depot) prefetch(args VersionArgs) {
	now := clock.Now()
	a := &prefetching{args: args, until: now.Add(prefetchLimit), progress: rollout.Progress{LastAt: now, Latest: now.Add(prefetchLimit)}}
	var manifest platform.Manifest
	for d.Manifest(args, &manifest) != nil {
		if !d.goOn(a) {
			return
		}
		time.Sleep(retryPause)
	}
	upstream := d.config.Upstream()
	var chunks []int
	for chunk := range manifest.Digests {
		key := strconv.Itoa(chunk)
		if d.drawer(key, upstream) == d.config.Host || d.zoneDepot(key, upstream) == d.config.Host {
			chunks = append(chunks, chunk)
		}
	}
	a.progress.Chunks = len(chunks)
	d.fetchAll(a, chunks)
	d.log.WithFields(logrus.Fields{
		"model": args.Model, "version": args.Version, "chunks": len(chunks), "held": a.progress.Held, "ms": clock.Now().Sub(now).Milliseconds(),
	}).Info("prefetch of a version has ended")
}

// fetchAll fetches the chunks in order, a few of them concurrently.
func (d *Depot) fetchAll(a *prefetching, chunks []int) {
	next := make(chan int)
	var group sync.WaitGroup
	for range prefetchers {
		group.Go(func() {
			for chunk := range next {
				d.fetchOne(a, chunk)
			}
		})
	}
	for _, chunk := range chunks {
		next <- chunk
	}
	close(next)
	group.Wait()
}

func (d *Depot) fetchOne(a *prefetching, chunk int) {
	for d.goOn(a) {
		if _, err := d.chunk(ChunkArgs{VersionArgs: a.args, Chunk: chunk}); err == nil {
			a.mu.Lock()
			a.progress.Held++
			a.progress.LastAt = clock.Now()
			a.mu.Unlock()
			return
		}
		time.Sleep(retryPause)
	}
}

// goOn reports whether the prefetch of the version should continue. It stops once a
// newer version is known, unless most chunks of this one are already held.
func (d *Depot) goOn(a *prefetching) bool {
	now := clock.Now()
	if !now.Before(a.until) {
		return false
	}
	d.mu.Lock()
	newest := d.newest[a.args.Model]
	d.mu.Unlock()
	a.mu.Lock()
	defer a.mu.Unlock()
	return newest <= a.args.Version || a.progress.Finish(now)
}

// Package depot implements the depot, an entry's cache of chunks of weights. The
// entry's link is much wider than those of the instances that load the weights.
// With the depot, each chunk leaves the origin once and enters each availability
// zone once.
package depot

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/singleflight"
	"golang.org/x/time/rate"

	"plantainrelay/internal/beat"
	"plantainrelay/internal/clock"
	"plantainrelay/internal/failure"
	"plantainrelay/internal/member"
	"plantainrelay/internal/peer"
	"plantainrelay/internal/weights"
	"plantainrelay/platform"
)

// The net/rpc methods that depots and agents serve.
const (
	ServiceName    = "Chunks"
	MethodManifest = ServiceName + ".Manifest"
	MethodChunk    = ServiceName + ".Chunk"
)

const (
	// MaxChunks is the maximum number of chunks that a depot holds.
	MaxChunks = 192
	// maxManifests is the maximum number of manifests that a depot holds.
	maxManifests = 8
	// fetchTimeout is the timeout of one fetch from the origin or another depot.
	fetchTimeout = 2 * time.Second
	// retryTimeout is how long a depot retries a requested chunk,
	// originDownRetryTimeout the same while the origin is unavailable: a caller
	// that waits for a chunk requests no other one meanwhile. retryDelay is the
	// delay between tries.
	retryTimeout           = 400 * time.Millisecond
	originDownRetryTimeout = 150 * time.Millisecond
	retryDelay             = 80 * time.Millisecond
	// answerTimeout is how long a depot lets another process wait for a chunk that it does not
	// hold yet before it answers that it is busy. It ends before fetchTimeout: a depot that
	// does not answer counts as gone, and its callers then turn to the origin, whose link is
	// too narrow for more than one copy of a chunk.
	answerTimeout = 1200 * time.Millisecond
	// callTimeout is the timeout of a call that carries no chunk.
	callTimeout = 1200 * time.Millisecond
	// AgentShare and EntryShare are the fractions of a link that uploads may use.
	// Streams share the link: they need most of an agent's narrow one, but a small
	// part of an entry's.
	AgentShare = 0.6
	EntryShare = 0.8
	// uploadBurst is the burst of the rate limiter in bytes.
	uploadBurst = 64 << 10
	// uploadTimeout is how long a call waits for upload capacity.
	uploadTimeout = 600 * time.Millisecond
	// maxOriginFetches limits the concurrent fetches of one depot from the origin,
	// maxOriginFetchers the depots that fetch from it: the origin accepts a few
	// dozen connections and resets any more.
	maxOriginFetches  = 3
	maxOriginFetchers = 8
)

// VersionArgs identifies the weights that a call is about.
type VersionArgs struct {
	Model   string
	Version int64
}

// ChunkArgs identifies one chunk.
type ChunkArgs struct {
	VersionArgs
	Chunk int
}

// ChunkReply holds the bytes of a chunk. Busy is set instead when there is no
// upload capacity at the moment.
type ChunkReply struct {
	Data []byte
	Busy bool
}

// UploadLimiter limits the upload rate to a share of the instance's link.
type UploadLimiter struct {
	limiter *rate.Limiter
	share   float64
}

// NewUploadLimiter returns a limiter for a link.
func NewUploadLimiter(linkBitsPerSecond, share float64) *UploadLimiter {
	u := &UploadLimiter{limiter: rate.NewLimiter(rate.Inf, uploadBurst), share: share}
	u.SetBandwidth(linkBitsPerSecond)
	return u
}

// SetBandwidth sets the bandwidth of the link; 0 means that it is unknown, and that
// there is no limit.
func (u *UploadLimiter) SetBandwidth(bitsPerSecond float64) {
	const bitsPerByte = 8
	limit := rate.Inf
	if bitsPerSecond > 0 {
		limit = rate.Limit(u.share * bitsPerSecond / bitsPerByte)
	}
	u.limiter.SetLimit(limit)
}

// Acquire waits until size bytes may be sent. It returns false if that takes too
// long.
func (u *UploadLimiter) Acquire(size int) bool {
	ctx, cancel := context.WithTimeout(context.Background(), uploadTimeout)
	defer cancel()
	return u.limiter.WaitN(ctx, min(size, uploadBurst)) == nil
}

// Upstream says where a depot currently gets the weights from.
type Upstream struct {
	// Origin is the address of the origin.
	Origin string
	// OriginFetchers are the hosts of the entries that may fetch from the origin:
	// the entries of the origin's availability zone, or all entries if it has none.
	OriginFetchers []string
	// Neighbors are the entries of this entry's own availability zone, including
	// itself. Each chunk enters the zone through one of them.
	Neighbors []string
}

// Config holds the settings of a depot.
type Config struct {
	// Host is this entry's IP, Port the peer port.
	Host     string
	Port     int
	Uploads  *UploadLimiter
	Upstream func() Upstream
}

// Depot caches chunks and manifests. It is safe for concurrent use.
type Depot struct {
	config      Config
	origin      *platform.OriginClient
	client      *peer.Client
	log         *logrus.Entry
	chunks      *lru.Cache[ChunkArgs, []byte]
	manifests   *lru.Cache[VersionArgs, platform.Manifest]
	inFlight    singleflight.Group
	originSlots chan struct{}
	// originDown is set while the last fetch from the origin failed.
	originDown atomic.Bool

	mu sync.Mutex
	// prefetchStarts holds the time at which the prefetch of a version started.
	prefetchStarts map[VersionArgs]time.Time
	// newest holds the newest known version of each model.
	newest map[string]int64
}

// New returns an empty depot.
func New(config Config, origin *platform.OriginClient, client *peer.Client, log *logrus.Entry) (*Depot, error) {
	chunks, err := lru.New[ChunkArgs, []byte](MaxChunks)
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal, "report this", "cannot create the depot")
	}
	manifests, err := lru.New[VersionArgs, platform.Manifest](maxManifests)
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal, "report this", "cannot create the depot")
	}
	return &Depot{
		config: config, origin: origin, client: client, log: log, chunks: chunks, manifests: manifests,
		originSlots: make(chan struct{}, maxOriginFetches), prefetchStarts: map[VersionArgs]time.Time{}, newest: map[string]int64{},
	}, nil
}

// Manifest returns the digests of a version. It is a net/rpc method.
func (d *Depot) Manifest(args VersionArgs, reply *platform.Manifest) error {
	if held, found := d.manifests.Get(args); found {
		*reply = held
		return nil
	}
	found, err, _ := d.inFlight.Do("manifest "+args.Model+" "+strconv.FormatInt(args.Version, 10), func() (any, error) {
		return d.fetchManifest(args)
	})
	if err != nil {
		return err
	}
	*reply = found.(platform.Manifest)
	d.manifests.Add(args, *reply)
	return nil
}

// Chunk returns one verified chunk. It is a net/rpc method. A caller that requests
// one chunk will request all of them, so the rest of this depot's part of the
// version is prefetched.
func (d *Depot) Chunk(args ChunkArgs, reply *ChunkReply) error {
	if !d.chunks.Contains(args) {
		d.Prefetch(args.VersionArgs)
	}
	data, err := d.awaitChunk(args)
	if failure.Is(err, failure.Refused) {
		reply.Busy = true
		return nil
	}
	if err != nil {
		return err
	}
	if !d.config.Uploads.Acquire(len(data)) {
		reply.Busy = true
		return nil
	}
	reply.Data = data
	return nil
}

func (d *Depot) getChunk(args ChunkArgs) ([]byte, error) {
	if data, held := d.chunks.Get(args); held {
		return data, nil
	}
	return chunkData(<-d.startFetch(args))
}

// awaitChunk is getChunk with a limit on the wait. A failure.Refused error means that the fetch
// goes on.
func (d *Depot) awaitChunk(args ChunkArgs) ([]byte, error) {
	if data, held := d.chunks.Get(args); held {
		return data, nil
	}
	timer := time.NewTimer(answerTimeout)
	defer timer.Stop()
	select {
	case fetched := <-d.startFetch(args):
		return chunkData(fetched)
	case <-timer.C:
		return nil, failure.New(failure.Refused, "ask again", "chunk %d of %s %d is still being fetched", args.Chunk, args.Model, args.Version)
	}
}

func chunkData(fetched singleflight.Result) ([]byte, error) {
	if fetched.Err != nil {
		return nil, fetched.Err
	}
	return fetched.Val.([]byte), nil
}

// startFetch starts the fetch of a chunk, or joins the one in progress.
func (d *Depot) startFetch(args ChunkArgs) <-chan singleflight.Result {
	key := "chunk " + args.Model + " " + strconv.FormatInt(args.Version, 10) + " " + strconv.Itoa(args.Chunk)
	return d.inFlight.DoChan(key, func() (any, error) {
		// An earlier call may have added the chunk since it was looked up.
		if data, held := d.chunks.Get(args); held {
			return data, nil
		}
		return d.fetchChunk(args)
	})
}

// originFetcher returns the entry that fetches the item named by key from the
// origin.
func (d *Depot) originFetcher(key string, upstream Upstream) string {
	if len(upstream.OriginFetchers) == 0 {
		return d.config.Host
	}
	// All entries have to rank with the same key, also during an upgrade, to select
	// the same fetchers.
	fetchers := member.Rank("drawers", upstream.OriginFetchers)
	return member.Rank(key, fetchers[:min(maxOriginFetchers, len(fetchers))])[0]
}

func (d *Depot) fetchManifest(args VersionArgs) (platform.Manifest, error) {
	upstream := d.config.Upstream()
	if host := d.originFetcher("manifest", upstream); host != d.config.Host {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		var manifest platform.Manifest
		err := d.client.Call(ctx, beat.Address(host, d.config.Port), MethodManifest, args, &manifest)
		if err == nil && manifest.Model == args.Model && manifest.Version == args.Version {
			return manifest, nil
		}
	}
	return OriginManifest(d.origin, upstream.Origin, args)
}

// OriginManifest fetches a manifest twice and compares the results: the origin may
// corrupt it, and there is no digest to detect that.
func OriginManifest(origin *platform.OriginClient, address string, args VersionArgs) (platform.Manifest, error) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	first, err := origin.Manifest(ctx, address, args.Model, args.Version)
	if err != nil {
		return first, err
	}
	second, err := origin.Manifest(ctx, address, args.Model, args.Version)
	if err != nil {
		return second, err
	}
	if !slices.Equal(first.Digests, second.Digests) {
		return first, failure.New(failure.Invalid, "ask again", "the origin told two manifests of %s %d", args.Model, args.Version)
	}
	return first, nil
}

// fetchChunk gets a chunk and retries for a short time while the origin fails, so
// that the callers do not go on to request it from every other depot.
func (d *Depot) fetchChunk(args ChunkArgs) ([]byte, error) {
	began := clock.Now()
	for {
		data, err := d.fetchChunkOnce(args)
		if err == nil || failure.Is(err, failure.Invalid) || failure.Is(err, failure.NotFound) || clock.Now().Sub(began) > d.currentRetryTimeout()-retryDelay {
			return data, err
		}
		time.Sleep(retryDelay)
	}
}

// currentRetryTimeout returns how long a chunk is currently retried.
func (d *Depot) currentRetryTimeout() time.Duration {
	if d.originDown.Load() {
		return originDownRetryTimeout
	}
	return retryTimeout
}

// fetchChunkOnce gets a chunk from the next depot on the path from the origin: the
// one through which chunks enter the availability zone, then the one that fetches
// from the origin.
func (d *Depot) fetchChunkOnce(args ChunkArgs) ([]byte, error) {
	var manifest platform.Manifest
	if err := d.Manifest(args.VersionArgs, &manifest); err != nil {
		return nil, err
	}
	if args.Chunk < 0 || args.Chunk >= len(manifest.Digests) {
		return nil, failure.New(failure.Invalid, "ask for a chunk of the manifest", "%s %d has no chunk %d", args.Model, args.Version, args.Chunk)
	}
	upstream := d.config.Upstream()
	for _, host := range d.upstreamOf(args.Chunk, upstream) {
		data, err := d.fromDepot(host, args, manifest.Digests[args.Chunk])
		// A depot that answered has already tried the depots further upstream.
		if err == nil || failure.Is(err, failure.NotFound) || failure.Is(err, failure.Refused) {
			return data, err
		}
	}
	return d.fromOrigin(upstream.Origin, args, manifest.Digests[args.Chunk])
}

// upstreamOf returns the depots to request a chunk from, the nearest first; none if
// this one fetches it from the origin.
func (d *Depot) upstreamOf(chunk int, upstream Upstream) []string {
	key := strconv.Itoa(chunk)
	fetcher := d.originFetcher(key, upstream)
	if fetcher == d.config.Host {
		return nil
	}
	if zoneDepot := d.zoneDepot(key, upstream); zoneDepot != d.config.Host && zoneDepot != fetcher {
		return []string{zoneDepot, fetcher}
	}
	return []string{fetcher}
}

// zoneDepot returns the entry through which the item named by key enters the
// availability zone.
func (d *Depot) zoneDepot(key string, upstream Upstream) string {
	if len(upstream.Neighbors) == 0 {
		return d.config.Host
	}
	return member.Rank(key, upstream.Neighbors)[0]
}

// fromDepot fetches a chunk from another depot. A failure.NotFound error means that
// the depot could not get the chunk either, failure.Refused that it has no upload
// capacity at the moment.
func (d *Depot) fromDepot(host string, args ChunkArgs, digest weights.Digest) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	var reply ChunkReply
	err := d.client.Call(ctx, beat.Address(host, d.config.Port), MethodChunk, args, &reply)
	switch {
	case failure.Is(err, failure.Refused):
		err = failure.Wrap(err, failure.NotFound, "ask again", "the depot at %s has no chunk %d of %s %d", host, args.Chunk, args.Model, args.Version)
	case err != nil:
	case reply.Busy:
		err = failure.New(failure.Refused, "ask again", "the depot at %s has too much to send", host)
	case weights.DigestOf(reply.Data) != digest:
		err = failure.New(failure.Unknown, "ask elsewhere", "chunk %d of %s %d from %s has another digest", args.Chunk, args.Model, args.Version, host)
	default:
		d.chunks.Add(args, reply.Data)
		return reply.Data, nil
	}
	d.log.WithError(err).WithFields(logrus.Fields{"peer": host, "chunk": args.Chunk, "version": args.Version}).Debug("cannot fetch a chunk from another depot")
	return nil, err
}

func (d *Depot) fromOrigin(address string, args ChunkArgs, digest weights.Digest) ([]byte, error) {
	d.originSlots <- struct{}{}
	defer func() { <-d.originSlots }()
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	began := clock.Now()
	data, err := d.origin.Chunk(ctx, address, args.Model, args.Version, args.Chunk, platform.ChunkLimit(0))
	if err == nil && weights.DigestOf(data) != digest {
		err = failure.New(failure.Invalid, "ask again", "chunk %d of %s %d from the origin has another digest", args.Chunk, args.Model, args.Version)
	}
	log := d.log.WithFields(logrus.Fields{"chunk": args.Chunk, "version": args.Version, "ms": clock.Now().Sub(began).Milliseconds()})
	if err != nil {
		if !d.originDown.Swap(true) {
			log.WithError(err).Warning("the origin of weights is unavailable")
		}
		return nil, err
	}
	if d.originDown.Swap(false) {
		log.Info("the origin of weights is available again")
	}
	d.chunks.Add(args, data)
	return data, nil
}

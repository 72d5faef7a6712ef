// Package depot keeps chunks of weights in passing at an entry: the entry's
// link is much wider than those of the instances that take the weights, and
// each chunk then leaves the origin once and enters each availability zone once.
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

// The calls that depots and agents serve.
const (
	ServiceName    = "Chunks"
	MethodManifest = ServiceName + ".Manifest"
	MethodChunk    = ServiceName + ".Chunk"
)

const (
	// MaxChunks bounds the chunks that a depot keeps.
	MaxChunks = 192
	// maxManifests bounds the manifests that a depot keeps.
	maxManifests = 8
	// fetchLimit bounds one fetch from the origin or another depot.
	fetchLimit = 2 * time.Second
	// patience is how long a depot tries to get a chunk that it is asked for, and
	// lostPatience the same while the origin is lost: who waits for a chunk asks for
	// no other one. retryPause is the pause between two tries.
	patience     = 400 * time.Millisecond
	lostPatience = 150 * time.Millisecond
	retryPause   = 80 * time.Millisecond
	// callLimit bounds a call that carries no chunk.
	callLimit = 1200 * time.Millisecond
	// AgentShare and EntryShare are the parts of a link that uploads may fill.
	// Streams pass the same link: most of an agent's narrow one, a small part of
	// an entry's.
	AgentShare = 0.6
	EntryShare = 0.8
	// uploadBurst is the number of bytes that may be sent at once.
	uploadBurst = 64 << 10
	// uploadWait is how long a call waits for its turn among the uploads.
	uploadWait = 600 * time.Millisecond
	// originConnections bounds the chunks that one depot draws at once, and
	// maxDrawers the depots that draw: the origin takes a few dozen connections
	// and resets those beyond.
	originConnections = 3
	maxDrawers        = 8
)

// VersionArgs names the weights that a call is about.
type VersionArgs struct {
	Model   string
	Version int64
}

// ChunkArgs asks for one chunk.
type ChunkArgs struct {
	VersionArgs
	Chunk int
}

// ChunkReply holds the bytes of a chunk. Busy says that too many others are
// served at the moment.
type ChunkReply struct {
	Data []byte
	Busy bool
}

// Uploads limits what is sent to a share of the instance's link.
type Uploads struct {
	limiter *rate.Limiter
	share   float64
}

// NewUploads returns the limit for a link.
func NewUploads(linkBitsPerSecond, share float64) *Uploads {
	u := &Uploads{limiter: rate.NewLimiter(rate.Inf, uploadBurst), share: share}
	u.SetLink(linkBitsPerSecond)
	return u
}

// SetLink changes the width of the link; 0 is no limit.
func (u *Uploads) SetLink(bitsPerSecond float64) {
	const bitsPerByte = 8
	if bitsPerSecond > 0 {
		u.limiter.SetLimit(rate.Limit(u.share * bitsPerSecond / bitsPerByte))
	}
}

// Turn waits for the turn of size bytes. It returns false when that takes too
// long.
func (u *Uploads) Turn(size int) bool {
	ctx, cancel := context.WithTimeout(context.Background(), uploadWait)
	defer cancel()
	return u.limiter.WaitN(ctx, min(size, uploadBurst)) == nil
}

// Upstream tells a depot where the weights come from now.
type Upstream struct {
	// Origin is the address of the origin.
	Origin string
	// Drawers are the hosts of the entries that may draw from the origin: those
	// of its availability zone, or all when there are none.
	Drawers []string
	// Neighbors are the entries of this entry's own availability zone, itself
	// included: each chunk enters the zone through one of them.
	Neighbors []string
}

// Config holds what a depot is set up with.
type Config struct {
	// Host is this entry's IP, Port the one for peers.
	Host     string
	Port     int
	Uploads  *Uploads
	Upstream func() Upstream
}

// Depot keeps chunks in passing. It is safe for concurrent use.
type Depot struct {
	config    Config
	origin    *platform.Origin
	client    *peer.Client
	log       *logrus.Entry
	chunks    *lru.Cache[ChunkArgs, []byte]
	manifests *lru.Cache[VersionArgs, platform.Manifest]
	flights   singleflight.Group
	drawing   chan struct{}
	// lost says that the last draw from the origin failed.
	lost atomic.Bool

	mu sync.Mutex
	// prefetched holds when the fetch of a version ahead of questions began.
	prefetched map[VersionArgs]time.Time
	// newest holds the newest version of each model that was asked for.
	newest map[string]int64
}

// New returns an empty depot.
func New(config Config, origin *platform.Origin, client *peer.Client, log *logrus.Entry) (*Depot, error) {
	chunks, err := lru.New[ChunkArgs, []byte](MaxChunks)
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal, "report this", "the depot cannot be set up")
	}
	manifests, err := lru.New[VersionArgs, platform.Manifest](maxManifests)
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal, "report this", "the depot cannot be set up")
	}
	return &Depot{
		config: config, origin: origin, client: client, log: log, chunks: chunks, manifests: manifests,
		drawing: make(chan struct{}, originConnections), prefetched: map[VersionArgs]time.Time{}, newest: map[string]int64{},
	}, nil
}

// Manifest returns the digests of a version. It is a net/rpc method.
func (d *Depot) Manifest(args VersionArgs, reply *platform.Manifest) error {
	if held, found := d.manifests.Get(args); found {
		*reply = held
		return nil
	}
	found, err, _ := d.flights.Do("manifest "+args.Model+" "+strconv.FormatInt(args.Version, 10), func() (any, error) {
		return d.fetchManifest(args)
	})
	if err != nil {
		return err
	}
	*reply = found.(platform.Manifest)
	d.manifests.Add(args, *reply)
	return nil
}

// Chunk returns one verified chunk. It is a net/rpc method. Who asks for one will
// ask for all: the rest of this depot's part of the version is fetched ahead.
func (d *Depot) Chunk(args ChunkArgs, reply *ChunkReply) error {
	if !d.chunks.Contains(args) {
		d.Prefetch(args.VersionArgs)
	}
	data, err := d.chunk(args)
	if err != nil {
		return err
	}
	if !d.config.Uploads.Turn(len(data)) {
		reply.Busy = true
		return nil
	}
	reply.Data = data
	return nil
}

func (d *Depot) chunk(args ChunkArgs) ([]byte, error) {
	if data, held := d.chunks.Get(args); held {
		return data, nil
	}
	key := "chunk " + args.Model + " " + strconv.FormatInt(args.Version, 10) + " " + strconv.Itoa(args.Chunk)
	data, err, _ := d.flights.Do(key, func() (any, error) {
		// An earlier flight may have ended after the look above.
		if data, held := d.chunks.Get(args); held {
			return data, nil
		}
		return d.fetchChunk(args)
	})
	if err != nil {
		return nil, err
	}
	return data.([]byte), nil
}

// drawer returns the entry that draws what key names from the origin.
func (d *Depot) drawer(key string, upstream Upstream) string {
	if len(upstream.Drawers) == 0 {
		return d.config.Host
	}
	drawers := member.Rank("drawers", upstream.Drawers)
	return member.Rank(key, drawers[:min(maxDrawers, len(drawers))])[0]
}

func (d *Depot) fetchManifest(args VersionArgs) (platform.Manifest, error) {
	upstream := d.config.Upstream()
	if host := d.drawer("manifest", upstream); host != d.config.Host {
		ctx, cancel := context.WithTimeout(context.Background(), callLimit)
		defer cancel()
		var manifest platform.Manifest
		err := d.client.Call(ctx, beat.Address(host, d.config.Port), MethodManifest, args, &manifest)
		if err == nil && manifest.Model == args.Model && manifest.Version == args.Version {
			return manifest, nil
		}
	}
	return OriginManifest(d.origin, upstream.Origin, args)
}

// OriginManifest fetches a manifest twice, since the origin may garble it and
// nothing else tells.
func OriginManifest(origin *platform.Origin, address string, args VersionArgs) (platform.Manifest, error) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchLimit)
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

// fetchChunk gets a chunk and tries again for a moment while the origin fails, so
// that those who wait for it don't go on to ask every other depot.
func (d *Depot) fetchChunk(args ChunkArgs) ([]byte, error) {
	began := clock.Now()
	for {
		data, err := d.tryChunk(args)
		if err == nil || failure.Is(err, failure.Invalid) || failure.Is(err, failure.NotFound) || clock.Now().Sub(began) > d.tryFor()-retryPause {
			return data, err
		}
		time.Sleep(retryPause)
	}
}

// tryFor returns how long a chunk is tried for now.
func (d *Depot) tryFor() time.Duration {
	if d.lost.Load() {
		return lostPatience
	}
	return patience
}

// tryChunk gets a chunk from the next depot on its way from the origin: the one
// through which it enters the availability zone, then the one that draws it.
func (d *Depot) tryChunk(args ChunkArgs) ([]byte, error) {
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
		// A depot that has answered has asked further upstream itself.
		if err == nil || failure.Is(err, failure.NotFound) || failure.Is(err, failure.Refused) {
			return data, err
		}
	}
	return d.fromOrigin(upstream.Origin, args, manifest.Digests[args.Chunk])
}

// upstreamOf returns the depots to ask for a chunk, the nearest first; none when this
// one draws it from the origin.
func (d *Depot) upstreamOf(chunk int, upstream Upstream) []string {
	key := strconv.Itoa(chunk)
	drawer := d.drawer(key, upstream)
	if drawer == d.config.Host {
		return nil
	}
	if zoneDepot := d.zoneDepot(key, upstream); zoneDepot != d.config.Host && zoneDepot != drawer {
		return []string{zoneDepot, drawer}
	}
	return []string{drawer}
}

// zoneDepot returns the entry through which what key names enters the availability
// zone.
func (d *Depot) zoneDepot(key string, upstream Upstream) string {
	if len(upstream.Neighbors) == 0 {
		return d.config.Host
	}
	return member.Rank(key, upstream.Neighbors)[0]
}

// fromDepot asks another depot. A failure.NotFound error means that it could not
// get the chunk either, failure.Refused that it has too much to send now.
func (d *Depot) fromDepot(host string, args ChunkArgs, digest weights.Digest) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchLimit)
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
	d.log.WithError(err).WithFields(logrus.Fields{"peer": host, "chunk": args.Chunk, "version": args.Version}).Debug("another depot did not give a chunk")
	return nil, err
}

func (d *Depot) fromOrigin(address string, args ChunkArgs, digest weights.Digest) ([]byte, error) {
	d.drawing <- struct{}{}
	defer func() { <-d.drawing }()
	ctx, cancel := context.WithTimeout(context.Background(), fetchLimit)
	defer cancel()
	began := clock.Now()
	data, err := d.origin.Chunk(ctx, address, args.Model, args.Version, args.Chunk)
	if err == nil && weights.DigestOf(data) != digest {
		err = failure.New(failure.Invalid, "ask again", "chunk %d of %s %d from the origin has another digest", args.Chunk, args.Model, args.Version)
	}
	log := d.log.WithFields(logrus.Fields{"chunk": args.Chunk, "version": args.Version, "ms": clock.Now().Sub(began).Milliseconds()})
	if err != nil {
		if !d.lost.Swap(true) {
			log.WithError(err).Warning("the origin of weights was lost")
		}
		return nil, err
	}
	if d.lost.Swap(false) {
		log.Info("the origin of weights was regained")
	}
	d.chunks.Add(args, data)
	return data, nil
}

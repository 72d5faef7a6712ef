// Package depot keeps chunks of weights in passing at an entry: the entry's
// link is much wider than those of the instances that take the weights, and
// each chunk then leaves the origin once and enters each availability zone once.
package depot

import (
	"context"
	"slices"
	"strconv"
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
	// callLimit bounds a call that carries no chunk.
	callLimit = 1200 * time.Millisecond
	// uploadShare is the part of a link that uploads may fill; streams pass the
	// same link.
	uploadShare = 0.6
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
}

// NewUploads returns the limit for a link.
func NewUploads(linkBitsPerSecond float64) *Uploads {
	u := &Uploads{limiter: rate.NewLimiter(rate.Inf, uploadBurst)}
	u.SetLink(linkBitsPerSecond)
	return u
}

// SetLink changes the width of the link; 0 is no limit.
func (u *Uploads) SetLink(bitsPerSecond float64) {
	const bitsPerByte = 8
	if bitsPerSecond > 0 {
		u.limiter.SetLimit(rate.Limit(uploadShare * bitsPerSecond / bitsPerByte))
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
		drawing: make(chan struct{}, originConnections),
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

// Chunk returns one verified chunk. It is a net/rpc method.
func (d *Depot) Chunk(args ChunkArgs, reply *ChunkReply) error {
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
	data, err, _ := d.flights.Do(key, func() (any, error) { return d.fetchChunk(args) })
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
	drawers := member.Rank("drawers", slices.Clone(upstream.Drawers))
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

// fetchChunk gets a chunk from the entry that draws it, or from the origin.
func (d *Depot) fetchChunk(args ChunkArgs) ([]byte, error) {
	var manifest platform.Manifest
	if err := d.Manifest(args.VersionArgs, &manifest); err != nil {
		return nil, err
	}
	if args.Chunk < 0 || args.Chunk >= len(manifest.Digests) {
		return nil, failure.New(failure.Invalid, "ask for a chunk of the manifest", "%s %d has no chunk %d", args.Model, args.Version, args.Chunk)
	}
	upstream := d.config.Upstream()
	if host := d.drawer(strconv.Itoa(args.Chunk), upstream); host != d.config.Host {
		if data, ok := d.fromDepot(host, args, manifest.Digests[args.Chunk]); ok {
			return data, nil
		}
	}
	return d.fromOrigin(upstream.Origin, args, manifest.Digests[args.Chunk])
}

func (d *Depot) fromDepot(host string, args ChunkArgs, digest weights.Digest) ([]byte, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchLimit)
	defer cancel()
	var reply ChunkReply
	err := d.client.Call(ctx, beat.Address(host, d.config.Port), MethodChunk, args, &reply)
	if err != nil || reply.Busy || weights.DigestOf(reply.Data) != digest {
		d.log.WithError(err).WithFields(logrus.Fields{"peer": host, "chunk": args.Chunk, "version": args.Version}).Info("another depot did not give a chunk")
		return nil, false
	}
	d.chunks.Add(args, reply.Data)
	return reply.Data, true
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
	if err != nil {
		d.log.WithError(err).WithFields(logrus.Fields{
			"chunk": args.Chunk, "version": args.Version, "ms": clock.Now().Sub(began).Milliseconds(),
		}).Info("the origin did not give a chunk")
		return nil, err
	}
	d.chunks.Add(args, data)
	return data, nil
}

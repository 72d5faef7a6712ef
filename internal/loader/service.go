package loader

import (
	"context"
	"time"

	"golang.org/x/time/rate"

	"plantainrelay/internal/beat"
	"plantainrelay/internal/failure"
	"plantainrelay/internal/weights"
	"plantainrelay/platform"
)

// The calls between agents.
const (
	serviceName    = "Chunks"
	methodManifest = serviceName + ".Manifest"
	methodChunk    = serviceName + ".Chunk"
	methodHave     = serviceName + ".Have"
	methodOffer    = serviceName + ".Offer"
)

// callLimit bounds a call between agents that carries no chunk.
const callLimit = 700 * time.Millisecond

// chunkLimit bounds the fetch of one chunk: many times what it takes on an
// instance's link while others use it, too.
const chunkLimit = 2500 * time.Millisecond

const (
	// uploadShare is the part of an instance's link that uploads may fill; the
	// streams of the engine beside the agent pass the same link.
	uploadShare = 0.6
	// uploadWait is how long a call waits for its turn among the uploads.
	uploadWait = 400 * time.Millisecond
	// uploadBurst is the number of bytes that may be sent at once.
	uploadBurst = 64 << 10
)

// newUploads returns the limiter of uploads over a link.
func newUploads(linkBitsPerSecond float64) *rate.Limiter {
	const bitsPerByte = 8
	if linkBitsPerSecond <= 0 {
		return rate.NewLimiter(rate.Inf, uploadBurst)
	}
	return rate.NewLimiter(rate.Limit(uploadShare*linkBitsPerSecond/bitsPerByte), uploadBurst)
}

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

// HaveReply names the chunks held.
type HaveReply struct {
	Have weights.Bitmap
}

// OfferArgs tells of chunks held at From, and passes turns at the origin on.
type OfferArgs struct {
	VersionArgs
	From   string
	Chunks []int
	Turns  []int
}

// Empty is a reply without content.
type Empty struct{}

// Service serves other agents.
type Service struct {
	agent *agent
}

// Manifest returns the digests of a version.
func (s *Service) Manifest(args VersionArgs, reply *platform.Manifest) error {
	manifest, found := s.agent.holding.manifest(args.Version)
	if !found || manifest.Model != args.Model {
		return failure.New(failure.NotFound, "ask another instance", "the manifest of %s %d is not held", args.Model, args.Version)
	}
	*reply = manifest
	return nil
}

// Chunk returns one verified chunk.
func (s *Service) Chunk(args ChunkArgs, reply *ChunkReply) error {
	data, found := s.agent.holding.chunk(args.Version, args.Chunk)
	if !found {
		return failure.New(failure.NotFound, "ask another instance", "chunk %d of %s %d is not held", args.Chunk, args.Model, args.Version)
	}
	ctx, cancel := context.WithTimeout(context.Background(), uploadWait)
	defer cancel()
	if s.agent.uploads.WaitN(ctx, len(data)) != nil {
		reply.Busy = true
		return nil
	}
	reply.Data = data
	return nil
}

// Have names the chunks held of a version.
func (s *Service) Have(args VersionArgs, reply *HaveReply) error {
	have, found := s.agent.holding.have(args.Version)
	if !found {
		return failure.New(failure.NotFound, "ask another instance", "nothing of %s %d is held", args.Model, args.Version)
	}
	reply.Have = have
	return nil
}

// Offer takes in what another agent holds.
func (s *Service) Offer(args OfferArgs, _ *Empty) error {
	return s.agent.offered(args)
}

// call runs a call at the agent with the given IP.
func (a *agent) call(ctx context.Context, host, method string, limit time.Duration, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return a.client.Call(ctx, beat.Address(host, a.settings.PeerPort), method, args, reply)
}

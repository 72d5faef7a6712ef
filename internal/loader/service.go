package loader

import (
	"context"
	"time"

	"plantainrelay/internal/beat"
	"plantainrelay/internal/depot"
	"plantainrelay/internal/failure"
	"plantainrelay/internal/weights"
	"plantainrelay/platform"
)

const (
	// callTimeout is the timeout of a call to a depot or an agent that carries no
	// chunk.
	callTimeout = 1500 * time.Millisecond
	// chunkTimeout is the timeout of the fetch of one chunk: many times what it
	// takes on an instance's link, since others use the link, too.
	chunkTimeout = 2500 * time.Millisecond
	// maxStagedReadBytes bounds the chunks that are read from the engine's staging area for
	// other agents at the same time.
	maxStagedReadBytes = 8 << 20
)

// Service serves the chunks held here to other agents.
type Service struct {
	agent *agent
}

// Manifest returns the digests of a version. It is a net/rpc method.
func (s *Service) Manifest(args depot.VersionArgs, reply *platform.Manifest) error {
	manifest, found := s.agent.chunks.manifest(args.Version)
	if !found || manifest.Model != args.Model {
		return failure.New(failure.NotFound, "ask another instance", "the manifest of %s %d is not held", args.Model, args.Version)
	}
	*reply = manifest
	return nil
}

// Chunk returns one verified chunk. It is a net/rpc method.
func (s *Service) Chunk(args depot.ChunkArgs, reply *depot.ChunkReply) error {
	data, found := s.agent.chunks.chunk(args.Version, args.Chunk)
	if !found {
		limit := s.agent.chunkLimit()
		if !s.agent.stagedReads.TryAcquire(limit) {
			reply.Busy = true
			return nil
		}
		defer s.agent.stagedReads.Release(limit)
		data, found = s.agent.readStagedChunk(args, limit)
	}
	if !found {
		return failure.New(failure.NotFound, "ask another instance", "chunk %d of %s %d is not held", args.Chunk, args.Model, args.Version)
	}
	if !s.agent.uploads.Acquire(len(data)) {
		reply.Busy = true
		return nil
	}
	reply.Data = data
	return nil
}

// readStagedChunk reads a chunk that this process no longer holds from the engine's
// staging area.
func (a *agent) readStagedChunk(args depot.ChunkArgs, limit int64) ([]byte, bool) {
	manifest, known := a.chunks.manifest(args.Version)
	if !known || args.Chunk < 0 || args.Chunk >= len(manifest.Digests) {
		return nil, false
	}
	ctx, cancel := context.WithTimeout(context.Background(), engineCallTimeout)
	defer cancel()
	data, err := a.engine.ReadStaged(ctx, args.Model, args.Chunk, limit)
	if err != nil {
		a.log.WithError(err).WithField("chunk", args.Chunk).Debug("cannot read a staged chunk")
		return nil, false
	}
	return data, weights.DigestOf(data) == manifest.Digests[args.Chunk]
}

// call calls method at the peer port of host.
func (a *agent) call(ctx context.Context, host, method string, timeout time.Duration, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return a.client.Call(ctx, beat.Address(host, a.settings.PeerPort), method, args, reply)
}

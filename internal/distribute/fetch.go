package distribute

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"plantainrelay/internal/clock"
	"plantainrelay/internal/failure"
	"plantainrelay/internal/message"
	"plantainrelay/internal/peer"
	"plantainrelay/internal/swarm"
	"plantainrelay/internal/weights"
)

const (
	dialTimeout      = 2 * time.Second
	maxIdlePerSource = 8
	// pacedReadBytes is the largest size of a single read from another region, and
	// the burst size of the rate limiter.
	pacedReadBytes = 32 << 10
)

var errBusy = failure.New(failure.Refused, "ask again later", "the source is overloaded")

// chunkClient fetches chunks from other agents over HTTP.
type chunkClient struct {
	security peer.Security
	client   *http.Client
}

func newChunkClient(security peer.Security, timeout time.Duration) *chunkClient {
	transport := message.NewTransport(&net.Dialer{Timeout: dialTimeout})
	transport.MaxIdleConnsPerHost, transport.TLSClientConfig = maxIdlePerSource, security.ClientTLS
	return &chunkClient{security: security, client: &http.Client{Transport: transport, Timeout: timeout}}
}

func (c *chunkClient) openChunk(ctx context.Context, address string, manifest weights.Digest, chunk int) (io.ReadCloser, error) {
	url := fmt.Sprintf("%s://%s/plantain/v1/chunks/%s/%d", c.security.Scheme(), address, manifest, chunk)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	c.security.Authorize(request.Header)
	response, err := c.client.Do(request)
	if err != nil {
		return nil, err
	}
	switch response.StatusCode {
	case http.StatusOK:
		return response.Body, nil
	case http.StatusServiceUnavailable:
		err = errBusy
	case http.StatusNotFound:
		err = failure.New(failure.NotFound, "take another source", "%s does not hold the chunk", address)
	default:
		err = failure.New(failure.Refused, "take another source", "%s answered a request for a chunk with status %d", address, response.StatusCode)
	}
	response.Body.Close()
	return nil, err
}

// transfer holds the data that a fetch needs outside the driver's goroutine.
type transfer struct {
	fetch       swarm.Fetch
	digest      weights.Digest
	manifest    *weights.Manifest
	address     string
	rateLimited bool
}

func (d *Driver) startFetch(ctx context.Context, fetch swarm.Fetch) {
	t := transfer{
		fetch:       fetch,
		digest:      d.rollout.Target().Manifest,
		manifest:    d.manifest,
		address:     d.fleet.instances[fetch.Source].HTTPAddress,
		rateLimited: d.inOtherRegion(fetch.Source),
	}
	plan := d.plan
	go func() {
		outcome := d.fetch(ctx, t)
		d.send(ctx, chunkFetched{plan: plan, fetch: fetch, outcome: outcome})
	}()
}

// fetch fetches one chunk, verifies it and stages it in the engine.
func (d *Driver) fetch(ctx context.Context, t transfer) swarm.Outcome {
	size := t.manifest.ChunkBytes(t.fetch.Chunk)
	if err := d.memory.Acquire(ctx, size); err != nil {
		return swarm.Dropped
	}
	defer d.memory.Release(size)
	ctx, cancel := context.WithTimeout(ctx, d.config.ChunkTimeout)
	defer cancel()
	data, err := d.read(ctx, cancel, t, size)
	if err != nil {
		d.log.WithError(err).WithField("source", t.fetch.Source).Debug("cannot fetch a chunk")
		return outcomeOf(err)
	}
	if weights.DigestOf(data) != t.manifest.Chunks[t.fetch.Chunk] {
		d.log.WithField("source", t.fetch.Source).Warning("received a corrupt chunk; fetching it again")
		return swarm.Corrupt
	}
	if err := d.controller.Stage(ctx, t.digest, t.fetch.Chunk, data); err != nil {
		d.log.WithError(err).Warning("cannot stage a chunk")
		clock.Sleep(ctx, minBackoff)
		return swarm.Dropped
	}
	return swarm.Verified
}

func outcomeOf(err error) swarm.Outcome {
	switch {
	case errors.Is(err, errBusy):
		return swarm.Busy
	case failure.KindOf(err) == failure.NotFound:
		return swarm.Absent
	}
	return swarm.Failed
}

// read reads one chunk. It cancels the transfer if the source sends no data for
// StallTimeout.
func (d *Driver) read(ctx context.Context, cancel context.CancelFunc, t transfer, size int64) ([]byte, error) {
	stallTimer := time.AfterFunc(d.config.StallTimeout, cancel)
	defer stallTimer.Stop()
	body, err := d.openChunk(ctx, t)
	if err != nil {
		return nil, err
	}
	defer body.Close()
	return readChunk(&stallReader{ctx: ctx, from: body, driver: d, stallTimer: stallTimer, rateLimited: t.rateLimited}, size)
}

func (d *Driver) openChunk(ctx context.Context, t transfer) (io.ReadCloser, error) {
	if t.fetch.Source == swarm.Origin {
		return d.origin.Chunk(ctx, t.manifest.Chunks[t.fetch.Chunk])
	}
	return d.chunks.openChunk(ctx, t.address, t.digest, t.fetch.Chunk)
}

// readChunk reads exactly size bytes and fails if there are fewer. Bytes beyond
// size are not read.
func readChunk(from io.Reader, size int64) ([]byte, error) {
	data := make([]byte, size)
	_, err := io.ReadFull(from, data)
	return data, err
}

// stallReader restarts the stall timer after each read. It limits the rate of
// reads from other regions; the time spent waiting for the limiter does not count
// as a stall.
type stallReader struct {
	ctx         context.Context
	from        io.Reader
	driver      *Driver
	stallTimer  *time.Timer
	rateLimited bool
}

// Read implements io.Reader.
func (r *stallReader) Read(into []byte) (int, error) {
	if r.rateLimited {
		into = into[:min(len(into), pacedReadBytes)]
	}
	count, err := r.from.Read(into)
	if r.rateLimited && count > 0 {
		r.stallTimer.Stop()
		if waitErr := r.driver.regionLimiter.WaitN(r.ctx, count); waitErr != nil {
			return count, waitErr
		}
	}
	if count > 0 {
		r.stallTimer.Reset(r.driver.config.StallTimeout)
	}
	return count, err
}

// chunkFetched is the event of a completed fetch.
type chunkFetched struct {
	plan    *swarm.Plan
	fetch   swarm.Fetch
	outcome swarm.Outcome
}

func (e chunkFetched) apply(ctx context.Context, d *Driver) {
	if d.plan != e.plan {
		return
	}
	d.plan.FinishFetch(e.fetch, e.outcome, time.Now())
	d.reportIfComplete(ctx)
}

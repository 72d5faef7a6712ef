package distribute

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"plantainrelay/internal/failure"
	"plantainrelay/internal/member"
	"plantainrelay/internal/message"
	"plantainrelay/internal/peer"
	"plantainrelay/internal/swarm"
	"plantainrelay/internal/weights"
)

const (
	dialTimeout      = 2 * time.Second
	maxIdlePerSource = 8
)

// chunkClient reads chunks from other agents over HTTP.
type chunkClient struct {
	security peer.Security
	client   *http.Client
}

func newChunkClient(security peer.Security, timeout time.Duration) *chunkClient {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdlePerSource,
		DisableCompression:  true,
		TLSClientConfig:     security.ClientTLS,
	}
	return &chunkClient{security: security, client: &http.Client{Transport: transport, Timeout: timeout}}
}

func (c *chunkClient) open(ctx context.Context, address string, manifest weights.Digest, chunk int) (io.ReadCloser, error) {
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
	if response.StatusCode != http.StatusOK {
		response.Body.Close()
		return nil, failure.New(failure.NotFound, "take another source", "%s answered status %d for a chunk", address, response.StatusCode)
	}
	return response.Body, nil
}

func (d *Driver) startFetch(ctx context.Context, fetch swarm.Fetch) {
	manifest, digest := d.manifest, d.rollout.Target().Manifest
	address := d.addresses[fetch.Source]
	go func() {
		outcome := d.fetch(ctx, manifest, digest, fetch, address)
		d.send(ctx, chunkFetched{digest: digest, fetch: fetch, outcome: outcome})
	}()
}

// fetch gets one chunk, verifies it and stages it with the engine.
func (d *Driver) fetch(ctx context.Context, manifest *weights.Manifest, digest weights.Digest, fetch swarm.Fetch, address string) swarm.Outcome {
	ctx, cancel := context.WithTimeout(ctx, d.config.ChunkTimeout)
	defer cancel()
	data, err := d.read(ctx, manifest, digest, fetch, address)
	if err != nil {
		d.log.WithError(err).WithField("source", fetch.Source).Debug("a chunk did not arrive")
		return swarm.Failed
	}
	if weights.DigestOf(data) != manifest.Chunks[fetch.Chunk] {
		d.log.WithField("source", fetch.Source).Warning("a chunk arrived corrupted; it is fetched elsewhere")
		return swarm.Corrupt
	}
	if err := d.model.Stage(ctx, digest, fetch.Chunk, data); err != nil {
		d.log.WithError(err).Warning("the engine did not take a chunk")
		return swarm.Failed
	}
	return swarm.Verified
}

func (d *Driver) read(ctx context.Context, manifest *weights.Manifest, digest weights.Digest, fetch swarm.Fetch, address string) ([]byte, error) {
	body, err := d.openChunk(ctx, manifest, digest, fetch, address)
	if err != nil {
		return nil, err
	}
	defer body.Close()
	data := make([]byte, manifest.ChunkBytes(fetch.Chunk))
	_, err = io.ReadFull(body, data)
	return data, err
}

func (d *Driver) openChunk(ctx context.Context, manifest *weights.Manifest, digest weights.Digest, fetch swarm.Fetch, address string) (io.ReadCloser, error) {
	if fetch.Source == swarm.Origin {
		return d.origin.Chunk(ctx, manifest.Chunks[fetch.Chunk])
	}
	return d.chunks.open(ctx, address, digest, fetch.Chunk)
}

// chunkFetched is the result of one fetch.
type chunkFetched struct {
	digest  weights.Digest
	fetch   swarm.Fetch
	outcome swarm.Outcome
}

func (e chunkFetched) apply(ctx context.Context, d *Driver) {
	if d.plan == nil || e.digest != d.rollout.Target().Manifest {
		return
	}
	d.plan.Finish(e.fetch, e.outcome, time.Now())
	d.checkComplete(ctx)
}

// startAnnounce tells the responsible entry what is held here.
func (d *Driver) startAnnounce(ctx context.Context) {
	d.announcing = true
	args := message.AnnounceArgs{
		Instance:         d.config.Self,
		Pool:             d.Status().Pool,
		AvailabilityZone: d.config.AvailabilityZone,
		Region:           d.config.Region,
		HTTPAddress:      d.config.HTTPAddress,
		Manifest:         d.rollout.Target().Manifest,
		Have:             d.plan.Have(),
		Stage:            d.rollout.Stage(),
	}
	go func() {
		reply, err := d.announce(ctx, args)
		d.send(ctx, announced{digest: args.Manifest, reply: reply, err: err})
	}()
}

// announce asks the entries in the order of their responsibility for the
// manifest until one answers.
func (d *Driver) announce(ctx context.Context, args message.AnnounceArgs) (message.AnnounceReply, error) {
	list := d.members.Current()
	var names []string
	for _, instance := range list.Role(member.RoleEntry) {
		if instance.State == member.StateLive {
			names = append(names, instance.Name)
		}
	}
	err := failure.New(failure.NotReachable, "start an entry", "the list names no live entry")
	for _, name := range member.Rank(string(args.Manifest), names) {
		instance, _ := list.Find(name)
		var reply message.AnnounceReply
		if err = d.callTracker(ctx, instance.ControlAddress, args, &reply); err == nil {
			return reply, nil
		}
	}
	return message.AnnounceReply{}, err
}

func (d *Driver) callTracker(ctx context.Context, address string, args message.AnnounceArgs, reply *message.AnnounceReply) error {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return d.client.Call(ctx, address, message.MethodAnnounce, args, reply)
}

// announced is the answer of a tracker.
type announced struct {
	digest weights.Digest
	reply  message.AnnounceReply
	err    error
}

func (e announced) apply(ctx context.Context, d *Driver) {
	d.announcing = false
	d.announceNext = time.Now().Add(d.config.AnnounceInterval)
	if e.err != nil {
		d.log.WithError(e.err).Debug("no tracker answered")
		return
	}
	if d.plan == nil || e.digest != d.rollout.Target().Manifest {
		return
	}
	d.addresses = map[string]string{}
	peers := make([]swarm.Peer, 0, len(e.reply.Holders))
	for _, holder := range e.reply.Holders {
		d.addresses[holder.Instance] = d.addressOf(holder)
		peers = append(peers, swarm.Peer{Name: holder.Instance, AvailabilityZone: holder.AvailabilityZone, Region: holder.Region, Have: holder.Have})
	}
	d.plan.SetPeers(peers)
	if e.reply.Permit {
		d.act(ctx, d.rollout.Permitted(e.digest, time.Now()))
	}
}

// addressOf returns the address at which this process reaches a holder: the
// one in its own list, or else the one that the holder announced.
func (d *Driver) addressOf(holder message.Holder) string {
	if instance, found := d.members.Current().Find(holder.Instance); found {
		return instance.HTTPAddress
	}
	return holder.HTTPAddress
}

package distribute

import (
	"context"
	"time"

	"plantainrelay/internal/message"
	"plantainrelay/internal/swarm"
	"plantainrelay/internal/weights"
)

const (
	callQueueSize = 1024
	callWorkers   = 8
	callTimeout   = 3 * time.Second
)

// peerCall is an offer to another agent, or a question for its held chunks.
type peerCall struct {
	plan    *swarm.Plan
	address string
	offer   swarm.Offer
	args    message.WeightsExchangeArgs
}

// startCalls queues the offers and questions of a step.
func (d *Driver) startCalls(step swarm.Step) {
	for _, offer := range step.Offers {
		d.queueCall(offer, message.WeightsExchangeArgs{Chunks: offer.Chunks, Turns: offer.OriginGrants})
	}
	for _, name := range step.Asks {
		d.queueCall(swarm.Offer{To: name}, message.WeightsExchangeArgs{Ask: true})
	}
}

// queueCall queues a call. If the queue is full, the call counts as one to a
// reachable agent that did not accept it.
func (d *Driver) queueCall(offer swarm.Offer, args message.WeightsExchangeArgs) {
	args.From, args.Manifest = d.config.Self, d.rollout.Target().Manifest
	call := peerCall{plan: d.plan, address: d.fleet.instances[offer.To].ControlAddress, offer: offer, args: args}
	select {
	case d.calls <- call:
	default:
		callDone{call: call, reached: true}.record(d)
	}
}

// runCalls executes queued calls until ctx ends.
func (d *Driver) runCalls(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case call := <-d.calls:
			d.send(ctx, d.makeCall(ctx, call))
		}
	}
}

func (d *Driver) makeCall(ctx context.Context, call peerCall) callDone {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	done := callDone{call: call}
	if call.address == "" {
		return done
	}
	err := d.client.Call(ctx, call.address, message.MethodWeightsExchange, call.args, &done.reply)
	done.reached = err == nil
	done.participates = done.reached && done.reply.Known
	return done
}

// callDone is the event of a completed call to another agent.
type callDone struct {
	call  peerCall
	reply message.WeightsExchangeReply
	// reached is set if the other agent answered, participates if it takes part in
	// the distribution of the manifest.
	reached, participates bool
}

func (e callDone) apply(_ context.Context, d *Driver) { e.record(d) }

func (e callDone) record(d *Driver) {
	if d.plan != e.call.plan || d.plan == nil {
		return
	}
	switch {
	case !e.call.args.Ask && !e.participates:
		d.plan.RecordOfferFailure(e.call.offer, e.reached, time.Now())
	case e.call.args.Ask && e.participates:
		d.plan.RecordAnswer(e.call.offer.To, e.reply.Have, time.Now())
	case e.call.args.Ask:
		d.plan.RecordAskFailure(e.call.offer.To, e.reached, time.Now())
	}
}

// Service is the net/rpc service "Weights", through which agents tell each other
// which chunks they hold.
type Service struct {
	driver *Driver
}

// NewService returns the service for d.
func NewService(d *Driver) *Service { return &Service{driver: d} }

// Exchange receives an offer and, if asked, replies with the held chunks.
func (s *Service) Exchange(args message.WeightsExchangeArgs, reply *message.WeightsExchangeReply) error {
	s.driver.mu.Lock()
	published := s.driver.published
	s.driver.mu.Unlock()
	if published.digest == "" || published.digest != args.Manifest {
		return nil
	}
	reply.Known = true
	if args.Ask {
		reply.Have = published.have
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	s.driver.send(ctx, peerOffer{args: args})
	return nil
}

// Manifest returns a manifest if this agent has cached it.
func (s *Service) Manifest(args message.ManifestArgs, reply *message.ManifestReply) error {
	if raw, found := s.driver.manifests.raw.Get(args.Digest); found {
		reply.Raw = raw
	}
	return nil
}

// peerOffer is the event of a call from another agent.
type peerOffer struct {
	args message.WeightsExchangeArgs
}

func (e peerOffer) apply(_ context.Context, d *Driver) {
	if d.plan == nil || weights.Digest(e.args.Manifest) != d.rollout.Target().Manifest {
		return
	}
	d.plan.RecordParticipant(e.args.From)
	d.plan.RecordOffer(e.args.From, e.args.Chunks, e.args.Turns, time.Now())
}

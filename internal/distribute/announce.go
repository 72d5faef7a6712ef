package distribute

import (
	"context"
	"time"

	"plantainrelay/internal/failure"
	"plantainrelay/internal/member"
	"plantainrelay/internal/message"
)

// startAnnounce starts an announcement of this instance's progress to the
// responsible entry.
func (d *Driver) startAnnounce(ctx context.Context) {
	d.announcing, d.announceAgain = true, false
	requestedAt := time.Now()
	failures, cause := d.rollout.Failures()
	args := message.AnnounceArgs{
		Instance:         d.config.Self,
		Pool:             d.Status().Pool,
		AvailabilityZone: d.config.AvailabilityZone,
		Manifest:         d.rollout.Target().Manifest,
		Stage:            d.rollout.Stage(),
		Open:             d.gate.State().Open,
		Wants:            d.rollout.WantsPermit(requestedAt),
		Failures:         failures,
		Cause:            cause,
	}
	go func() {
		reply, err := d.announce(ctx, args)
		d.send(ctx, announced{args: args, requestedAt: requestedAt, reply: reply, err: err})
	}()
}

// announce sends args to the live entries, ranked by their responsibility for the
// pool, until one answers.
func (d *Driver) announce(ctx context.Context, args message.AnnounceArgs) (message.AnnounceReply, error) {
	list := d.members.Current()
	var names []string
	for _, instance := range list.Role(member.RoleEntry) {
		if instance.State == member.StateLive {
			names = append(names, instance.Name)
		}
	}
	err := failure.New(failure.NotReachable, "start an entry", "the list of instances contains no live entry")
	for _, name := range member.Rank(args.Pool, names) {
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

// announced is the event of a tracker's answer.
type announced struct {
	args        message.AnnounceArgs
	requestedAt time.Time
	reply       message.AnnounceReply
	err         error
}

func (e announced) apply(ctx context.Context, d *Driver) {
	d.announcing = false
	now := time.Now()
	d.nextAnnounce = now.Add(max(e.reply.Next, d.config.AnnounceInterval))
	if d.announceAgain {
		d.nextAnnounce = now
	}
	if e.err != nil {
		d.permitRefusal = "no tracker answered; start an entry or check the links"
		d.log.WithError(e.err).Debug("no tracker answered")
		return
	}
	d.permitRefusal = e.reply.Refusal
	if e.reply.Permit {
		// The lifetime starts when the request was sent, not when the answer arrived.
		d.perform(ctx, d.rollout.Permitted(e.args.Manifest, e.requestedAt.Add(e.reply.Lifetime), now))
	}
}

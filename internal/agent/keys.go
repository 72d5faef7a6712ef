package agent

import (
	"context"
	"slices"
	"time"

	"plantainrelay/internal/member"
	"plantainrelay/internal/message"
	"plantainrelay/internal/table"
)

// confirmOwnership regularly reports to the gate when the platform last listed this
// instance.
func (p *parts) confirmOwnership(ctx context.Context) {
	started := time.Now()
	ticker := time.NewTicker(confirmInterval)
	defer ticker.Stop()
	for {
		if p.ownsKeys() {
			p.confirmOnce(started)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// ownsKeys reports whether this instance is in a pool with routes that are not
// repeatable, whose keys therefore have owners.
func (p *parts) ownsKeys() bool {
	snapshot := p.sync.Current()
	if snapshot == nil {
		return false
	}
	pool, found := snapshot.PoolOf(p.settings.Instance)
	return found && slices.ContainsFunc(snapshot.Routes, func(route table.Route) bool {
		return route.Pool == pool.Name && !route.Repeatable
	})
}

func (p *parts) confirmOnce(started time.Time) {
	list, readAt := p.members.Read()
	row, listed := list.Find(p.settings.Instance)
	if !listed {
		return
	}
	p.gate.Confirm(earlier(started, readAt))
	if row.State == member.StateLeaving {
		p.gate.ReleaseKeys()
	}
}

// awaitSuccessors waits, up to successorLimit, until other instances own the slots
// of this one, so that they can learn from it which keys it has run.
func (p *parts) awaitSuccessors(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, successorLimit)
	defer cancel()
	for p.gate.OwnsSlots() {
		select {
		case <-ctx.Done():
			return
		case <-time.After(successorCheck):
		}
	}
}

// earlier returns the wall-clock time of at or the time computed from started with
// the monotonic clock, whichever is earlier. A jump of the wall clock since the
// start thus cannot make the result too late.
func earlier(started, at time.Time) time.Time {
	steady := started.Add(at.Sub(started)).Round(0)
	if wall := at.Round(0); wall.Before(steady) {
		return wall
	}
	return steady
}

// Owners applies the map of owners that the caller offers. It returns the current
// one if that is newer than the caller's.
func (s *Service) Owners(args message.OwnersArgs, reply *message.OwnersReply) error {
	held := s.parts.gate.Owners(args.Offer)
	if held == nil {
		return nil
	}
	reply.Revision = held.Revision
	if held.Revision > args.Revision {
		reply.Owners = held
	}
	return nil
}

// KeyFate returns the status of a key and bars it if it was never run.
func (s *Service) KeyFate(args message.KeyFateArgs, reply *message.KeyFateReply) error {
	*reply = s.parts.gate.KeyFate(args)
	return nil
}

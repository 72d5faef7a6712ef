package agent

import (
	"context"
	"slices"
	"time"

	"plantainrelay/internal/member"
	"plantainrelay/internal/message"
	"plantainrelay/internal/table"
)

// confirmOwnership periodically reports to the gate when the platform last listed
// this instance.
func (c *components) confirmOwnership(ctx context.Context) {
	started := time.Now()
	ticker := time.NewTicker(confirmInterval)
	defer ticker.Stop()
	for {
		if c.ownsKeys() {
			c.confirmOnce(started)
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
func (c *components) ownsKeys() bool {
	snapshot := c.sync.Current()
	if snapshot == nil {
		return false
	}
	pool, found := snapshot.PoolOf(c.settings.Instance)
	return found && slices.ContainsFunc(snapshot.Routes, func(route table.Route) bool {
		return route.Pool == pool.Name && !route.Repeatable
	})
}

func (c *components) confirmOnce(started time.Time) {
	list, readAt := c.members.DirectRead()
	row, listed := list.Find(c.settings.Instance)
	if !listed {
		return
	}
	c.gate.ConfirmListed(earlierTime(started, readAt))
	if row.State == member.StateLeaving {
		c.gate.ReleaseKeys()
	}
}

// awaitSuccessors waits, up to successorTimeout, until other instances own the
// slots of this one, so that they can learn from it which keys it has run.
func (c *components) awaitSuccessors(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, successorTimeout)
	defer cancel()
	for c.gate.OwnsSlots() {
		select {
		case <-ctx.Done():
			return
		case <-time.After(successorPollInterval):
		}
	}
}

// earlierTime returns the wall-clock time of at or the time computed from started
// with the monotonic clock, whichever is earlier. A jump of the wall clock since
// the start thus cannot make the result too late.
func earlierTime(started, at time.Time) time.Time {
	monotonic := started.Add(at.Sub(started)).Round(0)
	if wall := at.Round(0); wall.Before(monotonic) {
		return wall
	}
	return monotonic
}

// Owners applies the map of owners that the caller offers. It returns the current
// one if that is newer than the caller's.
func (s *Service) Owners(args message.OwnersArgs, reply *message.OwnersReply) error {
	held := s.components.gate.UpdateOwners(args.Offer)
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
func (s *Service) KeyFate(args message.KeyStatusArgs, reply *message.KeyStatusReply) error {
	*reply = s.components.gate.KeyStatus(args)
	return nil
}

package tracker

import "plantainrelay/internal/message"

// Service is the net/rpc service "Tracker".
type Service struct {
	tracker *Tracker
}

// NewService returns the service for t.
func NewService(t *Tracker) *Service {
	return &Service{tracker: t}
}

// Announce records an agent's announcement and replies with a permit or the reason
// for its refusal.
func (s *Service) Announce(args message.AnnounceArgs, reply *message.AnnounceReply) error {
	return s.tracker.Announce(args, reply)
}

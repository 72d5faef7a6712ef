package tracker

import "plantainrelay/internal/message"

// Service is the net/rpc service "Tracker" over a Tracker.
type Service struct {
	tracker *Tracker
}

// NewService returns the service over t.
func NewService(t *Tracker) *Service {
	return &Service{tracker: t}
}

// Announce records what an agent holds and answers with the other holders.
func (s *Service) Announce(args message.AnnounceArgs, reply *message.AnnounceReply) error {
	return s.tracker.Announce(args, reply)
}

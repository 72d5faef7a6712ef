package tablesync

import (
	"time"

	"plantainrelay/internal/message"
)

// maxClockDrift is the tolerated drift between two clocks during one echo.
const maxClockDrift = 50 * time.Millisecond

// receivedSummary is the last summary received from a peer, which the next call to that
// peer echoes.
type receivedSummary struct {
	incarnation uint64
	sent        int64
	receivedAt  time.Time
}

// recordSummary keeps a summary that was received from a listed peer, to echo it.
func (s *Sync) recordSummary(summary message.PeerSummary, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	last, found := s.received[summary.From]
	if !found || last.incarnation != summary.Incarnation || summary.Sent > last.sent {
		s.received[summary.From] = receivedSummary{incarnation: summary.Incarnation, sent: summary.Sent, receivedAt: now}
	}
}

// addEcho dates summary, which is composed now for the named peer.
func (s *Sync) addEcho(summary *message.PeerSummary, peer string, now time.Time) {
	summary.Sent = now.Sub(s.started).Milliseconds()
	s.mu.Lock()
	defer s.mu.Unlock()
	if last, found := s.received[peer]; found {
		summary.EchoIncarnation, summary.EchoSent = last.incarnation, last.sent
		summary.Elapsed = now.Sub(last.receivedAt).Milliseconds()
	}
}

// composedAt returns a lower bound of the time at which a peer composed the summary of
// its call, or zero if none is known. A call may have waited in a link, or while this
// process was paused.
func (s *Sync) composedAt(summary message.PeerSummary, now time.Time) time.Time {
	if summary.EchoIncarnation == 0 || summary.EchoIncarnation != s.config.Incarnation {
		return time.Time{}
	}
	composed := s.started.Add(time.Duration(summary.EchoSent+summary.Elapsed) * time.Millisecond)
	switch {
	case composed.After(now.Add(maxClockDrift)):
		return time.Time{}
	case composed.After(now):
		return now
	}
	return composed
}

// forgetSummaries deletes the summaries of peers that are no longer listed.
func (s *Sync) forgetSummaries() {
	list := s.members.Current()
	s.mu.Lock()
	defer s.mu.Unlock()
	for name := range s.received {
		if _, listed := list.Find(name); !listed {
			delete(s.received, name)
		}
	}
}

package intake

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// TestOrderOfClosing guards against connections with requests that are closed while others
// have none, and against the newest ones being closed before those that wait for long.
func TestOrderOfClosing(t *testing.T) {
	c := qt.New(t)
	s := NewConnections[int](4, 100)
	for id := range 4 {
		_, found := s.Opened(id, at(id))
		c.Assert(found, qt.IsFalse)
	}
	s.Running(0)
	s.Reading(1, at(10))
	closed, found := s.Opened(4, at(20))
	c.Check([]any{closed, found}, qt.DeepEquals, []any{2, true})
	s.Closed(2)
	closed, found = s.Opened(5, at(21))
	c.Check([]any{closed, found}, qt.DeepEquals, []any{3, true})
	s.Closed(3)
	s.Running(4)
	s.Running(5)
	// The body of 1 has just begun: the new connection is closed.
	closed, found = s.Opened(6, at(30))
	c.Check([]any{closed, found}, qt.DeepEquals, []any{6, true})
	s.Closed(6)
	closed, found = s.Opened(7, at(10+int(readingGrace/time.Millisecond)))
	c.Check([]any{closed, found}, qt.DeepEquals, []any{1, true})
	s.Closed(1)
	s.Running(7)
	closed, found = s.Opened(8, at(5000))
	c.Check([]any{closed, found}, qt.DeepEquals, []any{8, true})
}

// TestAttemptsHaveRoom guards against callers that leave no descriptor for connections to
// instances.
func TestAttemptsHaveRoom(t *testing.T) {
	c := qt.New(t)
	s := NewConnections[int](4, 5)
	for id := range 4 {
		s.Opened(id, at(id))
	}
	_, found, ok := s.BeginAttempt(at(10))
	c.Check([]bool{found, ok}, qt.DeepEquals, []bool{false, true})
	closed, found, ok := s.BeginAttempt(at(11))
	c.Check([]any{closed, found, ok}, qt.DeepEquals, []any{0, true, true})
	for id := range 4 {
		s.Running(id)
	}
	_, _, ok = s.BeginAttempt(at(12))
	c.Check(ok, qt.IsFalse)
	s.EndAttempt()
	_, _, ok = s.BeginAttempt(at(13))
	c.Check(ok, qt.IsTrue)
}

// TestConnectionsHold checks with random events that the limits hold, and that nothing is left
// at the end.
func TestConnectionsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewConnections[int](5, 8)
		next, now, attempts := 0, 0, 0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += rapid.IntRange(0, 400).Draw(t, "wait")
			id := rapid.IntRange(0, max(next-1, 0)).Draw(t, "id")
			switch rapid.IntRange(0, 6).Draw(t, "action") {
			case 0, 1:
				s.Opened(next, at(now))
				next++
			case 2:
				s.Idle(id, at(now))
			case 3:
				s.Reading(id, at(now))
			case 4:
				s.Running(id)
			case 5:
				s.Closed(id)
			default:
				if _, _, ok := s.BeginAttempt(at(now)); ok {
					attempts++
				} else if attempts > 0 {
					s.EndAttempt()
					attempts--
				}
			}
			clients, _, current := s.Counts()
			if clients < 0 || clients > 5 || clients+current > 8 || current != attempts {
				t.Fatalf("%d clients, %d attempts, expected %d", clients, current, attempts)
			}
		}
		for id := range next {
			s.Closed(id)
		}
		if clients, idle, _ := s.Counts(); clients != 0 || idle != 0 || s.reading.Len() != 0 || len(s.states) != 0 {
			t.Fatalf("left at the end: %+v", s)
		}
	})
}

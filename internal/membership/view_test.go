package membership

import (
	"context"
	"io"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"plantainrelay/internal/member"
)

// slowList is a platform's list whose reads take the given time of a test's clock.
type slowList struct {
	clock time.Time
	takes time.Duration
}

func (l *slowList) Instances(context.Context) (member.List, error) {
	l.clock = l.clock.Add(l.takes)
	return member.List{Instances: []member.Instance{{Name: "entry-1", State: member.StateLive}}}, nil
}

func newTestView(takes time.Duration) (*View, *slowList) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	list := &slowList{clock: time.Unix(1000, 0), takes: takes}
	v := New(Config{}, list, logrus.NewEntry(log))
	v.now = func() time.Time { return list.clock }
	return v, list
}

// TestReadThatSpansAPauseIsDiscarded covers a process that was paused during a read of the
// list: the old list must not override the newer one of its peers.
func TestReadThatSpansAPauseIsDiscarded(t *testing.T) {
	c := qt.New(t)
	v, _ := newTestView(time.Minute)
	v.poll(context.Background())
	c.Assert(v.Current().Instances, qt.HasLen, 0)
	c.Assert(v.LastReadTime().IsZero(), qt.IsTrue)
}

// TestReadIsDatedByItsStart covers a list that the platform answered long before the
// answer was handled: the read counts from its start, and not as newer than a later one.
func TestReadIsDatedByItsStart(t *testing.T) {
	c := qt.New(t)
	v, list := newTestView(2 * time.Second)
	start := list.clock
	v.poll(context.Background())
	c.Assert(v.LastReadTime(), qt.Equals, start)
	later := list.clock.Add(time.Second)
	v.RecordRead(later)
	v.poll(context.Background())
	c.Assert(v.LastReadTime(), qt.Equals, later)
}

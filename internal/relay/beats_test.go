package relay

import (
	"io"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"plantainrelay/internal/beat"
	"plantainrelay/internal/catalog"
	"plantainrelay/internal/clock"
	"plantainrelay/internal/rollout"
)

// TestDelayedMessageDoesNotAgeARelease guards against old weights that are refused too
// early: a message that waited on its way, or at a paused sender, makes a release older
// than it is, the next message of this entry passes that on, and the age grows from
// message to message.
func TestDelayedMessageDoesNotAgeARelease(t *testing.T) {
	c := qt.New(t)
	const bound = 7 * time.Second
	period := rollout.SendPeriod(bound)
	log := logrus.New()
	log.SetOutput(io.Discard)
	logger := logrus.NewEntry(log)
	v := newView(nil, nil, bound, time.Second, logger)
	released := clock.Now()
	releases, _ := v.releases.Load().Add(catalog.Release{Model: "m", Version: 2}, false, released)
	v.releases.Store(releases)
	h := &heartbeater{view: v, log: logger}
	for range 20 {
		h.recordReleaseAges(&beat.Message{Role: beat.Entry, Host: "10.0.0.2", Releases: v.releaseAges(clock.Now()), ComposedAfter: clock.Now().Add(-time.Second)})
	}
	c.Assert(v.minVersion("m", released.Add(period-500*time.Millisecond)), qt.Equals, int64(0))
	h.recordReleaseAges(&beat.Message{Role: beat.Entry, Host: "10.0.0.2", Releases: []beat.Release{{Model: "m", Version: 2, AgeMs: 3000}}})
	c.Assert(v.minVersion("m", released.Add(period-2*time.Second)), qt.Equals, int64(2), qt.Commentf("an entry that saw it before is believed"))
}

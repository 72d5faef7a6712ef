package relay

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"plantainrelay/internal/clock"
	"plantainrelay/internal/copies"
	"plantainrelay/internal/replica"
	"plantainrelay/platform"
	"plantainrelay/platform/standin"
)

// TestShortPauseAtAReleaseLeavesTimeForASilence guards against entries that see a release late,
// after a pause that they do not notice, and send requests to older weights for that much longer:
// an engine that then falls silent begins them after the bound (issue 47).
func TestShortPauseAtAReleaseLeavesTimeForASilence(t *testing.T) {
	// A sound engine was silent for 1,537 ms at least in incident 0013.
	const versionBound, silence = 8 * time.Second, 1550 * time.Millisecond
	for _, paused := range []time.Duration{200 * time.Millisecond, maxTickGap - 10*time.Millisecond} {
		c := qt.New(t)
		logger, _ := logtest.NewNullLogger()
		v := newView(nil, nil, versionBound, 2*time.Second, logrus.NewEntry(logger))
		v.copies = copies.New(copies.Config{Log: v.log, Changed: v.handleChange})
		apply := func(version int64) {
			document := replica.Document{Name: "m", Revision: replica.Revision{Number: version}, Body: []byte(standin.EntryTestRelease("m", version))}
			v.copies.ApplyFromPeer(platform.Releases, replica.Change{Whole: true, AsOf: replica.Revision{Number: version}, Documents: []replica.Document{document}}, clock.Now(), "store")
		}
		apply(1)
		released := clock.Now().Add(-paused)
		v.recordVersionLimits(released)
		apply(2)
		until, limited := v.releases.Load().AllowedUntil("m", 1)
		c.Assert(limited, qt.IsTrue)
		begun := until.Add(silence)
		c.Check(begun.Before(released.Add(versionBound)), qt.IsTrue, qt.Commentf("paused for %s: a request may begin %s after the release", paused, begun.Sub(released)))
	}
}

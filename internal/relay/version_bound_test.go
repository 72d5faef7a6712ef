package relay

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"plantainrelay/internal/catalog"
	"plantainrelay/internal/clock"
	"plantainrelay/internal/placement"
	"plantainrelay/platform/standin"
)

// release makes version 2 of the weights known. Requests may be sent to older ones for the
// given period.
func (f *engineFixture) release(period time.Duration) {
	releases, _ := placement.NewReleases(period, time.Second).Add(catalog.Release{Model: modelName, Version: 2}, false, clock.Now())
	f.frontend.view.releases.Store(releases)
}

// TestOwnEndsNameTheirReason guards against attempts that the entry ends itself and whose log
// lines do not say why, so that a bound can't be told from a silence (incident 0013).
func TestOwnEndsNameTheirReason(t *testing.T) {
	c := qt.New(t)
	f := newEngineFixture(t, 1)
	f.engines[0].SetFaults(standin.BackendFaults{Hang: true})
	f.release(20 * time.Millisecond)
	log := logtest.NewLocal(f.frontend.log.Logger)
	_, _, err := f.writeWithin(5*time.Second, "ended", 2, firstPart)
	c.Assert(err, qt.IsNil)
	var found bool
	for _, entry := range log.AllEntries() {
		if entry.Message != "this entry has ended an attempt" {
			continue
		}
		found = true
		c.Check(entry.Data["reason"], qt.Equals, endedForVersionBound)
		c.Check(entry.Data["version"], qt.Equals, int64(1))
		c.Check(entry.Data["newer_version"], qt.Equals, int64(2))
		c.Check(entry.Data["newer_version_age_ms"].(int64) > 0, qt.IsTrue)
		c.Check(entry.Data["start_limit_ms"].(int64) > 0, qt.IsTrue)
	}
	c.Assert(found, qt.IsTrue)
}

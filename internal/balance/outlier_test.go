package balance_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/balance"
)

var outlierConfig = balance.OutlierConfig{
	MinSamples: 10, SlowFactor: 3, MaxFailureShare: 0.5, EjectionTime: 5 * time.Second, MaxEjectionTime: time.Minute, RampUp: 10 * time.Second, MaxEjectedShare: 0.5,
}

var outlierEpoch = time.Unix(1_700_000_000, 0)

func observe(o *balance.OutlierDetector, pool []string, took map[string]time.Duration, now time.Time) {
	for range 30 {
		for _, name := range pool {
			o.Observe(name, took[name], false, pool, now)
		}
	}
}

func TestSlowInstanceIsEjectedThenRampsUp(t *testing.T) {
	c := qt.New(t)
	pool := []string{"a", "b", "c", "d"}
	o := balance.NewOutlierDetector(outlierConfig)
	normal := 100 * time.Millisecond
	observe(o, pool, map[string]time.Duration{"a": normal, "b": normal, "c": normal, "d": 10 * normal}, outlierEpoch)
	c.Assert(o.TrafficShare("a", outlierEpoch), qt.Equals, 1.0)
	c.Assert(o.TrafficShare("d", outlierEpoch), qt.Equals, 0.0)
	halfway := outlierEpoch.Add(outlierConfig.EjectionTime + outlierConfig.RampUp/2)
	c.Assert(o.TrafficShare("d", halfway) > 0.4 && o.TrafficShare("d", halfway) < 0.6, qt.IsTrue)
	c.Assert(o.TrafficShare("d", outlierEpoch.Add(time.Minute)), qt.Equals, 1.0)
}

func TestLastInstancesAreNotEjected(t *testing.T) {
	c := qt.New(t)
	pool := []string{"a", "b"}
	o := balance.NewOutlierDetector(outlierConfig)
	for range 50 {
		for _, name := range pool {
			o.Observe(name, time.Second, true, pool, outlierEpoch)
		}
	}
	in := 0
	for _, name := range pool {
		if o.TrafficShare(name, outlierEpoch) > 0 {
			in++
		}
	}
	c.Assert(in, qt.Equals, 1)
	alone := balance.NewOutlierDetector(outlierConfig)
	for range 50 {
		alone.Observe("a", time.Second, true, pool[:1], outlierEpoch)
	}
	c.Assert(alone.TrafficShare("a", outlierEpoch), qt.Equals, 1.0)
}

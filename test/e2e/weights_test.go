package e2e_test

import (
	"context"
	"fmt"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/engine"
	"plantainrelay/internal/member"
	"plantainrelay/internal/weights"
	"plantainrelay/test/cluster"
	"plantainrelay/test/faultproxy"
	"plantainrelay/test/standin"
)

const (
	weightsSize      = 4 << 20
	weightsChunkSize = 64 << 10
	weightsSettings  = "max_records = 1000000\n[weights]\npatience = 2s\nstall_timeout = 500ms\nload_timeout = 2s\n"
	maxOriginCopies  = 1.3
)

// release is one published version.
type release struct {
	version  string
	data     []byte
	manifest weights.Digest
}

// weightsFleet is a cluster of two entries and four model instances in two
// availability zones, with three published versions of the weights.
type weightsFleet struct {
	*cluster.Cluster
	t        *testing.T
	ctx      context.Context
	agents   []string
	releases []release
	revision int64
}

func newWeightsFleet(t *testing.T, network cluster.Network) *weightsFleet {
	config := cluster.Config{Network: network, StoreZone: "a"}
	for i, zone := range []string{"a", "b"} {
		config.Entries = append(config.Entries, cluster.Instance{Name: fmt.Sprintf("entry-%d", i+1), AvailabilityZone: zone, Region: "north"})
	}
	f := &weightsFleet{t: t, ctx: waitContext(t)}
	for i, zone := range []string{"a", "a", "b", "b"} {
		name := fmt.Sprintf("model-%d", i+1)
		f.agents = append(f.agents, name)
		config.Agents = append(config.Agents, cluster.Instance{Name: name, AvailabilityZone: zone, Region: "north", ExtraSettings: weightsSettings})
	}
	f.Cluster = startCluster(t, config)
	for i := range 3 {
		f.publish(fmt.Sprintf("v%d", i+1), randomWeights(byte(i+1), weightsSize))
	}
	return f
}

func (f *weightsFleet) publish(version string, data []byte) {
	manifest, err := f.Publish(version, "", data, weightsChunkSize)
	qt.Assert(f.t, err, qt.IsNil)
	f.releases = append(f.releases, release{version: version, data: data, manifest: manifest})
}

// setTarget sets a release as the pool's target version.
func (f *weightsFleet) setTarget(entry string, number int) {
	r := f.releases[number]
	revision, err := f.Apply(entry, f.revision, modelAndBookingTables(r.version, r.manifest))
	qt.Assert(f.t, err, qt.IsNil)
	f.revision = revision
}

func (f *weightsFleet) waitServing(entry string, number int, agents ...string) {
	qt.Assert(f.t, f.WaitVersion(f.ctx, entry, f.releases[number].version, agents...), qt.IsNil)
}

func (f *weightsFleet) digestsByVersion() map[string]weights.Digest {
	all := map[string]weights.Digest{}
	for _, r := range f.releases {
		all[r.version] = weights.DigestOf(r.data)
	}
	return all
}

func (f *weightsFleet) originFaults(faults standin.OriginFaults) {
	qt.Assert(f.t, cluster.PutJSON(f.PlatformURL+"/faults/origin", faults), qt.IsNil)
}

func (f *weightsFleet) engineFaults(agent string, faults standin.EngineFaults) {
	qt.Assert(f.t, cluster.PutJSON(f.BackendURL(agent)+"/faults/engine", faults), qt.IsNil)
}

func (f *weightsFleet) originCopies() float64 {
	var records standin.OriginRecords
	qt.Assert(f.t, cluster.GetJSON(f.PlatformURL+"/records/origin", &records), qt.IsNil)
	return float64(records.Bytes) / weightsSize
}

// waitOriginCopies waits until the origin has served the given number of copies.
func (f *weightsFleet) waitOriginCopies(copies float64) {
	qt.Assert(f.t, cluster.WaitFor(f.ctx, func() (bool, string) {
		served := f.originCopies()
		return served >= copies, fmt.Sprintf("the origin has served %.2f copies", served)
	}), qt.IsNil)
}

// TestOriginServesAboutOneCopy checks that four instances together download
// about one copy from the origin and exchange the chunks among themselves.
func TestOriginServesAboutOneCopy(t *testing.T) {
	f := newWeightsFleet(t, nil)
	f.setTarget("entry-1", 0)
	f.waitServing("entry-1", 0, f.agents...)
	qt.Assert(t, f.originCopies() <= maxOriginCopies, qt.IsTrue, qt.Commentf("%.2f copies", f.originCopies()))
}

// TestCorruptedChunksAreNeverServed checks that no instance opens its gate while
// the origin corrupts every chunk, and that all do once it no longer does.
func TestCorruptedChunksAreNeverServed(t *testing.T) {
	f := newWeightsFleet(t, nil)
	f.originFaults(standin.OriginFaults{Corrupt: true})
	f.setTarget("entry-1", 0)
	f.waitOriginCopies(0.1)
	status, err := f.Status("entry-1")
	qt.Assert(t, err, qt.IsNil)
	for name, agent := range status.Agents {
		qt.Check(t, agent.Open, qt.IsFalse, qt.Commentf("%s", name))
	}
	f.originFaults(standin.OriginFaults{})
	f.waitServing("entry-1", 0, f.agents...)
}

// TestOriginDownAfterAThird takes the origin down after a third of the weights.
// The chunks downloaded so far must be kept, and the rest must follow once the
// origin is available again.
func TestOriginDownAfterAThird(t *testing.T) {
	f := newWeightsFleet(t, nil)
	f.originFaults(standin.OriginFaults{MaxBytes: weightsSize / 3})
	f.setTarget("entry-1", 0)
	f.waitOriginCopies(0.33)
	f.originFaults(standin.OriginFaults{})
	f.waitServing("entry-1", 0, f.agents...)
	qt.Assert(t, f.originCopies() <= 1.5, qt.IsTrue, qt.Commentf("%.2f copies", f.originCopies()))
}

// TestSourceKilledMidTransfer kills an agent while it serves chunks. The others
// must use other sources. Restarted next to its running engine, the agent must
// resume with the chunks that are still missing.
func TestSourceKilledMidTransfer(t *testing.T) {
	f := newWeightsFleet(t, nil)
	f.originFaults(standin.OriginFaults{BytesPerSecond: 2 << 20})
	f.setTarget("entry-1", 0)
	f.waitOriginCopies(0.3)
	qt.Assert(t, f.Signal("model-1", syscall.SIGKILL), qt.IsNil)
	<-f.Process("model-1").Exited()
	f.waitServing("entry-1", 0, "model-2", "model-3", "model-4")
	qt.Assert(t, f.RestartDaemon("model-1"), qt.IsNil)
	f.waitServing("entry-1", 0, f.agents...)
	before := f.originCopies()
	qt.Assert(t, f.Signal("model-2", syscall.SIGKILL), qt.IsNil)
	<-f.Process("model-2").Exited()
	qt.Assert(t, f.RestartDaemon("model-2"), qt.IsNil)
	f.waitServing("entry-1", 0, f.agents...)
	qt.Assert(t, f.originCopies(), qt.Equals, before, qt.Commentf("an agent restarted next to a running engine must download nothing"))
}

// TestStalledLinkBetweenZones stalls the link between two availability zones
// during a distribution. The zone of the origin must complete during the stall,
// the other zone after it.
func TestStalledLinkBetweenZones(t *testing.T) {
	network := faultproxy.NewNetwork(func(from, to string) faultproxy.LinkConfig { return faultproxy.LinkConfig{} })
	t.Cleanup(network.Close)
	f := newWeightsFleet(t, network)
	f.originFaults(standin.OriginFaults{BytesPerSecond: 4 << 20})
	f.setTarget("entry-1", 0)
	f.waitOriginCopies(0.2)
	resume := network.Stall("a", "b")
	f.waitServing("entry-1", 0, "model-1", "model-2")
	resume()
	f.waitServing("entry-1", 0, f.agents...)
}

// TestVersionChangedDuringDistribution changes the target version repeatedly
// during a distribution, while lookups run and the entry that tracks the pool is
// killed.
func TestVersionChangedDuringDistribution(t *testing.T) {
	f := newWeightsFleet(t, nil)
	f.setTarget("entry-1", 0)
	f.waitServing("entry-1", 0, f.agents...)
	tracker := member.First("model", []string{"entry-1", "entry-2"})
	other := map[string]string{"entry-1": "entry-2", "entry-2": "entry-1"}[tracker]
	f.waitServing(other, 0, f.agents...)
	f.originFaults(standin.OriginFaults{BytesPerSecond: 4 << 20})
	stop := startLookupsVia(t, f.Cluster, f.digestsByVersion(), other)
	f.setTarget(other, 1)
	f.waitOriginCopies(1.3)
	f.setTarget(other, 2)
	qt.Assert(t, f.Signal(tracker, syscall.SIGKILL), qt.IsNil)
	f.waitOriginCopies(1.8)
	f.setTarget(other, 0)
	f.setTarget(other, 2)
	f.SetListedState(tracker, "")
	qt.Assert(t, f.PublishList(), qt.IsNil)
	f.waitServing(other, 2, f.agents...)
	qt.Assert(t, stop() > 0, qt.IsTrue)
}

// TestDelayedOrderToAnEngineWithoutFences covers a load order that timed out at
// the agent and takes effect after a newer version was loaded, because the
// engine ignores fencing numbers.
func TestDelayedOrderToAnEngineWithoutFences(t *testing.T) {
	f := newWeightsFleet(t, nil)
	f.setTarget("entry-1", 0)
	f.waitServing("entry-1", 0, f.agents...)
	f.waitServing("entry-2", 0, f.agents...)
	f.engineFaults("model-1", standin.EngineFaults{IgnoreFences: true, LoadDelay: 6 * time.Second})
	stop := startLookups(t, f.Cluster, f.digestsByVersion())
	f.setTarget("entry-1", 1)
	qt.Assert(t, cluster.WaitFor(f.ctx, func() (bool, string) {
		status, err := f.Status("entry-1")
		return err == nil && status.Agents["model-1"].Failures > 0, fmt.Sprintf("%+v", status.Agents["model-1"])
	}), qt.IsNil)
	f.engineFaults("model-1", standin.EngineFaults{IgnoreFences: true})
	f.setTarget("entry-1", 2)
	qt.Assert(t, cluster.WaitFor(f.ctx, func() (bool, string) {
		var status engine.Status
		err := cluster.GetJSON(f.BackendURL("model-1")+"/v1/status", &status)
		return err == nil && status.Manifest == f.releases[1].manifest, "the delayed order has not taken effect yet"
	}), qt.IsNil)
	f.waitServing("entry-1", 2, f.agents...)
	qt.Assert(t, stop() > 0, qt.IsTrue)
}

// TestBadVersionPausesTheRollout checks that engines that cannot load a version
// keep serving the previous one, and that the status shows the cause.
func TestBadVersionPausesTheRollout(t *testing.T) {
	f := newWeightsFleet(t, nil)
	f.setTarget("entry-1", 0)
	f.waitServing("entry-1", 0, f.agents...)
	f.waitServing("entry-2", 0, f.agents...)
	for _, agent := range f.agents {
		f.engineFaults(agent, standin.EngineFaults{FailLoads: true})
	}
	stop := startLookups(t, f.Cluster, f.digestsByVersion())
	f.setTarget("entry-1", 1)
	qt.Assert(t, cluster.WaitFor(f.ctx, func() (bool, string) {
		status, err := f.Status("entry-1")
		paused := 0
		for _, agent := range status.Agents {
			if agent.Cause != "" {
				paused++
			}
		}
		return err == nil && paused == len(f.agents), fmt.Sprintf("%+v", status)
	}), qt.IsNil)
	f.setTarget("entry-1", 0)
	f.waitServing("entry-1", 0, f.agents...)
	qt.Assert(t, stop() > 0, qt.IsTrue)
}

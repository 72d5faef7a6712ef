package tracker_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"plantainrelay/internal/member"
	"plantainrelay/internal/message"
	"plantainrelay/internal/rollout"
	"plantainrelay/internal/table"
	"plantainrelay/internal/tracker"
	"plantainrelay/internal/weights"
)

// fleet is a pool whose instances announce their progress to one tracker.
type fleet struct {
	now     time.Time
	tracker *tracker.Tracker
	list    member.List
	args    []message.AnnounceArgs
}

func newFleet(instances, zones, maxUnavailable int) *fleet {
	f := &fleet{now: time.Unix(1000, 0)}
	snapshot := &table.Snapshot{Tables: table.Tables{Pools: []table.Pool{
		{Name: "model", Kind: table.KindModel, Instances: []string{"model-*"}, Version: "v2", MaxUnavailable: maxUnavailable},
	}}}
	f.tracker = tracker.New(func() *table.Snapshot { return snapshot }, func() *member.List { return &f.list }, func() time.Time { return f.now })
	for i := range instances {
		name, zone := fmt.Sprintf("model-%d", i), fmt.Sprintf("zone-%d", i%zones)
		f.list.Instances = append(f.list.Instances, member.Instance{Name: name, Role: member.RoleAgent, State: member.StateLive, AvailabilityZone: zone})
		f.args = append(f.args, message.AnnounceArgs{Instance: name, Pool: "model", AvailabilityZone: zone,
			Manifest: weights.DigestOf([]byte("v2")), Stage: rollout.StageWaiting, Open: true, Wants: true})
	}
	return f
}

func (f *fleet) announce(i int) message.AnnounceReply {
	var reply message.AnnounceReply
	if err := f.tracker.Announce(f.args[i], &reply); err != nil {
		return message.AnnounceReply{Refusal: err.Error()}
	}
	return reply
}

// warmUp announces all instances as serving until the startup grace period of the
// tracker is over.
func (f *fleet) warmUp() {
	for range 2 {
		for i := range f.args {
			args := f.args[i]
			args.Wants = false
			_ = f.tracker.Announce(args, &message.AnnounceReply{})
		}
		f.now = f.now.Add(6 * time.Second)
	}
}

// serveNewVersion announces that one instance serves the new version.
func (f *fleet) serveNewVersion(i int) {
	f.args[i].Stage, f.args[i].Wants = rollout.StageServing, false
	f.announce(i)
}

func TestPermitsRespectMaxUnavailable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := rapid.IntRange(1, 4).Draw(t, "zones")
		count := rapid.IntRange(2, 200).Draw(t, "instances")
		limit := rapid.IntRange(1, 5).Draw(t, "limit")
		f := newFleet(count, zones, limit)
		f.warmUp()
		f.serveNewVersion(0)
		permits := map[string]int{}
		total := 0
		for i := 1; i < count; i++ {
			if f.announce(i).Permit {
				permits[f.args[i].AvailabilityZone]++
				total++
			}
		}
		for zone, given := range permits {
			if given > limit {
				t.Fatalf("%d permits in %s", given, zone)
			}
		}
		if total >= count || total == 0 {
			t.Fatalf("%d permits for %d instances", total, count)
		}
	})
}

func TestLastServingInstanceGetsNoPermit(t *testing.T) {
	f := newFleet(2, 2, 1)
	f.warmUp()
	qt.Assert(t, f.announce(0).Permit, qt.IsTrue)
	reply := f.announce(1)
	qt.Assert(t, reply.Permit, qt.IsFalse)
	qt.Assert(t, reply.Refusal, qt.Not(qt.Equals), "")
}

func TestFirstInstanceMustServeBeforeOthersSwitch(t *testing.T) {
	f := newFleet(20, 2, 5)
	f.warmUp()
	qt.Assert(t, f.announce(0).Permit, qt.IsTrue)
	qt.Assert(t, f.announce(1).Permit, qt.IsFalse)
	f.serveNewVersion(0)
	qt.Assert(t, f.announce(1).Permit, qt.IsTrue)
	qt.Assert(t, f.announce(2).Permit, qt.IsTrue)
}

// TestNewTrackerDelaysPermits checks that a new tracker, which does not know
// earlier permits, grants none to serving instances, but grants them immediately
// to instances that serve no requests.
func TestNewTrackerDelaysPermits(t *testing.T) {
	f := newFleet(4, 1, 1)
	qt.Assert(t, f.announce(0).Permit, qt.IsFalse)
	f.args[1].Open = false
	qt.Assert(t, f.announce(1).Permit, qt.IsTrue)
}

func TestFailedLoadsPauseTheRollout(t *testing.T) {
	f := newFleet(10, 1, 3)
	f.warmUp()
	for i := range 2 {
		f.args[i].Failures, f.args[i].Cause, f.args[i].Wants = 1, "no memory", false
		f.announce(i)
	}
	reply := f.announce(5)
	qt.Assert(t, reply.Permit, qt.IsFalse)
	qt.Assert(t, reply.Refusal, qt.Matches, "the rollout is paused: 2 instances failed to load v2 .*roll the pool back.*")
	f.args[0].Wants = true
	qt.Assert(t, f.announce(0).Permit, qt.IsTrue, qt.Commentf("an instance that failed may try again"))
	for i := range 2 {
		f.args[i].Failures = 0
		f.serveNewVersion(i)
	}
	qt.Assert(t, f.announce(5).Permit, qt.IsTrue)
}

// TestHolderOfExpiredPermitIsNotCountedAsServing covers an agent that stops
// announcing while it holds a permit. After the permit has expired, the agent may
// still be loading, so it must not count as serving.
func TestHolderOfExpiredPermitIsNotCountedAsServing(t *testing.T) {
	f := newFleet(2, 1, 1)
	f.warmUp()
	qt.Assert(t, f.announce(0).Permit, qt.IsTrue)
	f.now = f.now.Add(20 * time.Second)
	qt.Assert(t, f.announce(1).Permit, qt.IsFalse)
}

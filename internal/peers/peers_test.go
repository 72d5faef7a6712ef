package peers_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plantainrelay/internal/peers"
)

var epoch = time.Unix(1_000, 0)

var config = peers.Config{LiveTimeout: time.Second, FarLiveTimeout: 3 * time.Second, MaxBroadcast: 8, RemoveAfter: time.Minute, ProbeTimeout: 10 * time.Second, ProbeInterval: time.Second, MinProbeInterval: 150 * time.Millisecond}

func self() peers.Entry {
	return peers.Entry{Host: "10.0.0.1", AvailabilityZone: "z1", FrontAddress: "10.0.0.1:80", Start: 1}
}

func other(host, zone string, sequence uint64) peers.Entry {
	return peers.Entry{Host: host, AvailabilityZone: zone, FrontAddress: host + ":80", Start: 1, Sequence: sequence, Ready: true}
}

// frontAddresses returns the addresses for a caller whose host has no home regions.
func frontAddresses(d *peers.Directory, zone string, limit int, now time.Time) []string {
	addresses, _ := d.FrontAddresses(zone, nil, limit, now)
	return addresses
}

func TestSilentAndLeavingEntriesHaveNoFrontAddress(t *testing.T) {
	c := qt.New(t)
	d := peers.New(config, self(), nil, epoch)
	d.SetState(true, false)
	d.RecordMessage(other("10.0.0.2", "z1", 1), epoch)
	leaving := other("10.0.0.3", "z2", 1)
	leaving.Leaving = true
	d.RecordMessage(leaving, epoch)
	c.Assert(frontAddresses(d, "z1", 64, epoch), qt.DeepEquals, []string{"10.0.0.1:80", "10.0.0.2:80"})
	c.Assert(frontAddresses(d, "z1", 64, epoch.Add(2*time.Second)), qt.DeepEquals, []string{"10.0.0.1:80"})
	d.SetState(true, true)
	c.Assert(frontAddresses(d, "z1", 64, epoch), qt.DeepEquals, []string{"10.0.0.2:80"})
}

func TestOldMessagesAreIgnored(t *testing.T) {
	c := qt.New(t)
	d := peers.New(config, self(), nil, epoch)
	d.RecordMessage(other("10.0.0.2", "z1", 5), epoch)
	current, _ := d.RecordMessage(other("10.0.0.2", "z1", 4), epoch)
	c.Assert(current, qt.IsFalse)
	c.Assert(d.AcceptLoads("10.0.0.2", 1, 5), qt.IsTrue)
	c.Assert(d.AcceptLoads("10.0.0.2", 1, 5), qt.IsFalse)
	c.Assert(d.AcceptLoads("10.0.0.2", 1, 4), qt.IsFalse)
	c.Assert(d.AcceptLoads("10.0.0.2", 1, 6), qt.IsTrue)
	c.Assert(d.AcceptLoads("10.0.0.2", 2, 7), qt.IsFalse, qt.Commentf("another start"))
	c.Assert(d.AcceptLoads("10.0.0.9", 1, 7), qt.IsFalse, qt.Commentf("an unknown entry"))
	restarted := other("10.0.0.2", "z1", 1)
	restarted.Start = 2
	current, isNew := d.RecordMessage(restarted, epoch)
	c.Assert(current && isNew, qt.IsTrue)
}

// TestRestartAfterWallClockStep guards against an entry that its peers ignore
// after a restart because its previous start time came from a clock that was ahead.
func TestRestartAfterWallClockStep(t *testing.T) {
	c := qt.New(t)
	d := peers.New(config, self(), nil, epoch)
	ahead := other("10.0.0.2", "z1", 5)
	ahead.Start = 9
	d.RecordMessage(ahead, epoch)
	current, _ := d.RecordMessage(other("10.0.0.2", "z1", 1), epoch.Add(time.Second))
	c.Assert(current, qt.IsFalse, qt.Commentf("it may be a delayed message of an earlier start"))
	current, isNew := d.RecordMessage(other("10.0.0.2", "z1", 2), epoch.Add(4*time.Second))
	c.Assert(current && isNew, qt.IsTrue)
	c.Assert(d.LiveEntries(epoch.Add(4*time.Second)), qt.HasLen, 1)
}

func TestOneEntryOfAZoneIsTheWatcher(t *testing.T) {
	c := qt.New(t)
	hosts := []string{"10.0.0.1", "10.0.0.2", "10.0.0.3"}
	for _, collection := range []string{"a", "b", "c"} {
		readers := 0
		for _, host := range hosts {
			me := self()
			me.Host = host
			d := peers.New(config, me, nil, epoch)
			for _, peer := range hosts {
				d.RecordMessage(other(peer, "z1", 1), epoch)
			}
			d.RecordMessage(other("10.0.9.9", "z2", 1), epoch)
			if d.ShouldWatch(collection, epoch) {
				readers++
			}
		}
		c.Assert(readers, qt.Equals, 1)
	}
	alone := peers.New(config, self(), nil, epoch)
	c.Assert(alone.ShouldWatch("a", epoch), qt.IsTrue)
}

func TestSeedsAreProbedUntilTimeout(t *testing.T) {
	c := qt.New(t)
	d := peers.New(config, self(), []string{"10.0.0.1", "10.0.0.7"}, epoch)
	c.Assert(d.NextRecipients(epoch), qt.DeepEquals, []string{"10.0.0.7"})
	c.Assert(d.NextRecipients(epoch), qt.HasLen, 0)
	c.Assert(d.NextRecipients(epoch.Add(time.Second)), qt.DeepEquals, []string{"10.0.0.7"})
	c.Assert(d.NextRecipients(epoch.Add(time.Minute)), qt.HasLen, 0)
}

// TestSeedThatStartsLaterIsFoundSoon covers the return of all instances after a loss of
// power: an entry starts a little before its seeds.
func TestSeedThatStartsLaterIsFoundSoon(t *testing.T) {
	c := qt.New(t)
	d := peers.New(config, self(), []string{"10.0.0.7"}, epoch)
	last, probes := epoch, 0
	for now := epoch; now.Sub(epoch) < 10*time.Second; now = now.Add(200 * time.Millisecond) {
		if len(d.NextRecipients(now)) == 0 {
			continue
		}
		probes++
		gap := now.Sub(last)
		c.Check(gap <= max(300*time.Millisecond, now.Sub(epoch)/2), qt.IsTrue, qt.Commentf("%s after the start: %s since the last message", now.Sub(epoch), gap))
		c.Check(gap <= 1200*time.Millisecond, qt.IsTrue)
		last = now
	}
	c.Check(probes <= 15, qt.IsTrue, qt.Commentf("%d messages", probes))
}

// TestRecipientsDoNotGrowWithTheFleet checks that in a larger fleet an entry sends
// each message to its own zone and to a part of the other zones.
func TestRecipientsDoNotGrowWithTheFleet(t *testing.T) {
	c := qt.New(t)
	d := peers.New(config, self(), nil, epoch)
	for i := range 6 {
		d.RecordMessage(other(fmt.Sprintf("10.0.1.%d", i), "z1", 1), epoch)
	}
	c.Assert(d.BroadcastsToAll(), qt.IsTrue)
	for i := range 28 {
		d.RecordMessage(other(fmt.Sprintf("10.0.2.%d", i), "z2", 1), epoch)
	}
	c.Assert(d.BroadcastsToAll(), qt.IsFalse)
	reached := map[string]int{}
	for range 4 {
		targets := d.NextRecipients(epoch)
		c.Assert(targets, qt.HasLen, 6+7)
		for _, host := range targets {
			reached[host]++
		}
	}
	c.Assert(reached, qt.HasLen, 34)
	c.Assert(d.LiveEntries(epoch.Add(2*time.Second)), qt.HasLen, 28, qt.Commentf("far entries send less often"))
}

// TestFarRecipientsAreToldApart covers a large fleet, whose far entries need other
// content than near ones; hosts that are not known yet count as near.
func TestFarRecipientsAreToldApart(t *testing.T) {
	c := qt.New(t)
	d := peers.New(config, self(), []string{"10.0.9.9"}, epoch)
	for i := range 60 {
		d.RecordMessage(other(fmt.Sprintf("10.0.2.%d", i), "z2", 1), epoch)
	}
	d.RecordMessage(other("10.0.1.1", "z1", 1), epoch)
	near, far := d.SplitRecipients(d.NextRecipients(epoch))
	c.Assert(near, qt.DeepEquals, []string{"10.0.1.1", "10.0.9.9"})
	c.Assert(far, qt.HasLen, 8)
	c.Assert(d.FarTurns(), qt.Equals, 8)
	c.Assert(d.HasDiscovered(time.Second, epoch.Add(time.Second)), qt.IsTrue)
	c.Assert(d.HasDiscovered(time.Second, epoch.Add(2*time.Second)), qt.IsFalse)
}

func TestNearHostsAreLimitedToTheZone(t *testing.T) {
	c := qt.New(t)
	d := peers.New(config, self(), nil, epoch)
	d.RecordMessage(other("10.0.0.2", "z2", 1), epoch)
	d.RecordMessage(other("10.0.0.3", "z1", 1), epoch)
	c.Assert(d.NearHosts(1, epoch), qt.DeepEquals, []string{"10.0.0.3"})
	c.Assert(d.NearHosts(9, epoch), qt.HasLen, 2)
}

// TestRecipientsAtTheTargetSize covers 330 entries in eight zones. The number of
// recipients of one message is bounded, each entry gets its turn, and none counts
// as dead between two of its turns, even if a message is lost.
func TestRecipientsAtTheTargetSize(t *testing.T) {
	c := qt.New(t)
	const interval = 200 * time.Millisecond
	config := config
	config.LiveTimeout, config.FarLiveTimeout, config.MaxBroadcast = 900*time.Millisecond, 2500*time.Millisecond, 16
	d := peers.New(config, self(), nil, epoch)
	for i := range 329 {
		d.RecordMessage(other(fmt.Sprintf("10.1.%d.%d", i/250, i%250), fmt.Sprintf("z%d", 1+i%8), 1), epoch)
	}
	last, longest := map[string]int{}, map[string]int{}
	const rounds = 200
	for round := range rounds {
		targets := d.NextRecipients(epoch)
		c.Assert(len(targets) <= 24, qt.IsTrue, qt.Commentf("%d messages at once", len(targets)))
		for _, host := range targets {
			longest[host] = max(longest[host], round-last[host])
			last[host] = round
		}
	}
	c.Assert(last, qt.HasLen, 329)
	for host, gap := range longest {
		twice := epoch.Add(2 * time.Duration(gap) * interval)
		c.Assert(slices.ContainsFunc(d.LiveEntries(twice), func(entry peers.Entry) bool { return entry.Host == host }), qt.IsTrue, qt.Commentf("%s has its turn every %d messages", host, gap))
	}
}

// TestWatcherIsAnEntryThatCanReadTheStore guards against an entry that stays
// the watcher because it is alive, although it cannot read the store.
func TestWatcherIsAnEntryThatCanReadTheStore(t *testing.T) {
	c := qt.New(t)
	hosts := []string{"10.0.0.1", "10.0.0.2", "10.0.0.3"}
	unreachable := map[string]bool{}
	reader := func() string {
		var readers []string
		for _, host := range hosts {
			me := self()
			me.Host = host
			d := peers.New(config, me, nil, epoch)
			d.SetStoreUnavailable(unreachable[host])
			for _, peer := range hosts {
				entry := other(peer, "z1", 1)
				entry.StoreUnavailable = unreachable[peer]
				d.RecordMessage(entry, epoch)
			}
			if d.ShouldWatch("a", epoch) {
				readers = append(readers, host)
			}
		}
		c.Assert(readers, qt.HasLen, 1)
		return readers[0]
	}
	first := reader()
	seen := map[string]bool{}
	for range hosts {
		one := reader()
		c.Assert(seen[one], qt.IsFalse)
		seen[one], unreachable[one] = true, true
	}
	c.Assert(reader(), qt.Equals, first, qt.Commentf("if none can read the store, the first one keeps trying"))
}

// TestLoadUpdateThatOvertakesAMessage guards against entries that seem silent because
// their load updates arrive before the regular messages that were sent earlier.
func TestLoadUpdateThatOvertakesAMessage(t *testing.T) {
	c := qt.New(t)
	d := peers.New(config, self(), nil, epoch)
	message := other("10.0.0.2", "z1", 1)
	d.RecordMessage(message, epoch)
	c.Assert(d.AcceptLoads(message.Host, 1, 1), qt.IsTrue)
	later := epoch.Add(config.LiveTimeout)
	c.Assert(d.AcceptLoads(message.Host, 1, 3), qt.IsTrue)
	message.Sequence = 2
	current, _ := d.RecordMessage(message, later)
	c.Assert(current, qt.IsTrue)
	c.Assert(d.AcceptLoads(message.Host, 1, 2), qt.IsFalse, qt.Commentf("the loads in the message are older"))
	c.Assert(d.LiveEntries(later.Add(config.LiveTimeout)), qt.HasLen, 1)
	message.Start, message.Sequence = 2, 1
	d.RecordMessage(message, later)
	c.Assert(d.AcceptLoads(message.Host, 2, 1), qt.IsTrue, qt.Commentf("a restart counts from the beginning"))
}

// TestEveryEntryLearnsOfEveryOther covers a large fleet that starts at once: each entry
// knows three seeds only, and each message names a few entries. All have to know all
// others before traffic starts, 10 s later, since entries divide duties and requests
// among those they know.
func TestEveryEntryLearnsOfEveryOther(t *testing.T) {
	c := qt.New(t)
	const entries, zones, interval, limit = 150, 5, 200 * time.Millisecond, 10 * time.Second
	directories, sequences := map[string]*peers.Directory{}, map[string]uint64{}
	var hosts []string
	for i := range entries {
		hosts = append(hosts, fmt.Sprintf("10.%d.0.%d", i%zones, i))
	}
	for i, host := range hosts {
		entry := other(host, fmt.Sprintf("z%d", i%zones), 0)
		directories[host] = peers.New(config, entry, []string{hosts[0], hosts[1], hosts[2]}, epoch)
	}
	for now := epoch; ; now = now.Add(interval) {
		known := 0
		for _, host := range hosts {
			known += len(directories[host].LiveEntries(now))
		}
		if known == entries*(entries-1) {
			return
		}
		c.Assert(now.Sub(epoch) < limit, qt.IsTrue, qt.Commentf("on average %d of %d are known", known/entries, entries-1))
		discovered := map[string]bool{}
		send := func(host string) {
			sender := directories[host]
			sequences[host]++
			message := sender.Self()
			message.Sequence = sequences[host]
			named := sender.HostsToName(16, now)
			for _, target := range sender.NextRecipients(now) {
				_, isNew := directories[target].RecordMessage(message, now)
				discovered[target] = discovered[target] || isNew
				directories[target].AddCandidates(named, now)
			}
		}
		for _, host := range hosts {
			send(host)
		}
		// An entry that has discovered others sends its next message immediately.
		for _, host := range hosts {
			if discovered[host] {
				send(host)
			}
		}
	}
}

// TestCallersSpreadOverALargeFleet covers a fleet with more entries than an answer may
// name. Callers of a zone are sent to its entries, or to all if it has few; each entry is
// named to somebody.
func TestCallersSpreadOverALargeFleet(t *testing.T) {
	c := qt.New(t)
	const limit = 64
	d := peers.New(config, self(), nil, epoch)
	for i := range 150 {
		zone := fmt.Sprintf("z%d", 2+i%5)
		if i >= 145 {
			zone = "few"
		}
		d.RecordMessage(other(fmt.Sprintf("10.0.%d.%d", i/250, 2+i), zone, 1), epoch)
	}
	inZone := frontAddresses(d, "z3", limit, epoch)
	c.Assert(inZone, qt.HasLen, 29)
	named := map[string]bool{}
	for range 3 {
		addresses := frontAddresses(d, "few", limit, epoch)
		c.Assert(addresses, qt.HasLen, limit)
		for _, address := range addresses {
			named[address] = true
		}
	}
	c.Assert(named, qt.HasLen, 150)
}

// Package peers is the membership state of the entries that one entry knows:
// which are alive, which accept requests, and which one is assigned to watch the
// store for its availability zone. It does no I/O.
package peers

import (
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"plantainrelay/internal/member"
)

// Entry is one entry instance as it reports itself.
type Entry struct {
	Instance string
	// Host is the IP; FrontAddress is the address at which it accepts requests.
	Host             string
	AvailabilityZone string
	Region           string
	FrontAddress     string
	// Start is the start time of the process. Start and Sequence order its messages.
	Start    int64
	Sequence uint64
	Ready    bool
	Leaving  bool
	// StoreUnavailable says that it cannot read the store.
	StoreUnavailable bool
}

// Config holds the limits.
type Config struct {
	// LiveTimeout and FarLiveTimeout are how long an entry counts as live after its
	// last message. FarLiveTimeout applies to entries in other availability zones of
	// a larger fleet, which send to this entry in turns; LiveTimeout to all others,
	// which send more often. Both grow with the number of turns.
	LiveTimeout, FarLiveTimeout time.Duration
	// MaxBroadcast is the number of other entries up to which each message is sent to
	// all of them. Beyond it, each message goes to a part of the entries in other
	// availability zones, in turns, and to a part of a large own zone, so that the
	// number of messages an entry sends does not grow with the fleet.
	MaxBroadcast int
	// RemoveAfter is how long an entry is kept, and sent messages, after its last
	// message.
	RemoveAfter time.Duration
	// ProbeTimeout is how long a host that has never responded is sent messages.
	ProbeTimeout time.Duration
	// ProbeInterval is the interval between messages to such a host, MinProbeInterval
	// the first one: it grows with the time for which the host has not responded.
	ProbeInterval, MinProbeInterval time.Duration
}

type knownEntry struct {
	Entry
	receivedAt time.Time
	// loadSequence is the sequence number of the last message whose loads were accepted.
	loadSequence uint64
}

type probe struct {
	addedAt, nextAt time.Time
}

// Directory holds the known entries. It is not safe for concurrent use.
type Directory struct {
	config  Config
	self    Entry
	entries map[string]*knownEntry
	// probes holds hosts that may be entries but have not responded yet.
	probes map[string]*probe
	// sent counts the messages sent, to determine whose turn it is.
	sent int
	// discoveredAt is when an entry was last discovered, at first the start.
	discoveredAt time.Time
	// live is the last result of LiveEntries, computed at liveAt; nil if it is outdated.
	live   []Entry
	liveAt time.Time
	// near and far are the last result of split; nil if the known entries have changed.
	near, far []string
	// answered counts the address queries that were answered with a part of the entries.
	answered int
	// firstNamed is the index of the first host that the first message names.
	firstNamed int
}

const (
	// minFarTurns is the minimum number of turns into which the entries of other
	// availability zones are divided.
	minFarTurns = 4
	// nearPerTurn and farPerTurn bound the number of entries in one turn.
	nearPerTurn = 16
	farPerTurn  = 8
)

func nearTurns(near []string) int { return max((len(near)+nearPerTurn-1)/nearPerTurn, 1) }

func farTurns(far []string) int { return max((len(far)+farPerTurn-1)/farPerTurn, minFarTurns) }

// New returns the directory of the entry self, which learns of other entries from
// seeds.
func New(config Config, self Entry, seeds []string, now time.Time) *Directory {
	d := &Directory{config: config, self: self, entries: map[string]*knownEntry{}, probes: map[string]*probe{}, discoveredAt: now}
	d.firstNamed = int(xxhash.Sum64String(self.Host) % math.MaxInt32)
	d.AddCandidates(seeds, now)
	return d
}

// Self returns this entry.
func (d *Directory) Self() Entry { return d.self }

// SetState sets the state that this entry reports of itself.
func (d *Directory) SetState(ready, leaving bool) {
	d.self.Ready, d.self.Leaving = ready, leaving
}

// AddCandidates adds hosts that may be entries.
func (d *Directory) AddCandidates(hosts []string, now time.Time) {
	for _, host := range hosts {
		if host == d.self.Host || host == "" || d.entries[host] != nil || d.probes[host] != nil {
			continue
		}
		d.probes[host] = &probe{addedAt: now, nextAt: now}
	}
}

// RecordMessage records a message of another entry. current is false if a newer
// message is known already; isNew says that the entry was unknown or has restarted.
func (d *Directory) RecordMessage(entry Entry, now time.Time) (current, isNew bool) {
	if entry.Host == d.self.Host {
		return false, false
	}
	delete(d.probes, entry.Host)
	last := d.entries[entry.Host]
	if last == nil {
		d.entries[entry.Host] = &knownEntry{Entry: entry, receivedAt: now}
		d.discoveredAt = now
		d.forgetLists()
		return true, true
	}
	// Start times are read from the wall clock, which may be set back. An earlier
	// start is therefore accepted as a restart once no message has been received for
	// FarLiveTimeout.
	timedOut := now.Sub(last.receivedAt) > d.config.FarLiveTimeout
	if entry.Start < last.Start && !timedOut || entry.Start == last.Start && entry.Sequence <= last.Sequence {
		return false, false
	}
	if isNew = entry.Start != last.Start; isNew {
		last.loadSequence = 0
	}
	// An entry that was silent may be live again.
	if timedOut || !last.Entry.sameState(entry) {
		d.forgetLists()
	}
	last.Entry, last.receivedAt = entry, now
	return true, isNew
}

// sameState reports whether two messages of an entry differ in their order only.
func (e Entry) sameState(other Entry) bool {
	other.Sequence = e.Sequence
	return e == other
}

// forgetLists discards the lists that were computed from the known entries.
func (d *Directory) forgetLists() { d.live, d.near, d.far = nil, nil, nil }

// NextRecipients returns the hosts to which the next message is sent. Each call is
// one turn. It also removes entries and probes that have been silent for too long.
func (d *Directory) NextRecipients(now time.Time) []string {
	for host, entry := range d.entries {
		if now.Sub(entry.receivedAt) > d.config.RemoveAfter {
			delete(d.entries, host)
			d.forgetLists()
		}
	}
	near, far := d.split()
	hosts := append(d.selectTurn(near, nearTurns(near)), d.selectTurn(far, farTurns(far))...)
	d.sent++
	for host, candidate := range d.probes {
		if now.Sub(candidate.addedAt) > d.config.ProbeTimeout {
			delete(d.probes, host)
			continue
		}
		if !now.Before(candidate.nextAt) {
			candidate.nextAt = now.Add(min(max(now.Sub(candidate.addedAt)/2, d.config.MinProbeInterval), d.config.ProbeInterval))
			hosts = append(hosts, host)
		}
	}
	slices.Sort(hosts)
	return hosts
}

// split divides the hosts into near ones, in the own availability zone, and far
// ones. In a small fleet all hosts count as near. The result must not be modified.
func (d *Directory) split() (near, far []string) {
	if d.near == nil && d.far == nil {
		d.near, d.far = d.computeSplit()
	}
	return d.near, d.far
}

func (d *Directory) computeSplit() (near, far []string) {
	for _, host := range slices.Sorted(maps.Keys(d.entries)) {
		if d.entries[host].AvailabilityZone == d.self.AvailabilityZone {
			near = append(near, host)
		} else {
			far = append(far, host)
		}
	}
	if len(near)+len(far) <= d.config.MaxBroadcast {
		return append(near, far...), nil
	}
	return near, far
}

// SplitRecipients divides the recipients of a message into near ones and those whose
// next turn comes only after several messages.
func (d *Directory) SplitRecipients(hosts []string) (near, far []string) {
	if d.BroadcastsToAll() {
		return hosts, nil
	}
	for _, host := range hosts {
		if entry := d.entries[host]; entry != nil && entry.AvailabilityZone != d.self.AvailabilityZone {
			far = append(far, host)
		} else {
			near = append(near, host)
		}
	}
	return near, far
}

// FarTurns returns how many messages it takes until every far entry has been sent one.
func (d *Directory) FarTurns() int {
	_, far := d.split()
	return farTurns(far)
}

// HasDiscovered reports whether an entry was discovered within the given time.
func (d *Directory) HasDiscovered(within time.Duration, now time.Time) bool {
	return now.Sub(d.discoveredAt) <= within
}

// selectTurn returns the hosts whose turn it is, out of the given number of turns.
func (d *Directory) selectTurn(hosts []string, turns int) []string {
	var chosen []string
	for i, host := range hosts {
		if i%turns == d.sent%turns {
			chosen = append(chosen, host)
		}
	}
	return chosen
}

// BroadcastsToAll reports whether all entries are sent each message.
func (d *Directory) BroadcastsToAll() bool {
	_, far := d.split()
	return len(far) == 0
}

// LiveEntries returns the other entries that are alive, sorted by host. The result must
// not be modified; it counts an entry as live for up to maxLiveAge too long.
func (d *Directory) LiveEntries(now time.Time) []Entry {
	if d.live == nil || now.Before(d.liveAt) || now.Sub(d.liveAt) >= maxLiveAge {
		d.live, d.liveAt = slices.Clip(d.computeLive(now)), now
	}
	return d.live
}

func (d *Directory) computeLive(now time.Time) []Entry {
	near, far := d.split()
	nearTimeout := d.config.LiveTimeout * time.Duration(nearTurns(near))
	farTimeout := d.config.FarLiveTimeout * time.Duration(farTurns(far)) / minFarTurns
	live := make([]Entry, 0, len(d.entries))
	for _, host := range slices.Sorted(maps.Keys(d.entries)) {
		entry, limit := d.entries[host], nearTimeout
		if len(far) > 0 && entry.AvailabilityZone != d.self.AvailabilityZone {
			limit = farTimeout
		}
		if now.Sub(entry.receivedAt) <= limit {
			live = append(live, entry.Entry)
		}
	}
	return live
}

// HostsToName returns up to limit hosts of live entries to name in the next message.
// Successive messages name successive hosts, and different entries begin at different
// ones, so that each host is soon named to many entries.
func (d *Directory) HostsToName(limit int, now time.Time) []string {
	live := d.LiveEntries(now)
	if len(live) == 0 {
		return nil
	}
	limit = min(limit, len(live))
	hosts := make([]string, 0, limit)
	for i := range limit {
		hosts = append(hosts, live[(d.firstNamed+d.sent*limit+i)%len(live)].Host)
	}
	return hosts
}

// NearHosts returns the hosts of all live entries if there are at most limit of
// them. Otherwise it returns up to limit hosts in the own availability zone.
func (d *Directory) NearHosts(limit int, now time.Time) []string {
	var all, near []string
	for _, entry := range d.LiveEntries(now) {
		all = append(all, entry.Host)
		if entry.AvailabilityZone == d.self.AvailabilityZone {
			near = append(near, entry.Host)
		}
	}
	if len(all) <= limit {
		return all
	}
	return near[:min(limit, len(near))]
}

// AcceptLoads reports whether the loads in a message of a known entry are newer than the
// last ones accepted, and if so records the sequence number. Load updates may overtake
// the regular messages, whose other content stays valid.
func (d *Directory) AcceptLoads(host string, start int64, sequence uint64) bool {
	last := d.entries[host]
	if last == nil || start != last.Start || sequence <= last.loadSequence {
		return false
	}
	last.loadSequence = sequence
	return true
}

// SetStoreUnavailable records whether this entry cannot read the store.
func (d *Directory) SetStoreUnavailable(unavailable bool) { d.self.StoreUnavailable = unavailable }

// ShouldWatch reports whether this entry is the watcher of the collection in its
// availability zone: the entry that is assigned to watch the store for it. In each
// zone that is the entry ranked first among those that can read the store, or
// among all if none can.
func (d *Directory) ShouldWatch(collection string, now time.Time) bool {
	var all, readers []string
	for _, entry := range d.zoneEntries(now) {
		all = append(all, entry.Host)
		if !entry.StoreUnavailable {
			readers = append(readers, entry.Host)
		}
	}
	if len(readers) == 0 {
		readers = all
	}
	return member.Rank(collection, readers)[0] == d.self.Host
}

// ListRank returns the position of this entry in the order in which the live entries of
// its availability zone list a collection after a restore of the store. It does not depend
// on who can read the store: after an outage, entries differ in what they know of that.
func (d *Directory) ListRank(collection string, now time.Time) int {
	var hosts []string
	for _, entry := range d.zoneEntries(now) {
		hosts = append(hosts, entry.Host)
	}
	return slices.Index(member.Rank(collection, hosts), d.self.Host)
}

// zoneEntries returns this entry and the live ones of its availability zone that are not
// leaving.
func (d *Directory) zoneEntries(now time.Time) []Entry {
	zone := []Entry{d.self}
	for _, entry := range d.LiveEntries(now) {
		if entry.AvailabilityZone == d.self.AvailabilityZone && !entry.Leaving {
			zone = append(zone, entry)
		}
	}
	return zone
}

// maxLiveAge is how long the list of live entries is used before it is checked again
// which of them have been silent for too long.
const maxLiveAge = 100 * time.Millisecond

// minZoneAddresses is the number of entries of an availability zone from which on they
// are enough for the callers there.
const minZoneAddresses = 8

// FrontAddresses returns up to limit addresses at which requests are accepted now, for a
// caller in the given availability zone: all of them if they are within the limit.
// Otherwise they are those in the caller's zone, if these are enough, and successive
// calls return successive ones, so that callers spread over all entries. Of the allowed
// sets of regions the first one with such an entry applies; isAllowed is false if there is
// none, and the entries of any region are returned.
func (d *Directory) FrontAddresses(zone string, allowed [][]string, limit int, now time.Time) (addresses []string, isAllowed bool) {
	ready, isAllowed := inRegions(d.readyEntries(now), allowed)
	if len(ready) > limit {
		inZone := slices.DeleteFunc(slices.Clone(ready), func(entry Entry) bool { return entry.AvailabilityZone != zone })
		if len(inZone) >= minZoneAddresses {
			ready = inZone
		}
	}
	count := min(limit, len(ready))
	first := 0
	if len(ready) > limit {
		first = d.answered * limit
		d.answered++
	}
	fronts := make([]string, 0, count)
	for i := range count {
		fronts = append(fronts, ready[(first+i)%len(ready)].FrontAddress)
	}
	return fronts, isAllowed
}

// inRegions returns the entries in the first of the sets of regions that has any, or all
// entries and false.
func inRegions(entries []Entry, sets [][]string) ([]Entry, bool) {
	for _, regions := range sets {
		inSet := slices.DeleteFunc(slices.Clone(entries), func(entry Entry) bool {
			return entry.Region == "" || !slices.Contains(regions, entry.Region)
		})
		if len(inSet) > 0 {
			return inSet, true
		}
	}
	return entries, len(sets) == 0
}

// readyEntries returns the entries that accept requests, including this one, sorted by
// address.
func (d *Directory) readyEntries(now time.Time) []Entry {
	ready := slices.DeleteFunc(append(d.LiveEntries(now), d.self), func(entry Entry) bool {
		return !entry.Ready || entry.Leaving || entry.FrontAddress == ""
	})
	slices.SortFunc(ready, func(a, b Entry) int { return strings.Compare(a.FrontAddress, b.FrontAddress) })
	return ready
}

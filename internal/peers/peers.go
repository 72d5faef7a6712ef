// Package peers is the aggregate of the entries that one entry knows: who is
// there, who takes requests, and whose duty a reading of the store is. It does
// no I/O.
package peers

import (
	"maps"
	"slices"
	"time"

	"plantainrelay/internal/member"
)

// Entry is one entry instance as it tells of itself.
type Entry struct {
	Instance string
	// Host is the IP; Front is where it takes requests.
	Host             string
	AvailabilityZone string
	Region           string
	Front            string
	// Start and Sequence order what it says.
	Start    int64
	Sequence uint64
	Ready    bool
	Leaving  bool
	// Lost says that its reads of the store fail.
	Lost bool
}

// Config holds the limits.
type Config struct {
	// LiveFor is how long after its last message an entry counts as there; LiveFor
	// is for those that send often, FarLiveFor for those that take turns. Both grow
	// with the number of turns.
	LiveFor, FarLiveFor time.Duration
	// Often is the size of a fleet whose entries are all sent each message. In a
	// larger one the entries of other availability zones take turns, and so do
	// those of a large zone, so that the messages of an entry don't grow with the
	// fleet.
	Often int
	// ForgetAfter is how long an entry that keeps silent is still sent messages.
	ForgetAfter time.Duration
	// ProbeFor is how long a host that never answered is sent messages.
	ProbeFor time.Duration
	// ProbeInterval is the time between messages to hosts that keep silent.
	ProbeInterval time.Duration
}

type known struct {
	Entry
	heardAt time.Time
}

type probe struct {
	since, next time.Time
}

// Directory holds the entries. It is not safe for concurrent use.
type Directory struct {
	config  Config
	self    Entry
	entries map[string]*known
	// probes holds hosts that may be entries.
	probes map[string]*probe
	// turns counts the messages, for the hosts that take turns.
	turns int
}

const (
	// turns is the least number of messages among which far entries take turns.
	turns = 4
	// nearPerTurn and farPerTurn bound the entries that are sent one message.
	nearPerTurn = 16
	farPerTurn  = 8
)

func nearTurns(near []string) int { return max((len(near)+nearPerTurn-1)/nearPerTurn, 1) }

func farTurns(far []string) int { return max((len(far)+farPerTurn-1)/farPerTurn, turns) }

// New returns a directory of the entry self, which asks seeds for others.
func New(config Config, self Entry, seeds []string, now time.Time) *Directory {
	d := &Directory{config: config, self: self, entries: map[string]*known{}, probes: map[string]*probe{}}
	d.Suggest(seeds, now)
	return d
}

// Self returns this entry.
func (d *Directory) Self() Entry { return d.self }

// SetState records what this entry tells of itself.
func (d *Directory) SetState(ready, leaving bool) {
	d.self.Ready, d.self.Leaving = ready, leaving
}

// Suggest names hosts that may be entries.
func (d *Directory) Suggest(hosts []string, now time.Time) {
	for _, host := range hosts {
		if host == d.self.Host || host == "" || d.entries[host] != nil || d.probes[host] != nil {
			continue
		}
		d.probes[host] = &probe{since: now, next: now}
	}
}

// Heard records a message. It returns false for one that is older than what is
// known; isNew says that the entry was not known or has started again.
func (d *Directory) Heard(entry Entry, now time.Time) (current, isNew bool) {
	if entry.Host == d.self.Host {
		return false, false
	}
	delete(d.probes, entry.Host)
	last := d.entries[entry.Host]
	if last == nil {
		d.entries[entry.Host] = &known{Entry: entry, heardAt: now}
		return true, true
	}
	// Starts are told by the time of day, which may go back: one that seems earlier
	// counts once the other has been silent for a while.
	silent := now.Sub(last.heardAt) > d.config.FarLiveFor
	if entry.Start < last.Start && !silent || entry.Start == last.Start && entry.Sequence <= last.Sequence {
		return false, false
	}
	isNew = entry.Start != last.Start
	last.Entry, last.heardAt = entry, now
	return true, isNew
}

// Targets returns the hosts to send a message to now.
func (d *Directory) Targets(now time.Time) []string {
	for host, entry := range d.entries {
		if now.Sub(entry.heardAt) > d.config.ForgetAfter {
			delete(d.entries, host)
		}
	}
	near, far := d.split()
	hosts := append(d.turn(near, nearTurns(near)), d.turn(far, farTurns(far))...)
	d.turns++
	for host, probed := range d.probes {
		if now.Sub(probed.since) > d.config.ProbeFor {
			delete(d.probes, host)
			continue
		}
		if !now.Before(probed.next) {
			probed.next = now.Add(d.config.ProbeInterval)
			hosts = append(hosts, host)
		}
	}
	slices.Sort(hosts)
	return hosts
}

// split returns the hosts near by and those far away. All hosts of a small fleet
// are near.
func (d *Directory) split() (near, far []string) {
	for _, host := range slices.Sorted(maps.Keys(d.entries)) {
		if d.entries[host].AvailabilityZone == d.self.AvailabilityZone {
			near = append(near, host)
		} else {
			far = append(far, host)
		}
	}
	if len(near)+len(far) <= d.config.Often {
		return append(near, far...), nil
	}
	return near, far
}

// turn returns the hosts whose turn it is, of so many turns.
func (d *Directory) turn(hosts []string, turns int) []string {
	var chosen []string
	for i, host := range hosts {
		if i%turns == d.turns%turns {
			chosen = append(chosen, host)
		}
	}
	return chosen
}

// Small reports whether all entries are sent each message.
func (d *Directory) Small() bool {
	_, far := d.split()
	return len(far) == 0
}

// Live returns the entries that are there, without this one.
func (d *Directory) Live(now time.Time) []Entry {
	near, far := d.split()
	nearFor := d.config.LiveFor * time.Duration(nearTurns(near))
	farFor := d.config.FarLiveFor * time.Duration(farTurns(far)) / turns
	var live []Entry
	for _, host := range slices.Sorted(maps.Keys(d.entries)) {
		entry, limit := d.entries[host], nearFor
		if len(far) > 0 && entry.AvailabilityZone != d.self.AvailabilityZone {
			limit = farFor
		}
		if now.Sub(entry.heardAt) <= limit {
			live = append(live, entry.Entry)
		}
	}
	return live
}

// Near returns the hosts of the live entries when there are no more than most,
// otherwise of up to most of those in the own availability zone.
func (d *Directory) Near(most int, now time.Time) []string {
	var all, near []string
	for _, entry := range d.Live(now) {
		all = append(all, entry.Host)
		if entry.AvailabilityZone == d.self.AvailabilityZone {
			near = append(near, entry.Host)
		}
	}
	if len(all) <= most {
		return all
	}
	return near[:min(most, len(near))]
}

// Current reports whether a message is newer than the last one of its sender,
// and remembers it when it is.
func (d *Directory) Current(host string, start int64, sequence uint64) bool {
	last := d.entries[host]
	if last == nil || start != last.Start || sequence <= last.Sequence {
		return false
	}
	last.Sequence = sequence
	return true
}

// SetLost records whether this entry's own reads of the store fail.
func (d *Directory) SetLost(lost bool) { d.self.Lost = lost }

// Watches reports whether reading the collection is this entry's duty: one
// entry of each availability zone has it, the first by rank of those that can read
// the store, or of all when none can.
func (d *Directory) Watches(collection string, now time.Time) bool {
	zone := []Entry{d.self}
	for _, entry := range d.Live(now) {
		if entry.AvailabilityZone == d.self.AvailabilityZone && !entry.Leaving {
			zone = append(zone, entry)
		}
	}
	var all, able []string
	for _, entry := range zone {
		all = append(all, entry.Host)
		if !entry.Lost {
			able = append(able, entry.Host)
		}
	}
	if len(able) == 0 {
		able = all
	}
	return member.Rank(collection, able)[0] == d.self.Host
}

// Fronts returns the addresses at which requests are taken now: those of the
// ready entries, this one included.
func (d *Directory) Fronts(now time.Time) []string {
	var fronts []string
	if d.self.Ready && !d.self.Leaving {
		fronts = append(fronts, d.self.Front)
	}
	for _, entry := range d.Live(now) {
		if entry.Ready && !entry.Leaving && entry.Front != "" {
			fronts = append(fronts, entry.Front)
		}
	}
	slices.Sort(fronts)
	return fronts
}

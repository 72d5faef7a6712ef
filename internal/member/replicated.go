package member

import (
	"encoding/binary"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// partCount is the number of parts that the list is divided into, so that a
	// change of one instance transfers only a small part of the list.
	partCount = 64
	// overrideAfterReads is the number of consecutive reads from the platform that
	// must differ from the replicated part before a reader replaces it.
	overrideAfterReads = 3
)

// Part holds the rows of the list whose names hash to the same index.
type Part struct {
	Index int
	// Stamp orders the versions of a part. It is the reader's clock in Unix
	// milliseconds, raised if necessary so that it always increases.
	Stamp int64
	Rows  []Instance
}

// ReplicatedList is the replicated copy of the platform's list. A few processes
// read the list from the platform, and all processes forward it to their peers.
// Of two versions of a part, the one with the higher stamp wins.
type ReplicatedList struct {
	parts [partCount]Part
	// lastReadHashes holds the hash of each part as this process last read it
	// from the platform. mismatches counts, for each part, the consecutive reads
	// that differed from the part held here.
	lastReadHashes [partCount]uint64
	hasRead        bool
	mismatches     [partCount]int
}

// ApplyRead applies a list read from the platform at now, in Unix milliseconds,
// and reports whether any part changed. A part is replaced if it changed
// between two reads of this process, or if it differed from the version
// received from peers in several consecutive reads. Otherwise a reader that
// sees a stale list would undo a change that another reader has already seen.
func (l *ReplicatedList) ApplyRead(list *List, now int64) bool {
	changed := false
	for index, rows := range partition(list) {
		hash := hashRows(rows)
		changedSinceRead := !l.hasRead || hash != l.lastReadHashes[index]
		l.lastReadHashes[index] = hash
		part := &l.parts[index]
		if hash == hashRows(part.Rows) {
			l.mismatches[index] = 0
			continue
		}
		l.mismatches[index]++
		unknown := part.Stamp == 0
		if unknown || (changedSinceRead && l.hasRead) || l.mismatches[index] >= overrideAfterReads {
			*part = Part{Index: index, Stamp: max(now, part.Stamp+1), Rows: rows}
			l.mismatches[index] = 0
			changed = true
		}
	}
	l.hasRead = true
	return changed
}

// Merge applies the parts received from a peer that are newer than those held.
// It reports whether any part changed.
func (l *ReplicatedList) Merge(parts []Part) bool {
	changed := false
	for _, part := range parts {
		if part.Index < 0 || part.Index >= partCount || part.Stamp <= l.parts[part.Index].Stamp {
			continue
		}
		l.parts[part.Index] = part
		changed = true
	}
	return changed
}

// Stamps returns the stamps of all parts, by index.
func (l *ReplicatedList) Stamps() []int64 {
	stamps := make([]int64, partCount)
	for index, part := range l.parts {
		stamps[index] = part.Stamp
	}
	return stamps
}

// Newer returns the parts whose stamps are higher than the given ones, which
// are ordered by index.
func (l *ReplicatedList) Newer(stamps []int64) []Part {
	var newer []Part
	for index, part := range l.parts {
		if index >= len(stamps) || part.Stamp > stamps[index] {
			newer = append(newer, part)
		}
	}
	return newer
}

// Digest returns the highest stamp and a hash over all stamps. Two replicated
// lists with the same hash hold the same parts.
func (l *ReplicatedList) Digest() (stamp int64, hash uint64) {
	raw := make([]byte, 0, partCount*binary.MaxVarintLen64)
	for _, part := range l.parts {
		stamp = max(stamp, part.Stamp)
		raw = binary.AppendVarint(raw, part.Stamp)
	}
	if stamp == 0 {
		return 0, 0
	}
	return stamp, xxhash.Sum64(raw)
}

// List returns the rows of all parts.
func (l *ReplicatedList) List() *List {
	list := &List{}
	for _, part := range l.parts {
		list.Instances = append(list.Instances, part.Rows...)
	}
	return list
}

func partition(list *List) [partCount][]Instance {
	var parts [partCount][]Instance
	for _, instance := range list.Instances {
		index := xxhash.Sum64String(instance.Name) % partCount
		parts[index] = append(parts[index], instance)
	}
	for _, rows := range parts {
		slices.SortFunc(rows, func(a, b Instance) int { return strings.Compare(a.Name, b.Name) })
	}
	return parts
}

func hashRows(rows []Instance) uint64 {
	digest := xxhash.New()
	for _, row := range rows {
		for _, field := range []string{row.Name, string(row.Role), string(row.State), row.Region,
			row.AvailabilityZone, row.HTTPAddress, row.ControlAddress} {
			_, _ = digest.WriteString(field)
			_, _ = digest.WriteString("\x00")
		}
	}
	return digest.Sum64()
}

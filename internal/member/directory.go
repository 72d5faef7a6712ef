package member

import (
	"encoding/binary"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// partCount is the number of parts that the list is spread in, so that the
	// change of one instance moves a small part of the list.
	partCount = 64
	// disagreements is the number of reads in a row that have to differ from
	// what peers say before a reader sets its own reading against theirs.
	disagreements = 3
)

// Part is the rows of the list whose names hash to one index.
type Part struct {
	Index int
	// Stamp orders the states of a part. It follows the reader's clock in
	// milliseconds and always grows.
	Stamp int64
	Rows  []Instance
}

// Directory is the platform's list as a few readers read it and all processes
// pass it on. Each part carries a stamp; the higher one wins.
type Directory struct {
	parts [partCount]Part
	// read is what this process itself read last, and differs counts the reads
	// in a row in which it was not what the directory holds.
	read    [partCount]uint64
	hasRead bool
	differs [partCount]int
}

// Read takes in a list read from the platform at now, in Unix milliseconds,
// and reports whether the directory changed. A part is replaced when it
// changed between two own reads, or when the platform goes on to disagree
// with what peers have said, so that a reader that lags behind another one
// does not undo what that one has read.
func (d *Directory) Read(list *List, now int64) bool {
	changed := false
	for index, rows := range split(list) {
		hash := hashRows(rows)
		edge := !d.hasRead || hash != d.read[index]
		d.read[index] = hash
		part := &d.parts[index]
		if hash == hashRows(part.Rows) {
			d.differs[index] = 0
			continue
		}
		d.differs[index]++
		first := part.Stamp == 0
		if first || (edge && d.hasRead) || d.differs[index] >= disagreements {
			*part = Part{Index: index, Stamp: max(now, part.Stamp+1), Rows: rows}
			d.differs[index] = 0
			changed = true
		}
	}
	d.hasRead = true
	return changed
}

// Merge takes in parts from a peer and reports whether the directory changed.
func (d *Directory) Merge(parts []Part) bool {
	changed := false
	for _, part := range parts {
		if part.Index < 0 || part.Index >= partCount || part.Stamp <= d.parts[part.Index].Stamp {
			continue
		}
		d.parts[part.Index] = part
		changed = true
	}
	return changed
}

// Stamps returns the stamps of all parts, by index.
func (d *Directory) Stamps() []int64 {
	stamps := make([]int64, partCount)
	for index, part := range d.parts {
		stamps[index] = part.Stamp
	}
	return stamps
}

// Newer returns the parts that are newer than stamps.
func (d *Directory) Newer(stamps []int64) []Part {
	var newer []Part
	for index, part := range d.parts {
		if index >= len(stamps) || part.Stamp > stamps[index] {
			newer = append(newer, part)
		}
	}
	return newer
}

// Digest returns the highest stamp and a hash over all stamps. Two directories
// with the same hash hold the same parts.
func (d *Directory) Digest() (stamp int64, hash uint64) {
	raw := make([]byte, 0, partCount*binary.MaxVarintLen64)
	for _, part := range d.parts {
		stamp = max(stamp, part.Stamp)
		raw = binary.AppendVarint(raw, part.Stamp)
	}
	if stamp == 0 {
		return 0, 0
	}
	return stamp, xxhash.Sum64(raw)
}

// List returns all rows.
func (d *Directory) List() *List {
	list := &List{}
	for _, part := range d.parts {
		list.Instances = append(list.Instances, part.Rows...)
	}
	return list
}

func split(list *List) [partCount][]Instance {
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

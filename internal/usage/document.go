package usage

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"plantainrelay/internal/failure"
	"plantainrelay/internal/member"
)

// ShardsPerDay is the number of documents for one day.
const ShardsPerDay = 64

// DocumentName returns the name of the document that stores the report of a
// source for an hour. All reports of a source go to the same shard.
func DocumentName(source Source, hour Hour) string {
	return ShardName(hour.Day(), int(xxhash.Sum64String(source.Name)%ShardsPerDay))
}

// ShardName returns the name of the document for a day and a shard.
func ShardName(day string, shard int) string {
	return fmt.Sprintf("%s-%02d", day, shard)
}

// Document holds the reports of many sources for one day.
type Document struct {
	// Keys holds each key once. Rows refer to a key by its index.
	Keys []Key `json:"keys"`
	// Live holds the latest report of each source for hours that the source
	// has not closed.
	Live []openReport `json:"live"`
	// Sums holds the totals of the closed reports.
	Sums []hourRange `json:"sums"`
	// Folded identifies the closed reports that Sums includes, so that none is
	// added twice.
	Folded []reportID `json:"folded"`
}

// indexedRow holds the index of a key and its done, not run, unknown, tokens in
// and tokens out counts, in this order.
type indexedRow [6]int64

// openReport is the latest report of a source for an hour that is not closed.
type openReport struct {
	Source string       `json:"source"`
	Role   member.Role  `json:"role"`
	Hour   Hour         `json:"hour"`
	Rows   []indexedRow `json:"rows"`
}

// reportID identifies the report of a source for an hour.
type reportID struct {
	Source string `json:"source"`
	Hour   Hour   `json:"hour"`
}

// hourRange holds the totals of the hours from From to To, both included.
type hourRange struct {
	Role member.Role  `json:"role"`
	From Hour         `json:"from"`
	To   Hour         `json:"to"`
	Rows []indexedRow `json:"rows"`
}

// Decode parses a document. Empty input gives an empty document.
func Decode(raw []byte) (*Document, error) {
	document := &Document{}
	if len(raw) == 0 {
		return document, nil
	}
	if err := json.Unmarshal(raw, document); err != nil {
		return nil, failure.Wrap(err, failure.Invalid, "restore the object", "a usage document cannot be decoded")
	}
	return document, document.validate()
}

// validate returns an error if a row refers to a missing key.
func (d *Document) validate() error {
	for _, list := range d.allRows() {
		for _, row := range list {
			if row[0] < 0 || row[0] >= int64(len(d.Keys)) {
				return failure.New(failure.Invalid, "restore the object", "a usage document refers to key %d of %d", row[0], len(d.Keys))
			}
		}
	}
	return nil
}

func (d *Document) allRows() [][]indexedRow {
	var all [][]indexedRow
	for _, live := range d.Live {
		all = append(all, live.Rows)
	}
	for _, sum := range d.Sums {
		all = append(all, sum.Rows)
	}
	return all
}

// Merge adds a report to the document. It is idempotent: a later report of the
// same source and hour replaces an earlier one, and a closed report is added to
// the sums only once.
func (d *Document) Merge(report Report) {
	if slices.Contains(d.Folded, reportID{Source: report.Source.Name, Hour: report.Hour}) {
		return
	}
	d.Live = slices.DeleteFunc(d.Live, func(live openReport) bool {
		return live.Source == report.Source.Name && live.Hour == report.Hour
	})
	if !report.Closed {
		d.Live = append(d.Live, openReport{Source: report.Source.Name, Role: report.Source.Role, Hour: report.Hour, Rows: d.indexRows(report.Rows)})
		return
	}
	sum := d.sumFor(report.Source.Role, report.Hour)
	sum.Rows = d.indexRows(append(d.expandRows(sum.Rows), report.Rows...))
	d.Folded = append(d.Folded, reportID{Source: report.Source.Name, Hour: report.Hour})
}

// Contains reports whether the document already contains the report. That is
// the case after a write whose response was lost.
func (d *Document) Contains(report Report) bool {
	if slices.Contains(d.Folded, reportID{Source: report.Source.Name, Hour: report.Hour}) {
		return true
	}
	for _, live := range d.Live {
		if !report.Closed && live.Source == report.Source.Name && live.Hour == report.Hour {
			return slices.Equal(d.expandRows(live.Rows), report.Rows)
		}
	}
	return false
}

// sumFor returns the sum that covers the hour for the role, and adds an empty
// one if there is none.
func (d *Document) sumFor(role member.Role, hour Hour) *hourRange {
	for i := range d.Sums {
		if d.Sums[i].Role == role && d.Sums[i].From <= hour && hour <= d.Sums[i].To {
			return &d.Sums[i]
		}
	}
	d.Sums = append(d.Sums, hourRange{Role: role, From: hour, To: hour})
	return &d.Sums[len(d.Sums)-1]
}

// indexRows returns list with each key replaced by its index, sorted by key.
// Rows with equal keys are summed, and new keys are added to the document.
func (d *Document) indexRows(list []Row) []indexedRow {
	totals := map[Key]Counts{}
	for _, row := range list {
		totals[row.Key] = totals[row.Key].Add(row.Counts)
	}
	keyIndexes := make(map[Key]int, len(d.Keys))
	for i, key := range d.Keys {
		keyIndexes[key] = i
	}
	indexed := make([]indexedRow, 0, len(totals))
	for _, row := range sortedRows(totals) {
		i, found := keyIndexes[row.Key]
		if !found {
			i = len(d.Keys)
			keyIndexes[row.Key] = i
			d.Keys = append(d.Keys, row.Key)
		}
		indexed = append(indexed, indexedRow{int64(i), row.Done, row.NotRun, row.Unknown, row.TokensIn, row.TokensOut})
	}
	return indexed
}

// expandRows is the inverse of indexRows.
func (d *Document) expandRows(indexed []indexedRow) []Row {
	list := make([]Row, 0, len(indexed))
	for _, row := range indexed {
		counts := Counts{Done: row[1], NotRun: row[2], Unknown: row[3], TokensIn: row[4], TokensOut: row[5]}
		list = append(list, Row{Key: d.Keys[row[0]], Counts: counts})
	}
	return list
}

// Encode returns the document as JSON of at most maxBytes. If needed, it first
// merges the oldest hours and then the versions in the sums, which keeps the
// totals exact. If the result is still too large, it returns an error of kind
// failure.Refused.
func (d *Document) Encode(maxBytes int) ([]byte, error) {
	for {
		raw, err := json.Marshal(d)
		if err != nil {
			return nil, failure.Wrap(err, failure.Internal, "report this", "a usage document cannot be encoded")
		}
		if len(raw) <= maxBytes {
			return raw, nil
		}
		if !d.mergeHours() && !d.mergeVersions() {
			return nil, failure.New(failure.Refused, "use fewer customers, pools and versions in one day",
				"a usage document takes %d bytes, more than %d", len(raw), maxBytes)
		}
	}
}

// mergeHours merges the two oldest sums of one role. It returns false if no
// role has two.
func (d *Document) mergeHours() bool {
	slices.SortFunc(d.Sums, func(a, b hourRange) int {
		return cmp.Or(strings.Compare(string(a.Role), string(b.Role)), cmp.Compare(a.From, b.From))
	})
	for i := 1; i < len(d.Sums); i++ {
		older, newer := &d.Sums[i-1], d.Sums[i]
		if older.Role != newer.Role {
			continue
		}
		older.To = newer.To
		older.Rows = d.indexRows(append(d.expandRows(older.Rows), d.expandRows(newer.Rows)...))
		d.Sums = slices.Delete(d.Sums, i, i+1)
		return true
	}
	return false
}

// AllVersions replaces the versions that were merged to save space.
const AllVersions = "(all)"

// mergeVersions merges the rows of the sums that differ only in their version,
// and deletes the keys that are no longer used. It returns false if all
// versions were merged before.
func (d *Document) mergeVersions() bool {
	merged := false
	before := *d
	d.Keys = nil
	d.Live = slices.Clone(before.Live)
	for i := range d.Live {
		d.Live[i].Rows = d.indexRows(before.expandRows(before.Live[i].Rows))
	}
	d.Sums = slices.Clone(before.Sums)
	for i := range d.Sums {
		list := before.expandRows(before.Sums[i].Rows)
		for j := range list {
			merged = merged || list[j].Version != AllVersions
			list[j].Version = AllVersions
		}
		d.Sums[i].Rows = d.indexRows(list)
	}
	return merged
}

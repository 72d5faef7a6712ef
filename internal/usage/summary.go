package usage

import (
	"slices"

	"plantainrelay/internal/member"
)

// Line is the usage of one key as counted by the entries and by the agents.
// Entries count requests and agents count attempts; a repeatable request may
// take several attempts.
type Line struct {
	Key
	Entries Counts `json:"entries"`
	Agents  Counts `json:"agents"`
}

// Summary is the usage of a range of hours.
type Summary struct {
	// From and To bound the hours that the lines cover, To excluded. The range
	// is wider than requested if it overlaps hours that have been merged.
	From, To Hour

	requestedFrom, requestedTo Hour
	lines                      map[Key]Line
}

// NewSummary returns an empty summary of the hours in [from, to).
func NewSummary(from, to Hour) *Summary {
	return &Summary{From: from, To: to, requestedFrom: from, requestedTo: to, lines: map[Key]Line{}}
}

// Add adds the part of document that lies in the requested hours.
func (s *Summary) Add(document *Document) {
	from, to := s.requestedFrom, s.requestedTo
	for _, live := range document.Live {
		if from <= live.Hour && live.Hour < to {
			s.add(live.Role, document.expandRows(live.Rows))
		}
	}
	for _, sum := range document.Sums {
		if sum.To < from || sum.From >= to {
			continue
		}
		s.add(sum.Role, document.expandRows(sum.Rows))
		s.From, s.To = min(s.From, sum.From), max(s.To, sum.To+1)
	}
}

func (s *Summary) add(role member.Role, list []Row) {
	for _, row := range list {
		line := s.lines[row.Key]
		line.Key = row.Key
		if role == member.RoleEntry {
			line.Entries = line.Entries.Add(row.Counts)
		} else {
			line.Agents = line.Agents.Add(row.Counts)
		}
		s.lines[row.Key] = line
	}
}

// Lines returns the lines sorted by key.
func (s *Summary) Lines() []Line {
	list := make([]Line, 0, len(s.lines))
	for _, line := range s.lines {
		list = append(list, line)
	}
	slices.SortFunc(list, func(a, b Line) int { return compareKeys(a.Key, b.Key) })
	return list
}

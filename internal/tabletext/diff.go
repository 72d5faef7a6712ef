package tabletext

import (
	"strings"

	"plantainrelay/internal/table"
)

// Diff returns the difference between the text forms of before and after: for
// each changed row its section header, followed by its removed columns with
// "-" and its added columns with "+". A row that only changed its position in
// the matching order is listed with "~".
func Diff(before, after *table.Tables) []string {
	old, new := rowsOf(before), rowsOf(after)
	var lines []string
	for _, row := range old.order {
		if _, found := new.columns[row]; !found {
			lines = append(lines, "- "+row)
		}
	}
	for _, row := range new.order {
		columns, found := old.columns[row]
		if !found {
			lines = append(lines, "+ "+row)
		}
		lines = append(lines, diffColumns(row, columns, new.columns[row], found)...)
	}
	return append(lines, moved(old, new)...)
}

type rows struct {
	order   []string
	columns map[string][]string
}

// rowsOf splits the text form of tables into rows, each with its column lines.
func rowsOf(tables *table.Tables) rows {
	result := rows{columns: map[string][]string{}}
	row := ""
	for line := range strings.Lines(string(Format(tables))) {
		line = strings.TrimSuffix(line, "\n")
		switch {
		case strings.HasPrefix(line, "["):
			row = line
			result.order = append(result.order, row)
			result.columns[row] = nil
		case line != "":
			result.columns[row] = append(result.columns[row], line)
		}
	}
	return result
}

func diffColumns(row string, old, new []string, known bool) []string {
	var lines []string
	lines = append(lines, without("- ", old, new)...)
	lines = append(lines, without("+ ", new, old)...)
	if known && len(lines) > 0 {
		lines = append([]string{"  " + row}, lines...)
	}
	return lines
}

// without returns the lines of a that are not in b, each prefixed with mark.
func without(mark string, a, b []string) []string {
	present := map[string]bool{}
	for _, line := range b {
		present[line] = true
	}
	var lines []string
	for _, line := range a {
		if !present[line] {
			lines = append(lines, mark+line)
		}
	}
	return lines
}

// moved lists the rows present in both forms whose relative order changed.
func moved(old, new rows) []string {
	var before, after []string
	for _, row := range old.order {
		if _, found := new.columns[row]; found {
			before = append(before, row)
		}
	}
	for _, row := range new.order {
		if _, found := old.columns[row]; found {
			after = append(after, row)
		}
	}
	var lines []string
	for i := range after {
		if before[i] != after[i] {
			lines = append(lines, "~ "+after[i])
		}
	}
	return lines
}

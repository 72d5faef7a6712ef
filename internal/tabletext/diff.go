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
	oldRows, newRows := splitRows(before), splitRows(after)
	var lines []string
	for _, row := range oldRows.order {
		if _, found := newRows.columns[row]; !found {
			lines = append(lines, "- "+row)
		}
	}
	for _, row := range newRows.order {
		columns, found := oldRows.columns[row]
		if !found {
			lines = append(lines, "+ "+row)
		}
		lines = append(lines, diffColumns(row, columns, newRows.columns[row], found)...)
	}
	return append(lines, reorderedRows(oldRows, newRows)...)
}

type tableRows struct {
	order   []string
	columns map[string][]string
}

// splitRows splits the text form of tables into rows, each with its column lines.
func splitRows(tables *table.Tables) tableRows {
	result := tableRows{columns: map[string][]string{}}
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

func diffColumns(row string, oldColumns, newColumns []string, existed bool) []string {
	var lines []string
	lines = append(lines, linesOnlyIn("- ", oldColumns, newColumns)...)
	lines = append(lines, linesOnlyIn("+ ", newColumns, oldColumns)...)
	if existed && len(lines) > 0 {
		lines = append([]string{"  " + row}, lines...)
	}
	return lines
}

// linesOnlyIn returns the lines of a that are not in b, each prefixed with prefix.
func linesOnlyIn(prefix string, a, b []string) []string {
	present := map[string]bool{}
	for _, line := range b {
		present[line] = true
	}
	var lines []string
	for _, line := range a {
		if !present[line] {
			lines = append(lines, prefix+line)
		}
	}
	return lines
}

// reorderedRows lists the rows present in both forms whose relative order changed.
func reorderedRows(oldRows, newRows tableRows) []string {
	var before, after []string
	for _, row := range oldRows.order {
		if _, found := newRows.columns[row]; found {
			before = append(before, row)
		}
	}
	for _, row := range newRows.order {
		if _, found := oldRows.columns[row]; found {
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

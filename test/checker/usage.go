package checker

import (
	"fmt"
	"io"
	"maps"
	"slices"
)

// WriteUsage compares the done responses that callers got with the usage report,
// by customer. Differences are expected after faults, because a killed process
// loses the usage that it has not written yet.
func (h *History) WriteUsage(out io.Writer) {
	seen := map[string]Usage{}
	for _, call := range h.Calls {
		if call.Outcome == Done {
			sum := seen[call.Customer]
			sum.Requests++
			sum.Tokens += int64(call.Tokens)
			seen[call.Customer] = sum
		}
	}
	fmt.Fprintln(out, "| customer | requests seen | reported | difference | tokens seen | reported | difference |")
	fmt.Fprintln(out, "| --- | --- | --- | --- | --- | --- | --- |")
	var allSeen, allReported Usage
	for _, customer := range slices.Sorted(maps.Keys(seen)) {
		writeUsage(out, customer, seen[customer], h.Usage[customer])
		allSeen.add(seen[customer])
		allReported.add(h.Usage[customer])
	}
	writeUsage(out, "all", allSeen, allReported)
}

func (u *Usage) add(other Usage) {
	u.Requests += other.Requests
	u.Tokens += other.Tokens
}

func writeUsage(out io.Writer, customer string, seen, reported Usage) {
	fmt.Fprintf(out, "| %s | %d | %d | %+d | %d | %d | %+d |\n", customer, seen.Requests, reported.Requests, reported.Requests-seen.Requests,
		seen.Tokens, reported.Tokens, reported.Tokens-seen.Tokens)
}

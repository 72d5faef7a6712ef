package ctl

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"plantainrelay/internal/failure"
)

// maxLogLine bounds one line of a log.
const maxLogLine = 1 << 20

// requestLine is what the end of a request writes into an entry's log.
type requestLine struct {
	Time     string `json:"time"`
	Instance string `json:"instance"`
	Message  string `json:"msg"`
	Request  string `json:"request"`
	Outcome  string `json:"outcome"`
	Status   int    `json:"status"`
	Ms       int64  `json:"ms"`
	Route    string `json:"route"`
	Pool     string `json:"pool"`
	Tables   int64  `json:"tables"`
	// ProofAgeMs is the age of the proof that the tables were current.
	ProofAgeMs int64        `json:"proof_age_ms"`
	Attempts   []attemptLog `json:"attempts"`
}

type attemptLog struct {
	Instance string `json:"instance"`
	Outcome  string `json:"outcome"`
	Version  int64  `json:"version"`
	Load     int    `json:"load"`
	Limit    int    `json:"limit"`
	QueueMs  int64  `json:"queue_ms"`
	FirstMs  int64  `json:"first_ms"`
	Events   int    `json:"events"`
	PauseMs  int64  `json:"max_pause_ms"`
	Ms       int64  `json:"ms"`
}

func explainCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "explain ID FILE...",
		Short:   "Gather the log lines of one request from the logs of all processes and say its cause",
		Example: "  plantainctl explain 9c41d07be2a35f68 /var/log/plantainrelay/*.log",
		Args:    cobra.MinimumNArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			found, err := gather(args[0], args[1:])
			if err != nil {
				return err
			}
			if len(found) == 0 {
				return failure.New(failure.NotFound, "give the logs of all entries, and the ID that the caller sent", "no line names the request %s", args[0])
			}
			for _, line := range found {
				explain(cmd.OutOrStdout(), line)
			}
			return nil
		},
	}
}

// gather returns the lines of a request in the order of their times.
func gather(id string, paths []string) ([]requestLine, error) {
	var found []requestLine
	for _, path := range paths {
		file, err := os.Open(path)
		if err != nil {
			return nil, failure.Wrap(err, failure.Invalid, "check the path", "the log %s cannot be read", path)
		}
		lines, err := linesOf(id, file)
		file.Close()
		if err != nil {
			return nil, failure.Wrap(err, failure.Invalid, "check that it is a log", "the log %s cannot be read to its end", path)
		}
		found = append(found, lines...)
	}
	slices.SortStableFunc(found, func(a, b requestLine) int { return strings.Compare(a.Time, b.Time) })
	return found, nil
}

func linesOf(id string, log io.Reader) ([]requestLine, error) {
	var found []requestLine
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		text := scanner.Text()
		at := strings.IndexByte(text, '{')
		if at < 0 || !strings.Contains(text, id) {
			continue
		}
		var line requestLine
		if json.Unmarshal([]byte(text[at:]), &line) == nil && line.Request == id {
			found = append(found, line)
		}
	}
	return found, scanner.Err()
}

func explain(out io.Writer, line requestLine) {
	fmt.Fprintf(out, "%s %s answered %d after %d ms: %s\n", line.Time, line.Instance, line.Status, line.Ms, line.Outcome)
	fmt.Fprintf(out, "  route %s, pool %s, tables %d, proven current %d ms before\n", line.Route, line.Pool, line.Tables, line.ProofAgeMs)
	for i, attempt := range line.Attempts {
		fmt.Fprintf(out, "  attempt %d at %s (version %d, %d of %d places taken): waited %d ms, first part after %d ms, %d events, longest pause %d ms, ended after %d ms: %s\n",
			i+1, attempt.Instance, attempt.Version, attempt.Load, attempt.Limit, attempt.QueueMs, attempt.FirstMs, attempt.Events, attempt.PauseMs, attempt.Ms, attempt.Outcome)
	}
	fmt.Fprintln(out, "  cause: "+cause(line))
}

// causes says in a sentence what an outcome without an attempt means.
var causes = map[string]string{
	"overload":     "all places of the pool's instances were taken for as long as the answer could have been on time",
	"no_instance":  "no instance of the pool took the request: none was usable, or those that were asked refused and the retry budget was used up",
	"stale_tables": "the entry could not prove that its tables were current; look for its link to the store and to other entries",
	"no_tables":    "the entry had no tables yet",
	"no_route":     "no route of the tables in force matches the host and the path",
	"unknown_key":  "no customer of the tables in force holds the key",
	"caller_left":  "the caller closed its connection",
}

func cause(line requestLine) string {
	if len(line.Attempts) == 0 {
		if text, known := causes[line.Outcome]; known {
			return text
		}
		return "the entry answered " + line.Outcome
	}
	last := line.Attempts[len(line.Attempts)-1]
	switch line.Outcome {
	case "answered":
		return slowest(line)
	case "broken_off":
		return fmt.Sprintf("the answer broke at %s (%s) and could go on nowhere else within the attempts and the retry budget", last.Instance, last.Outcome)
	case "timeout":
		return fmt.Sprintf("the time limit passed while %s worked or kept silent", last.Instance)
	case "unknown":
		return fmt.Sprintf("%s ended the attempt without a whole answer (%s), and the request may have run", last.Instance, last.Outcome)
	}
	if text, known := causes[line.Outcome]; known {
		return text
	}
	return "the last attempt ended as " + last.Outcome
}

// slowest names where an answered request spent its time.
func slowest(line requestLine) string {
	last := line.Attempts[len(line.Attempts)-1]
	switch {
	case len(line.Attempts) > 1:
		return fmt.Sprintf("answered after %d attempts; the first ended as %s", len(line.Attempts), line.Attempts[0].Outcome)
	case last.QueueMs > last.FirstMs:
		return "answered; most of the time to the first part was the wait for a place at the entry"
	}
	return "answered; the time to the first part was the instance's own"
}

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

// maxLogLine bounds the length of a log line in bytes.
const maxLogLine = 1 << 20

// requestLog is the log line that an entry writes at the end of a request.
type requestLog struct {
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
	// ProofAgeMs is how long ago the tables were last proven current.
	ProofAgeMs int64        `json:"proof_age_ms"`
	Attempts   []attemptLog `json:"attempts"`
	// BlockedPart is the part of the prompt because of which the request was refused,
	// SharedParts are all parts but its own.
	BlockedPart string   `json:"blocked_part"`
	SharedParts []string `json:"shared_parts"`
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
		Short:   "Collect the log lines of one request from log files and explain its outcome",
		Example: "  plantainctl explain 9c41d07be2a35f68 /var/log/plantainrelay/*.log",
		Args:    cobra.MinimumNArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			found, err := findRequest(args[0], args[1:])
			if err != nil {
				return err
			}
			if len(found) == 0 {
				return failure.New(failure.NotFound, "pass the logs of all entries and the ID that the caller sent", "no log line has the request ID %s", args[0])
			}
			for _, line := range found {
				explain(cmd.OutOrStdout(), line)
			}
			return nil
		},
	}
}

// findRequest returns the log lines of a request, sorted by time.
func findRequest(id string, paths []string) ([]requestLog, error) {
	var found []requestLog
	for _, path := range paths {
		file, err := os.Open(path)
		if err != nil {
			return nil, failure.Wrap(err, failure.Invalid, "check the path", "the log %s cannot be read", path)
		}
		lines, err := scanLog(id, file)
		file.Close()
		if err != nil {
			return nil, failure.Wrap(err, failure.Invalid, "check that it is a log file", "the log %s cannot be read completely", path)
		}
		found = append(found, lines...)
	}
	slices.SortStableFunc(found, func(a, b requestLog) int { return strings.Compare(a.Time, b.Time) })
	return found, nil
}

// scanLog returns the lines of a request in one log. Text before the JSON
// object of a line is ignored.
func scanLog(id string, log io.Reader) ([]requestLog, error) {
	var found []requestLog
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		text := scanner.Text()
		jsonStart := strings.IndexByte(text, '{')
		if jsonStart < 0 || !strings.Contains(text, id) {
			continue
		}
		var line requestLog
		if json.Unmarshal([]byte(text[jsonStart:]), &line) == nil && line.Request == id {
			found = append(found, line)
		}
	}
	return found, scanner.Err()
}

func explain(out io.Writer, line requestLog) {
	fmt.Fprintf(out, "%s %s responded with status %d after %d ms: %s\n", line.Time, line.Instance, line.Status, line.Ms, line.Outcome)
	fmt.Fprintf(out, "  route %s, pool %s, tables version %d, proven current %d ms earlier\n", line.Route, line.Pool, line.Tables, line.ProofAgeMs)
	for i, attempt := range line.Attempts {
		fmt.Fprintf(out, "  attempt %d at %s (version %d, %d of %d slots in use): queued %d ms, response headers after %d ms, %d events, longest pause %d ms, ended after %d ms: %s\n",
			i+1, attempt.Instance, attempt.Version, attempt.Load, attempt.Limit, attempt.QueueMs, attempt.FirstMs, attempt.Events, attempt.PauseMs, attempt.Ms, attempt.Outcome)
	}
	if len(line.SharedParts) > 0 {
		fmt.Fprintf(out, "  parts of the prompt that other requests share: %s\n", strings.Join(line.SharedParts, ", "))
	}
	fmt.Fprintln(out, "  cause: "+explainOutcome(line))
}

// outcomeCauses explains the outcomes that do not depend on an attempt.
var outcomeCauses = map[string]string{
	"overload":       "all slots of the pool's instances were in use until it was too late to respond in time",
	"no_instance":    "no instance of the pool accepted the request: none was available, or those that were tried refused it and the retry budget was used up",
	"instances_wait": "all instances of the pool had asked to be sent no requests for a time",
	"stale_tables":   "the entry could not prove that its tables were current; check its connections to the store and to other entries",
	"blocks_unknown": "the entry had just started and could not read yet which parts of prompts are blocked",
	"no_tables":      "the entry had no tables yet",
	"no_route":       "no route of the tables in force matches the host and path",
	"unknown_key":    "no customer of the tables in force has this key",
	"caller_left":    "the caller closed its connection",
}

func explainOutcome(line requestLog) string {
	if line.BlockedPart != "" {
		return fmt.Sprintf("instances crash when they begin to respond to the part %s of the prompt, which is blocked; see plantainctl blocks", line.BlockedPart)
	}
	if len(line.Attempts) == 0 {
		if text, known := outcomeCauses[line.Outcome]; known {
			return text
		}
		return "the entry responded with the outcome " + line.Outcome
	}
	last := line.Attempts[len(line.Attempts)-1]
	if last.Outcome == "crash_suspect" {
		return fmt.Sprintf("%s crashed before it had responded or soon after it had begun to; the request may be the reason and was not sent to another instance", last.Instance)
	}
	switch line.Outcome {
	case "answered":
		return explainLatency(line)
	case "broken_off":
		return fmt.Sprintf("the response broke off at %s (%s), and no other instance could resume it within the attempt limit and the retry budget", last.Instance, last.Outcome)
	case "timeout":
		return fmt.Sprintf("the time limit expired while %s was still working or did not respond", last.Instance)
	case "unknown":
		return fmt.Sprintf("%s ended the attempt without a complete response (%s), and the request may have run", last.Instance, last.Outcome)
	}
	if text, known := outcomeCauses[line.Outcome]; known {
		return text
	}
	return "the last attempt ended with the outcome " + last.Outcome
}

// explainLatency says how many attempts an answered request took or, if only
// one, where it spent most of the time until the response headers.
func explainLatency(line requestLog) string {
	last := line.Attempts[len(line.Attempts)-1]
	switch {
	case len(line.Attempts) > 1:
		return fmt.Sprintf("answered after %d attempts; the first ended with the outcome %s", len(line.Attempts), line.Attempts[0].Outcome)
	case last.QueueMs > last.FirstMs:
		return "answered; most of the time to the response headers was spent in the queue of the entry"
	}
	return "answered; most of the time to the response headers was spent at the instance"
}

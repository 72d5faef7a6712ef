package soak

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"plantainrelay/internal/metering"
	"plantainrelay/internal/weights"
	"plantainrelay/test/checker"
	"plantainrelay/test/cluster"
	"plantainrelay/test/standin"
)

// Result holds the recorded history and the statistics of a run.
type Result struct {
	History *checker.History
	// Settled is "yes" if at the end the model agents served the target version and all
	// other agents accepted requests, else the error.
	Settled         string
	DroppedArrivals int
	Faults          []string
	// FaultErrors are the errors of faults that could not be injected as intended.
	FaultErrors []string
	MaxRSSBytes int64
	Processes   int
	OriginBytes int64
	StoreCalls  int64
}

// saveServiceLevelReport writes the report in all output formats next to the logs.
func (r *run) saveServiceLevelReport() error {
	entry := r.anyEntry()
	for _, format := range []struct{ output, file string }{{"text", "burn.txt"}, {"json", "burn.json"}, {"html", "burn.html"}} {
		command := exec.Command(filepath.Join(r.config.Bin, "plantainctl"), "report", "burn",
			"--server", r.fleet.AdminURL(entry), "--token-file", r.fleet.TokenFile(), "--output", format.output)
		out, err := command.Output()
		if err != nil {
			return fmt.Errorf("report burn --output %s: %w", format.output, err)
		}
		if err := os.WriteFile(filepath.Join(r.config.Dir, format.file), out, 0o600); err != nil {
			return err
		}
	}
	return nil
}

// collect fills in result from the records of stand-ins, callers, operators and observer.
func (r *run) collect(result *Result) error {
	h := &checker.History{Versions: map[string]weights.Digest{}}
	for _, target := range r.versions {
		h.Versions[target.version] = target.wholeDigest
	}
	h.Calls, h.Edits, h.Observations = r.load.calls, r.operators.edits, r.observer.observations()
	h.Faults, h.Shutdowns = r.faults, r.shutdowns
	for _, instance := range r.all {
		if !r.agents[instance.Name] {
			continue
		}
		model := strings.HasPrefix(instance.Name, r.config.Deployment.ModelName)
		executions, err := readExecutions(r.fleet.RecordsPath(instance.Name), instance.Name, model)
		if err != nil {
			return err
		}
		h.Executions = append(h.Executions, executions...)
	}
	slices.SortFunc(h.Executions, func(a, b checker.Execution) int { return a.Started.Compare(b.Started) })
	var store standin.StoreRecords
	var origin standin.OriginRecords
	if err := errors.Join(cluster.GetJSON(r.fleet.PlatformURL+"/records/store", &store), cluster.GetJSON(r.fleet.PlatformURL+"/records/origin", &origin)); err != nil {
		return err
	}
	h.Writes = store.Writes
	var err error
	if h.Usage, err = r.fetchUsage(); err != nil {
		return err
	}
	result.History, result.DroppedArrivals, result.FaultErrors = h, r.load.dropped, r.faultErrors
	result.OriginBytes, result.StoreCalls = origin.Bytes, store.Calls
	for _, injected := range r.faults {
		result.Faults = append(result.Faults, strings.TrimSpace(injected.Kind+" "+strings.Join(injected.Instances, " ")))
	}
	return nil
}

// fetchUsage fetches the usage report: what entries counted as done, by customer.
func (r *run) fetchUsage() (map[string]checker.Usage, error) {
	ctx, cancel := context.WithTimeout(context.Background(), usageTimeout)
	defer cancel()
	query := url.Values{"from": {r.startedAt.UTC().Format(time.RFC3339)}, "to": {time.Now().Add(time.Hour).UTC().Format(time.RFC3339)}}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, r.fleet.AdminURL(r.anyEntry())+"/v1/usage?"+query.Encode(), nil)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+r.fleet.Token)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	var report metering.Report
	if err := json.NewDecoder(response.Body).Decode(&report); err != nil {
		return nil, err
	}
	reported := map[string]checker.Usage{}
	for _, line := range report.Lines {
		sum := reported[line.Customer]
		sum.Requests += line.Entries.Done
		sum.Tokens += line.Entries.TokensOut
		reported[line.Customer] = sum
	}
	return reported, nil
}

func readExecutions(path, instance string, model bool) ([]checker.Execution, error) {
	file, err := os.Open(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	defer file.Close()
	var all []checker.Execution
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, maxRecordBytes)
	for lines.Scan() {
		execution := checker.Execution{Instance: instance, Model: model}
		if err := json.Unmarshal(lines.Bytes(), &execution.Execution); err != nil {
			return nil, err
		}
		all = append(all, execution)
	}
	return all, lines.Err()
}

// maxRecordBytes bounds one line in the execution records of a backend server.
const maxRecordBytes = 1 << 20

// Write prints the statistics of the run and the report.
func (r *Result) Write(out io.Writer, report checker.Report) {
	fmt.Fprintf(out, "processes at most %d, resident memory at most %d MiB, origin bytes %d, store calls %d, arrivals dropped %d\n",
		r.Processes, r.MaxRSSBytes>>20, r.OriginBytes, r.StoreCalls, r.DroppedArrivals)
	fmt.Fprintf(out, "faults: %s\n", strings.Join(r.Faults, "; "))
	fmt.Fprintf(out, "all instances served the last version at the end: %s\n", r.Settled)
	for _, text := range r.FaultErrors {
		fmt.Fprintln(out, "fault not injected as intended:", text)
	}
	report.Write(out)
	r.History.WriteUsage(out)
}

package ctl

import (
	"encoding/csv"
	"fmt"
	"io"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"plantainrelay/internal/failure"
	"plantainrelay/internal/metering"
	"plantainrelay/internal/usage"
)

const defaultUsageRange = 24 * time.Hour

var usageFormats = []string{"text", "csv", "json"}

func usageCommand(o *options) *cobra.Command {
	var from, to string
	cmd := &cobra.Command{
		Use:   "usage",
		Short: "Show requests and tokens by customer, pool and version",
		Long: "Show requests and tokens by customer, pool and version, in whole hours (UTC),\n" +
			"as requests counted by the entries and attempts counted by the agents. Daemons\n" +
			"report to the store every few minutes; until then the newest usage is missing.",
		Example: "  plantainctl usage --from 2026-12-01T00:00:00Z --to 2026-12-02T00:00:00Z\n  plantainctl usage --output csv > usage.csv",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if !slices.Contains(usageFormats, o.output) {
				return failure.New(failure.Invalid, "use text, csv or json", "unknown output %q", o.output)
			}
			query, err := usageQuery(from, to, time.Now())
			if err != nil {
				return err
			}
			var report metering.Report
			if err := o.call(cmd.Context(), "GET", "/v1/usage?"+query.Encode(), nil, &report); err != nil {
				return err
			}
			return printUsage(cmd.OutOrStdout(), cmd.ErrOrStderr(), o.output, report)
		},
	}
	cmd.Flags().StringVar(&from, "from", "", "start time, such as 2026-12-01T00:00:00Z (default: 24 hours before the end)")
	cmd.Flags().StringVar(&to, "to", "", "end time, such as 2026-12-02T00:00:00Z (default: now)")
	return cmd
}

func usageQuery(from, to string, now time.Time) (url.Values, error) {
	end, err := optionalTime("to", to, now)
	if err != nil {
		return nil, err
	}
	start, err := optionalTime("from", from, end.Add(-defaultUsageRange))
	if err != nil {
		return nil, err
	}
	return url.Values{"from": {start.Format(time.RFC3339)}, "to": {end.Format(time.RFC3339)}}, nil
}

func optionalTime(flag, text string, fallback time.Time) (time.Time, error) {
	if text == "" {
		return fallback.UTC(), nil
	}
	parsed, err := time.Parse(time.RFC3339, text)
	return parsed, failure.Wrap(err, failure.Invalid, "write it as 2026-12-03T22:00:00Z", "--%s %q is not a valid time", flag, text)
}

func printUsage(out, warnings io.Writer, format string, report metering.Report) error {
	if len(report.Unreachable) > 0 {
		fmt.Fprintf(warnings, "warning: %d usage documents could not be read; their usage is missing: %s\n",
			len(report.Unreachable), strings.Join(report.Unreachable, ", "))
	}
	switch format {
	case "json":
		return printJSON(out, report)
	case "csv":
		return printUsageCSV(out, report)
	}
	printUsageText(out, report)
	return nil
}

var usageColumns = []string{"done", "not_run", "unknown", "tokens_in", "tokens_out"}

func usageValues(counts usage.Counts) []string {
	var values []string
	for _, value := range []int64{counts.Done, counts.NotRun, counts.Unknown, counts.TokensIn, counts.TokensOut} {
		values = append(values, strconv.FormatInt(value, 10))
	}
	return values
}

func printUsageCSV(out io.Writer, report metering.Report) error {
	w := csv.NewWriter(out)
	header := []string{"from", "to", "customer", "pool", "version"}
	for _, prefix := range []string{"entries_", "agents_"} {
		for _, column := range usageColumns {
			header = append(header, prefix+column)
		}
	}
	lines := [][]string{header}
	for _, line := range report.Lines {
		row := []string{report.From.Format(time.RFC3339), report.To.Format(time.RFC3339), line.Customer, line.Pool, line.Version}
		row = append(row, usageValues(line.Entries)...)
		lines = append(lines, append(row, usageValues(line.Agents)...))
	}
	return w.WriteAll(lines)
}

func printUsageText(out io.Writer, report metering.Report) {
	fmt.Fprintf(out, "%s to %s\n", report.From.Format(time.RFC3339), report.To.Format(time.RFC3339))
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "CUSTOMER\tPOOL\tVERSION\tSIDE\t"+strings.ToUpper(strings.Join(usageColumns, "\t")))
	for _, line := range report.Lines {
		fmt.Fprintf(w, "%s\t%s\t%s\tentries\t%s\n", line.Customer, line.Pool, line.Version, strings.Join(usageValues(line.Entries), "\t"))
		fmt.Fprintf(w, "\t\t\tagents\t%s\n", strings.Join(usageValues(line.Agents), "\t"))
	}
	w.Flush()
}

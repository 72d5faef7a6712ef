package ctl

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"plantainrelay/internal/burn"
	"plantainrelay/internal/failure"
	"plantainrelay/internal/servicelevel"
)

func reportCommand(o *options) *cobra.Command {
	parent := &cobra.Command{Use: "report", Short: "Report on the service"}
	parent.AddCommand(burnCommand(o))
	return parent
}

func burnCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "burn",
		Short: "Show the burn rates of the service-level error budgets, summed over all entries",
		Example: "  plantainctl report burn\n" +
			"  plantainctl report burn --output html > burn.html",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var report servicelevel.FleetReport
			if err := o.call(cmd.Context(), "GET", servicelevel.ReportPath, nil, &report); err != nil {
				return err
			}
			switch o.output {
			case "json":
				return printJSON(cmd.OutOrStdout(), report)
			case "html":
				return writeBurnPage(cmd.OutOrStdout(), &report, time.Now())
			case "text":
				return printBurn(cmd.OutOrStdout(), &report)
			}
			return failure.New(failure.Invalid, "use --output text, json or html", "unknown output %q", o.output)
		},
	}
}

// burnRow is one line of the report, formatted for output.
type burnRow struct {
	Objective, Customer, Route string
	Target                     string
	Events, Bad                uint64
	BudgetLeft                 string
	Rates                      []string
	Alert                      burn.Alert
	P50, P95, P99              string
}

// urgency ranks the alerts; a higher rank is more urgent.
var urgency = map[burn.Alert]int{burn.AlertTicket: 1, burn.AlertPage: 2}

// burnRows returns the formatted lines of the report, most urgent first.
func burnRows(report *burn.Report) ([]burnRow, error) {
	rows := make([]burnRow, 0, len(report.Lines))
	for i := range report.Lines {
		line := &report.Lines[i]
		longest := line.Windows[len(line.Windows)-1]
		row := burnRow{
			Objective: string(line.Objective), Customer: line.Customer, Route: line.Route, Target: formatTarget(line.Target),
			Events: longest.Total, Bad: longest.Bad, Alert: line.Alert(),
			BudgetLeft: fmt.Sprintf("%.1f%%", 100*line.BudgetLeft()),
		}
		for window := range line.Windows {
			row.Rates = append(row.Rates, fmt.Sprintf("%.2f", line.BurnRate(window)))
		}
		histogram, err := line.DecodeHistogram()
		if err != nil {
			return nil, err
		}
		if histogram != nil {
			row.P50, row.P95, row.P99 = formatDuration(burn.DurationAtPercentile(histogram, 50)), formatDuration(burn.DurationAtPercentile(histogram, 95)), formatDuration(burn.DurationAtPercentile(histogram, 99))
		}
		rows = append(rows, row)
	}
	slices.SortStableFunc(rows, func(a, b burnRow) int { return urgency[b.Alert] - urgency[a.Alert] })
	return rows, nil
}

func formatDuration(duration time.Duration) string {
	return duration.Round(100 * time.Microsecond).String()
}

func formatTarget(target burn.Target) string {
	good := strings.TrimRight(strings.TrimRight(fmt.Sprintf("%.4f", 100-float64(target.BadPerMillion)/10_000), "0"), ".")
	if target.Bound == 0 {
		return good + "%"
	}
	return fmt.Sprintf("%s%% in %s", good, target.Bound)
}

func printBurn(out io.Writer, report *servicelevel.FleetReport) error {
	rows, err := burnRows(&report.Report)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "entries: %s\n", strings.Join(report.Entries, ", "))
	if len(report.Unreachable) > 0 {
		fmt.Fprintf(out, "NOT REACHED, their counts are missing: %s\n", strings.Join(report.Unreachable, ", "))
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprint(w, "OBJECTIVE\tCUSTOMER\tROUTE\tTARGET\tEVENTS\tBAD\tBUDGET LEFT")
	for _, window := range burn.Windows {
		fmt.Fprintf(w, "\tBURN %s", window.Name)
	}
	fmt.Fprintln(w, "\tALERT\tP50\tP95\tP99")
	for _, row := range rows {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%s\t%s\t%s\t%s\t%s\t%s\n", row.Objective, row.Customer, row.Route, row.Target,
			row.Events, row.Bad, row.BudgetLeft, strings.Join(row.Rates, "\t"), row.Alert, row.P50, row.P95, row.P99)
	}
	return w.Flush()
}

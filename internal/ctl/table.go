package ctl

import (
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/google/uuid"
	"github.com/spf13/cobra"

	"plantainrelay/internal/admin"
	"plantainrelay/internal/failure"
	"plantainrelay/internal/table"
	"plantainrelay/internal/tabletext"
)

// conflictError is an edit conflict that the administration API reported.
type conflictError struct {
	conflict admin.Conflict
	cause    error
}

// Error implements error.
func (e *conflictError) Error() string {
	return fmt.Sprintf("%s\nyou edited revision %d, but %s has since made revision %d; changes from that revision to yours:\n%s", e.cause,
		e.conflict.ExpectedRevision, e.conflict.Author, e.conflict.CurrentRevision, strings.Join(e.conflict.Diff, "\n"))
}

// Unwrap returns the error that carries the kind.
func (e *conflictError) Unwrap() error { return e.cause }

func tableCommand(o *options) *cobra.Command {
	parent := &cobra.Command{Use: "table", Short: "Read, check and edit the tables"}
	parent.AddCommand(getCommand(o), validateCommand(), diffCommand(o), applyCommand(o),
		historyCommand(o), rollbackCommand(o), recoverCommand(o), tableStatusCommand(o))
	return parent
}

func getCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:     "get",
		Short:   "Print the tables in force at an entry",
		Example: "  plantainctl table get > tables.ini",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			snapshot, err := currentTables(cmd.Context(), o)
			if err != nil {
				return err
			}
			if o.output == "json" {
				return printJSON(cmd.OutOrStdout(), snapshot)
			}
			fmt.Fprintf(cmd.OutOrStdout(), "# revision %d\n%s", snapshot.Revision, tabletext.Format(&snapshot.Tables))
			return nil
		},
	}
}

func currentTables(ctx context.Context, o *options) (table.Snapshot, error) {
	var snapshot table.Snapshot
	err := o.call(ctx, "GET", "/v1/tables", nil, &snapshot)
	return snapshot, err
}

func validateCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "validate FILE",
		Short:   "Check a tables file without contacting a server",
		Example: "  plantainctl table validate tables.ini",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			tables, err := readTables(args[0])
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "valid: %d routes, %d pools\n", len(tables.Routes), len(tables.Pools))
			return nil
		},
	}
}

func readTables(path string) (*table.Tables, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, failure.Wrap(err, failure.Invalid, "name a readable file", "the tables cannot be read")
	}
	return tabletext.Parse(raw)
}

func diffCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:     "diff FILE",
		Short:   "Show how a tables file differs from the tables in force",
		Example: "  plantainctl table diff tables.ini",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			tables, err := readTables(args[0])
			if err != nil {
				return err
			}
			var difference admin.TablesDiff
			if err := o.call(cmd.Context(), "POST", "/v1/tables/diff", admin.Edit{Tables: *tables}, &difference); err != nil {
				return err
			}
			if o.output == "json" {
				return printJSON(cmd.OutOrStdout(), difference)
			}
			fmt.Fprintf(cmd.OutOrStdout(), "from revision %d:\n%s\n", difference.Revision, strings.Join(difference.Lines, "\n"))
			return nil
		},
	}
}

// editFlags are the flags of all commands that create a revision.
type editFlags struct {
	expected int64
	editID   string
	wait     time.Duration
}

func (f *editFlags) register(cmd *cobra.Command) {
	cmd.Flags().Int64Var(&f.expected, "expected-revision", 0, "revision that your edit is based on (default: the entry's current one)")
	f.registerCommon(cmd)
}

func (f *editFlags) registerCommon(cmd *cobra.Command) {
	cmd.Flags().StringVar(&f.editID, "edit-id", "", "ID of the edit, which makes it safe to send again (default: a new ID, printed if the outcome is unknown)")
	cmd.Flags().DurationVar(&f.wait, "wait", 0, "wait up to this long until the edit is in force in all availability zones")
}

// setDefaults sets defaults for the flags that the operator left out.
func (f *editFlags) setDefaults(cmd *cobra.Command, o *options) error {
	if f.editID == "" {
		f.editID = uuid.NewString()
	}
	if cmd.Flags().Lookup("expected-revision") == nil || cmd.Flags().Changed("expected-revision") {
		return nil
	}
	snapshot, err := currentTables(cmd.Context(), o)
	f.expected = snapshot.Revision
	return err
}

// send submits the edit and, with --wait, waits until it is in force.
func (f *editFlags) send(cmd *cobra.Command, o *options, method, path string, body any) error {
	var accepted admin.Accepted
	err := o.call(cmd.Context(), method, path, body, &accepted)
	if failure.Is(err, failure.Unknown) {
		return failure.Wrap(err, failure.Unknown, "send it again with --edit-id "+f.editID, "the outcome of the edit is unknown; it may have been accepted")
	}
	if err != nil {
		return err
	}
	if o.output == "json" {
		err = printJSON(cmd.OutOrStdout(), accepted)
	} else {
		_, err = fmt.Fprintf(cmd.OutOrStdout(), "accepted as revision %d\n", accepted.Revision)
	}
	if err != nil || f.wait == 0 {
		return err
	}
	return waitInForce(cmd, o, accepted.Revision, f.wait)
}

func applyCommand(o *options) *cobra.Command {
	flags := &editFlags{}
	cmd := &cobra.Command{
		Use:     "apply FILE",
		Short:   "Apply a tables file to the fleet",
		Example: "  plantainctl table apply tables.ini --expected-revision 17 --wait 30s",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			tables, err := readTables(args[0])
			if err != nil {
				return err
			}
			if err := flags.setDefaults(cmd, o); err != nil {
				return err
			}
			edit := admin.Edit{ID: flags.editID, ExpectedRevision: flags.expected, Tables: *tables}
			return flags.send(cmd, o, "PUT", "/v1/tables", edit)
		},
	}
	flags.register(cmd)
	return cmd
}

func historyCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:     "history",
		Short:   "List the last edits, newest first",
		Example: "  plantainctl table history",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var edits []table.EditRecord
			if err := o.call(cmd.Context(), "GET", "/v1/tables/history", nil, &edits); err != nil {
				return err
			}
			if o.output == "json" {
				return printJSON(cmd.OutOrStdout(), edits)
			}
			w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
			fmt.Fprintln(w, "REVISION\tAT\tAUTHOR\tEDIT")
			for _, edit := range edits {
				fmt.Fprintf(w, "%d\t%s\t%s\t%s\n", edit.Revision, edit.At.Format(time.RFC3339), edit.Author, edit.EditID)
			}
			return w.Flush()
		},
	}
}

func rollbackCommand(o *options) *cobra.Command {
	flags := &editFlags{}
	var revision int64
	cmd := &cobra.Command{
		Use:     "rollback",
		Short:   "Apply the tables of an earlier revision again, as a new revision",
		Example: "  plantainctl table rollback --to 16 --wait 30s",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := flags.setDefaults(cmd, o); err != nil {
				return err
			}
			body := admin.Rollback{ID: flags.editID, ExpectedRevision: flags.expected, Revision: revision}
			return flags.send(cmd, o, "POST", "/v1/tables/rollback", body)
		},
	}
	cmd.Flags().Int64Var(&revision, "to", 0, "revision to roll back to")
	_ = cmd.MarkFlagRequired("to")
	flags.register(cmd)
	return cmd
}

func recoverCommand(o *options) *cobra.Command {
	flags := &editFlags{}
	cmd := &cobra.Command{
		Use:     "recover",
		Short:   "Write the fleet's current tables to a store that was restored to an older state",
		Example: "  plantainctl table recover --wait 30s",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := flags.setDefaults(cmd, o); err != nil {
				return err
			}
			return flags.send(cmd, o, "POST", "/v1/tables/recover", admin.RecoverRequest{ID: flags.editID})
		},
	}
	flags.registerCommon(cmd)
	return cmd
}

func tableStatusCommand(o *options) *cobra.Command {
	var revision int64
	cmd := &cobra.Command{
		Use:     "status",
		Short:   "Show in which availability zones and instances a revision is in force",
		Example: "  plantainctl table status --revision 17",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			status, err := tablesStatus(cmd.Context(), o, revision)
			if err != nil {
				return err
			}
			if o.output == "json" {
				return printJSON(cmd.OutOrStdout(), status)
			}
			out := cmd.OutOrStdout()
			fmt.Fprintf(out, "revision %d, entry %s, store reachable %t, store revision %d, store behind %t\n",
				status.Revision, status.State, status.Store.Reachable, status.Store.Revision, status.Store.Behind)
			printZones(out, status)
			return nil
		},
	}
	cmd.Flags().Int64Var(&revision, "revision", 0, "revision to show (default: the entry's current one)")
	return cmd
}

func tablesStatus(ctx context.Context, o *options, revision int64) (admin.TablesStatus, error) {
	path := "/v1/tables/status"
	if revision > 0 {
		path += fmt.Sprintf("?revision=%d", revision)
	}
	var status admin.TablesStatus
	err := o.call(ctx, "GET", path, nil, &status)
	return status, err
}

func printZones(out io.Writer, status admin.TablesStatus) {
	for _, zone := range zoneNames(status) {
		result := status.AvailabilityZones[zone]
		fmt.Fprintf(out, "%s: in force at %d of %d", zone, result.Reached, result.Members)
		if len(result.Missing) > 0 {
			fmt.Fprintf(out, "; not at %s", strings.Join(result.Missing, ", "))
		}
		if more := result.Members - result.Reached - len(result.Missing); more > 0 {
			fmt.Fprintf(out, " and %d more", more)
		}
		fmt.Fprintln(out)
	}
}

func zoneNames(status admin.TablesStatus) []string {
	names := make([]string, 0, len(status.AvailabilityZones))
	for name := range status.AvailabilityZones {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// pollInterval is the interval between two checks of the progress of an edit.
const pollInterval = time.Second

// waitInForce waits until revision is in force on all instances. While it
// waits, it prints the instances that do not have the revision yet.
func waitInForce(cmd *cobra.Command, o *options, revision int64, limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for {
		status, err := tablesStatus(cmd.Context(), o, revision)
		if err != nil && !failure.Is(err, failure.NotReachable) {
			return err
		}
		if err == nil {
			printZones(cmd.ErrOrStderr(), status)
			if inForceEverywhere(status) {
				return nil
			}
		}
		if time.Now().After(deadline) {
			return failure.New(failure.NotReachable, "the edit stays accepted; check its progress with plantainctl table status",
				"revision %d is not in force on all instances after %s", revision, limit)
		}
		time.Sleep(pollInterval)
	}
}

func inForceEverywhere(status admin.TablesStatus) bool {
	for _, zone := range status.AvailabilityZones {
		if zone.Reached < zone.Members {
			return false
		}
	}
	return len(status.AvailabilityZones) > 0
}

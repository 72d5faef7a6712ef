package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"text/tabwriter"

	"github.com/spf13/cobra"
	"github.com/zeromicro/go-zero/core/logx"

	"plantainrelay/internal/admin"
	"plantainrelay/internal/command"
	"plantainrelay/internal/failure"
	"plantainrelay/internal/table"
	"plantainrelay/internal/tabletext"
)

// options are the flags that all commands share.
type options struct {
	client
	output string
}

// New returns the root command.
func New() *cobra.Command {
	// The framework would write its log lines among the output.
	logx.Disable()
	o := &options{}
	root := &cobra.Command{
		Use:   "plantainctl",
		Short: "Edit the tables of plantainrelay and see the state of the fleet",
	}
	flags := root.PersistentFlags()
	flags.StringVar(&o.server, "server", "http://127.0.0.1:8081", "administration address of any entry")
	flags.StringVar(&o.tokenFile, "token-file", os.Getenv("PLANTAIN_TOKEN_FILE"), "file that holds your operator token")
	flags.StringVar(&o.output, "output", "text", "text or json; usage also csv, report burn also html")
	o.tls.register(root)
	root.AddCommand(tableCommand(o), statusCommand(o), usageCommand(o), reportCommand(o), command.VersionCommand())
	return root
}

func tableCommand(o *options) *cobra.Command {
	parent := &cobra.Command{Use: "table", Short: "Read, check and edit the tables"}
	parent.AddCommand(getCommand(o), validateCommand(), applyCommand(o))
	return parent
}

func getCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:     "get",
		Short:   "Print the tables in force at an entry",
		Example: "  plantainctl table get > tables.ini",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var snapshot table.Snapshot
			if err := o.call(cmd.Context(), "GET", "/v1/tables", nil, &snapshot); err != nil {
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

func validateCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "validate FILE",
		Short:   "Check a file of tables without any server",
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

func applyCommand(o *options) *cobra.Command {
	var expected int64
	var editID string
	cmd := &cobra.Command{
		Use:     "apply FILE",
		Short:   "Put a file of tables in force",
		Example: "  plantainctl table apply tables.ini --expected-revision 17",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			tables, err := readTables(args[0])
			if err != nil {
				return err
			}
			edit := admin.Edit{ID: editID, ExpectedRevision: expected, Tables: *tables}
			if !cmd.Flags().Changed("expected-revision") {
				var current table.Snapshot
				if err := o.call(cmd.Context(), "GET", "/v1/tables", nil, &current); err != nil {
					return err
				}
				edit.ExpectedRevision = current.Revision
			}
			var accepted admin.Accepted
			if err := o.call(cmd.Context(), "PUT", "/v1/tables", edit, &accepted); err != nil {
				return err
			}
			if o.output == "json" {
				return printJSON(cmd.OutOrStdout(), accepted)
			}
			fmt.Fprintf(cmd.OutOrStdout(), "accepted as revision %d\n", accepted.Revision)
			return nil
		},
	}
	cmd.Flags().Int64Var(&expected, "expected-revision", 0, "revision that you edited (default: the entry's current one)")
	cmd.Flags().StringVar(&editID, "edit-id", "", "identifies the edit, so that it may be sent again")
	return cmd
}

func statusCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:     "status",
		Short:   "Show the state of every agent",
		Example: "  plantainctl status --output json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var status admin.Status
			if err := o.call(cmd.Context(), "GET", "/v1/status", nil, &status); err != nil {
				return err
			}
			if o.output == "json" {
				return printJSON(cmd.OutOrStdout(), status)
			}
			printStatus(cmd.OutOrStdout(), status)
			return nil
		},
	}
}

func printStatus(out io.Writer, status admin.Status) {
	fmt.Fprintf(out, "revision %d\n", status.Revision)
	names := make([]string, 0, len(status.Agents))
	for name := range status.Agents {
		names = append(names, name)
	}
	slices.Sort(names)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "INSTANCE\tPOOL\tOPEN\tVERSION\tSTAGE\tCHUNKS\tRUNNING\tREVISION\tFAILURES\tCAUSE")
	for _, name := range names {
		agent := status.Agents[name]
		fmt.Fprintf(w, "%s\t%s\t%t\t%s\t%s\t%d/%d\t%d\t%d\t%d\t%s\n", name, agent.Pool, agent.Open, agent.Version,
			agent.Stage, agent.Held, agent.Chunks, agent.Running, agent.Revision, agent.Failures, agent.Cause)
	}
	w.Flush()
}

func printJSON(out io.Writer, value any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

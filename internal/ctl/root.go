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

package ctl

import (
	"encoding/json"
	"io"
	"os"

	"github.com/spf13/cobra"
	"github.com/zeromicro/go-zero/core/logx"

	"plantainrelay/internal/command"
)

// options are the flags that all commands share.
type options struct {
	client
	output string
}

// New returns the root command.
func New() *cobra.Command {
	// Otherwise the framework mixes its log lines with the output.
	logx.Disable()
	o := &options{}
	root := &cobra.Command{
		Use:   "plantainctl",
		Short: "Edit the tables of plantainrelay and show the state of the fleet",
	}
	flags := root.PersistentFlags()
	flags.StringVar(&o.server, "server", "http://127.0.0.1:8081", "administration address of any entry")
	flags.StringVar(&o.tokenFile, "token-file", os.Getenv("PLANTAIN_TOKEN_FILE"), "file that holds your operator token")
	flags.StringVar(&o.output, "output", "text", "output format: text or json; usage also supports csv, report burn also html")
	o.tls.register(root)
	root.AddCommand(tableCommand(o), statusCommand(o), usageCommand(o), reportCommand(o), explainCommand(), settingsCommand(), blocksCommand(o), command.VersionCommand())
	return root
}

func printJSON(out io.Writer, value any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

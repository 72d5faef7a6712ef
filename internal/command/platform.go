package command

import (
	"fmt"
	"runtime/debug"

	"github.com/spf13/cobra"

	"plantainrelay/platform"
)

// collectPercent makes the garbage collector run at a third of the usual growth
// of the heap: instances have little memory, and a process mostly waits.
const collectPercent = 35

// Platform returns the subcommand that runs a daemon on the users' platform,
// with the settings that the platform hands to it.
func Platform(short string, run func(platform.Settings) error) *cobra.Command {
	var path string
	var checkOnly bool
	command := &cobra.Command{
		Use:   "platform",
		Short: short,
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if path == "" {
				path = platform.SettingsPath()
			}
			settings, err := platform.LoadSettings(path)
			if err != nil {
				return err
			}
			if checkOnly {
				fmt.Fprintln(cmd.OutOrStdout(), "the settings are valid")
				return nil
			}
			debug.SetGCPercent(collectPercent)
			return run(settings)
		},
	}
	command.Flags().StringVar(&path, "settings", "", "path of the settings file; the platform's variable when empty")
	command.Flags().BoolVar(&checkOnly, "check-settings", false, "check the settings and exit")
	return command
}

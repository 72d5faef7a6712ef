package command

import (
	"fmt"
	"runtime/debug"

	"github.com/spf13/cobra"

	"plantainrelay/internal/intake"
	"plantainrelay/platform"
)

// gcPercent is the garbage collector's target percentage (GOGC), about a third
// of the default: instances have little memory, and the processes are mostly
// idle, so that more frequent collections cost little.
const gcPercent = 35

// PlatformCommand returns the subcommand that runs a daemon on the users'
// platform, with the settings that the platform provides.
func PlatformCommand(short string, run func(platform.Settings) error) *cobra.Command {
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
			debug.SetGCPercent(gcPercent)
			machine := intake.Machine{MemoryBytes: settings.MemoryBytes}
			if limit := machine.SoftMemoryBytes(); limit > 0 {
				debug.SetMemoryLimit(limit)
			}
			return run(settings)
		},
	}
	command.Flags().StringVar(&path, "settings", "", "path of the settings file; default: taken from the platform's environment variable")
	command.Flags().BoolVar(&checkOnly, "check-settings", false, "check the settings and exit")
	return command
}

package ctl

import (
	"fmt"

	"github.com/spf13/cobra"

	"plantainrelay/platform"
)

func settingsCommand() *cobra.Command {
	parent := &cobra.Command{Use: "settings", Short: "Work with the settings file that the platform passes to a process"}
	parent.AddCommand(&cobra.Command{
		Use:     "check FILE",
		Short:   "Check a settings file and report all its problems at once",
		Example: "  plantainctl settings check /etc/plantainrelay/boot.toml",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			settings, err := platform.LoadSettings(args[0])
			if err != nil {
				return err
			}
			for _, warning := range settings.Warnings {
				fmt.Fprintf(cmd.OutOrStdout(), "warning: %s\n", warning)
			}
			role := "entry"
			if settings.BackendAddress != "" {
				role = "agent"
			}
			fmt.Fprintf(cmd.OutOrStdout(), "the settings of %s %s in availability zone %s are valid\n", role, settings.Instance, settings.AvailabilityZone)
			return nil
		},
	})
	return parent
}

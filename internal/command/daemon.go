// Package command holds the code that the command lines of all programs share.
package command

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"plantainrelay/internal/failure"
)

// Version is the version of all programs of this project.
const Version = "0.1.0-dev"

// The exit codes of all programs.
const (
	ExitOK           = 0
	ExitFailed       = 1
	ExitUsage        = 2
	ExitRefused      = 3
	ExitConflict     = 4
	ExitNotReachable = 5
	ExitUnknown      = 6
)

// ExitCode returns the exit code for err.
func ExitCode(err error) int {
	switch failure.KindOf(err) {
	case "":
		return ExitOK
	case failure.Invalid:
		return ExitUsage
	case failure.Refused, failure.Unauthorized, failure.NotFound:
		return ExitRefused
	case failure.Conflict:
		return ExitConflict
	case failure.NotReachable:
		return ExitNotReachable
	case failure.Unknown:
		return ExitUnknown
	}
	return ExitFailed
}

// Execute runs root. If it fails, Execute prints the error and exits with the
// exit code for it.
func Execute(root *cobra.Command) {
	root.SilenceErrors = true
	root.SilenceUsage = true
	root.Version = Version
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error {
		return failure.Wrap(err, failure.Invalid, "see --help", "the flags are not valid")
	})
	started := false
	root.PersistentPreRun = func(*cobra.Command, []string) { started = true }
	err := root.Execute()
	if err != nil && !started {
		err = failure.Wrap(err, failure.Invalid, "see --help", "the command is not valid")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, root.Name()+": "+err.Error())
		os.Exit(ExitCode(err))
	}
}

// DaemonCommand returns the root command of a daemon. load reads the settings
// and run runs the daemon with them.
func DaemonCommand[S any](name, short string, load func(path string) (S, error), run func(S) error) *cobra.Command {
	var path string
	var checkOnly bool
	root := &cobra.Command{
		Use:     name,
		Short:   short,
		Example: fmt.Sprintf("  %s --settings /etc/plantainrelay/%s.ini\n  %s --settings %s.ini --check-settings", name, name, name, name),
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			loaded, err := load(path)
			if err != nil {
				return err
			}
			if checkOnly {
				fmt.Fprintln(cmd.OutOrStdout(), "the settings are valid")
				return nil
			}
			return run(loaded)
		},
	}
	root.Flags().StringVar(&path, "settings", name+".ini", "path of the settings file")
	root.Flags().BoolVar(&checkOnly, "check-settings", false, "check the settings and exit")
	root.AddCommand(VersionCommand())
	return root
}

// VersionCommand returns the command that prints the version.
func VersionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		Run:   func(cmd *cobra.Command, _ []string) { fmt.Fprintln(cmd.OutOrStdout(), Version) },
	}
}

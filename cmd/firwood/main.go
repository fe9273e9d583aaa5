// Command firwood is the cluster scheduler. It runs a controller, and has commands with which users and
// operators communicate with controllers and workers.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/spf13/cobra"
)

// version is the program's version. Release builds set it.
var version = "0.1.0-dev"

// Exit statuses of the process; 0 means success.
const (
	exitFailed          = 1
	exitInvalidSettings = 2
)

func main() {
	os.Exit(reportError(newRootCommand().Execute(), os.Stderr))
}

// reportError prints an error, with one line for each invalid field of the settings, and returns the
// exit status.
func reportError(err error, out io.Writer) int {
	if err == nil {
		return 0
	}
	var invalid settingsError
	if errors.As(err, &invalid) {
		for _, line := range strings.Split(invalid.Error(), "\n") {
			fmt.Fprintln(out, "firwood:", line)
		}
		return exitInvalidSettings
	}
	fmt.Fprintln(out, "firwood:", strings.ReplaceAll(err.Error(), "\n", "; "))
	return exitFailed
}

func newRootCommand() *cobra.Command {
	var configPath, settingsPath string
	rootCommand := &cobra.Command{
		Use:           "firwood",
		Short:         "A cluster scheduler: smallest need first, on rented machines",
		Long:          "firwood runs users' jobs on machines that it rents from a cloud.\nWith --config alone it serves, as `firwood serve` does.",
		SilenceUsage:  true,
		SilenceErrors: true,
		Args:          cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if configPath == "" {
				return cmd.Help()
			}
			return runController(configPath, settingsPath)
		},
	}
	addSettingsFlags(rootCommand, &configPath, &settingsPath)
	rootCommand.AddCommand(newServeCommand(), newCheckCommand(), newJobCommand(), newWorkerCommand(), newReportCommand(), newStandbyCommand(), newVersionCommand())
	return rootCommand
}

func addSettingsFlags(command *cobra.Command, configPath, settingsPath *string) {
	command.Flags().StringVar(configPath, "config", "", "the platform's settings `FILE` (JSON)")
	command.Flags().StringVar(settingsPath, "settings", os.Getenv("FIRWOOD_SETTINGS"), "the operators' settings `FILE` (YAML; also FIRWOOD_SETTINGS)")
}

func newServeCommand() *cobra.Command {
	var configPath, settingsPath string
	command := &cobra.Command{
		Use: "serve", Short: "Run a controller", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return runController(configPath, settingsPath) },
	}
	addSettingsFlags(command, &configPath, &settingsPath)
	return command
}

func newCheckCommand() *cobra.Command {
	var configPath, settingsPath string
	command := &cobra.Command{
		Use: "check", Short: "Check settings files without serving", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if configPath == "" && settingsPath == "" {
				return errors.New("check: give --config, --settings or both")
			}
			return checkSettings(cmd.OutOrStdout(), configPath, settingsPath)
		},
	}
	addSettingsFlags(command, &configPath, &settingsPath)
	return command
}

func newVersionCommand() *cobra.Command {
	return &cobra.Command{
		Use: "version", Short: "Print the version", Args: cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) { fmt.Fprintln(cmd.OutOrStdout(), "firwood", version) },
	}
}

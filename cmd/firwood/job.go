package main

import (
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"firwood.dev/firwood/internal/http1"
	"firwood.dev/firwood/wire"
)

func newJobCommand() *cobra.Command {
	var node string
	command := &cobra.Command{Use: "job", Short: "Submit, show and withdraw jobs"}
	addNodeFlag(command, &node)
	cancelCommand := newJobIDCommand(&node, "cancel ID", "Withdraw a job", "POST", "/withdraw")
	cancelCommand.Aliases = []string{"withdraw"} // the command's former name
	command.AddCommand(
		newSubmitCommand(&node),
		newJobIDCommand(&node, "show ID", "Show a job's state", "GET", ""),
		cancelCommand,
	)
	return command
}

func newSubmitCommand(node *string) *cobra.Command {
	return &cobra.Command{
		Use: "submit FILE", Short: "Submit the job described in a JSON file, - for standard input", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			body, err := readJobFile(cmd.InOrStdin(), args[0])
			if err != nil {
				return err
			}
			if _, err := wire.DecodeJob(body); err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			response, err := sendRequest(*node, "POST", "/api/jobs", body)
			if err != nil {
				return err
			}
			return printJobStatus(cmd.OutOrStdout(), response)
		},
	}
}

// readJobFile reads a file, or standard input if its name is "-".
func readJobFile(standardInput io.Reader, name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(io.LimitReader(standardInput, wire.MaxBodyBytes+1))
	}
	return os.ReadFile(name)
}

// newJobIDCommand returns a command that sends one request about the job with a given ID and prints
// the job's state.
func newJobIDCommand(node *string, use, short, method, targetSuffix string) *cobra.Command {
	return &cobra.Command{
		Use: use, Short: short, Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if !wire.IsValidJobID(args[0]) {
				return fmt.Errorf("%q has not the form of a job id", args[0])
			}
			response, err := sendRequest(*node, method, "/api/jobs/"+args[0]+targetSuffix, nil)
			if err != nil {
				return err
			}
			return printJobStatus(cmd.OutOrStdout(), response)
		},
	}
}

// printJobStatus prints the job's state from a controller's response. It returns an error for an error
// status.
func printJobStatus(out io.Writer, response *http1.Message) error {
	if response.Status/100 != 2 {
		var errorResponse wire.ErrorResponse
		if err := errorResponse.UnmarshalJSON(response.Body); err == nil && errorResponse.Error != "" {
			return fmt.Errorf("the controller answered %d: %s", response.Status, errorResponse.Error)
		}
		return fmt.Errorf("the controller answered %d", response.Status)
	}
	var status wire.JobStatus
	if err := status.UnmarshalJSON(response.Body); err != nil {
		return fmt.Errorf("the controller's answer cannot be decoded: %w", err)
	}
	fmt.Fprintf(out, "%s %s", status.ID, status.State)
	if status.DoneTasks != nil && status.RunningTasks != nil {
		fmt.Fprintf(out, " done=%d running=%d", *status.DoneTasks, *status.RunningTasks)
	}
	if len(status.DependsOn) > 0 {
		fmt.Fprintf(out, " awaits=%s", strings.Join(status.DependsOn, ","))
	}
	fmt.Fprintln(out)
	return nil
}

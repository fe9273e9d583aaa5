package main

import (
	"cmp"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"firwood.dev/firwood/internal/jobreport"
	"firwood.dev/firwood/wire"
)

// newWorkerCommand returns the command that prints a worker's response to GET /status.
func newWorkerCommand() *cobra.Command {
	return &cobra.Command{
		Use: "worker IP:PORT", Short: "Show what a worker says of itself", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			response, err := sendRequest(args[0], "GET", "/status", nil)
			if err != nil {
				return err
			}
			if response.Status != statusOK {
				return fmt.Errorf("the worker answered %d", response.Status)
			}
			var heartbeat wire.Heartbeat
			if err := heartbeat.UnmarshalJSON(response.Body); err != nil {
				return fmt.Errorf("the worker's answer cannot be decoded: %w", err)
			}
			printWorkerStatus(cmd.OutOrStdout(), &heartbeat)
			return nil
		},
	}
}

func printWorkerStatus(out io.Writer, heartbeat *wire.Heartbeat) {
	fmt.Fprintf(out, "%s %s in %s, session %d, token %d, %d tasks\n", heartbeat.MachineID, heartbeat.MachineType, heartbeat.Zone, heartbeat.Incarnation, heartbeat.FencingToken, len(heartbeat.Tasks))
	for _, task := range heartbeat.Tasks {
		fmt.Fprintf(out, "%s attempt %d %s %s\n", task.TaskID, task.Attempt, task.State, task.ExitCause)
	}
}

// newStandbyCommand returns the command that prints how up to date the replicas of the leader's
// allocation table are.
func newStandbyCommand() *cobra.Command {
	var node string
	command := &cobra.Command{
		Use: "standby", Short: "Print who stands by for the leader, and how far behind", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var status jobreport.StandbyStatus
			if err := getJSON(node, "/ops/v1/standby", &status); err != nil {
				return err
			}
			printStandbyStatus(cmd.OutOrStdout(), &status)
			return nil
		},
	}
	addNodeFlag(command, &node)
	return command
}

func printStandbyStatus(out io.Writer, status *jobreport.StandbyStatus) {
	fmt.Fprintf(out, "%s, leader %s\n", status.Member, cmp.Or(status.Leader, "unknown"))
	if !status.Enabled {
		fmt.Fprintln(out, "standby is not enabled here")
	}
	if replica := status.Replica; replica != nil {
		fmt.Fprintf(out, "replica: complete=%t token=%d decisions=%d placements=%d doubts=%d digest=%s\n",
			replica.IsComplete, replica.Token, replica.Decisions, replica.Placements, replica.Unconfirmed, replica.Digest)
		fmt.Fprintf(out, "dropped: older=%d gaps=%d malformed=%d foreign=%d differing=%d\n",
			replica.Dropped.Stale, replica.Dropped.OutOfOrder, replica.Dropped.Malformed, replica.Dropped.ForeignToken, replica.Dropped.DigestMismatch)
	}
	for _, follower := range status.Followers {
		fmt.Fprintf(out, "%s: in step=%t, lacks %d decisions for %d ms\n", follower.Member, follower.IsInSync, follower.LagDecisions, follower.LagMs)
	}
	if failover := status.Failover; failover != nil {
		fmt.Fprintf(out, "last take-over here: token=%d replica used=%t in doubt=%d; lock %d ms, rebuild %d ms, first decision %d ms\n",
			failover.Token, failover.IsReplicaUsed, failover.Unconfirmed, failover.LockMs, failover.RebuildMs, failover.FirstDecisionMs)
	}
}

// newReportCommand returns the command that prints the job report.
func newReportCommand() *cobra.Command {
	var node string
	command := &cobra.Command{
		Use: "report", Short: "Print what failed or ran late, and why", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var report jobreport.Report
			if err := getJSON(node, "/ops/v1/report", &report); err != nil {
				return err
			}
			return printJobReport(cmd.OutOrStdout(), &report)
		},
	}
	addNodeFlag(command, &node)
	return command
}

func printJobReport(out io.Writer, report *jobreport.Report) error {
	fmt.Fprintf(out, "%d jobs: %d done, %d withdrawn, %d active\n", report.Jobs, report.Done, report.Cancelled, report.Active)
	if len(report.Problems) == 0 {
		fmt.Fprintln(out, "nothing failed or ran late")
		return nil
	}
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "JOB\tCLASS\tSTATE\tLATE BY\tTOOK\tWAITED\tERRORS\tRESTARTS\tWHY")
	for _, job := range report.Problems {
		fmt.Fprintf(table, "%s\t%s\t%s\t%.1fs\t%.1fs\t%.1fs\t%d\t%d\t%s\n", job.Job, job.Class, job.State, job.LateByS, job.TookS, job.WaitedS, job.Errors, job.Restarts, job.Reason)
	}
	return table.Flush()
}

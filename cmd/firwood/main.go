// Command firwood is the cluster scheduler: one program for every controller,
// and the tools that operators use against it.
package main

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/netip"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strings"
	"syscall"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"firwood.dev/firwood/internal/client"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/config"
	"firwood.dev/firwood/internal/controller"
	"firwood.dev/firwood/internal/http1"
	"firwood.dev/firwood/internal/server"
	"firwood.dev/firwood/internal/tracing"
	"firwood.dev/firwood/wire"
)

// version is set by release builds.
var version = "0.1.0-dev"

// Exit codes.
const (
	exitFailed          = 1
	exitInvalidSettings = 2
)

func main() {
	os.Exit(reportError(newRootCommand().Execute(), os.Stderr))
}

// reportError says what went wrong, if anything did, a line each.
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
	addSettingsFlags := func(command *cobra.Command) {
		command.Flags().StringVar(&configPath, "config", "", "the platform's settings `FILE` (JSON)")
		command.Flags().StringVar(&settingsPath, "settings", os.Getenv("FIRWOOD_SETTINGS"), "the operators' settings `FILE` (YAML; also FIRWOOD_SETTINGS)")
	}
	addSettingsFlags(rootCommand)

	serveCommand := &cobra.Command{
		Use: "serve", Short: "Run a controller", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return runController(configPath, settingsPath) },
	}
	checkCommand := &cobra.Command{
		Use: "check", Short: "Check settings files without serving", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if configPath == "" && settingsPath == "" {
				return errors.New("check: give --config, --settings or both")
			}
			return checkSettings(cmd.OutOrStdout(), configPath, settingsPath)
		},
	}
	for _, command := range []*cobra.Command{serveCommand, checkCommand} {
		addSettingsFlags(command)
	}
	rootCommand.AddCommand(serveCommand, checkCommand, newJobCommand(), newWorkerCommand(), newReportCommand(), newStandbyCommand(), &cobra.Command{
		Use: "version", Short: "Print the version", Args: cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) { fmt.Fprintln(cmd.OutOrStdout(), "firwood", version) },
	})
	return rootCommand
}

// settingsError is about what settings files say, and not about anything that was done.
type settingsError struct{ error }

// loadSettings reads both files; what is wrong is told of both at once.
func loadSettings(configPath, settingsPath string) (*config.Platform, config.Tuning, error) {
	platform, platformErr := config.LoadPlatform(configPath)
	tuning, tuningErr := config.LoadTuning(settingsPath)
	err := errors.Join(platformErr, tuningErr)
	if err == nil {
		err = config.CheckCompatibility(platform, tuning)
	}
	if err != nil {
		return nil, tuning, settingsError{err}
	}
	return platform, tuning, nil
}

// checkSettings tells whether settings files are good, and can serve the fleet that they name.
func checkSettings(out io.Writer, configPath, settingsPath string) error {
	if configPath == "" {
		if _, err := config.LoadTuning(settingsPath); err != nil {
			return settingsError{err}
		}
		fmt.Fprintf(out, "%s: good\n", settingsPath)
		return nil
	}
	platform, tuning, err := loadSettings(configPath, settingsPath)
	if err != nil {
		return err
	}
	var shortfalls []error
	for _, shortfall := range platform.Shortfalls(tuning.FleetMachines) {
		shortfalls = append(shortfalls, errors.New(shortfall.String()))
	}
	if shortfalls != nil {
		return settingsError{errors.Join(shortfalls...)}
	}
	fmt.Fprintf(out, "%s: good: member %s of %d, %d teams\n", configPath, platform.Member, len(platform.Peers)+1, len(platform.Deployment.Teams))
	if settingsPath != "" {
		fmt.Fprintf(out, "%s: good\n", settingsPath)
	}
	return nil
}

func newLogger() (*slog.Logger, error) {
	level := slog.LevelInfo
	switch name := os.Getenv("LOG_LEVEL"); name {
	case "", "info":
	case "error":
		level = slog.LevelError
	case "debug":
		level = slog.LevelDebug
	default:
		return nil, fmt.Errorf("LOG_LEVEL: %q is not error, info or debug", name)
	}
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})), nil
}

func runController(configPath, settingsPath string) error {
	if configPath == "" {
		return errors.New("serve: --config is missing")
	}
	platform, tuning, err := loadSettings(configPath, settingsPath)
	if err != nil {
		return err
	}
	log, err := newLogger()
	if err != nil {
		return err
	}
	limits := platform.Deployment.ProcessLimits
	// The collector has to give way before the platform ends the process.
	debug.SetMemoryLimit(int64(limits.MemoryMB * 0.6 * (1 << 20)))
	debug.SetGCPercent(300)
	runtime.GOMAXPROCS(2)

	log = log.With("member", platform.Member)
	for _, shortfall := range platform.Shortfalls(tuning.FleetMachines) {
		log.Error("a limit is too low for the fleet", "limit", shortfall.Field, "has", shortfall.Limit, "needs", shortfall.Required, "machines", shortfall.Machines, "for", shortfall.Purpose)
	}
	instance := controller.New(platform, tuning, log, client.DialTCP)
	if tuning.Standby.Trace != "" {
		tracer, err := tracing.New(tuning.Standby.Trace, platform.Member)
		if err != nil {
			return fmt.Errorf("standby.trace: %w", err)
		}
		defer tracer.Close()
		instance.SetTracer(tracer)
	}
	listener := server.New(server.Config{
		ServeAddress: platform.ListenAddress, PeerAddress: platform.PeerListenAddress, Limiter: instance.ConnLimiter(), EvictOutbound: instance.CloseIdleWorkerConnection,
		IdleTimeout: 90 * clock.Second, ReadTimeout: 10 * clock.Second, WorkerLeaseTTL: clock.FromSeconds(platform.Deployment.Workers.LeaseSeconds),
	}, instance, log)
	log.Info("serving", "version", version, "address", platform.ListenAddress)

	serverErrors := make(chan error, 1)
	go func() { serverErrors <- listener.Run() }()
	go instance.Run(context.Background())
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case err := <-serverErrors:
		return err
	case <-signals:
		instance.ReleaseLeadership()
		return nil
	}
}

// sendRequest makes one request of a controller.
func sendRequest(address, method, target string, body []byte) (*http1.Message, error) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return nil, fmt.Errorf("%q is not IP:port", address)
	}
	host := client.NewHost(client.DialTCP, address, 0, 4<<20)
	defer host.Close()
	return host.Do(client.Request{Method: method, Target: target, Body: body, Timeout: 10 * clock.Second})
}

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
		return err
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

func newJobCommand() *cobra.Command {
	var node string
	command := &cobra.Command{Use: "job", Short: "Submit, show and withdraw jobs"}
	command.PersistentFlags().StringVar(&node, "node", "127.0.0.1:8080", "a controller's `IP:PORT`")
	newIDCommand := func(use, short, method, suffix string) *cobra.Command {
		return &cobra.Command{
			Use: use, Short: short, Args: cobra.ExactArgs(1),
			RunE: func(cmd *cobra.Command, args []string) error {
				if !wire.IsValidJobID(args[0]) {
					return fmt.Errorf("%q has not the form of a job id", args[0])
				}
				response, err := sendRequest(node, method, "/api/jobs/"+args[0]+suffix, nil)
				if err != nil {
					return err
				}
				return printJobStatus(cmd.OutOrStdout(), response)
			},
		}
	}
	command.AddCommand(
		&cobra.Command{
			Use: "submit FILE", Short: "Submit the job described in a JSON file, - for standard input", Args: cobra.ExactArgs(1),
			RunE: func(cmd *cobra.Command, args []string) error {
				var body []byte
				var err error
				if args[0] == "-" {
					body, err = io.ReadAll(io.LimitReader(cmd.InOrStdin(), wire.MaxBodyBytes+1))
				} else {
					body, err = os.ReadFile(args[0])
				}
				if err != nil {
					return err
				}
				if _, err := wire.DecodeJob(body); err != nil {
					return fmt.Errorf("%s: %w", args[0], err)
				}
				response, err := sendRequest(node, "POST", "/api/jobs", body)
				if err != nil {
					return err
				}
				return printJobStatus(cmd.OutOrStdout(), response)
			},
		},
		newIDCommand("show ID", "Show a job's state", "GET", ""),
		newIDCommand("withdraw ID", "Withdraw a job", "POST", "/withdraw"),
	)
	return command
}

func newWorkerCommand() *cobra.Command {
	return &cobra.Command{
		Use: "worker IP:PORT", Short: "Show what a worker says of itself", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			response, err := sendRequest(args[0], "GET", "/status", nil)
			if err != nil {
				return err
			}
			if response.Status != 200 {
				return fmt.Errorf("the worker answered %d", response.Status)
			}
			var heartbeat wire.Heartbeat
			if err := heartbeat.UnmarshalJSON(response.Body); err != nil {
				return err
			}
			out := cmd.OutOrStdout()
			fmt.Fprintf(out, "%s %s in %s, session %d, token %d, %d tasks\n", heartbeat.MachineID, heartbeat.MachineType, heartbeat.Zone, heartbeat.Incarnation, heartbeat.FencingToken, len(heartbeat.Tasks))
			for _, task := range heartbeat.Tasks {
				fmt.Fprintf(out, "%s attempt %d %s %s\n", task.TaskID, task.Attempt, task.State, task.ExitCause)
			}
			return nil
		},
	}
}

func newStandbyCommand() *cobra.Command {
	var node string
	command := &cobra.Command{
		Use: "standby", Short: "Print who stands by for the leader, and how far behind", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			response, err := sendRequest(node, "GET", "/ops/v1/standby", nil)
			if err != nil {
				return err
			}
			if response.Status != 200 {
				return fmt.Errorf("the controller answered %d", response.Status)
			}
			var status controller.StandbyStatus
			if err := json.Unmarshal(response.Body, &status); err != nil {
				return err
			}
			printStandbyStatus(cmd.OutOrStdout(), &status)
			return nil
		},
	}
	command.Flags().StringVar(&node, "node", "127.0.0.1:8080", "a controller's `IP:PORT`")
	return command
}

func printStandbyStatus(out io.Writer, status *controller.StandbyStatus) {
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

func newReportCommand() *cobra.Command {
	var node string
	command := &cobra.Command{
		Use: "report", Short: "Print what failed or ran late, and why", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			response, err := sendRequest(node, "GET", "/ops/v1/report", nil)
			if err != nil {
				return err
			}
			if response.Status != 200 {
				return fmt.Errorf("the controller answered %d", response.Status)
			}
			var jobReport controller.JobReport
			if err := json.Unmarshal(response.Body, &jobReport); err != nil {
				return err
			}
			out := cmd.OutOrStdout()
			fmt.Fprintf(out, "%d jobs: %d done, %d withdrawn, %d active\n", jobReport.Jobs, jobReport.Done, jobReport.Cancelled, jobReport.Active)
			if len(jobReport.Problems) == 0 {
				fmt.Fprintln(out, "nothing failed or ran late")
				return nil
			}
			table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
			fmt.Fprintln(table, "JOB\tCLASS\tSTATE\tLATE BY\tTOOK\tWAITED\tERRORS\tRESTARTS\tWHY")
			for _, job := range jobReport.Problems {
				fmt.Fprintf(table, "%s\t%s\t%s\t%.1fs\t%.1fs\t%.1fs\t%d\t%d\t%s\n", job.Job, job.Class, job.State, job.LateByS, job.TookS, job.WaitedS, job.Errors, job.Restarts, job.Reason)
			}
			return table.Flush()
		},
	}
	command.Flags().StringVar(&node, "node", "127.0.0.1:8080", "a controller's `IP:PORT`")
	return command
}

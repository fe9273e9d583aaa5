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
	exitFailed      = 1
	exitBadSettings = 2
)

func main() {
	os.Exit(exitCode(root().Execute(), os.Stderr))
}

// exitCode says what went wrong, if anything did, a line each.
func exitCode(err error, out io.Writer) int {
	if err == nil {
		return 0
	}
	var settings settingsError
	if errors.As(err, &settings) {
		for _, line := range strings.Split(settings.Error(), "\n") {
			fmt.Fprintln(out, "firwood:", line)
		}
		return exitBadSettings
	}
	fmt.Fprintln(out, "firwood:", strings.ReplaceAll(err.Error(), "\n", "; "))
	return exitFailed
}

func root() *cobra.Command {
	var configPath, settingsPath string
	r := &cobra.Command{
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
			return serve(configPath, settingsPath)
		},
	}
	addSettings := func(c *cobra.Command) {
		c.Flags().StringVar(&configPath, "config", "", "the platform's settings `FILE` (JSON)")
		c.Flags().StringVar(&settingsPath, "settings", os.Getenv("FIRWOOD_SETTINGS"), "the operators' settings `FILE` (YAML; also FIRWOOD_SETTINGS)")
	}
	addSettings(r)

	s := &cobra.Command{
		Use: "serve", Short: "Run a controller", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return serve(configPath, settingsPath) },
	}
	k := &cobra.Command{
		Use: "check", Short: "Check settings files without serving", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if configPath == "" && settingsPath == "" {
				return errors.New("check: give --config, --settings or both")
			}
			return check(cmd.OutOrStdout(), configPath, settingsPath)
		},
	}
	for _, c := range []*cobra.Command{s, k} {
		addSettings(c)
	}
	r.AddCommand(s, k, jobCommand(), workerCommand(), reportCommand(), standbyCommand(), &cobra.Command{
		Use: "version", Short: "Print the version", Args: cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) { fmt.Fprintln(cmd.OutOrStdout(), "firwood", version) },
	})
	return r
}

// settingsError is about what settings files say, and not about anything that was done.
type settingsError struct{ error }

// loadSettings reads both files; what is wrong is told of both at once.
func loadSettings(configPath, settingsPath string) (*config.Platform, config.Tuning, error) {
	p, platformErr := config.LoadPlatform(configPath)
	t, tuningErr := config.LoadTuning(settingsPath)
	err := errors.Join(platformErr, tuningErr)
	if err == nil {
		err = config.CheckTogether(p, t)
	}
	if err != nil {
		return nil, t, settingsError{err}
	}
	return p, t, nil
}

// check tells whether settings files are good, and can serve the fleet that they name.
func check(out io.Writer, configPath, settingsPath string) error {
	if configPath == "" {
		if _, err := config.LoadTuning(settingsPath); err != nil {
			return settingsError{err}
		}
		fmt.Fprintf(out, "%s: good\n", settingsPath)
		return nil
	}
	p, t, err := loadSettings(configPath, settingsPath)
	if err != nil {
		return err
	}
	var short []error
	for _, s := range p.Shortfalls(t.FleetMachines) {
		short = append(short, errors.New(s.String()))
	}
	if short != nil {
		return settingsError{errors.Join(short...)}
	}
	fmt.Fprintf(out, "%s: good: member %s of %d, %d teams\n", configPath, p.Member, len(p.Others)+1, len(p.Deployment.Teams))
	if settingsPath != "" {
		fmt.Fprintf(out, "%s: good\n", settingsPath)
	}
	return nil
}

func logger() (*slog.Logger, error) {
	level := slog.LevelInfo
	switch v := os.Getenv("LOG_LEVEL"); v {
	case "", "info":
	case "error":
		level = slog.LevelError
	case "debug":
		level = slog.LevelDebug
	default:
		return nil, fmt.Errorf("LOG_LEVEL: %q is not error, info or debug", v)
	}
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})), nil
}

func serve(configPath, settingsPath string) error {
	if configPath == "" {
		return errors.New("serve: --config is missing")
	}
	p, t, err := loadSettings(configPath, settingsPath)
	if err != nil {
		return err
	}
	log, err := logger()
	if err != nil {
		return err
	}
	limits := p.Deployment.Limits
	// The collector has to give way before the platform ends the process.
	debug.SetMemoryLimit(int64(limits.RAMMB * 0.6 * (1 << 20)))
	debug.SetGCPercent(300)
	runtime.GOMAXPROCS(2)

	log = log.With("member", p.Member)
	for _, s := range p.Shortfalls(t.FleetMachines) {
		log.Error("a limit is too low for the fleet", "limit", s.Field, "has", s.Has, "needs", s.Needs, "machines", s.Machines, "for", s.Why)
	}
	c := controller.New(p, t, log, client.DialTCP)
	if t.Standby.Trace != "" {
		tracer, err := tracing.New(t.Standby.Trace, p.Member)
		if err != nil {
			return fmt.Errorf("standby.trace: %w", err)
		}
		defer tracer.Close()
		c.Trace(tracer)
	}
	srv := server.New(server.Config{
		ServeAddress: p.Serve, PeerAddress: p.PeerBind, Limiter: c.Sockets(), EvictOutbound: c.MakeRoom,
		IdleTimeout: 90 * clock.Second, ReadTimeout: 10 * clock.Second, WorkerLeaseTTL: clock.FromSeconds(p.Deployment.Workers.LeaseS),
	}, c, log)
	log.Info("serving", "version", version, "address", p.Serve)

	failed := make(chan error, 1)
	go func() { failed <- srv.Run() }()
	go c.Run(context.Background())
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	select {
	case err := <-failed:
		return err
	case <-stop:
		c.Close()
		return nil
	}
}

// call makes one request of a controller.
func call(node, method, target string, body []byte) (*http1.Message, error) {
	if _, err := netip.ParseAddrPort(node); err != nil {
		return nil, fmt.Errorf("%q is not IP:port", node)
	}
	h := client.NewHost(client.DialTCP, node, 0, 4<<20)
	defer h.Close()
	return h.Do(client.Request{Method: method, Target: target, Body: body, Timeout: 10 * clock.Second})
}

func show(out io.Writer, m *http1.Message) error {
	if m.Status/100 != 2 {
		var e wire.ErrorBody
		if err := e.UnmarshalJSON(m.Body); err == nil && e.Error != "" {
			return fmt.Errorf("the controller answered %d: %s", m.Status, e.Error)
		}
		return fmt.Errorf("the controller answered %d", m.Status)
	}
	var s wire.JobStatus
	if err := s.UnmarshalJSON(m.Body); err != nil {
		return err
	}
	fmt.Fprintf(out, "%s %s", s.ID, s.State)
	if s.Done != nil && s.Running != nil {
		fmt.Fprintf(out, " done=%d running=%d", *s.Done, *s.Running)
	}
	if len(s.Awaits) > 0 {
		fmt.Fprintf(out, " awaits=%s", strings.Join(s.Awaits, ","))
	}
	fmt.Fprintln(out)
	return nil
}

func jobCommand() *cobra.Command {
	var node string
	j := &cobra.Command{Use: "job", Short: "Submit, show and withdraw jobs"}
	j.PersistentFlags().StringVar(&node, "node", "127.0.0.1:8080", "a controller's `IP:PORT`")
	simple := func(use, short, method, suffix string) *cobra.Command {
		return &cobra.Command{
			Use: use, Short: short, Args: cobra.ExactArgs(1),
			RunE: func(cmd *cobra.Command, args []string) error {
				if !wire.ValidJobID(args[0]) {
					return fmt.Errorf("%q has not the form of a job id", args[0])
				}
				m, err := call(node, method, "/api/jobs/"+args[0]+suffix, nil)
				if err != nil {
					return err
				}
				return show(cmd.OutOrStdout(), m)
			},
		}
	}
	j.AddCommand(
		&cobra.Command{
			Use: "submit FILE", Short: "Submit the job described in a JSON file, - for standard input", Args: cobra.ExactArgs(1),
			RunE: func(cmd *cobra.Command, args []string) error {
				var b []byte
				var err error
				if args[0] == "-" {
					b, err = io.ReadAll(io.LimitReader(cmd.InOrStdin(), wire.MaxBody+1))
				} else {
					b, err = os.ReadFile(args[0])
				}
				if err != nil {
					return err
				}
				if _, err := wire.DecodeJob(b); err != nil {
					return fmt.Errorf("%s: %w", args[0], err)
				}
				m, err := call(node, "POST", "/api/jobs", b)
				if err != nil {
					return err
				}
				return show(cmd.OutOrStdout(), m)
			},
		},
		simple("show ID", "Show a job's state", "GET", ""),
		simple("withdraw ID", "Withdraw a job", "POST", "/withdraw"),
	)
	return j
}

func workerCommand() *cobra.Command {
	return &cobra.Command{
		Use: "worker IP:PORT", Short: "Show what a worker says of itself", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			m, err := call(args[0], "GET", "/status", nil)
			if err != nil {
				return err
			}
			if m.Status != 200 {
				return fmt.Errorf("the worker answered %d", m.Status)
			}
			var r wire.Report
			if err := r.UnmarshalJSON(m.Body); err != nil {
				return err
			}
			out := cmd.OutOrStdout()
			fmt.Fprintf(out, "%s %s in %s, session %d, token %d, %d tasks\n", r.Machine, r.Type, r.Zone, r.Session, r.Token, len(r.Tasks))
			for _, t := range r.Tasks {
				fmt.Fprintf(out, "%s attempt %d %s %s\n", t.Task, t.Attempt, t.State, t.Why)
			}
			return nil
		},
	}
}

func standbyCommand() *cobra.Command {
	var node string
	c := &cobra.Command{
		Use: "standby", Short: "Print who stands by for the leader, and how far behind", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			m, err := call(node, "GET", "/ops/v1/standby", nil)
			if err != nil {
				return err
			}
			if m.Status != 200 {
				return fmt.Errorf("the controller answered %d", m.Status)
			}
			var s controller.StandbyStatus
			if err := json.Unmarshal(m.Body, &s); err != nil {
				return err
			}
			printStandby(cmd.OutOrStdout(), &s)
			return nil
		},
	}
	c.Flags().StringVar(&node, "node", "127.0.0.1:8080", "a controller's `IP:PORT`")
	return c
}

func printStandby(out io.Writer, s *controller.StandbyStatus) {
	fmt.Fprintf(out, "%s, leader %s\n", s.Member, cmp.Or(s.Leader, "unknown"))
	if !s.Enabled {
		fmt.Fprintln(out, "standby is not enabled here")
	}
	if r := s.Replica; r != nil {
		fmt.Fprintf(out, "replica: complete=%t token=%d decisions=%d placements=%d doubts=%d digest=%s\n",
			r.Complete, r.Token, r.Decisions, r.Placements, r.Doubts, r.Digest)
		fmt.Fprintf(out, "dropped: older=%d gaps=%d malformed=%d foreign=%d differing=%d\n",
			r.Dropped.Stale, r.Dropped.OutOfOrder, r.Dropped.Malformed, r.Dropped.ForeignToken, r.Dropped.DigestMismatch)
	}
	for _, f := range s.Followers {
		fmt.Fprintf(out, "%s: in step=%t, lacks %d decisions for %d ms\n", f.Member, f.InStep, f.Lacks, f.LacksMs)
	}
	if t := s.TakeOver; t != nil {
		fmt.Fprintf(out, "last take-over here: token=%d replica used=%t in doubt=%d; lock %d ms, rebuild %d ms, first decision %d ms\n",
			t.Token, t.ReplicaUsed, t.InDoubt, t.LockMs, t.RebuildMs, t.DecisionMs)
	}
}

func reportCommand() *cobra.Command {
	var node string
	c := &cobra.Command{
		Use: "report", Short: "Print what failed or ran late, and why", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			m, err := call(node, "GET", "/ops/v1/report", nil)
			if err != nil {
				return err
			}
			if m.Status != 200 {
				return fmt.Errorf("the controller answered %d", m.Status)
			}
			var r controller.MorningReport
			if err := json.Unmarshal(m.Body, &r); err != nil {
				return err
			}
			out := cmd.OutOrStdout()
			fmt.Fprintf(out, "%d jobs: %d done, %d withdrawn, %d active\n", r.Jobs, r.Done, r.Aborted, r.Active)
			if len(r.Troubles) == 0 {
				fmt.Fprintln(out, "nothing failed or ran late")
				return nil
			}
			w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
			fmt.Fprintln(w, "JOB\tCLASS\tSTATE\tLATE BY\tTOOK\tWAITED\tERRORS\tRESTARTS\tWHY")
			for _, t := range r.Troubles {
				fmt.Fprintf(w, "%s\t%s\t%s\t%.1fs\t%.1fs\t%.1fs\t%d\t%d\t%s\n", t.Job, t.Class, t.State, t.LateByS, t.TookS, t.WaitedS, t.Errors, t.Restarts, t.Why)
			}
			return w.Flush()
		},
	}
	c.Flags().StringVar(&node, "node", "127.0.0.1:8080", "a controller's `IP:PORT`")
	return c
}

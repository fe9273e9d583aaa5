package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"firwood.dev/firwood/internal/client"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/controller"
	"firwood.dev/firwood/internal/server"
	"firwood.dev/firwood/internal/tracing"
)

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

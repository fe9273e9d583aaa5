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
	"firwood.dev/firwood/internal/config"
	"firwood.dev/firwood/internal/controller"
	"firwood.dev/firwood/internal/server"
	"firwood.dev/firwood/internal/tracing"
)

const (
	// memoryLimitShare is the share of the platform's memory limit that is set as the Go runtime's
	// limit. The rest is for memory that the runtime doesn't count, such as the kernel's socket buffers.
	memoryLimitShare = 0.6
	// gcPercent trades memory for processor time. The memory limit bounds the heap in any case.
	gcPercent = 300
	// maxProcs is enough for a controller, since one goroutine does most of its work.
	maxProcs = 2

	// idleTimeout and readTimeout are the timeouts of connections; see server.Config.
	idleTimeout = 90 * clock.Second
	readTimeout = 10 * clock.Second
)

// newLogger returns a logger that writes to standard error, at the level that LOG_LEVEL names or at
// level info by default.
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

// runController runs a controller until the process receives a signal or the listener fails.
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
	limitRuntime(platform.Deployment.ProcessLimits)
	log = log.With("member", platform.Member)
	logShortfalls(log, platform.Shortfalls(tuning.FleetMachines))

	instance := controller.New(platform, tuning, log, client.DialTCP)
	if tuning.Standby.Trace != "" {
		tracer, err := tracing.New(tuning.Standby.Trace, platform.Member)
		if err != nil {
			return fmt.Errorf("standby.trace: %w", err)
		}
		defer tracer.Close()
		instance.SetTracer(tracer)
	}
	listener := newListener(platform, instance, log)
	log.Info("starting controller", "version", version, "address", platform.ListenAddress)
	return serveUntilSignal(listener, instance)
}

// limitRuntime makes the garbage collector work harder before the process reaches the platform's memory
// limit, at which the platform kills the process.
func limitRuntime(limits config.ProcessLimits) {
	debug.SetMemoryLimit(int64(limits.MemoryMB * memoryLimitShare * (1 << 20)))
	debug.SetGCPercent(gcPercent)
	runtime.GOMAXPROCS(maxProcs)
}

// logShortfalls logs the limits that are too low for the configured fleet. The controller serves
// nevertheless, as well as the limits allow.
func logShortfalls(log *slog.Logger, shortfalls []config.Shortfall) {
	for _, shortfall := range shortfalls {
		log.Error("a limit is too low for the fleet",
			"setting", shortfall.Field, "value", shortfall.Limit, "required", shortfall.Required, "machines", shortfall.Machines, "purpose", shortfall.Purpose)
	}
}

func newListener(platform *config.Platform, instance *controller.Controller, log *slog.Logger) *server.Server {
	return server.New(server.Config{
		ServeAddress:   platform.ListenAddress,
		PeerAddress:    platform.PeerListenAddress,
		Limiter:        instance.ConnLimiter(),
		EvictOutbound:  instance.CloseIdleWorkerConnection,
		IdleTimeout:    idleTimeout,
		ReadTimeout:    readTimeout,
		WorkerLeaseTTL: clock.FromSeconds(platform.Deployment.Workers.LeaseSeconds),
	}, instance, log)
}

// serveUntilSignal runs the listener and the controller, each on a goroutine that lasts as long as the
// process. At SIGTERM or SIGINT a leader first gives up its leadership, so that its successor does not
// have to wait for the lock's lease to expire. The process then ends without an error.
func serveUntilSignal(listener *server.Server, instance *controller.Controller) error {
	listenerErrors := make(chan error, 1)
	go func() { listenerErrors <- listener.Run() }()
	go instance.Run(context.Background())
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case err := <-listenerErrors:
		return err
	case <-signals:
		instance.ReleaseLeadership()
		return nil
	}
}

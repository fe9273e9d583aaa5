package sim

import (
	"flag"
	"log/slog"
	"os"
)

// showControllerLogs enables the controllers' logs on standard error, in tests whose options set
// Logger to controllerLogger().
var showControllerLogs = flag.Bool("controller-logs", false, "write the controllers' logs to standard error")

// controllerLogger returns the logger for showControllerLogs, or nil if the flag is off.
func controllerLogger() *slog.Logger {
	if !*showControllerLogs {
		return nil
	}
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelDebug}))
}

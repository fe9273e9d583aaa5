package sim

import (
	"flag"
	"log/slog"
	"os"
)

// showControllerLogs has the controllers' logs of generated histories and large fleets written to
// standard error.
var showControllerLogs = flag.Bool("controller-logs", false, "write the controllers' logs to standard error")

func controllerLogger() *slog.Logger {
	if !*showControllerLogs {
		return nil
	}
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelDebug}))
}

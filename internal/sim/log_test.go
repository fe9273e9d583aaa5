package sim

import (
	"flag"
	"log/slog"
	"os"
)

// verbose has controllers' logs written to standard error.
var verbose = flag.Bool("controller-logs", false, "write the controllers' logs to standard error")

func historyLog() *slog.Logger {
	if !*verbose {
		return nil
	}
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelDebug}))
}

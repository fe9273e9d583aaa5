package leader

import "firwood.dev/firwood/internal/clock"

const (
	// logLimitWindow is the time in which at most logLimitLines lines of one kind are logged.
	logLimitWindow = 5 * clock.Second
	logLimitLines  = 20
)

// logLimit bounds how many lines of one kind a term logs. The zero value is ready to use.
type logLimit struct {
	windowStartedAt clock.Micros
	logged          int
	suppressed      int // the number of lines suppressed since the last one that was logged
}

// allow reports whether a line may be logged now, and how many lines were suppressed before it.
func (limit *logLimit) allow(now clock.Micros) (suppressed int, isAllowed bool) {
	if now-limit.windowStartedAt >= logLimitWindow {
		limit.windowStartedAt, limit.logged = now, 0
	}
	if limit.logged >= logLimitLines {
		limit.suppressed++
		return 0, false
	}
	suppressed = limit.suppressed
	limit.logged, limit.suppressed = limit.logged+1, 0
	return suppressed, true
}

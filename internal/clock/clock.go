// Package clock reads the monotonic clock (PROTOCOL and comments: the steady clock), for leases and
// timers, and the time of day, for the deadlines of jobs. Both are in whole microseconds.
package clock

import (
	"math"
	"time"
)

// Micros is a duration, or an instant of either clock, in whole microseconds.
type Micros int64

// Units of Micros.
const (
	Millisecond Micros = 1000
	Second      Micros = 1000 * Millisecond
)

// origin is one second after the zero of the monotonic clock.
var origin = time.Now()

// ResetOrigin makes the monotonic clock begin now. Tests in simulated time call it before
// anything else, since their time does not follow on from that of the process. It must not be
// called while another goroutine may call Now.
func ResetOrigin() { origin = time.Now() }

// Now reads the monotonic clock. Its zero is one second before the start of the process, so that
// no reading is 0 and a zero instant can mean "never". Instants of two processes, also of two
// lives of a process, can't be compared.
func Now() Micros { return Micros(time.Since(origin).Microseconds()) + Second }

// WallTime reads the time of day, in microseconds since 1970 (UTC).
func WallTime() Micros { return Micros(time.Now().UnixMicro()) }

// maxSeconds bounds conversions, so that sums of a few results don't overflow.
const maxSeconds = 1e12

// FromSeconds converts and rounds a number of seconds, as in messages and settings. Negative
// numbers and NaN give 0, and those above maxSeconds give maxSeconds.
func FromSeconds(seconds float64) Micros {
	if math.IsNaN(seconds) || seconds <= 0 {
		return 0
	}
	return Micros(min(seconds, maxSeconds)*float64(Second) + 0.5)
}

// Seconds converts to seconds, as in messages and settings.
func (micros Micros) Seconds() float64 { return float64(micros) / float64(Second) }

// Duration converts to the standard library's type. It overflows from 292 years on, which is less
// than maxSeconds.
func (micros Micros) Duration() time.Duration { return time.Duration(micros) * time.Microsecond }

// Package clock reads the monotonic clock, for leases and timers, and the wall clock, for the
// deadlines of jobs. Both are in whole microseconds. PROTOCOL calls the monotonic clock the steady
// clock.
package clock

import (
	"math"
	"time"
)

// Micros is a duration, or an instant on either clock, in whole microseconds.
type Micros int64

// Units of Micros.
const (
	Millisecond Micros = 1000
	Second      Micros = 1000 * Millisecond
)

// origin is the instant at which the monotonic clock reads one second.
var origin = time.Now()

// ResetOrigin restarts the monotonic clock at one second. Tests in simulated time call it before
// anything else, since simulated time does not continue the real time at which the process started.
// It must not be called while another goroutine may call Now.
func ResetOrigin() { origin = time.Now() }

// Now returns the monotonic clock's reading. The clock's zero is one second before the start of the
// process, so no reading is 0, and a zero instant can mean "never". Readings of different processes
// can't be compared, nor can readings from before and after a restart of a process.
func Now() Micros { return Micros(time.Since(origin).Microseconds()) + Second }

// WallTime returns the wall-clock time in microseconds since 1970 (UTC).
func WallTime() Micros { return Micros(time.Now().UnixMicro()) }

// maxSeconds bounds the results of FromSeconds, so that the sum of a few results does not overflow.
const maxSeconds = 1e12

// FromSeconds converts a number of seconds, the unit of messages and settings, and rounds it to whole
// microseconds. Negative numbers and NaN give 0; numbers above maxSeconds give maxSeconds.
func FromSeconds(seconds float64) Micros {
	if math.IsNaN(seconds) || seconds <= 0 {
		return 0
	}
	return Micros(min(seconds, maxSeconds)*float64(Second) + 0.5)
}

// Seconds returns micros in seconds, the unit of messages and settings.
func (micros Micros) Seconds() float64 { return float64(micros) / float64(Second) }

// Duration returns micros as a time.Duration. It overflows from 292 years on, which is less than
// maxSeconds.
func (micros Micros) Duration() time.Duration { return time.Duration(micros) * time.Microsecond }

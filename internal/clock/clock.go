// Package clock owns the two clocks a process reads: the steady one, by which
// leases and timers are reckoned, and the time of day, by which deadlines of
// jobs are. Both are whole microseconds.
package clock

import "time"

// Micros is a duration or an instant in whole microseconds.
type Micros int64

// Units of Micros.
const (
	Millisecond Micros = 1000
	Second      Micros = 1000 * Millisecond
)

var origin = time.Now()

// ResetOrigin puts the zero of the steady clock to now. Tests in simulated time call it
// first: their time does not go on from that of the process.
func ResetOrigin() { origin = time.Now() }

// Now reads the steady clock. Its zero lies one second before the start of the
// process, so that a zero instant always means "never".
func Now() Micros { return Micros(time.Since(origin).Microseconds()) + Second }

// WallTime reads the time of day, in microseconds since 1970.
func WallTime() Micros { return Micros(time.Now().UnixMicro()) }

// FromSeconds rounds an amount of seconds, as the wire carries it.
func FromSeconds(seconds float64) Micros {
	const most = 1e12
	if seconds != seconds || seconds <= 0 {
		return 0
	}
	if seconds > most {
		seconds = most
	}
	return Micros(seconds*1e6 + 0.5)
}

// Seconds is the amount as the wire carries it.
func (micros Micros) Seconds() float64 { return float64(micros) / 1e6 }

// Duration converts to the standard library's type.
func (micros Micros) Duration() time.Duration { return time.Duration(micros) * time.Microsecond }

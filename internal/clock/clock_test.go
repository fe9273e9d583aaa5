package clock

import (
	"math"
	"testing"
	"time"
)

// FromSeconds rounds to whole microseconds. Negative numbers and NaN give 0, and numbers above
// maxSeconds give maxSeconds.
func TestFromSeconds(t *testing.T) {
	for _, testCase := range []struct {
		seconds float64
		want    Micros
	}{
		{0, 0}, {1, Second}, {0.25, 250 * Millisecond}, {1.4e-6, 1}, {1.5e-6, 2}, {0.4e-6, 0}, {-1, 0},
		{math.NaN(), 0}, {math.Inf(-1), 0}, {math.Inf(1), maxSeconds * Second}, {1e13, maxSeconds * Second}, {1e12, maxSeconds * Second},
	} {
		if got := FromSeconds(testCase.seconds); got != testCase.want {
			t.Errorf("FromSeconds(%v) = %d, want %d", testCase.seconds, got, testCase.want)
		}
	}
}

func TestSecondsAndDuration(t *testing.T) {
	if got := (1500 * Millisecond).Seconds(); got != 1.5 {
		t.Errorf("(1500 * Millisecond).Seconds() = %v, want 1.5", got)
	}
	if got := (1500 * Millisecond).Duration(); got != 1500*time.Millisecond {
		t.Errorf("(1500 * Millisecond).Duration() = %v, want 1.5s", got)
	}
}

// Every reading is later than the zero instant, which means "never", and readings never decrease.
func TestNowIsNonzeroAndMonotonic(t *testing.T) {
	if first := Now(); first < Second || Now() < first {
		t.Errorf("the first reading is %d; want at least one second, and no smaller second reading", first)
	}
}

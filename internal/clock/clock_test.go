package clock

import (
	"math"
	"testing"
	"time"
)

// Seconds are rounded to whole microseconds. Negative numbers and NaN give 0, and those above
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
			t.Errorf("%v seconds are %d, want %d", testCase.seconds, got, testCase.want)
		}
	}
}

func TestSecondsAndDuration(t *testing.T) {
	if got := (1500 * Millisecond).Seconds(); got != 1.5 {
		t.Errorf("%v seconds", got)
	}
	if got := (1500 * Millisecond).Duration(); got != 1500*time.Millisecond {
		t.Errorf("%v", got)
	}
}

// The zero instant is before every instant that the clock gives.
func TestNowIsNonzeroAndMonotonic(t *testing.T) {
	if first := Now(); first < Second || Now() < first {
		t.Errorf("the clock began at %d and went back", first)
	}
}

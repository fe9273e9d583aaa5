package clock

import "testing"

// Bounds of leases are worked out with these: a smaller allowance would make them unsafe, a
// larger one would change when controllers act.
func TestDriftAllowances(t *testing.T) {
	for _, test := range []struct{ duration, store, mutual Micros }{
		{0, 0, 0},
		{999, 0, 1},
		{3 * Second, 3 * Millisecond, 6 * Millisecond},
		{66 * Second, 66 * Millisecond, 132 * Millisecond},
	} {
		if store, mutual := StoreDrift(test.duration), MutualDrift(test.duration); store != test.store || mutual != test.mutual {
			t.Errorf("allowances for %d us are %d and %d, want %d and %d", test.duration, store, mutual, test.store, test.mutual)
		}
	}
}

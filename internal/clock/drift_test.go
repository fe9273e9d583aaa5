package clock

import "testing"

// The bounds of leases are computed with these allowances: smaller allowances would make leases
// unsafe, larger ones would change when controllers act.
func TestDriftAllowances(t *testing.T) {
	for _, test := range []struct{ duration, store, mutual Micros }{
		{0, 0, 0},
		{999, 0, 1},
		{3 * Second, 3 * Millisecond, 6 * Millisecond},
		{66 * Second, 66 * Millisecond, 132 * Millisecond},
	} {
		if store, mutual := StoreDrift(test.duration), MutualDrift(test.duration); store != test.store || mutual != test.mutual {
			t.Errorf("allowances for %d us: got store %d, mutual %d; want %d and %d", test.duration, store, mutual, test.store, test.mutual)
		}
	}
}

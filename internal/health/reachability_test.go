package health

import "testing"

// A leader that is cut off from the workers hands over; one whose machines are
// taken in a wave, or that nobody can replace, does not, and one that hears
// nobody deletes nothing.
func TestReachability(t *testing.T) {
	for _, test := range []struct {
		counts       Reachability
		peers        uint32
		mostly, lost bool
	}{
		{Reachability{Up: 20, Reachable: 20}, 0, true, false},
		{Reachability{Up: 20, Reachable: 8}, 0, true, false},  // a wave
		{Reachability{Up: 20, Reachable: 0}, 12, false, true}, // cut off from all workers
		{Reachability{Up: 20, Reachable: 0}, 2, false, false}, // the workers reach nobody else
		{Reachability{Up: 20, Reachable: 12}, 8, true, false}, // one zone is cut off
		{Reachability{Up: 2, Reachable: 0}, 2, false, false},  // too few to tell
	} {
		if test.counts.IsMostlyReachable() != test.mostly || test.counts.IsOnlyLeaderCutOff(test.peers) != test.lost {
			t.Errorf("%+v with %d: mostly %v, lost %v", test.counts, test.peers, test.counts.IsMostlyReachable(), test.counts.IsOnlyLeaderCutOff(test.peers))
		}
	}
}

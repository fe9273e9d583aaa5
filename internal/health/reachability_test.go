package health

import "testing"

// A leader that is cut off from the workers hands over. One of whose machines many are reclaimed at
// once, or whose workers contact no other member, does not; and where no machine is reachable none
// is deleted.
func TestReachabilityThresholds(t *testing.T) {
	for _, test := range []struct {
		counts                                Reachability
		contactingOther                       uint32
		isMostlyReachable, isOnlyLeaderCutOff bool
	}{
		{Reachability{Up: 20, Reachable: 20}, 0, true, false},
		{Reachability{Up: 20, Reachable: 8}, 0, true, false},  // many are reclaimed at once
		{Reachability{Up: 20, Reachable: 0}, 12, false, true}, // cut off from all workers
		{Reachability{Up: 20, Reachable: 0}, 2, false, false}, // the workers reach nobody else
		{Reachability{Up: 20, Reachable: 12}, 8, true, false}, // one zone is cut off
		{Reachability{Up: 2, Reachable: 0}, 2, false, false},  // too few to tell
	} {
		if test.counts.IsMostlyReachable() != test.isMostlyReachable || test.counts.IsOnlyLeaderCutOff(test.contactingOther) != test.isOnlyLeaderCutOff {
			t.Errorf("%+v with %d: mostly reachable %v, only the leader cut off %v", test.counts, test.contactingOther, test.counts.IsMostlyReachable(), test.counts.IsOnlyLeaderCutOff(test.contactingOther))
		}
	}
}

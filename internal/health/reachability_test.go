package health

import "testing"

// A leader that is cut off from the workers concludes that the fault is on its side. It doesn't if many of
// its machines are reclaimed at once, or if the workers contact no other member. If no machine is reachable,
// the machines don't count as mostly reachable, so none of them is deleted.
func TestReachabilityThresholds(t *testing.T) {
	for _, test := range []struct {
		counts                                Reachability
		contactingOther                       uint32
		isMostlyReachable, isOnlyLeaderCutOff bool
	}{
		{Reachability{Up: 20, Reachable: 20}, 0, true, false},
		{Reachability{Up: 20, Reachable: 8}, 0, true, false},  // many are reclaimed at once
		{Reachability{Up: 20, Reachable: 0}, 12, false, true}, // the leader is cut off from all workers
		{Reachability{Up: 20, Reachable: 0}, 2, false, false}, // few workers contact another member
		{Reachability{Up: 20, Reachable: 12}, 8, true, false}, // one zone is cut off
		{Reachability{Up: 2, Reachable: 0}, 2, false, false},  // there are too few machines to tell
	} {
		if test.counts.IsMostlyReachable() != test.isMostlyReachable || test.counts.IsOnlyLeaderCutOff(test.contactingOther) != test.isOnlyLeaderCutOff {
			t.Errorf("%+v with %d workers contacting another member: got IsMostlyReachable %v, IsOnlyLeaderCutOff %v", test.counts, test.contactingOther, test.counts.IsMostlyReachable(), test.counts.IsOnlyLeaderCutOff(test.contactingOther))
		}
	}
}

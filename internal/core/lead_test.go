package core

import "testing"

// A leader that is cut off from the workers hands over; one whose machines are
// taken in a wave, or that nobody can replace, does not, and one that hears
// nobody deletes nothing.
func TestHearing(t *testing.T) {
	for _, c := range []struct {
		h            hearing
		peers        uint32
		mostly, lost bool
	}{
		{hearing{20, 20}, 0, true, false},
		{hearing{20, 8}, 0, true, false},  // a wave
		{hearing{20, 0}, 12, false, true}, // cut off from all workers
		{hearing{20, 0}, 2, false, false}, // the workers reach nobody else
		{hearing{20, 12}, 8, true, false}, // one zone is cut off
		{hearing{2, 0}, 2, false, false},  // too few to tell
	} {
		if c.h.mostly() != c.mostly || c.h.lost(c.peers) != c.lost {
			t.Errorf("%+v with %d: mostly %v, lost %v", c.h, c.peers, c.h.mostly(), c.h.lost(c.peers))
		}
	}
}

package sim

import (
	"os"
	"runtime"
	"testing"
)

// TestMain runs the tests on one thread if the race detector is on. The detector may crash a process
// whose tests run in simulated time: in a bubble of testing/synctest the runtime passes events on to
// it on behalf of goroutines that another thread may be running. With many of them a check of its
// own fails (tsan_rtl.cpp), or it accesses memory that isn't there: 8 of 39 runs of a fleet of 100 to
// 400 machines ended so, and 0 of 18 on one thread. Races are found there too: the detector goes by
// what is ordered with what, not by what runs at once.
func TestMain(m *testing.M) {
	if isRaceDetectorOn {
		runtime.GOMAXPROCS(1)
	}
	os.Exit(m.Run())
}

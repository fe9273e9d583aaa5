package versionedwrite

import (
	"math/rand/v2"
	"slices"
	"testing"
)

// checkState checks everything that a tracker reports.
func checkState(t *testing.T, tracker *Tracker[string], wantPossible []string, wantInFlight bool) {
	t.Helper()
	if got := slices.Collect(tracker.PossibleValues()); !slices.Equal(got, wantPossible) {
		t.Errorf("PossibleValues = %q, want %q", got, wantPossible)
	}
	if tracker.Confirmed() != wantPossible[0] || tracker.IsConfirmed() != (len(wantPossible) == 1) || tracker.IsInFlight() != wantInFlight {
		t.Errorf("Confirmed = %q, IsConfirmed = %v, IsInFlight = %v; want the values that follow from checkState's parameters", tracker.Confirmed(), tracker.IsConfirmed(), tracker.IsInFlight())
	}
}

// beginWrite begins a write and checks the version that the write is conditional on.
func beginWrite(t *testing.T, tracker *Tracker[string], value string, wantVersion uint64) {
	t.Helper()
	if version, ok := tracker.BeginWrite(value); !ok || version != wantVersion {
		t.Fatalf("BeginWrite(%q) = version %d, %v; want version %d, true", value, version, ok, wantVersion)
	}
}

func TestPossibleValuesAfterWriteOutcome(t *testing.T) {
	tests := map[string]struct {
		record          func(*Tracker[string])
		wantPossible    []string
		wantNextVersion uint64
	}{
		"committed":       {func(tracker *Tracker[string]) { tracker.RecordCommit(9) }, []string{"new"}, 9},
		"refused":         {func(tracker *Tracker[string]) { tracker.RecordRefusal() }, []string{"old", "lost"}, 3},
		"unknown outcome": {func(tracker *Tracker[string]) { tracker.RecordUnknownOutcome() }, []string{"old", "lost", "new"}, 3},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			tracker := NewTracker("old", 3)
			checkState(t, tracker, []string{"old"}, false)
			beginWrite(t, tracker, "lost", 3)
			tracker.RecordUnknownOutcome()
			beginWrite(t, tracker, "new", 3)
			checkState(t, tracker, []string{"old", "lost", "new"}, true)
			if _, ok := tracker.BeginWrite("another"); ok {
				t.Error("BeginWrite = true while another write is in flight, want false")
			}
			checkState(t, tracker, []string{"old", "lost", "new"}, true)
			test.record(tracker)
			checkState(t, tracker, test.wantPossible, false)
			beginWrite(t, tracker, "next", test.wantNextVersion)
		})
	}
}

func TestNewerVersionSupersedesUnresolvedWrites(t *testing.T) {
	tracker := NewTracker("old", 3)
	beginWrite(t, tracker, "lost", 3)
	tracker.RecordUnknownOutcome()
	if tracker.ObserveStored("stale", 3) || tracker.ObserveStored("stale", 2) {
		t.Error("ObserveStored = true for a version that is not newer, want false")
	}
	checkState(t, tracker, []string{"old", "lost"}, false)
	if !tracker.ObserveStored("lost", 4) {
		t.Error("ObserveStored = false for a newer version, want true")
	}
	checkState(t, tracker, []string{"lost"}, false)
	tracker.DropSupersededValues()
	checkState(t, tracker, []string{"lost"}, false)
	beginWrite(t, tracker, "next", 4)
}

// A newer version that is read while a write is in flight may come from that write, whose outcome has
// not been recorded yet. The tracker therefore has to keep the value of that write.
func TestNewerVersionKeepsWriteInFlight(t *testing.T) {
	tracker := NewTracker("old", 3)
	beginWrite(t, tracker, "lost", 3)
	tracker.RecordUnknownOutcome()
	beginWrite(t, tracker, "new", 3)
	tracker.ObserveStored("lost", 4)
	checkState(t, tracker, []string{"lost", "lost", "new"}, true)
	tracker.DropSupersededValues()
	checkState(t, tracker, []string{"lost", "new"}, true)
	tracker.RecordRefusal()
	checkState(t, tracker, []string{"lost"}, false)
	beginWrite(t, tracker, "next", 4)
}

// sentWrite is a write request that the store may apply at any time, and more than once.
type sentWrite struct{ value, expectedVersion uint64 }

// fakeStore is a key-value store with one key that is written conditionally.
type fakeStore struct {
	value, version uint64
	sentWrites     []sentWrite
	// committedAt is the version at which the write in flight was committed before its response
	// arrived, or 0 if it was not committed.
	committedAt uint64
}

func (store *fakeStore) apply(write sentWrite) bool {
	if write.expectedVersion != store.version {
		return false
	}
	store.value, store.version = write.value, store.version+1
	return true
}

// applyRandom applies one of the sent writes, possibly the one in flight.
func (store *fakeStore) applyRandom(isInFlight bool, rng *rand.Rand) {
	if len(store.sentWrites) == 0 {
		return
	}
	i := rng.IntN(len(store.sentWrites))
	if store.apply(store.sentWrites[i]) && isInFlight && i == len(store.sentWrites)-1 {
		store.committedAt = store.version
	}
}

// finishWrite records a random outcome that is possible for the write in flight, the last one sent.
func (store *fakeStore) finishWrite(tracker *Tracker[uint64], rng *rand.Rand) {
	last := len(store.sentWrites) - 1
	committedAt := store.committedAt
	store.committedAt = 0
	switch outcome := rng.IntN(4); {
	case outcome == 0: // the request or its response is lost or late
		if rng.IntN(2) == 0 {
			store.apply(store.sentWrites[last])
		}
		tracker.RecordUnknownOutcome()
	case committedAt != 0:
		tracker.RecordCommit(committedAt)
	case outcome == 1: // the request was never sent
		store.sentWrites = store.sentWrites[:last]
		tracker.RecordRefusal()
	case store.apply(store.sentWrites[last]):
		tracker.RecordCommit(store.version)
	default:
		tracker.RecordRefusal()
	}
}

// The test guards against a tracker that misses a value in force. In random histories of committed,
// rejected, lost, late and repeated writes, with reads also while a write is in flight, the stored value
// always has to be one of the tracker's possible values.
func TestStoredValueIsAlwaysPossible(t *testing.T) {
	unresolvedStepCount, inFlightReadCount := 0, 0 // show that the histories cover these cases
	for seed := uint64(1); seed <= 1000; seed++ {
		rng := rand.New(rand.NewPCG(seed, 7))
		store := &fakeStore{}
		tracker := NewTracker(store.value, store.version)
		dropsSuperseded := rng.IntN(2) == 0
		for step := uint64(1); step <= 60; step++ {
			switch rng.IntN(4) {
			case 0:
				if version, ok := tracker.BeginWrite(step); ok {
					store.sentWrites = append(store.sentWrites, sentWrite{step, version})
				}
			case 1:
				if tracker.IsInFlight() {
					store.finishWrite(tracker, rng)
				}
			case 2:
				store.applyRandom(tracker.IsInFlight(), rng)
			case 3:
				if tracker.IsInFlight() {
					inFlightReadCount++
				}
				if tracker.ObserveStored(store.value, store.version) && dropsSuperseded {
					tracker.DropSupersededValues()
				}
			}
			if !slices.Contains(slices.Collect(tracker.PossibleValues()), store.value) {
				t.Fatalf("history %d, step %d: the tracker doesn't list the stored value %d as possible", seed, step, store.value)
			}
			if !tracker.IsConfirmed() {
				unresolvedStepCount++
			}
		}
	}
	if unresolvedStepCount < 1000 || inFlightReadCount < 1000 {
		t.Fatalf("covered %d steps with unresolved writes and %d reads during a write, want at least 1000 of each", unresolvedStepCount, inFlightReadCount)
	}
}

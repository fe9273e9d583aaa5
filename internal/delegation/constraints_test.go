package delegation

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"firwood.dev/firwood/internal/clock"
)

const constrainedNameCount = 3

// sentWrite is a write request that the store may apply now or later, and more than once.
type sentWrite struct {
	constraints     Constraints
	expectedVersion uint64
}

// fakeStore is a key-value store that holds only the constraints' key.
type fakeStore struct {
	stored            Constraints
	version, revision uint64
	sentWrites        []sentWrite
}

func (store *fakeStore) apply(write sentWrite) bool {
	if write.expectedVersion != store.version {
		return false
	}
	store.revision++
	store.stored, store.version = write.constraints, store.revision
	return true
}

// hasConstraint reports whether the store holds a constraint on the zone, and on the member, of this name.
func (store *fakeStore) hasConstraint(name string) (isZoneConstrained, isMemberConstrained bool) {
	_, isZoneConstrained = store.stored.Zones[name]
	return isZoneConstrained, store.stored.MemberGrantUntil[name] != 0
}

func randomConstraints(rng *rand.Rand, at clock.Micros) Constraints {
	constraints := Constraints{Zones: map[string]ZoneConstraint{}, MemberGrantUntil: map[string]clock.Micros{}}
	for number := range constrainedNameCount {
		if rng.IntN(2) == 0 {
			constraints.Zones[fmt.Sprint(number)] = ZoneConstraint{LastAnswerAt: at}
			constraints.MemberGrantUntil[fmt.Sprint(number)] = at
		}
	}
	return constraints
}

// write sends a write and records its outcome in the tracker. It reports whether the outcome is unknown.
func (store *fakeStore) write(write sentWrite, tracker *ConstraintTracker, rng *rand.Rand) (isUnknown bool) {
	store.sentWrites = append(store.sentWrites, write)
	switch rng.IntN(4) {
	case 0: // the request or its response is lost or late
		if rng.IntN(2) == 0 {
			store.apply(write)
		}
		tracker.RecordUnknownOutcome()
		return true
	case 1: // the request was never sent
		if write.expectedVersion == store.version {
			store.sentWrites = store.sentWrites[:len(store.sentWrites)-1]
		}
		tracker.RecordRefusal()
	default:
		if store.apply(write) {
			tracker.RecordCommit(store.version)
		} else {
			tracker.RecordRefusal()
		}
	}
	return false
}

// The test guards against a leader that ignores a constraint in force because it does not know the outcome
// of a write. In random histories of committed, rejected, lost, late and repeated writes, every constraint
// in the store has to be one that the tracker reports as possibly in force.
func TestTrackerKnowsEveryConstraintInForce(t *testing.T) {
	unknownCount, readCount := 0, 0
	for seed := uint64(1); seed <= 2000; seed++ {
		rng := rand.New(rand.NewPCG(seed, 5))
		store := &fakeStore{}
		tracker := NewConstraintTracker(store.stored, store.version)
		for step := range 60 {
			switch rng.IntN(4) {
			case 0, 1:
				constraints := randomConstraints(rng, clock.Micros(step))
				if version, ok := tracker.BeginWrite(constraints); ok && store.write(sentWrite{constraints, version}, tracker, rng) {
					unknownCount++
				}
			case 2:
				if len(store.sentWrites) > 0 {
					store.apply(store.sentWrites[rng.IntN(len(store.sentWrites))])
				}
			case 3:
				tracker.ObserveStored(store.stored, store.version)
				readCount++
			}
			for number := range constrainedNameCount {
				name := fmt.Sprint(number)
				isZoneConstrained, isMemberConstrained := store.hasConstraint(name)
				if isZoneConstrained && !tracker.MayConstrainZone(name) || isMemberConstrained && !tracker.MayConstrainMember(name) {
					t.Fatalf("history %d, step %d: the tracker doesn't know of the stored constraint on %s", seed, step, name)
				}
			}
		}
	}
	if unknownCount < 1000 || readCount < 1000 {
		t.Fatalf("covered %d unknown outcomes and %d reads, want at least 1000 of each", unknownCount, readCount)
	}
}

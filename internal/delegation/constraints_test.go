package delegation

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"firwood.dev/firwood/internal/clock"
)

const constrainedNameCount = 3

// sentWrite may be carried out, now or later, and again.
type sentWrite struct {
	constraints     Constraints
	expectedVersion uint64
}

// fakeStore has the key of the constraints.
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

// hasConstraint reports whether the zone or the member of a name is constrained in the store.
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

// write sends a write and records its outcome; it reports whether that was unknown.
func (store *fakeStore) write(write sentWrite, tracker *ConstraintTracker, rng *rand.Rand) (isUnknown bool) {
	store.sentWrites = append(store.sentWrites, write)
	switch rng.IntN(4) {
	case 0: // the response, or the request, is lost or late
		if rng.IntN(2) == 0 {
			store.apply(write)
		}
		tracker.RecordUnknownOutcome()
		return true
	case 1: // it never left
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

// Over generated histories of committed, refused, lost, late and repeated writes, every
// constraint in the store is one that the tracker says may be in force.
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
					t.Fatalf("history %d, step %d: a constraint on %s is stored and unknown to the tracker", seed, step, name)
				}
			}
		}
	}
	if unknownCount < 1000 || readCount < 1000 {
		t.Fatalf("%d unknown outcomes, %d reads: too few cases covered", unknownCount, readCount)
	}
}

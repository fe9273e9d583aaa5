package delegation

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"firwood.dev/firwood/internal/clock"
)

// Over generated histories of writes that are answered, refused, lost or late, and
// repeated: what a leader takes for not promised is promised nowhere, and no late
// copy can ever bring it back.
func TestTrackerKnowsEveryConstraintInForce(t *testing.T) {
	type write struct {
		w    Constraints
		cond uint64
	}
	unknownCount, readCount := 0, 0
	for seed := uint64(1); seed <= 2000; seed++ {
		rng := rand.New(rand.NewPCG(seed, 5))
		var stored Constraints // as the service has it
		version, revision := uint64(0), uint64(0)
		var sentWrites []write // may be carried out, now or later, and again
		tracker := NewConstraintTracker(stored, version)
		apply := func(request write) bool {
			if request.cond != version {
				return false
			}
			revision++
			stored, version = request.w, revision
			return true
		}
		for step := 0; step < 60; step++ {
			switch rng.IntN(4) {
			case 0, 1:
				constraints := Constraints{Zones: map[string]ZoneConstraint{}, MemberGrantUntil: map[string]clock.Micros{}}
				for number := 0; number < 3; number++ {
					if rng.IntN(2) == 0 {
						constraints.Zones[fmt.Sprint(number)] = ZoneConstraint{LastAnswerAt: clock.Micros(step)}
						constraints.MemberGrantUntil[fmt.Sprint(number)] = clock.Micros(step)
					}
				}
				expectedVersion, ok := tracker.BeginWrite(constraints)
				if !ok {
					break
				}
				request := write{constraints, expectedVersion}
				sentWrites = append(sentWrites, request)
				switch rng.IntN(4) {
				case 0: // the answer, or the request, is lost or late
					if rng.IntN(2) == 0 {
						apply(request)
					}
					tracker.RecordUnknownOutcome()
					unknownCount++
				case 1:
					if expectedVersion == version {
						sentWrites = sentWrites[:len(sentWrites)-1]
					}
					tracker.RecordRefusal()
				default:
					if apply(request) {
						tracker.RecordCommit(version)
					} else {
						tracker.RecordRefusal()
					}
				}
			case 2:
				if len(sentWrites) > 0 {
					apply(sentWrites[rng.IntN(len(sentWrites))])
				}
			case 3:
				tracker.ObserveStored(stored, version)
				readCount++
			}
			for number := 0; number < 3; number++ {
				name := fmt.Sprint(number)
				if _, ok := stored.Zones[name]; ok && !tracker.MayConstrainZone(name) || len(stored.MemberGrantUntil) > 0 && stored.MemberGrantUntil[name] != 0 && !tracker.MayConstrainMember(name) {
					t.Fatalf("history %d, step %d: promised about %s, and not known", seed, step, name)
				}
			}
		}
	}
	if unknownCount < 1000 || readCount < 1000 {
		t.Fatalf("%d open ends, %d looks: the histories show little", unknownCount, readCount)
	}
}

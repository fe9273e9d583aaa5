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
func TestNothingIsPromisedUnknown(t *testing.T) {
	type write struct {
		w    Promises
		cond uint64
	}
	open, seen := 0, 0
	for seed := uint64(1); seed <= 2000; seed++ {
		rng := rand.New(rand.NewPCG(seed, 5))
		var promises Promises // as the service has it
		version, rev := uint64(0), uint64(0)
		var network []write // may be carried out, now or later, and again
		k := NewPromiseTracker(promises, version)
		carry := func(x write) bool {
			if x.cond != version {
				return false
			}
			rev++
			promises, version = x.w, rev
			return true
		}
		for step := 0; step < 60; step++ {
			switch rng.IntN(4) {
			case 0, 1:
				w := Promises{Zones: map[string]ZonePromise{}, Members: map[string]clock.Micros{}}
				for z := 0; z < 3; z++ {
					if rng.IntN(2) == 0 {
						w.Zones[fmt.Sprint(z)] = ZonePromise{At: clock.Micros(step)}
						w.Members[fmt.Sprint(z)] = clock.Micros(step)
					}
				}
				cond, ok := k.Write(w)
				if !ok {
					break
				}
				x := write{w, cond}
				network = append(network, x)
				switch rng.IntN(4) {
				case 0: // the answer, or the request, is lost or late
					if rng.IntN(2) == 0 {
						carry(x)
					}
					k.Open()
					open++
				case 1:
					if cond == version {
						network = network[:len(network)-1]
					}
					k.Refused()
				default:
					if carry(x) {
						k.Committed(version)
					} else {
						k.Refused()
					}
				}
			case 2:
				if len(network) > 0 {
					carry(network[rng.IntN(len(network))])
				}
			case 3:
				k.Seen(promises, version)
				seen++
			}
			for z := 0; z < 3; z++ {
				name := fmt.Sprint(z)
				if _, ok := promises.Zones[name]; ok && !k.Zone(name) || len(promises.Members) > 0 && promises.Members[name] != 0 && !k.Member(name) {
					t.Fatalf("history %d, step %d: promised about %s, and not known", seed, step, name)
				}
			}
		}
	}
	if open < 1000 || seen < 1000 {
		t.Fatalf("%d open ends, %d looks: the histories show little", open, seen)
	}
}

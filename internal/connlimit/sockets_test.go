package connlimit

import (
	"math/rand/v2"
	"testing"
)

// At the limits and the numbers of machines of both fleets, and at half as many
// machines again, every worker and then some users hold a connection whatever
// direct messages want, and direct messages get what is left, down to a few.
func TestWorkersComeFirst(t *testing.T) {
	for _, c := range []struct{ limit, machines, users int }{
		{3172, 1457, 300}, {3172, 2190, 300}, {2215, 1205, 300}, {2215, 1810, 300},
	} {
		b := New(c.limit - 64)
		for i := 0; i < c.machines; i++ {
			b.Out()
			b.Out()
			if !b.In() {
				// What goes out gives way to what comes in.
				b.OutDone()
				if !b.In() {
					t.Fatalf("%+v: worker %d finds no room", c, i)
				}
			}
		}
		for i := 0; i < c.users; i++ {
			if !b.In() {
				b.OutDone()
				if !b.In() {
					t.Fatalf("%+v: user %d finds no room", c, i)
				}
			}
		}
		if in, out := b.Open(); out < 8 || in != c.machines+c.users {
			t.Errorf("%+v: %d in, %d out", c, in, out)
		}
	}
}

func TestNeverMoreThanAllowed(t *testing.T) {
	for seed := uint64(1); seed <= 300; seed++ {
		rng := rand.New(rand.NewPCG(seed, 1))
		most := 1 + rng.IntN(200)
		b := New(most)
		refused := 0
		for i := 0; i < 2000; i++ {
			in, out := b.Open()
			switch rng.IntN(5) {
			case 0, 1:
				if !b.In() {
					refused++
				}
			case 2:
				b.Out()
			case 3:
				if in > 0 {
					b.InDone(1)
				}
			case 4:
				if out > 0 {
					b.OutDone()
				}
			}
			if in, out = b.Open(); in+out > most || in < 0 || out < 0 {
				t.Fatalf("history %d: %d in and %d out of %d", seed, in, out, most)
			}
			if out > b.least && in+out < most-b.spare && !b.In() {
				t.Fatalf("history %d: refused with room left", seed)
			}
		}
		if refused == 0 && most < 20 {
			t.Fatalf("history %d never came to its bound", seed)
		}
	}
}

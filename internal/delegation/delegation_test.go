package delegation

import (
	"math/rand/v2"
	"testing"

	"firwood.dev/firwood/internal/clock"
)

// beat is a message on its way, perhaps for minutes.
type beat struct {
	to            int
	token         uint64 // 0: not from a leader
	stamp, echo   Stamp
	quiet         clock.Micros
	from          int
	arrives, sent clock.Micros
}

type node struct {
	v      *Delegate
	b      *Grants
	token  uint64
	stamps map[int]Stamp
	echoes map[int]Stamp
	offset clock.Micros
	rate   float64 // of its clock
	synced clock.Micros
}

func (n *node) clock(t clock.Micros) clock.Micros {
	return n.offset + clock.Micros(float64(t)*n.rate)
}

// Over generated histories of beats that are lost, late and out of order, of
// lives that end, leaders that change and clocks that drift: nobody answers as delegate
// later than the leader of the day takes for possible, and no right outlives a
// stamp that a leader has echoed by more than its time.
func TestNoDelegateAnswersLaterThanKnown(t *testing.T) {
	delegated, proofs := 0, 0
	for seed := uint64(1); seed <= 1500; seed++ {
		rng := rand.New(rand.NewPCG(seed, 9))
		cfg := Config{For: 20 * clock.Second, Gap: 3 * clock.Second, Settle: 5 * clock.Second}
		names := []string{"a", "b", "c"}
		life := uint64(0)
		nodes := make([]*node, 3)
		now := 1000 * clock.Second
		born := func(i int) {
			life++
			n := &node{stamps: map[int]Stamp{}, echoes: map[int]Stamp{}, offset: -now + clock.Micros(rng.IntN(9000000)), rate: 1 + (rng.Float64()-0.5)*0.001}
			n.v = NewDelegate(cfg, life, n.clock(now))
			nodes[i] = n
		}
		for i := range nodes {
			born(i)
		}
		others := func(i int) []string { return append(append([]string{}, names[:i]...), names[i+1:]...) }
		leader, token := -1, uint64(0)
		var last clock.Micros // the latest answering as delegate of anybody, in true time
		cut := [3]bool{}
		var wire []beat
		for step := 0; step < 400; step++ {
			now += clock.Micros(rng.IntN(900)) * clock.Millisecond
			if rng.IntN(20) == 0 {
				cut[rng.IntN(3)] = rng.IntN(2) == 0
			}
			if rng.IntN(60) == 0 {
				i := rng.IntN(3)
				born(i)
				if leader == i {
					leader = -1
				}
			}
			if rng.IntN(40) == 0 {
				// The lock passes on; a deposed leader may keep a right of its own.
				if leader >= 0 {
					old := nodes[leader]
					old.v.Led(old.token, old.synced)
					old.b, old.token = nil, 0
				}
				leader = rng.IntN(3)
				token++
				n := nodes[leader]
				n.token, n.echoes = token, map[int]Stamp{}
				n.b = NewGrants(cfg, n.clock(now), n.v.QuietFor(n.clock(now)), others(leader))
				n.synced = n.clock(now)
			}
			for i, n := range nodes {
				if n.b != nil && rng.IntN(2) == 0 && !cut[i] {
					n.synced = n.clock(now)
					for k, s := range n.stamps {
						n.echoes[k] = s
						n.b.Echoed(names[k], n.clock(now))
					}
				}
				for k := range nodes {
					if k == i || rng.IntN(2) == 0 {
						continue
					}
					m := beat{to: k, from: i, token: n.token, stamp: n.v.Stamp(n.clock(now)), quiet: n.v.QuietFor(n.clock(now)), sent: now, arrives: now + clock.Micros(rng.IntN(20))*clock.Millisecond}
					m.echo = n.stamps[k]
					if n.b != nil {
						m.echo = n.echoes[k]
					}
					if cut[i] || cut[k] {
						if rng.IntN(2) == 0 {
							continue
						}
						m.arrives += clock.Micros(rng.IntN(120)) * clock.Second
					}
					wire = append(wire, m)
				}
			}
			kept := wire[:0]
			for _, m := range wire {
				if m.arrives > now {
					kept = append(kept, m)
					continue
				}
				n := nodes[m.to]
				if s := n.stamps[m.from]; m.stamp.Life > s.Life || m.stamp.Life == s.Life && m.stamp.At > s.At {
					n.stamps[m.from] = m.stamp
				}
				if m.token != 0 && n.b == nil {
					n.v.Hear(n.clock(now), m.token, m.echo)
				}
				if n.b != nil && n.v.Mine(m.echo) {
					n.b.Answered(names[m.from], n.clock(now), m.echo.At, m.quiet)
				}
			}
			wire = kept
			for i, n := range nodes {
				if n.b != nil || rng.IntN(2) == 0 {
					continue
				}
				if _, until, ok := n.v.May(n.clock(now), token); ok {
					n.v.Answered(min(until, n.clock(now)))
					last = now
					delegated++
				}
				_ = i
			}
			if leader >= 0 {
				n := nodes[leader]
				if known := n.b.Latest(n.clock(now)); known < n.clock(last) && last != 0 {
					t.Fatalf("history %d, step %d: answered as delegate at %d, the leader takes %d for the latest", seed, step, n.clock(last), known)
				}
				if n.b.Latest(n.clock(now)) < n.clock(now)-10*clock.Second {
					proofs++
				}
			}
		}
	}
	if delegated < 1000 || proofs < 1000 {
		t.Fatalf("%d answers, %d proofs: the histories show little", delegated, proofs)
	}
}

// A right lasts from the follower's own stamp on, not from the beat that brings
// it, and it is used only when the leader is not heard.
func TestRight(t *testing.T) {
	cfg := Times(66*clock.Second, 36*clock.Second, 3*clock.Second, 18*clock.Second)
	if cfg.For+cfg.Settle+36*clock.Second >= 66*clock.Second || cfg.For < 20*clock.Second {
		t.Fatalf("%+v", cfg)
	}
	if c := Times(30*clock.Second, 28*clock.Second, 3*clock.Second, 9*clock.Second); c.For != 0 {
		t.Fatalf("a right where a cancellation leaves no time: %+v", c)
	}
	if c := Times(44*clock.Second, 14*clock.Second, 3*clock.Second, 13*clock.Second); c.For != 0 {
		t.Fatalf("a right where no worker is back in time: %+v", c)
	}
	v := NewDelegate(cfg, 1, clock.Second)
	s := v.Stamp(10 * clock.Second)
	v.Hear(25*clock.Second, 5, s) // fifteen seconds late
	if _, _, ok := v.May(26*clock.Second, 5); ok {
		t.Fatal("answers as delegate while the leader is heard")
	}
	if _, until, ok := v.May(29*clock.Second, 5); !ok || until != s.At+cfg.For {
		t.Fatalf("until %v, %v", until, ok)
	}
	if _, _, ok := v.May(29*clock.Second, 6); ok {
		t.Fatal("answers as delegate for a worker that has seen a newer leader")
	}
	v.Hear(30*clock.Second, 6, Stamp{})
	if token, until, ok := v.May(34*clock.Second, 5); !ok || token != 6 || until != s.At+cfg.For {
		t.Fatalf("under the new leader: token %d until %v, %v", token, until, ok)
	}
	if v.Hear(35*clock.Second, 5, v.Stamp(35*clock.Second)); v.until != s.At+cfg.For {
		t.Fatal("a deposed leader extends a right")
	}
	w := NewDelegate(cfg, 2, clock.Second)
	w.Hear(20*clock.Second, 5, s)
	if _, _, ok := w.May(24*clock.Second, 5); ok {
		t.Fatal("a stamp of an earlier life gives a right")
	}
}

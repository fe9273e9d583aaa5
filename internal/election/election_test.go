package election

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"firwood.dev/firwood/internal/clock"
)

// The test plays members with drifting clocks against a state service as the
// protocol describes it. Calls and answers take time, are lost, or come late;
// members pause, die and come back; the service has outages for all or for
// one. At no true instant may two members be entitled.

const testTTL = 6 * clock.Second

type lease struct{ ends clock.Micros }

type service struct {
	now    clock.Micros
	leases map[uint64]*lease
	next   uint64
	rev    uint64
	lock   Lock
	down   bool
	refuse map[int]bool
}

func (s *service) expire() {
	for id, l := range s.leases {
		if s.now >= l.ends {
			delete(s.leases, id)
			if s.lock.Exists && s.lock.Lease == id {
				s.rev++
				s.lock = Lock{}
			}
		}
	}
}

type member struct {
	name   string
	rate   float64 // of its clock
	m      *Machine
	paused clock.Micros
	dead   clock.Micros
	life   int
	seen   uint64
}

func (k *member) clock(now clock.Micros) clock.Micros { return clock.Micros(float64(now) * k.rate) }

type event struct {
	at clock.Micros
	f  func()
}

type play struct {
	rng     *rand.Rand
	s       *service
	members []*member
	events  []event
}

func (p *play) later(most clock.Micros, f func()) {
	p.events = append(p.events, event{p.s.now + clock.Micros(p.rng.Int64N(int64(most))), f})
}

// call carries a request to the service and its answer back; either may be
// lost or late.
func (p *play) call(i int, serve func() func()) {
	k := p.members[i]
	life := k.life
	delay := 40 * clock.Millisecond
	if p.rng.IntN(6) == 0 {
		delay = 4 * clock.Second
	}
	lost := p.rng.IntN(15) == 0
	p.later(delay, func() {
		var answer func()
		if !p.s.down && !p.s.refuse[i] {
			answer = serve()
		}
		p.later(delay, func() {
			if k.life == life && k.dead == 0 && !lost && answer != nil {
				answer()
			}
		})
	})
	// The client's own time limit: by then an answer that is missing counts
	// as none.
}

func (p *play) act(i int, actions []Action) {
	k, s := p.members[i], p.s
	now := func() clock.Micros { return k.clock(s.now) }
	life := k.life
	alive := func() bool { return k.life == life && k.dead == 0 }
	timeout := func(answered *bool, f func()) {
		p.events = append(p.events, event{s.now + 3*clock.Second, func() {
			if alive() && !*answered {
				*answered = true
				f()
			}
		}})
	}
	for _, a := range actions {
		a := a
		done := new(bool)
		once := func(f func()) func() {
			return func() {
				if !*done {
					*done = true
					f()
				}
			}
		}
		switch a.Kind {
		case Grant:
			p.call(i, func() func() {
				s.next++
				id := s.next
				s.leases[id] = &lease{s.now + testTTL}
				return once(func() { p.act(i, k.m.Granted(now(), id)) })
			})
			timeout(done, func() { p.act(i, k.m.Granted(now(), 0)) })
		case Acquire:
			p.call(i, func() func() {
				if s.lock.Exists || s.leases[a.Lease] == nil {
					return once(func() { p.act(i, k.m.Acquired(now(), Lost, 0)) })
				}
				s.rev++
				s.lock = Lock{Exists: true, Holder: k.name, Lease: a.Lease, Version: s.rev}
				v := s.rev
				return once(func() { p.act(i, k.m.Acquired(now(), Won, v)) })
			})
			timeout(done, func() { p.act(i, k.m.Acquired(now(), Open, 0)) })
		case Renew:
			p.call(i, func() func() {
				l := s.leases[a.Lease]
				if l != nil {
					l.ends = s.now + testTTL
				}
				return once(func() { p.act(i, k.m.Renewed(now(), a.Lease, l != nil, l == nil)) })
			})
			timeout(done, func() { p.act(i, k.m.Renewed(now(), a.Lease, false, false)) })
		case Revoke:
			p.call(i, func() func() {
				if l := s.leases[a.Lease]; l != nil {
					l.ends = s.now
					s.expire()
				}
				return func() {}
			})
		case Refresh:
			p.look(i)
		}
	}
}

func (p *play) look(i int) {
	k, s := p.members[i], p.s
	p.call(i, func() func() {
		l, rev := s.lock, s.rev
		return func() {
			if rev < k.seen || k.m.Phase() == Leader && rev < k.m.Token() {
				return
			}
			k.seen = rev
			p.act(i, k.m.Seen(k.clock(s.now), l))
		}
	})
}

func TestNeverTwoEntitled(t *testing.T) {
	led := 0
	for seed := uint64(1); seed <= 80; seed++ {
		p := &play{rng: rand.New(rand.NewPCG(seed, 2)), s: &service{now: clock.Second, leases: map[uint64]*lease{}, refuse: map[int]bool{}}}
		for i := 0; i < 3; i++ {
			p.members = append(p.members, &member{name: fmt.Sprint("m", i), rate: 1 + (p.rng.Float64()-0.5)*0.001,
				m: New(Config{Member: fmt.Sprint("m", i), TTL: testTTL, Slack: 50 * clock.Millisecond})})
		}
		held := [3]bool{}
		for p.s.now < 240*clock.Second {
			p.s.now += 10 * clock.Millisecond
			p.s.expire()
			due := p.events
			p.events = nil
			for _, e := range due {
				if e.at <= p.s.now {
					e.f()
				} else {
					p.events = append(p.events, e)
				}
			}
			switch p.rng.IntN(3000) {
			case 0:
				p.s.down = true
			case 1, 2, 3, 4:
				if p.s.down {
					p.s.down = false
					for _, l := range p.s.leases {
						l.ends = p.s.now + testTTL // whole again after an outage
					}
				}
			case 5:
				p.s.refuse[p.rng.IntN(3)] = true
			case 6, 7:
				clear(p.s.refuse)
			case 8:
				p.members[p.rng.IntN(3)].paused = p.s.now + clock.Micros(p.rng.Int64N(int64(12*clock.Second)))
			case 9, 10:
				if k := p.members[p.rng.IntN(3)]; k.dead == 0 {
					k.dead = p.s.now + clock.Micros(p.rng.Int64N(int64(4*clock.Second))) + 1
				}
			}
			entitled := 0
			for i, k := range p.members {
				if k.dead != 0 {
					if p.s.now >= k.dead {
						k.dead, k.life, k.seen = 0, k.life+1, 0
						k.m = New(Config{Member: k.name, TTL: testTTL, Slack: 50 * clock.Millisecond})
					}
					continue
				}
				if p.s.down {
					// Nothing ends in an outage.
					for _, l := range p.s.leases {
						l.ends = max(l.ends, p.s.now+clock.Second)
					}
				}
				if p.s.now >= k.paused {
					if p.rng.IntN(30) == 0 {
						p.look(i)
					}
					p.act(i, k.m.Tick(k.clock(p.s.now)))
				}
				if k.m.Entitled(k.clock(p.s.now)) {
					entitled++
					if !held[i] {
						led++
					}
					held[i] = true
				} else {
					held[i] = false
				}
			}
			if entitled > 1 {
				t.Fatalf("play %d at %d: %d entitled at once", seed, p.s.now, entitled)
			}
		}
	}
	if led < 80 {
		t.Fatalf("only %d reigns in 80 plays", led)
	}
}

// A member that comes back ends the lease of its earlier life at once: nobody
// has to wait for the lock's time.
func TestEarlierLifeIsBuried(t *testing.T) {
	m := New(Config{Member: "a", TTL: testTTL})
	acts := m.Seen(1, Lock{Exists: true, Holder: "a", Lease: 9, Version: 4})
	if len(acts) == 0 || acts[0] != (Action{Kind: Revoke, Lease: 9}) {
		t.Fatalf("%v", acts)
	}
	if acts := m.Seen(2, Lock{Exists: true, Holder: "b", Lease: 10, Version: 5}); len(acts) != 0 {
		t.Fatalf("another's lock is touched: %v", acts)
	}
}

// The answer to the winning transaction was lost; the lock itself shows it.
func TestLostAnswerToAcquire(t *testing.T) {
	m := New(Config{Member: "a", TTL: testTTL})
	m.Seen(1, Lock{})
	m.Tick(2)
	if acts := m.Granted(3, 5); len(acts) != 1 || acts[0].Kind != Acquire {
		t.Fatalf("%v", acts)
	}
	m.Acquired(4, Open, 0)
	m.Seen(5, Lock{Exists: true, Holder: "a", Lease: 5, Version: 77})
	if m.Token() != 77 || !m.Entitled(6) {
		t.Fatalf("token %d", m.Token())
	}
	// The entitlement runs from the send time of the grant, not from now.
	if m.Entitled(2 + testTTL - testTTL/1000) {
		t.Fatal("entitled past the lease")
	}
}

// A lock that vanishes is stood for at once, however it was seen before.
func TestFreeLockIsStoodForAtOnce(t *testing.T) {
	m := New(Config{Member: "a", TTL: testTTL})
	held := Lock{Exists: true, Holder: "b", Lease: 1, Version: 1}
	m.Seen(1, held)
	m.Tick(2)
	m.Seen(3, Lock{})
	if acts := m.Tick(3); len(acts) != 1 || acts[0].Kind != Grant {
		t.Fatalf("%v", acts)
	}
}

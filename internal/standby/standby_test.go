package standby

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"

	"firwood.dev/firwood/internal/clock"
)

var (
	histories = flag.Int("histories", 300, "generated histories to play")
	firstSeed = flag.Uint64("first-seed", 1, "seed of the first generated history")
)

// world is a generated course of leaders, followers and a network that loses, repeats,
// delays and reorders, with a state service that carries writes out late.
type world struct {
	t    *testing.T
	rng  *rand.Rand
	now  clock.Micros
	lock uint64 // the token of the lock, and so of the last leader

	record  Record
	version uint64

	names    []string
	lives    uint64
	replicas map[string]*Replica
	leader   string // none if empty
	pub      *Publisher
	members  *Membership

	running map[Placement]bool // sent by some leader, and not over
	pending map[uint64]Placement
	next    int

	messages []delivery
	answers  []answer
	writes   []write
	trusted  int
	sent     int
}

type delivery struct {
	to string
	m  *Message
}

type answer struct {
	from string
	to   *Publisher
	at   Position
}

type write struct {
	record  Record
	token   uint64
	version uint64
}

func newWorld(t *testing.T, seed uint64) *world {
	w := &world{
		t: t, rng: rand.New(rand.NewPCG(seed, 5)), names: []string{"a", "b", "c"},
		replicas: map[string]*Replica{}, running: map[Placement]bool{},
	}
	for _, name := range w.names {
		w.restart(name)
	}
	return w
}

func (w *world) restart(name string) {
	w.lives++
	w.replicas[name] = NewReplica(w.lives)
	if w.leader == name {
		w.leader = ""
	}
}

// successor is who leads next: often one that may trust its replica.
func (w *world) successor() string {
	start := w.rng.IntN(len(w.names))
	if w.rng.IntN(2) == 0 {
		for i := range w.names {
			name := w.names[(start+i)%len(w.names)]
			if _, ok := w.replicas[name].Trusted(w.record, w.lock, name); ok {
				return name
			}
		}
	}
	return w.names[start]
}

// lead has a member win the lock, and begin with what it may conclude.
func (w *world) lead(name string) {
	account, ok := w.replicas[name].Trusted(w.record, w.lock, name)
	var found []Placement
	if ok {
		w.trusted++
		account.places.Scan(func(p Placement) bool { found = append(found, p); return true })
	} else {
		for p := range w.running { // from the workers' reports, in time
			found = append(found, p)
		}
	}
	w.lock += 1 + uint64(w.rng.IntN(3))
	w.leader = name
	var others []string
	for _, other := range w.names {
		if other != name {
			others = append(others, other)
		}
	}
	w.pub = NewPublisher(w.lock, found, others)
	w.members = NewMembership(w.pub, w.record, w.version, others)
	w.pending = map[uint64]Placement{}
}

func (w *world) decide() {
	if w.rng.IntN(3) == 0 && len(w.running) > 0 {
		for p := range w.running {
			delete(w.running, p)
			w.pub.Decide(Decision{Over, p})
			return
		}
	}
	w.next++
	p := Placement{Task: fmt.Sprint("t", w.rng.IntN(40)), Attempt: uint64(w.next), Machine: fmt.Sprint("m", w.rng.IntN(9))}
	w.pending[w.pub.Decide(Decision{Started, p})] = p
}

// send sends the starts that may be sent.
func (w *world) send() {
	for sequence, p := range w.pending {
		if w.members.MaySend(sequence) {
			delete(w.pending, sequence)
			w.running[p] = true
			w.sent++
		}
	}
}

// carry carries a write out, if its conditions hold.
func (w *world) carry(x write) bool {
	if x.token != w.lock || x.version != w.version {
		return false
	}
	w.version++
	w.record = x.record
	return true
}

func (w *world) writeRecord() {
	record, version, ok := w.members.Change(w.now)
	if !ok {
		return
	}
	x := write{record, w.pub.token, version}
	switch w.rng.IntN(4) {
	case 0: // no answer, and carried out late if at all
		w.writes = append(w.writes, x)
		w.members.Unknown()
	case 1: // carried out, no answer
		w.carry(x)
		w.members.Unknown()
	default:
		if w.carry(x) {
			w.members.Committed(w.version)
		} else {
			w.members.Refused()
		}
	}
}

func (w *world) step() {
	w.now += clock.Micros(w.rng.IntN(150)) * clock.Millisecond
	switch w.rng.IntN(12) {
	case 0, 1, 2:
		if w.leader != "" {
			w.decide()
		}
	case 3, 4:
		if w.leader != "" {
			for name := range w.pub.followers {
				if m, ok := w.pub.Next(name, w.now); ok {
					w.messages = append(w.messages, delivery{name, m})
				}
			}
		}
	case 5, 6, 7:
		w.deliver()
	case 8:
		if w.leader != "" {
			w.writeRecord()
		}
	case 9:
		if w.leader != "" && w.rng.IntN(2) == 0 {
			w.members.Seen(w.record, w.version)
		}
		if len(w.writes) > 0 && w.rng.IntN(2) == 0 {
			w.carry(w.writes[w.rng.IntN(len(w.writes))])
		}
	case 10:
		if w.rng.IntN(6) == 0 {
			w.restart(w.names[w.rng.IntN(len(w.names))])
		}
	case 11:
		if w.leader == "" || w.rng.IntN(12) == 0 {
			w.lead(w.successor())
		}
	}
	if w.leader != "" {
		w.send()
	}
	switch w.rng.IntN(100) {
	case 0:
		w.leadAsBefore()
	case 1:
		// Something is wrong with a replica, which its digest will tell.
		r := w.replicas[w.names[w.rng.IntN(len(w.names))]]
		r.account.add(Placement{Task: "none", Attempt: uint64(w.rng.IntN(1000)), Machine: "none"})
	}
	w.check()
}

// leadAsBefore has a controller of a version without replicas lead for a moment: it
// starts what it likes, tells nobody, and leaves the record as it is.
func (w *world) leadAsBefore() {
	w.lock += 1 + uint64(w.rng.IntN(3))
	w.leader = ""
	for range w.rng.IntN(4) {
		w.next++
		w.running[Placement{Task: fmt.Sprint("t", w.rng.IntN(40)), Attempt: uint64(w.next), Machine: "m"}] = true
	}
}

// deliver takes some message and some answer out of the network, or copies of them.
func (w *world) deliver() {
	if n := len(w.messages); n > 0 {
		i := w.rng.IntN(n)
		d := w.messages[i]
		isLost, isRepeated := w.rng.IntN(8) == 0, w.rng.IntN(5) == 0
		if !isLost && d.to != w.leader {
			w.answers = append(w.answers, answer{d.to, w.pub, w.replicas[d.to].Take(d.m)})
		}
		if !isRepeated {
			w.messages = append(w.messages[:i], w.messages[i+1:]...)
		}
	}
	if n := len(w.answers); n > 0 {
		i := w.rng.IntN(n)
		a := w.answers[i]
		if w.rng.IntN(8) > 0 && w.leader != "" && a.to == w.pub {
			w.pub.Answered(a.from, a.at)
		}
		if w.rng.IntN(5) > 0 {
			w.answers = append(w.answers[:i], w.answers[i+1:]...)
		}
	}
}

// check holds whoever might win the lock now to what must hold.
func (w *world) check() {
	for _, name := range w.names {
		account, ok := w.replicas[name].Trusted(w.record, w.lock, name)
		if !ok {
			continue
		}
		for p := range w.running {
			if !account.MayRun(p.Task) {
				w.t.Fatalf("%s would start %s, which is on %s", name, p.Task, p.Machine)
			}
		}
	}
	if w.leader != "" && len(w.pub.log) > logLength {
		w.t.Fatalf("%d decisions are kept", len(w.pub.log))
	}
}

// Over generated histories of lost, repeated, late and reordered messages, answers and
// writes, restarts and changes of the lead, nobody who may trust its replica lacks a
// start that was sent; once the network is good again, all come into step.
func TestNobodyInStepLacksAStart(t *testing.T) {
	trusted, sent := 0, 0
	for i := range *histories {
		seed := *firstSeed + uint64(i)
		w := newWorld(t, seed)
		for range 600 {
			w.step()
		}
		trusted, sent = trusted+w.trusted, sent+w.sent
		w.heal()
	}
	if trusted < *histories/10 || sent < 10**histories {
		t.Errorf("%d take-overs with a trusted replica, %d starts: the histories show little", trusted, sent)
	}
	t.Logf("%d take-overs with a trusted replica, %d starts sent", trusted, sent)
}

// heal ends the troubles and waits until all are in step.
func (w *world) heal() {
	if w.leader == "" {
		w.lead("a")
	}
	w.messages, w.answers = nil, nil
	for range 200 {
		w.now += 50 * clock.Millisecond
		for name := range w.pub.followers {
			if m, ok := w.pub.Next(name, w.now); ok {
				w.pub.Answered(name, w.replicas[name].Take(m))
			}
		}
		if record, version, ok := w.members.Change(w.now); ok {
			if w.carry(write{record, w.pub.token, version}) {
				w.members.Committed(w.version)
			} else {
				w.members.Refused()
				w.members.Seen(w.record, w.version)
			}
		}
		w.send()
		w.check()
	}
	if len(w.pending) > 0 || len(w.record.Members) != 2 {
		w.t.Fatalf("%d starts wait, %v are in step", len(w.pending), w.record.Members)
	}
	for name := range w.pub.followers {
		if r := w.replicas[name]; r.account.Digest() != w.pub.account.Digest() || r.account.Len() != w.pub.account.Len() {
			w.t.Fatalf("%s differs", name)
		}
	}
}

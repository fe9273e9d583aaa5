// Package delegation lets a controller that is cut off together with workers keep
// their leases alive for a bounded while, in the name of a leader that neither
// it nor they can reach. It is pure: time and beats come in, rights go out.
//
// What must hold: a leader that takes a machine's lease for over is right about
// it. A follower's right runs from a stamp of its own clock that a leader has
// echoed, so a beat that comes late extends nothing. The leader knows when it
// echoed what, and a new leader knows that no right of an earlier one ends later
// than its own beginning plus the time of a right.
//
// A right gives no commands and starts nothing. It also ends early enough for
// withdrawals: see Config.
package delegation

import (
	"slices"

	"firwood.dev/firwood/internal/clock"
)

// Config holds the times.
type Config struct {
	// For is how long a right lasts from its stamp on; 0: there are none.
	For clock.Micros
	// Gap is how long a follower has not heard the leader before it answers as delegate.
	Gap clock.Micros
	// Settle is how long after a withdrawal the job's tasks may still be about
	// while the leader echoes stamps. What is told at a stamp plus For may live
	// for a lease more: Settle, For and the lease together are less than what a
	// cancellation has.
	Settle clock.Micros
}

// Times works out the times from those of the workers; trip is how long a worker
// that is sent on to a leader out of reach takes to come back. It has to be back
// well before its lease ends, or rights would only put off the proof that it has.
func Times(cancel, lease, gap, trip clock.Micros) Config {
	// Short, as each second of it is one less of a right: tasks of a withdrawn job
	// are gone within a fraction of a second, unless their machine is not reached.
	c := Config{Gap: gap, Settle: (cancel - lease) / 30}
	c.For = cancel - lease - c.Settle - slack(cancel) - clock.Second
	if c.For <= gap || lease < trip+trip/2 {
		c.For = 0 // too short to be of use
	}
	return c
}

// slack covers the drift of two clocks over a time.
func slack(d clock.Micros) clock.Micros { return d / 500 }

// Stamp is an instant of a member's steady clock, in one of its lives.
type Stamp struct {
	Life uint64
	At   clock.Micros
}

// Delegate is a follower's side.
type Delegate struct {
	cfg   Config
	life  uint64
	born  clock.Micros
	token uint64
	until clock.Micros
	heard clock.Micros
	last  clock.Micros // when it last answered as delegate
}

// NewDelegate makes a member's side; life has to differ from that of any other
// life of the member.
func NewDelegate(cfg Config, life uint64, now clock.Micros) *Delegate {
	return &Delegate{cfg: cfg, life: life, born: now}
}

// Stamp is what the member sends to be echoed.
func (v *Delegate) Stamp(now clock.Micros) Stamp { return Stamp{v.life, now} }

// Mine tells whether a stamp is of this life.
func (v *Delegate) Mine(s Stamp) bool { return s.Life == v.life && s.At > 0 }

// Hear takes a beat of a leader, with the member's own stamp that it echoes.
func (v *Delegate) Hear(now clock.Micros, token uint64, echo Stamp) {
	if token < v.token {
		return
	}
	// A right outlives the leader that gave it: the new one counts with that,
	// and it is used under the new one's token.
	v.token = token
	v.heard = now
	if v.Mine(echo) && echo.At <= now && v.cfg.For > 0 {
		v.until = max(v.until, echo.At+v.cfg.For)
	}
}

// Led is told by a leader whose entitlement is over, if only for now: it knew
// all that was withdrawn before `from`, when it was still entitled.
func (v *Delegate) Led(token uint64, from clock.Micros) {
	if token < v.token || v.cfg.For == 0 || from == 0 {
		return
	}
	v.token, v.heard, v.until = token, 0, max(v.until, from+v.cfg.For)
}

// May tells whether the member may answer a worker that has seen a token, under
// which token, and until when.
func (v *Delegate) May(now clock.Micros, seen uint64) (token uint64, until clock.Micros, ok bool) {
	if v.token == 0 || seen > v.token || now >= v.until || now-v.heard < v.cfg.Gap {
		return 0, 0, false
	}
	return v.token, v.until, true
}

// Answered notes an answer that may go out until then.
func (v *Delegate) Answered(until clock.Micros) { v.last = max(v.last, until) }

// QuietFor is for how long the member has certainly not answered as delegate, earlier lives
// left out, and how long this life is at most.
func (v *Delegate) QuietFor(now clock.Micros) clock.Micros {
	if v.last == 0 {
		return now - v.born
	}
	return max(now-v.last, 0)
}

// Grants is a leader's side: until when others may have renewed leases as delegates.
type Grants struct {
	cfg     Config
	since   clock.Micros
	own     clock.Micros // it may have renewed leases as delegates itself until then, in an earlier life
	members map[string]*member
}

type member struct {
	right clock.Micros // the end of its right
	sure  clock.Micros // the latest own stamp that it is known to have received
	quiet clock.Micros // nothing was answered as delegate between this and sure
}

// NewGrants makes the side of a leader that begins now and has not answered as delegate itself
// for so long. Rights that earlier leaders gave, or keep for themselves, began
// before that.
func NewGrants(cfg Config, now, quietFor clock.Micros, others []string) *Grants {
	b := &Grants{cfg: cfg, since: now, own: now - quietFor, members: map[string]*member{}}
	for _, m := range others {
		b.members[m] = &member{right: b.end(now)}
	}
	return b
}

func (b *Grants) end(from clock.Micros) clock.Micros {
	if b.cfg.For == 0 {
		return 0
	}
	return from + b.cfg.For + slack(b.cfg.For)
}

// Known takes an earlier leader's promises that a member's last right ends no later,
// which no leader has taken back since.
func (b *Grants) Known(name string, end clock.Micros) {
	if m := b.members[name]; m != nil {
		m.right = min(m.right, end)
	}
}

// Right is the end of the last right that a member may have.
func (b *Grants) Right(name string) clock.Micros {
	if m := b.members[name]; m != nil {
		return m.right
	}
	return 0
}

// Echoed notes that a stamp of a member, which came before `at`, is echoed from
// now on.
func (b *Grants) Echoed(name string, at clock.Micros) {
	if m := b.members[name]; m != nil {
		m.right = max(m.right, b.end(at))
	}
}

// Answered takes a member's promises that it has received the beat of this leader
// stamped so, and for how long it had not answered as delegate when it said that.
func (b *Grants) Answered(name string, now, stamp, quietFor clock.Micros) {
	m := b.members[name]
	if m == nil || stamp < b.since || stamp > now || quietFor < 0 {
		return
	}
	if stamp >= m.sure {
		m.sure = stamp
		m.quiet = max(m.quiet, now-quietFor+slack(quietFor))
	}
}

// Latest is the last instant at which another member, or this one in an earlier
// life, may have renewed leases as delegates for a worker, as far as can be known now.
func (b *Grants) Latest(now clock.Micros) clock.Micros { return b.LatestBut(now, "", nil) }

// LatestBut is the same for a zone in which some members renew no leases as delegates; self
// is this member's name.
func (b *Grants) LatestBut(now clock.Micros, self string, but []string) clock.Micros {
	var latest clock.Micros
	if !slices.Contains(but, self) {
		latest = b.own
	}
	for name, m := range b.members {
		if slices.Contains(but, name) {
			continue
		}
		latest = max(latest, m.quiet)
		// It has heard this leader after `sure`, and answers nobody as delegate for a
		// while after that.
		if m.sure == 0 || now >= m.sure+b.cfg.Gap-slack(b.cfg.Gap) {
			latest = max(latest, m.right)
		}
	}
	return latest
}

// Own is until when this member may have renewed leases as delegates itself before it led.
func (b *Grants) Own() clock.Micros { return b.own }

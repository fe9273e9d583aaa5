package standby

import (
	"github.com/tidwall/btree"

	"firwood.dev/firwood/internal/clock"
)

const (
	// logLength is how many decisions are kept for followers that lag; one that lags by
	// more takes a snapshot.
	logLength = 16 * MaxDecisions
	// resendAfter is how long the answer to a message is waited for.
	resendAfter = 200 * clock.Millisecond
	// checkEvery is how often a follower with nothing to take is sent the digest.
	checkEvery = 5 * clock.Second
)

// Publisher is the leader's side. It holds a bounded log and sends each follower one
// message at a time, so a slow one costs neither time nor memory.
type Publisher struct {
	token    uint64
	account  *Account
	sequence uint64
	log      []Decision // the last ones, up to sequence
	// lastDoubt is the number of the last decision about a doubt.
	lastDoubt uint64

	followers map[string]*follower
}

// follower is what the leader knows of a member.
type follower struct {
	position Position
	isHeard  bool

	lacksSince clock.Micros // something; 0: it has all
	isAwaited  bool         // a message is under way
	sentAt     clock.Micros
	checkedAt  clock.Micros
	snapshot   *snapshot
}

// snapshot is one that a follower is taking.
type snapshot struct {
	sequence uint64
	digest   uint64
	places   *btree.BTreeG[Placement]
	of       int
	next     Placement // the first one of the part after the last one taken
	parts    int       // how many parts have been taken
}

// NewPublisher makes the side of a leader whose account begins with some placements:
// those that it has found, or has reason to reckon with.
func NewPublisher(token uint64, found []Placement, members []string) *Publisher {
	p := &Publisher{token: token, account: NewAccount(), followers: map[string]*follower{}}
	for _, placement := range found {
		p.account.add(placement)
	}
	for _, name := range members {
		p.followers[name] = &follower{}
	}
	return p
}

// Decide takes a decision and tells its number. A start must not be sent before
// Membership.MaySend allows that number.
func (p *Publisher) Decide(d Decision) uint64 {
	p.account.Apply(d)
	p.sequence++
	if len(p.log) == logLength {
		p.log = append(p.log[:0], p.log[logLength/2:]...)
	}
	p.log = append(p.log, d)
	if d.Placement.IsDoubt() {
		p.lastDoubt = p.sequence
	}
	return p.sequence
}

// Sequence is the number of the last decision.
func (p *Publisher) Sequence() uint64 { return p.sequence }

// Account is the leader's own account.
func (p *Publisher) Account() *Account { return p.account }

// Answered takes a follower's position. An answer under another token, or to a leader's
// message of another life of the follower, tells only that all has to be sent.
func (p *Publisher) Answered(name string, at Position) {
	f := p.followers[name]
	if f == nil || at.Token > p.token {
		return
	}
	if at.Token != p.token {
		at = Position{Life: at.Life}
	}
	if f.isHeard && at.Life == f.position.Life && at.IsComplete && f.position.IsComplete && at.Sequence < f.position.Sequence {
		return // an older answer
	}
	if at.Life != f.position.Life {
		f.snapshot = nil
	}
	f.position, f.isHeard, f.isAwaited = at, true, false
}

// Next is the next message to a follower, if one is due.
func (p *Publisher) Next(name string, now clock.Micros) (*Message, bool) {
	f := p.followers[name]
	if f != nil {
		p.timeLag(f, now)
	}
	if f == nil || f.isAwaited && now-f.sentAt < resendAfter {
		return nil, false
	}
	m := p.next(f, now)
	if m == nil {
		return nil, false
	}
	f.isAwaited, f.sentAt = true, now
	return m, true
}

func (p *Publisher) next(f *follower, now clock.Micros) *Message {
	m := &Message{Token: p.token, Check: &Check{p.sequence, p.account.Digest()}}
	first := p.sequence - uint64(len(p.log)) // the number before the first one kept
	switch {
	case !p.mayFollow(f):
		return p.greeting(f, now)
	case !f.position.IsComplete || f.position.Sequence < max(first, p.leastFor(f)):
		m.Part = p.part(f)
		m.Check = nil
	case f.position.Sequence < p.sequence:
		f.snapshot = nil
		m.After = f.position.Sequence
		rest := p.log[m.After-first:]
		m.Decisions = append(m.Decisions, rest[:min(len(rest), MaxDecisions)]...)
		if len(m.Decisions) < len(rest) {
			m.Check = nil
		}
	case now-f.checkedAt < checkEvery:
		return nil
	default:
		f.checkedAt = now
	}
	return m
}

// mayFollow tells whether the follower can take the account as it is. One of the first
// version cannot as long as there are doubts, and neither may one whose version is not
// known yet.
func (p *Publisher) mayFollow(f *follower) bool {
	return p.account.Doubts() == 0 || f.isHeard && f.position.Version >= firstWithDoubts
}

// leastFor is the decision that a follower has to be past to be told the ones after it;
// else it takes a snapshot.
func (p *Publisher) leastFor(f *follower) uint64 {
	if f.position.Version >= firstWithDoubts {
		return 0
	}
	return p.lastDoubt
}

// greeting is a message that says only who leads. Its answer tells the follower's version.
func (p *Publisher) greeting(f *follower, now clock.Micros) *Message {
	if f.isHeard && now-f.checkedAt < checkEvery {
		return nil
	}
	f.checkedAt = now
	return &Message{Token: p.token}
}

// part is the part of a snapshot that a follower takes next. One that has fallen behind
// the log while it took a snapshot begins with another.
func (p *Publisher) part(f *follower) *Part {
	s := f.snapshot
	first := p.sequence - uint64(len(p.log))
	isTaking := s != nil && s.sequence >= first && f.position.Building == s.sequence
	switch {
	case isTaking && f.position.Parts == s.parts+1:
		s.advance()
	case isTaking && f.position.Parts == s.parts:
		// The last message, or its answer, was lost.
	case s != nil && s.sequence >= first && s.parts == 0 && f.position.Parts == 0:
		// Nothing of it has come yet.
	default:
		s = p.newSnapshot()
		f.snapshot = s
	}
	placements := s.page()
	return &Part{Sequence: s.sequence, Number: s.parts, Of: s.of, Placements: placements, Digest: s.digest}
}

func (p *Publisher) newSnapshot() *snapshot {
	places := p.account.snapshot()
	return &snapshot{
		sequence: p.sequence, digest: p.account.Digest(), places: places,
		of: max((places.Len()+MaxPlacements-1)/MaxPlacements, 1),
	}
}

// page is the part after those that have been taken.
func (s *snapshot) page() []Placement {
	var page []Placement
	s.places.Ascend(s.next, func(p Placement) bool {
		page = append(page, p)
		return len(page) < MaxPlacements
	})
	return page
}

// advance goes on to the next part.
func (s *snapshot) advance() {
	taken := 0
	s.places.Ascend(s.next, func(p Placement) bool {
		s.next = p
		taken++
		return taken <= MaxPlacements
	})
	s.parts++
}

// Has tells whether a member's replica, in one of its lives, has a decision. One of the
// first version has none as long as there are doubts: it may have been given a snapshot that
// was sent to an earlier life, of a later version.
func (p *Publisher) Has(m Member, sequence uint64) bool {
	f := p.followers[m.Name]
	if f == nil || !p.mayFollow(f) {
		return false
	}
	return f.isHeard && f.position.Life == m.Life && f.position.IsComplete && f.position.Sequence >= sequence
}

// Lag is how many decisions a member's replica lacks; all of them if it is not complete.
func (p *Publisher) Lag(name string) uint64 {
	f := p.followers[name]
	if f == nil || !f.position.IsComplete {
		return p.sequence + 1
	}
	return p.sequence - f.position.Sequence
}

func (p *Publisher) timeLag(f *follower, now clock.Micros) {
	switch {
	case f.position.IsComplete && f.position.Sequence == p.sequence:
		f.lacksSince = 0
	case f.lacksSince == 0:
		f.lacksSince = now
	}
}

// LagTime is for how long a member's replica has lacked something.
func (p *Publisher) LagTime(name string, now clock.Micros) clock.Micros {
	if f := p.followers[name]; f != nil && f.lacksSince != 0 {
		return now - f.lacksSince
	}
	return 0
}

// life is the life in which a member was last heard, 0 if it was not.
func (p *Publisher) life(name string) uint64 {
	if f := p.followers[name]; f != nil && f.isHeard {
		return f.position.Life
	}
	return 0
}

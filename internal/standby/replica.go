package standby

import "slices"

// mostEarlier bounds how many replicas of earlier leaders are kept.
const mostEarlier = 3

// Replica is a follower's copy of the leader's account. One that differs, or misses a
// decision, is never used: it is thrown away, and asks for all of the account.
//
// The replica of an earlier leader is kept as it was, as long as the record of those in
// step may still be that leader's: a new leader that ends before it has written a record
// of its own has sent no start.
type Replica struct {
	life  uint64
	token uint64

	account    *Account
	isComplete bool
	sequence   uint64
	// told is the last decision that the leader may believe this replica to have. After
	// it was thrown away no snapshot from before that will do: a late copy of one would
	// make it complete again without starts that were sent on its answer.
	told uint64

	building *building
	// earlier are complete replicas of earlier leaders, the oldest first.
	earlier []earlierReplica
	counts  Counts
}

// earlierReplica is the account of an earlier leader after the last decision that it was
// told of. That leader can't have sent a start after it while the member was in step, since
// nobody answers it any more.
type earlierReplica struct {
	token   uint64
	account *Account
}

// building is a snapshot that has not come whole.
type building struct {
	sequence uint64
	digest   uint64
	parts    int
	of       int
	account  *Account
}

// Counts are of messages that were not taken, by the reason.
type Counts struct {
	// Older: from a leader that has been replaced.
	Older int `json:"older"`
	// Gaps: after decisions that have not come, or parts out of order.
	Gaps int `json:"gaps"`
	// Malformed: over the bounds, or senseless.
	Malformed int `json:"malformed"`
	// Foreign: under a token that is not the lock's.
	Foreign int `json:"foreign"`
	// Differing: the digest is another; the replica was thrown away.
	Differing int `json:"differing"`
}

// NewReplica makes an empty replica of a member's life.
func NewReplica(life uint64) *Replica {
	return &Replica{life: life, account: NewAccount()}
}

// Take takes a message and tells where the replica stands after it.
func (r *Replica) Take(m *Message) Position {
	switch {
	case !m.isWithinBounds():
		r.counts.Malformed++
	case m.Token < r.token:
		r.counts.Older++
	default:
		r.follow(m.Token)
		r.take(m)
	}
	return r.Position()
}

// RefuseForeign counts a message that was not given to Take, since its token is known not
// to be the lock's.
func (r *Replica) RefuseForeign() Position {
	r.counts.Foreign++
	return r.Position()
}

// follow begins anew under a newer leader: what an earlier one told says nothing of it.
func (r *Replica) follow(token uint64) {
	if token == r.token {
		return
	}
	if r.isComplete {
		r.keep(earlierReplica{r.token, r.account})
	}
	r.token, r.told = token, 0
	r.discard()
}

// keep keeps a replica that is followed no further. Beyond the bound the oldest stays,
// whose record was in force when RecordSeen was last told, and the newest ones.
func (r *Replica) keep(e earlierReplica) {
	r.earlier = append(r.earlier, e)
	if len(r.earlier) > mostEarlier {
		r.earlier = slices.Delete(r.earlier, 1, 2)
	}
}

// RecordSeen takes the token of the record that is in force. Replicas of leaders before
// it are of no more use, since the record's tokens only grow.
func (r *Replica) RecordSeen(token uint64) {
	r.earlier = slices.DeleteFunc(r.earlier, func(e earlierReplica) bool { return e.token < token })
}

func (r *Replica) discard() {
	r.account, r.isComplete, r.sequence, r.building = NewAccount(), false, 0, nil
}

func (r *Replica) take(m *Message) {
	switch {
	case m.Part != nil:
		r.takePart(m.Part)
	case len(m.Decisions) > 0:
		r.takeDecisions(m.After, m.Decisions)
	}
	if c := m.Check; c != nil && r.isComplete && c.Sequence == r.sequence && c.Digest != r.account.Digest() {
		r.counts.Differing++
		r.discard()
	}
}

func (r *Replica) takeDecisions(after uint64, decisions []Decision) {
	last := after + uint64(len(decisions))
	switch {
	case !r.isComplete || after > r.sequence:
		r.counts.Gaps++
		return
	case last <= r.sequence:
		return // all of them have come before
	}
	for _, d := range decisions[r.sequence-after:] {
		r.account.Apply(d)
	}
	r.sequence = last
}

func (r *Replica) takePart(p *Part) {
	if r.isComplete && p.Sequence <= r.sequence {
		return // it has come before
	}
	if p.Sequence < r.told {
		r.counts.Gaps++
		return
	}
	if p.Number == 0 && (r.building == nil || r.building.sequence != p.Sequence) {
		r.building = &building{sequence: p.Sequence, digest: p.Digest, of: p.Of, account: NewAccount()}
	}
	b := r.building
	if b == nil || b.sequence != p.Sequence || b.of != p.Of || p.Number > b.parts {
		r.counts.Gaps++
		return
	}
	if p.Number < b.parts {
		return // it has come before
	}
	for _, placement := range p.Placements {
		b.account.add(placement)
	}
	if b.parts++; b.parts < b.of {
		return
	}
	r.building = nil
	if b.account.Digest() != b.digest {
		r.counts.Differing++
		r.discard()
		return
	}
	r.account, r.sequence, r.isComplete = b.account, b.sequence, true
}

// Position is where the replica stands.
func (r *Replica) Position() Position {
	if r.isComplete {
		r.told = max(r.told, r.sequence)
	}
	p := Position{Life: r.life, Version: Version, Token: r.token, IsComplete: r.isComplete, Sequence: r.sequence}
	if r.building != nil {
		p.Building, p.Parts = r.building.sequence, r.building.parts
	}
	return p
}

// Account is the copy as far as it goes; only Trusted says whether it may be believed.
func (r *Replica) Account() *Account { return r.account }

// Counts are of what was not taken so far.
func (r *Replica) Counts() Counts { return r.counts }

// Trusted is the account, if what is durable says that it covers all that may run: the
// record of those in step names this life of the member, every leader since the record's
// was bound to write a record of its own before it sent a start, and the replica is of the
// record's leader.
func (r *Replica) Trusted(record Record, leads *Leads, self string) (*Account, bool) {
	if !record.names(Member{Name: self, Life: r.life}) || !leads.BoundSince(record.Token) {
		return nil, false
	}
	if r.token == record.Token {
		return r.account, r.isComplete
	}
	for _, e := range r.earlier {
		if e.token == record.Token {
			return e.account, true
		}
	}
	return nil, false
}

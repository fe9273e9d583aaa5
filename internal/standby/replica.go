package standby

// Replica is a follower's copy of the leader's account. One that differs, or misses a
// decision, is never used: it is thrown away, and asks for all of the account.
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
	counts   Counts
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

// follow begins anew under a newer leader: what an earlier one told says nothing of it.
func (r *Replica) follow(token uint64) {
	if token == r.token {
		return
	}
	r.token, r.told = token, 0
	r.discard()
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
	p := Position{Life: r.life, Token: r.token, IsComplete: r.isComplete, Sequence: r.sequence}
	if r.building != nil {
		p.Building, p.Parts = r.building.sequence, r.building.parts
	}
	return p
}

// Account is the copy as far as it goes; only Trusted says whether it may be believed.
func (r *Replica) Account() *Account { return r.account }

// Counts are of what was not taken so far.
func (r *Replica) Counts() Counts { return r.counts }

// Trusted is the account, if what is durable says that it has every start which the last
// leader has sent: the record of those in step is that leader's and names this life, no
// other leader has held the lock in between, and the replica is that leader's.
func (r *Replica) Trusted(record Record, lastLeader uint64, self string) (*Account, bool) {
	isNamed := record.names(Member{Name: self, Life: r.life})
	if !isNamed || !r.isComplete || r.token != record.Token || lastLeader != record.Token {
		return nil, false
	}
	return r.account, true
}

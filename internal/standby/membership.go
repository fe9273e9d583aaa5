package standby

import (
	"cmp"
	"slices"

	"firwood.dev/firwood/internal/clock"
)

// Member is a controller in one of its lives.
type Member struct {
	Name string `json:"m"`
	Life uint64 `json:"l"`
}

// Record is the durable list of members in step with a leader. It lies in one key, which
// is never deleted; each write of it is conditional on the lock and on its version.
type Record struct {
	Token   uint64   `json:"t"`
	Members []Member `json:"s"`
}

func (r Record) names(m Member) bool { return slices.Contains(r.Members, m) }

func (r Record) equal(other Record) bool {
	return r.Token == other.Token && slices.Equal(r.Members, other.Members)
}

const (
	// lagAllowed is for how long a member in step may hold up starts before it is left out.
	lagAllowed = clock.Second / 2
	// firstRecordWait is how long a new leader waits for the members that the last record
	// names before it writes its own. One that names nobody would make its successor
	// begin without a replica, should the leader end within moments.
	firstRecordWait = 300 * clock.Millisecond
)

// Membership is a leader's account of who is in step. A member counts from before the
// write that names it is sent until one that does not name it is durable: whichever
// record may be in force, its members have every start that was sent.
type Membership struct {
	publisher *Publisher
	names     []string

	durable Record
	version uint64
	// open are records whose write may be, or may yet be, carried out.
	open      []Record
	isWriting bool
	// waitUntil is how long the first record waits for the members that the found one names.
	waitUntil clock.Micros
	behind    map[string]clock.Micros // since when a member in step has lacked something
}

// NewMembership makes the account of a leader that has read a record at a version. The
// record is an earlier leader's, so nothing may be sent before one of its own is durable.
func NewMembership(publisher *Publisher, found Record, version uint64, names []string, now clock.Micros) *Membership {
	return &Membership{
		publisher: publisher, names: names, durable: found, version: version,
		waitUntil: now + firstRecordWait, behind: map[string]clock.Micros{},
	}
}

// required are the members that any record names which may be in force.
func (m *Membership) required() []Member {
	var all []Member
	for _, r := range append([]Record{m.durable}, m.open...) {
		if r.Token == m.publisher.token {
			all = append(all, r.Members...)
		}
	}
	slices.SortFunc(all, func(a, b Member) int { return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Life, b.Life)) })
	return slices.Compact(all)
}

// MaySend tells whether a start of a number may be sent: the record is this leader's, and
// whoever it may name has the decision.
func (m *Membership) MaySend(sequence uint64) bool {
	if m.durable.Token != m.publisher.token {
		return false
	}
	for _, member := range m.required() {
		if !m.publisher.Has(member, sequence) {
			return false
		}
	}
	return true
}

// Change is the record to be written next and the version that the write is conditional
// on, if there is anything to change. It has to be followed by one of Committed, Refused
// and Unknown.
func (m *Membership) Change(now clock.Micros) (Record, uint64, bool) {
	if m.isWriting {
		return Record{}, 0, false
	}
	wanted := Record{Token: m.publisher.token}
	for _, name := range m.names {
		member, ok := m.inStep(name, now)
		switch {
		case ok:
			wanted.Members = append(wanted.Members, member)
		case m.isAwaited(name, now):
			return Record{}, 0, false
		}
	}
	if wanted.equal(m.durable) && len(m.open) == 0 {
		return Record{}, 0, false
	}
	m.isWriting = true
	m.open = append(m.open, wanted)
	return wanted, m.version, true
}

// isAwaited tells whether the leader's first record waits for a member.
func (m *Membership) isAwaited(name string, now clock.Micros) bool {
	if now >= m.waitUntil || m.durable.Token == m.publisher.token {
		return false
	}
	return slices.ContainsFunc(m.durable.Members, func(member Member) bool { return member.Name == name })
}

// inStep tells whether a member is to be named: it has all that there is, or is named
// already and has not lacked anything for long.
func (m *Membership) inStep(name string, now clock.Micros) (Member, bool) {
	member := Member{Name: name, Life: m.publisher.life(name)}
	if m.publisher.Has(member, m.publisher.sequence) {
		delete(m.behind, name)
		return member, true
	}
	isNamed := m.durable.Token == m.publisher.token && m.durable.names(member)
	if !isNamed {
		delete(m.behind, name)
		return member, false
	}
	since, ok := m.behind[name]
	if !ok {
		since = now
		m.behind[name] = now
	}
	return member, now-since < lagAllowed
}

// InStep are the members that the durable record names.
func (m *Membership) InStep() []Member {
	if m.durable.Token != m.publisher.token {
		return nil
	}
	return m.durable.Members
}

// Committed takes the news that the last change is durable, at a version.
func (m *Membership) Committed(version uint64) {
	m.isWriting = false
	m.durable, m.version = m.open[len(m.open)-1], version
	m.open = nil // the earlier ones are conditional on an older version
}

// Refused takes the news that the last change was certainly not carried out.
func (m *Membership) Refused() {
	m.isWriting = false
	m.open = m.open[:len(m.open)-1]
}

// Unknown takes the news that the last change may be carried out at any time.
func (m *Membership) Unknown() { m.isWriting = false }

// Seen takes the record that the state service has.
func (m *Membership) Seen(r Record, version uint64) {
	if version <= m.version {
		return
	}
	m.durable, m.version = r, version
	if !m.isWriting {
		m.open = nil
		return
	}
	m.open = m.open[len(m.open)-1:]
}

package standby

import (
	"cmp"
	"slices"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/versionedwrite"
)

// Member is a controller in one of its lives.
type Member struct {
	Name        string `json:"m"`
	Incarnation uint64 `json:"l"`
}

// InSyncRecord is the durable list of members in step with a leader. It lies in one key, which
// is never deleted; each write of it is conditional on the lock and on its version.
type InSyncRecord struct {
	Token   uint64   `json:"t"`
	Members []Member `json:"s"`
}

func (record InSyncRecord) hasMember(member Member) bool {
	return slices.Contains(record.Members, member)
}

func (record InSyncRecord) equal(other InSyncRecord) bool {
	return record.Token == other.Token && slices.Equal(record.Members, other.Members)
}

const (
	// maxInSyncLag is for how long a member in step may hold up starts before it is left out.
	maxInSyncLag = clock.Second / 2
	// firstRecordTimeout is how long a new leader waits for the members that the last record
	// names before it writes its own. One that names nobody would make its successor
	// begin without a replica, should the leader end within moments.
	firstRecordTimeout = 300 * clock.Millisecond
)

// InSyncSet is a leader's account of who is in step. A member counts from before the
// write that names it is sent until one that does not name it is durable: whichever
// record may be in force, its members have every start that was sent.
type InSyncSet struct {
	publisher   *Publisher
	memberNames []string

	records *versionedwrite.Tracker[InSyncRecord]
	// firstRecordDeadline is how long the first record waits for the members that the found one names.
	firstRecordDeadline clock.Micros
	laggingSince        map[string]clock.Micros // since when a member in step has lacked something
}

// NewInSyncSet makes the account of a leader that has read a record at a version. The
// record is an earlier leader's, so nothing may be sent before one of its own is durable.
func NewInSyncSet(publisher *Publisher, foundRecord InSyncRecord, foundVersion uint64, memberNames []string, now clock.Micros) *InSyncSet {
	return &InSyncSet{
		publisher: publisher, memberNames: memberNames, records: versionedwrite.NewTracker(foundRecord, foundVersion),
		firstRecordDeadline: now + firstRecordTimeout, laggingSince: map[string]clock.Micros{},
	}
}

// isOwn tells whether a record is this leader's.
func (set *InSyncSet) isOwn(record InSyncRecord) bool { return record.Token == set.publisher.token }

// requiredMembers are the members that any record names which may be in force.
func (set *InSyncSet) requiredMembers() []Member {
	var all []Member
	for record := range set.records.Possible() {
		if set.isOwn(record) {
			all = append(all, record.Members...)
		}
	}
	slices.SortFunc(all, func(a, b Member) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return slices.Compact(all)
}

// MaySendStart tells whether a start of a number may be sent: the record is this leader's, and
// whoever it may name has the decision.
func (set *InSyncSet) MaySendStart(sequence uint64) bool {
	if !set.isOwn(set.records.Confirmed()) {
		return false
	}
	for _, member := range set.requiredMembers() {
		if !set.publisher.HasDecision(member, sequence) {
			return false
		}
	}
	return true
}

// BeginWrite is the record to be written next and the version that the write is conditional
// on, if there is anything to change. It has to be followed by one of Committed, Refused
// and Unknown.
func (set *InSyncSet) BeginWrite(now clock.Micros) (InSyncRecord, uint64, bool) {
	if set.records.IsInFlight() {
		return InSyncRecord{}, 0, false
	}
	wanted := InSyncRecord{Token: set.publisher.token}
	for _, name := range set.memberNames {
		member, isInSync := set.checkInSync(name, now)
		switch {
		case isInSync:
			wanted.Members = append(wanted.Members, member)
		case set.isMemberAwaited(name, now):
			return InSyncRecord{}, 0, false
		}
	}
	if wanted.equal(set.records.Confirmed()) && set.records.IsConfirmed() {
		return InSyncRecord{}, 0, false
	}
	version, ok := set.records.BeginWrite(wanted)
	return wanted, version, ok
}

// isMemberAwaited tells whether the leader's first record waits for a member.
func (set *InSyncSet) isMemberAwaited(name string, now clock.Micros) bool {
	record := set.records.Confirmed()
	if now >= set.firstRecordDeadline || set.isOwn(record) {
		return false
	}
	return slices.ContainsFunc(record.Members, func(member Member) bool { return member.Name == name })
}

// checkInSync tells whether a member is to be named: it has all that there is, or is named
// already and has not lacked anything for long.
func (set *InSyncSet) checkInSync(name string, now clock.Micros) (Member, bool) {
	member := Member{Name: name, Incarnation: set.publisher.incarnationOf(name)}
	if set.publisher.HasDecision(member, set.publisher.lastSequence) {
		delete(set.laggingSince, name)
		return member, true
	}
	if record := set.records.Confirmed(); !set.isOwn(record) || !record.hasMember(member) {
		delete(set.laggingSince, name)
		return member, false
	}
	since, ok := set.laggingSince[name]
	if !ok {
		since = now
		set.laggingSince[name] = now
	}
	return member, now-since < maxInSyncLag
}

// InSyncMembers are the members that the durable record names.
func (set *InSyncSet) InSyncMembers() []Member {
	record := set.records.Confirmed()
	if !set.isOwn(record) {
		return nil
	}
	return record.Members
}

// ConfirmWrite takes the news that the last change is durable, at a version.
func (set *InSyncSet) ConfirmWrite(version uint64) { set.records.RecordCommit(version) }

// RejectWrite takes the news that the last change was certainly not carried out.
func (set *InSyncSet) RejectWrite() { set.records.RecordRefusal() }

// MarkWriteUnresolved takes the news that the last change may be carried out at any time.
func (set *InSyncSet) MarkWriteUnresolved() { set.records.RecordUnknownOutcome() }

// ObserveRecord takes the record that the state service has. Records that it supersedes are
// dropped at once: as long as they count, starts wait for the members they name.
func (set *InSyncSet) ObserveRecord(record InSyncRecord, version uint64) {
	if set.records.ObserveStored(record, version) {
		set.records.DropSuperseded()
	}
}

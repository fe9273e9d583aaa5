package standby

import (
	"cmp"
	"slices"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/versionedwrite"
)

// Member is one process of a controller, identified by name and incarnation.
type Member struct {
	// Name is the controller's name in the settings.
	Name string `json:"m"`
	// Incarnation tells processes of the same controller apart.
	Incarnation uint64 `json:"l"`
}

// InSyncRecord is the durable list of the members that are in sync with a leader, that is, whose
// replicas have every start that the leader has sent. It is stored under one key of the key-value
// store. The key is never deleted, and each write is conditional on the leader's lock and on the
// record's version.
type InSyncRecord struct {
	// Token is the fencing token of the leader that wrote the record.
	Token uint64 `json:"t"`
	// Members are the members in sync, in the order of the members in the settings.
	Members []Member `json:"s"`
}

func (record InSyncRecord) hasMember(member Member) bool {
	return slices.Contains(record.Members, member)
}

func (record InSyncRecord) equal(other InSyncRecord) bool {
	return record.Token == other.Token && slices.Equal(record.Members, other.Members)
}

const (
	// maxInSyncLag is how long an in-sync member may delay starts before the next record omits it.
	maxInSyncLag = clock.Second / 2
	// firstRecordTimeout is how long a new leader waits for the members of the previous record to
	// come into sync before it writes its own first record. Without the wait, a first record once
	// named no members; the leader failed soon after, and the next leader had no trusted replica
	// (docs/standby.md, "Successive failovers").
	firstRecordTimeout = 300 * clock.Millisecond
)

// InSyncSet tracks which members are in sync with a leader. A member is required from just before a
// write of a record that names it is sent until a record without it is durable. A start is sent only
// once every required member has it, so the members of whichever record is in force have every start
// that was sent.
type InSyncSet struct {
	publisher   *Publisher
	memberNames []string

	records *versionedwrite.Tracker[InSyncRecord]
	// firstRecordDeadline is when the first record stops waiting for the members that the previous
	// record names.
	firstRecordDeadline clock.Micros
	// laggingSince is the time since which an in-sync member has lacked a decision, by member name.
	laggingSince map[string]clock.Micros
}

// NewInSyncSet returns the set of a new leader that has read an earlier leader's record at
// previousVersion. No start may be sent before a record of this leader's own is durable.
func NewInSyncSet(publisher *Publisher, previousRecord InSyncRecord, previousVersion uint64, memberNames []string, now clock.Micros) *InSyncSet {
	return &InSyncSet{
		publisher: publisher, memberNames: memberNames, records: versionedwrite.NewTracker(previousRecord, previousVersion),
		firstRecordDeadline: now + firstRecordTimeout, laggingSince: map[string]clock.Micros{},
	}
}

// isOwn reports whether this leader wrote the record.
func (set *InSyncSet) isOwn(record InSyncRecord) bool { return record.Token == set.publisher.token }

// requiredMembers returns the members of all of this leader's records that may be in force.
func (set *InSyncSet) requiredMembers() []Member {
	var all []Member
	for record := range set.records.PossibleValues() {
		if set.isOwn(record) {
			all = append(all, record.Members...)
		}
	}
	slices.SortFunc(all, func(a, b Member) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return slices.Compact(all)
}

// MaySendStart reports whether the start with this sequence number may be sent: whether a record of
// this leader is durable, and every required member has the decision.
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

// BeginWrite returns the next record and the version that its write is conditional on, and reports
// whether a write is needed. The caller must end the write with ConfirmWrite, RejectWrite or
// MarkWriteUnresolved.
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
		case set.isWaitingForMember(name, now):
			return InSyncRecord{}, 0, false
		}
	}
	if wanted.equal(set.records.Confirmed()) && set.records.IsConfirmed() {
		return InSyncRecord{}, 0, false
	}
	version, ok := set.records.BeginWrite(wanted)
	return wanted, version, ok
}

// isWaitingForMember reports whether the leader's first record still waits for the member with this
// name to come into sync.
func (set *InSyncSet) isWaitingForMember(name string, now clock.Micros) bool {
	record := set.records.Confirmed()
	if now >= set.firstRecordDeadline || set.isOwn(record) {
		return false
	}
	return slices.ContainsFunc(record.Members, func(member Member) bool { return member.Name == name })
}

// checkInSync returns the member's current process, and whether the next record is to name it. That
// is so if the process has every decision, or if this leader's durable record names it and it has
// lagged for less than maxInSyncLag. checkInSync also updates laggingSince.
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

// InSyncMembers returns the members that the durable record names, or nil if the record is an
// earlier leader's.
func (set *InSyncSet) InSyncMembers() []Member {
	record := set.records.Confirmed()
	if !set.isOwn(record) {
		return nil
	}
	return record.Members
}

// ConfirmWrite records that the last write was committed at a version.
func (set *InSyncSet) ConfirmWrite(version uint64) { set.records.RecordCommit(version) }

// RejectWrite records that the last write can never be committed.
func (set *InSyncSet) RejectWrite() { set.records.RecordRefusal() }

// MarkWriteUnresolved records that the last write may have been committed, or may yet be committed.
func (set *InSyncSet) MarkWriteUnresolved() { set.records.RecordUnknownOutcome() }

// ObserveRecord updates the set with the record as read from the key-value store. If that record is
// newer, ObserveRecord immediately drops the records that it supersedes, since starts wait for the
// members of every record that may be in force.
func (set *InSyncSet) ObserveRecord(record InSyncRecord, version uint64) {
	if set.records.ObserveStored(record, version) {
		set.records.DropSupersededValues()
	}
}

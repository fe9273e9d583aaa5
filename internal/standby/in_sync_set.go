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

// InSyncRecord is the durable list of members that are in sync with a leader: their replicas have
// every start that it has sent. It lives under one key of the key-value store, which is never
// deleted; each write is conditional on the leader's lock and on the record's version.
type InSyncRecord struct {
	// Token is the fencing token of the leader that wrote the record.
	Token uint64 `json:"t"`
	// Members are the members in sync, in the order of the settings.
	Members []Member `json:"s"`
}

func (record InSyncRecord) hasMember(member Member) bool {
	return slices.Contains(record.Members, member)
}

func (record InSyncRecord) equal(other InSyncRecord) bool {
	return record.Token == other.Token && slices.Equal(record.Members, other.Members)
}

const (
	// maxInSyncLag is for how long a member in sync may hold up starts before it is left out.
	maxInSyncLag = clock.Second / 2
	// firstRecordTimeout is how long a new leader waits for the members of the last record before
	// it writes its own. Added after a first record that named nobody had left the next leader
	// without a trusted replica, when this one failed soon (docs/standby.md, "Successive
	// failovers").
	firstRecordTimeout = 300 * clock.Millisecond
)

// InSyncSet tracks which members are in sync with a leader. A member is required from before the
// write that names it is sent until a record without it is durable. So whichever record is in
// force, its members have every start that was sent.
type InSyncSet struct {
	publisher   *Publisher
	memberNames []string

	records *versionedwrite.Tracker[InSyncRecord]
	// firstRecordDeadline is until when the first record waits for the members that the found one
	// names.
	firstRecordDeadline clock.Micros
	laggingSince        map[string]clock.Micros // since when an in-sync member has lacked a decision
}

// NewInSyncSet starts the set of a leader that has read a record at a version. The record is an
// earlier leader's, so no start may be sent before one of this leader's own is durable.
func NewInSyncSet(publisher *Publisher, previousRecord InSyncRecord, previousVersion uint64, memberNames []string, now clock.Micros) *InSyncSet {
	return &InSyncSet{
		publisher: publisher, memberNames: memberNames, records: versionedwrite.NewTracker(previousRecord, previousVersion),
		firstRecordDeadline: now + firstRecordTimeout, laggingSince: map[string]clock.Micros{},
	}
}

// isOwn reports whether a record is this leader's.
func (set *InSyncSet) isOwn(record InSyncRecord) bool { return record.Token == set.publisher.token }

// requiredMembers returns the members of all own records that may be in force.
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

// MaySendStart reports whether the start with this sequence number may be sent: a record of this
// leader is in force, and every required member has the decision.
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

// BeginWrite returns the next record, and the version that its write is conditional on, if a
// write is needed. The caller has to end it with ConfirmWrite, RejectWrite or
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

// isMemberAwaited reports whether the leader's first record waits for a member.
func (set *InSyncSet) isMemberAwaited(name string, now clock.Micros) bool {
	record := set.records.Confirmed()
	if now >= set.firstRecordDeadline || set.isOwn(record) {
		return false
	}
	return slices.ContainsFunc(record.Members, func(member Member) bool { return member.Name == name })
}

// checkInSync returns the member's current process and whether the next record is to name it: it
// has every decision, or the durable record names it and it has not lagged for long. It updates
// laggingSince.
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

// InSyncMembers returns the members that the durable record names, if it is this leader's.
func (set *InSyncSet) InSyncMembers() []Member {
	record := set.records.Confirmed()
	if !set.isOwn(record) {
		return nil
	}
	return record.Members
}

// ConfirmWrite records that the last write is durable, at a version.
func (set *InSyncSet) ConfirmWrite(version uint64) { set.records.RecordCommit(version) }

// RejectWrite records that the last write can never be committed.
func (set *InSyncSet) RejectWrite() { set.records.RecordRefusal() }

// MarkWriteUnresolved records that the last write may have been committed, or may still be.
func (set *InSyncSet) MarkWriteUnresolved() { set.records.RecordUnknownOutcome() }

// ObserveRecord records the record as read from the key-value store. Records that it supersedes
// are dropped at once: as long as they may be in force, starts wait for the members that they
// name.
func (set *InSyncSet) ObserveRecord(record InSyncRecord, version uint64) {
	if set.records.ObserveStored(record, version) {
		set.records.DropSuperseded()
	}
}

package standby

import "slices"

// maxEarlierReplicas is the maximum number of replicas of earlier leaders that are kept.
const maxEarlierReplicas = 3

// Replica is a follower's copy of the leader's table. Decisions that come after a gap are not
// applied: the position in the answer shows the leader which decisions are missing, and the leader
// sends them again. A replica whose digest differs from the leader's is discarded, and the leader
// sends a snapshot.
//
// Replicas of earlier leaders are kept unchanged as long as the in-sync record may still be the one
// that such a leader wrote. They stay valid when a new leader fails before it has written a record
// of its own, since it has then sent no start.
type Replica struct {
	incarnation uint64
	token       uint64

	table        *Table
	isComplete   bool
	lastSequence uint64
	// acknowledgedSequence is the highest sequence number that the leader may believe this replica
	// to have. After the replica was discarded, older snapshots are refused. A delayed one would make
	// the replica complete again, but without starts that the leader sent because this replica had
	// acknowledged them.
	acknowledgedSequence uint64

	assembly *snapshotAssembly
	// earlier holds the complete replicas of earlier leaders, oldest first.
	earlier []earlierReplica
	dropped DropCounts
}

// earlierReplica is the table of an earlier leader after the last decision received from it. That
// leader cannot have sent a later start while this member was in sync with it, since this process
// has stopped answering its messages.
type earlierReplica struct {
	token uint64
	table *Table
}

// DropCounts counts messages that were not applied, by reason.
type DropCounts struct {
	// Stale counts messages from a leader that has been replaced.
	Stale int `json:"older"`
	// OutOfOrder counts decisions after a gap, parts out of order, and parts of a snapshot that is
	// older than what the replica has acknowledged.
	OutOfOrder int `json:"gaps"`
	// Malformed counts messages that are over the bounds or inconsistent.
	Malformed int `json:"malformed"`
	// ForeignToken counts messages under a token that is not the lock's.
	ForeignToken int `json:"foreign"`
	// DigestMismatch counts how often the digest of the replica, or of a snapshot, differed from the
	// leader's. The replica was then discarded.
	DigestMismatch int `json:"differing"`
}

// NewReplica returns an empty replica for a member's process.
func NewReplica(incarnation uint64) *Replica {
	return &Replica{incarnation: incarnation, table: NewTable()}
}

// ApplyMessage applies a message and returns the position after it, which is the answer to send.
func (replica *Replica) ApplyMessage(message *Message) Position {
	switch {
	case !message.isValid():
		replica.dropped.Malformed++
	case message.Token < replica.token:
		replica.dropped.Stale++
	default:
		replica.switchLeader(message.Token)
		replica.applyContent(message)
	}
	return replica.Position()
}

// RejectForeignMessage counts a message that must not be applied, since its token is known not to be
// the lock's. It returns the answer to the message.
func (replica *Replica) RejectForeignMessage() Position {
	replica.dropped.ForeignToken++
	return replica.Position()
}

// switchLeader starts an empty replica of a newer leader. It keeps the previous leader's replica if
// that is complete.
func (replica *Replica) switchLeader(token uint64) {
	if token == replica.token {
		return
	}
	if replica.isComplete {
		replica.keepEarlierReplica(earlierReplica{replica.token, replica.table})
	}
	replica.token, replica.acknowledgedSequence = token, 0
	replica.reset()
}

// keepEarlierReplica keeps a replica that gets no more decisions. Over the bound it drops the second
// oldest, because the oldest may be the replica of the leader whose record was in force at the last
// call of PruneEarlierReplicas.
func (replica *Replica) keepEarlierReplica(earlier earlierReplica) {
	replica.earlier = append(replica.earlier, earlier)
	if len(replica.earlier) > maxEarlierReplicas {
		replica.earlier = slices.Delete(replica.earlier, 1, 2)
	}
}

// PruneEarlierReplicas drops the replicas of leaders before the one whose record is in force. They
// can no longer be needed, since the record's token only grows.
func (replica *Replica) PruneEarlierReplicas(recordToken uint64) {
	replica.earlier = slices.DeleteFunc(replica.earlier, func(earlier earlierReplica) bool { return earlier.token < recordToken })
}

// reset discards the present leader's replica.
func (replica *Replica) reset() {
	replica.table = NewTable()
	replica.isComplete = false
	replica.lastSequence = 0
	replica.assembly = nil
}

// applyContent applies a valid message of the present leader.
func (replica *Replica) applyContent(message *Message) {
	switch {
	case message.Part != nil:
		replica.applyPart(message.Part)
	case len(message.Decisions) > 0:
		replica.applyDecisions(message.AfterSequence, message.Decisions)
	}
	if check := message.Check; check != nil && replica.hasDigestMismatch(*check) {
		replica.dropped.DigestMismatch++
		replica.reset()
	}
}

// hasDigestMismatch reports whether the replica has reached the check's sequence number with another
// digest.
func (replica *Replica) hasDigestMismatch(check DigestCheck) bool {
	return replica.isComplete && check.Sequence == replica.lastSequence && check.Digest != replica.table.Digest()
}

// applyDecisions applies the decisions that are new. It applies none if an earlier decision is missing.
func (replica *Replica) applyDecisions(afterSequence uint64, decisions []Decision) {
	lastSequence := afterSequence + uint64(len(decisions))
	switch {
	case !replica.isComplete || afterSequence > replica.lastSequence:
		replica.dropped.OutOfOrder++
		return
	case lastSequence <= replica.lastSequence:
		return // all of them were applied before
	}
	for _, decision := range decisions[replica.lastSequence-afterSequence:] {
		replica.table.Apply(decision)
	}
	replica.lastSequence = lastSequence
}

// Position returns how far the replica has got. A call counts as an answer to the leader, so it
// updates acknowledgedSequence.
func (replica *Replica) Position() Position {
	if replica.isComplete {
		replica.acknowledgedSequence = max(replica.acknowledgedSequence, replica.lastSequence)
	}
	position := Position{
		Incarnation: replica.incarnation, ProtocolVersion: ProtocolVersion,
		Token: replica.token, IsComplete: replica.isComplete, Sequence: replica.lastSequence,
	}
	if replica.assembly != nil {
		position.SnapshotSequence, position.SnapshotParts = replica.assembly.sequence, replica.assembly.receivedParts
	}
	return position
}

// Table returns the replica's present table, complete or not. Only TrustedTable reports whether a
// table may be relied on.
func (replica *Replica) Table() *Table { return replica.table }

// DropCounts returns the counts so far.
func (replica *Replica) DropCounts() DropCounts { return replica.dropped }

// TrustedTable returns the table of the leader that wrote the in-sync record, and reports whether the
// record and the term history prove that the table covers every task that may be running. That is so
// if the record names this process of the member, every leader since the record's was record-first,
// and this process has a complete replica of the record's leader.
func (replica *Replica) TrustedTable(record InSyncRecord, history *TermHistory, memberName string) (*Table, bool) {
	isNamed := record.hasMember(Member{Name: memberName, Incarnation: replica.incarnation})
	if !isNamed || !history.IsRecordFirstSince(record.Token) {
		return nil, false
	}
	if replica.token == record.Token {
		return replica.table, replica.isComplete
	}
	for _, earlier := range replica.earlier {
		if earlier.token == record.Token {
			return earlier.table, true
		}
	}
	return nil, false
}

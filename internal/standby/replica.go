package standby

import "slices"

// maxEarlierReplicas bounds how many replicas of earlier leaders are kept.
const maxEarlierReplicas = 3

// Replica is a follower's copy of the leader's table. Decisions after a gap are not applied; the
// position in the answer shows the leader what is missing, and it sends that again. A replica whose
// digest differs from the leader's is discarded, and gets a snapshot.
//
// Replicas of earlier leaders are kept as they were, as long as the in-sync record may still be
// that leader's: a new leader that fails before it has written a record of its own has sent no
// start.
type Replica struct {
	incarnation uint64
	token       uint64

	table        *Table
	isComplete   bool
	lastSequence uint64
	// acknowledgedSequence is the highest sequence number that the leader may believe this
	// replica to have. After a discard, snapshots older than it are refused: a delayed one would
	// make the replica complete again, without starts that were sent because of its answer.
	acknowledgedSequence uint64

	assembly *snapshotAssembly
	// earlier are complete replicas of earlier leaders, oldest first.
	earlier []earlierReplica
	dropped DropCounts
}

// earlierReplica is the table of an earlier leader after the last decision received from it. That
// leader can't have sent a later start while the member was in sync, since this process has
// stopped answering it.
type earlierReplica struct {
	token uint64
	table *Table
}

// DropCounts counts messages that were not applied, by reason.
type DropCounts struct {
	// Stale: from a leader that has been replaced.
	Stale int `json:"older"`
	// OutOfOrder: decisions after a gap, parts out of order, or parts of a snapshot that is older
	// than what the replica has acknowledged.
	OutOfOrder int `json:"gaps"`
	// Malformed: over the bounds, or inconsistent.
	Malformed int `json:"malformed"`
	// ForeignToken: under a token that is not the lock's.
	ForeignToken int `json:"foreign"`
	// DigestMismatch: the digest of the replica, or of a snapshot, differs from the leader's; the
	// replica was discarded.
	DigestMismatch int `json:"differing"`
}

// NewReplica returns an empty replica of a member's process.
func NewReplica(incarnation uint64) *Replica {
	return &Replica{incarnation: incarnation, table: NewTable()}
}

// ApplyMessage applies a message and returns the position after it, which is the answer.
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

// RejectForeignMessage counts a message that must not be applied, since its token is known not to
// be the lock's, and returns the answer to it.
func (replica *Replica) RejectForeignMessage() Position {
	replica.dropped.ForeignToken++
	return replica.Position()
}

// switchLeader starts an empty replica of a newer leader and keeps the present one if it is
// complete.
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

// keepEarlierReplica keeps a replica that is followed no further. Over the bound the second oldest is
// dropped: the oldest is that of the record in force as of the last PruneEarlierReplicas.
func (replica *Replica) keepEarlierReplica(earlier earlierReplica) {
	replica.earlier = append(replica.earlier, earlier)
	if len(replica.earlier) > maxEarlierReplicas {
		replica.earlier = slices.Delete(replica.earlier, 1, 2)
	}
}

// PruneEarlierReplicas drops replicas of leaders before the one whose record is in force. They can't be
// needed any more, since tokens of the record only grow.
func (replica *Replica) PruneEarlierReplicas(recordToken uint64) {
	replica.earlier = slices.DeleteFunc(replica.earlier, func(earlier earlierReplica) bool { return earlier.token < recordToken })
}

// reset discards the replica.
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

// contradicts reports whether the replica is as far as the check and has another digest.
func (replica *Replica) hasDigestMismatch(check DigestCheck) bool {
	return replica.isComplete && check.Sequence == replica.lastSequence && check.Digest != replica.table.Digest()
}

// applyDecisions applies those of the decisions that are new; none, if one before them is missing.
func (replica *Replica) applyDecisions(afterSequence uint64, decisions []Decision) {
	lastSequence := afterSequence + uint64(len(decisions))
	switch {
	case !replica.isComplete || afterSequence > replica.lastSequence:
		replica.dropped.OutOfOrder++
		return
	case lastSequence <= replica.lastSequence:
		return // a repetition
	}
	for _, decision := range decisions[replica.lastSequence-afterSequence:] {
		replica.table.Apply(decision)
	}
	replica.lastSequence = lastSequence
}

// Position returns how far the replica has got. Calling it counts as answering the leader.
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

// Table returns the copy as far as it goes; only TrustedTable says whether it may be relied on.
func (replica *Replica) Table() *Table { return replica.table }

// DropCounts returns how many messages were not applied so far.
func (replica *Replica) DropCounts() DropCounts { return replica.dropped }

// TrustedTable returns the table if what is durable proves that it covers every task that may be
// running: the in-sync record names this process of the member, every leader since the record's
// was record-first, and the replica is of the record's leader.
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

package standby

import "slices"

// maxEarlierReplicas bounds how many replicas of earlier leaders are kept.
const maxEarlierReplicas = 3

// Replica is a follower's copy of the leader's account. One that differs, or misses a
// decision, is never used: it is thrown away, and asks for all of the account.
//
// The replica of an earlier leader is kept as it was, as long as the record of those in
// step may still be that leader's: a new leader that ends before it has written a record
// of its own has sent no start.
type Replica struct {
	incarnation uint64
	token       uint64

	table        *Table
	isComplete   bool
	lastSequence uint64
	// acknowledgedSequence is the last decision that the leader may believe this replica to have. After
	// it was thrown away no snapshot from before that will do: a late copy of one would
	// make it complete again without starts that were sent on its answer.
	acknowledgedSequence uint64

	assembly *snapshotAssembly
	// earlier are complete replicas of earlier leaders, the oldest first.
	earlier []earlierReplica
	dropped DropCounts
}

// earlierReplica is the account of an earlier leader after the last decision that it was
// told of. That leader can't have sent a start after it while the member was in step, since
// nobody answers it any more.
type earlierReplica struct {
	token uint64
	table *Table
}

// snapshotAssembly is a snapshot that has not come whole.
type snapshotAssembly struct {
	sequence      uint64
	digest        uint64
	receivedParts int
	partCount     int
	table         *Table
}

// DropCounts are of messages that were not taken, by the reason.
type DropCounts struct {
	// Stale: from a leader that has been replaced.
	Stale int `json:"older"`
	// OutOfOrder: after decisions that have not come, or parts out of order.
	OutOfOrder int `json:"gaps"`
	// Malformed: over the bounds, or senseless.
	Malformed int `json:"malformed"`
	// ForeignToken: under a token that is not the lock's.
	ForeignToken int `json:"foreign"`
	// DigestMismatch: the digest is another; the replica was thrown away.
	DigestMismatch int `json:"differing"`
}

// NewReplica makes an empty replica of a member's life.
func NewReplica(incarnation uint64) *Replica {
	return &Replica{incarnation: incarnation, table: NewTable()}
}

// ApplyMessage takes a message and tells where the replica stands after it.
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

// RejectForeignMessage counts a message that was not given to Take, since its token is known not
// to be the lock's.
func (replica *Replica) RejectForeignMessage() Position {
	replica.dropped.ForeignToken++
	return replica.Position()
}

// switchLeader begins anew under a newer leader: what an earlier one told says nothing of it.
func (replica *Replica) switchLeader(token uint64) {
	if token == replica.token {
		return
	}
	if replica.isComplete {
		replica.keepEarlier(earlierReplica{replica.token, replica.table})
	}
	replica.token, replica.acknowledgedSequence = token, 0
	replica.reset()
}

// keepEarlier keeps a replica that is followed no further. Beyond the bound the oldest stays,
// whose record was in force when PruneEarlier was last told, and the newest ones.
func (replica *Replica) keepEarlier(earlier earlierReplica) {
	replica.earlier = append(replica.earlier, earlier)
	if len(replica.earlier) > maxEarlierReplicas {
		replica.earlier = slices.Delete(replica.earlier, 1, 2)
	}
}

// PruneEarlier takes the token of the record that is in force. Replicas of leaders before
// it are of no more use, since the record's tokens only grow.
func (replica *Replica) PruneEarlier(recordToken uint64) {
	replica.earlier = slices.DeleteFunc(replica.earlier, func(earlier earlierReplica) bool { return earlier.token < recordToken })
}

func (replica *Replica) reset() {
	replica.table, replica.isComplete, replica.lastSequence, replica.assembly = NewTable(), false, 0, nil
}

func (replica *Replica) applyContent(message *Message) {
	switch {
	case message.Part != nil:
		replica.applyPart(message.Part)
	case len(message.Decisions) > 0:
		replica.applyDecisions(message.AfterSequence, message.Decisions)
	}
	if check := message.Check; check != nil && replica.isComplete && check.Sequence == replica.lastSequence && check.Digest != replica.table.Digest() {
		replica.dropped.DigestMismatch++
		replica.reset()
	}
}

func (replica *Replica) applyDecisions(afterSequence uint64, decisions []Decision) {
	lastSequence := afterSequence + uint64(len(decisions))
	switch {
	case !replica.isComplete || afterSequence > replica.lastSequence:
		replica.dropped.OutOfOrder++
		return
	case lastSequence <= replica.lastSequence:
		return // all of them have come before
	}
	for _, decision := range decisions[replica.lastSequence-afterSequence:] {
		replica.table.Apply(decision)
	}
	replica.lastSequence = lastSequence
}

func (replica *Replica) applyPart(part *SnapshotPart) {
	if replica.isComplete && part.Sequence <= replica.lastSequence {
		return // it has come before
	}
	if part.Sequence < replica.acknowledgedSequence {
		replica.dropped.OutOfOrder++
		return
	}
	if part.Index == 0 && (replica.assembly == nil || replica.assembly.sequence != part.Sequence) {
		replica.assembly = &snapshotAssembly{sequence: part.Sequence, digest: part.Digest, partCount: part.PartCount, table: NewTable()}
	}
	assembly := replica.assembly
	if assembly == nil || assembly.sequence != part.Sequence || assembly.partCount != part.PartCount || part.Index > assembly.receivedParts {
		replica.dropped.OutOfOrder++
		return
	}
	if part.Index < assembly.receivedParts {
		return // it has come before
	}
	for _, placement := range part.Placements {
		assembly.table.add(placement)
	}
	if assembly.receivedParts++; assembly.receivedParts < assembly.partCount {
		return
	}
	replica.assembly = nil
	if assembly.table.Digest() != assembly.digest {
		replica.dropped.DigestMismatch++
		replica.reset()
		return
	}
	replica.table, replica.lastSequence, replica.isComplete = assembly.table, assembly.sequence, true
}

// Position is where the replica stands.
func (replica *Replica) Position() Position {
	if replica.isComplete {
		replica.acknowledgedSequence = max(replica.acknowledgedSequence, replica.lastSequence)
	}
	position := Position{Incarnation: replica.incarnation, ProtocolVersion: ProtocolVersion, Token: replica.token, IsComplete: replica.isComplete, Sequence: replica.lastSequence}
	if replica.assembly != nil {
		position.SnapshotSequence, position.SnapshotParts = replica.assembly.sequence, replica.assembly.receivedParts
	}
	return position
}

// Table is the copy as far as it goes; only Trusted says whether it may be believed.
func (replica *Replica) Table() *Table { return replica.table }

// DropCounts are of what was not taken so far.
func (replica *Replica) DropCounts() DropCounts { return replica.dropped }

// TrustedTable is the account, if what is durable says that it covers all that may run: the
// record of those in step names this life of the member, every leader since the record's
// was bound to write a record of its own before it sent a start, and the replica is of the
// record's leader.
func (replica *Replica) TrustedTable(record InSyncRecord, history *TermHistory, memberName string) (*Table, bool) {
	if !record.hasMember(Member{Name: memberName, Incarnation: replica.incarnation}) || !history.IsRecordFirstSince(record.Token) {
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

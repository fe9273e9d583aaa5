package standby

// Bounds of one message, so that it fits a frame between controllers; see package peer.
const (
	// MaxDecisions is how many decisions a message has at most.
	MaxDecisions = 500
	// MaxPartPlacements is how many placements a part of a snapshot has at most.
	MaxPartPlacements = 500
	// MaxSnapshotParts bounds the number of parts of a snapshot.
	MaxSnapshotParts = 20_000
)

// Message goes from the leader to one follower. It has decisions (perhaps with a check), or a
// part of a snapshot, or only a check; with none of them it announces the leader's token.
type Message struct {
	// Token is the fencing token of the leader.
	Token uint64
	// AfterSequence is the sequence number just before the first decision here. Numbers begin
	// with 1 in each leadership term and have no gaps.
	AfterSequence uint64
	// Decisions are consecutive; at most MaxDecisions.
	Decisions []Decision
	// Part, if not nil, is a part of a snapshot.
	Part *SnapshotPart
	// Check, if not nil, is the digest of the leader's table after a decision.
	Check *DigestCheck
}

// DigestCheck is the digest of the leader's table after the decision with a sequence number.
type DigestCheck struct{ Sequence, Digest uint64 }

// SnapshotPart is a part of the leader's table as it was after a decision.
type SnapshotPart struct {
	// Sequence is the number of that decision.
	Sequence uint64
	// Index counts the parts from 0; PartCount is their number.
	Index, PartCount int
	// Placements are at most MaxPartPlacements.
	Placements []Placement
	// Digest is that of the whole snapshot.
	Digest uint64
}

// ProtocolVersion is the version of the standby messages that this build reads. The first version
// had no unconfirmed entries: a follower of that version would take an unconfirmed job for one
// that runs nowhere.
const ProtocolVersion = 2

// firstVersionWithUnconfirmed is the first version whose followers may be sent unconfirmed
// entries.
const firstVersionWithUnconfirmed = 2

// Position is how far a follower has got; it is the answer to each message.
type Position struct {
	// Incarnation identifies the member's process.
	Incarnation uint64
	// ProtocolVersion is the version of the messages that the member's process reads; 0 from the
	// first version, which did not send it.
	ProtocolVersion uint8
	// Token is the fencing token of the leader whose messages it applies.
	Token uint64
	// IsComplete: the replica equals the leader's table after the decision Sequence.
	IsComplete bool
	Sequence   uint64
	// SnapshotSequence is the sequence number of the snapshot being received, SnapshotParts how
	// many of its parts have arrived.
	SnapshotSequence uint64
	SnapshotParts    int
}

// isBehind reports whether both replicas are complete and this one has fewer decisions.
func (position Position) isBehind(other Position) bool {
	return position.IsComplete && other.IsComplete && position.Sequence < other.Sequence
}

// isValid reports whether a leader could have sent the message: it is within the bounds and
// consistent.
func (message *Message) isValid() bool {
	if len(message.Decisions) > MaxDecisions || message.Token == 0 {
		return false
	}
	for _, decision := range message.Decisions {
		if !decision.Kind.isValid() || !decision.Placement.isValid() {
			return false
		}
	}
	return message.Part == nil || message.Part.isValid()
}

// isValid reports whether a leader could have sent the part.
func (part *SnapshotPart) isValid() bool {
	for _, placement := range part.Placements {
		if !placement.isValid() {
			return false
		}
	}
	isCountInBounds := part.PartCount >= 1 && part.PartCount <= MaxSnapshotParts
	isIndexInBounds := part.Index >= 0 && part.Index < part.PartCount
	return len(part.Placements) <= MaxPartPlacements && isCountInBounds && isIndexInBounds
}

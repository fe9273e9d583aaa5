package standby

// These bounds keep a message within the maximum size of a frame between controllers; see package
// peer.
const (
	// MaxDecisions is the maximum number of decisions in a message.
	MaxDecisions = 500
	// MaxPartPlacements is the maximum number of placements in one part of a snapshot.
	MaxPartPlacements = 500
	// MaxSnapshotParts is the maximum number of parts in a snapshot.
	MaxSnapshotParts = 20_000
)

// Message is a message from the leader to one follower. It carries decisions, with or without a
// digest check, or one part of a snapshot, or only a digest check. A message with none of these
// announces the leader's token.
type Message struct {
	// Token is the fencing token of the leader.
	Token uint64
	// AfterSequence is the sequence number just before that of the first decision in Decisions.
	// Sequence numbers begin with 1 in each leadership term and have no gaps.
	AfterSequence uint64
	// Decisions are consecutive decisions, at most MaxDecisions of them.
	Decisions []Decision
	// Part is a part of a snapshot, or nil.
	Part *SnapshotPart
	// Check is the digest of the leader's table after a decision, or nil.
	Check *DigestCheck
}

// DigestCheck is the digest of the leader's table right after the decision numbered Sequence.
type DigestCheck struct{ Sequence, Digest uint64 }

// SnapshotPart is one part of a snapshot: the leader's table as it was right after one decision.
type SnapshotPart struct {
	// Sequence is the sequence number of that decision.
	Sequence uint64
	// Index is the number of this part, counted from 0. PartCount is the number of parts.
	Index, PartCount int
	// Placements are the placements in this part, at most MaxPartPlacements of them.
	Placements []Placement
	// Digest is the digest of the whole snapshot.
	Digest uint64
}

// ProtocolVersion is the version of the standby messages that this build reads. The first version
// has no unconfirmed entries: a follower of that version would conclude that no task of an
// unconfirmed job is running.
const ProtocolVersion = 2

// firstVersionWithUnconfirmed is the first protocol version that has unconfirmed entries. They may be
// sent only to followers of this version or a later one.
const firstVersionWithUnconfirmed = 2

// Position is how far a follower's replica has got. A follower answers each message with it.
type Position struct {
	// Incarnation identifies the member's process.
	Incarnation uint64
	// ProtocolVersion is the version of the standby messages that the member's process reads. It is
	// 0 for the first version, which does not send it.
	ProtocolVersion uint8
	// Token is the fencing token of the leader whose messages the follower applies.
	Token uint64
	// IsComplete is whether the replica equals the leader's table right after decision Sequence.
	IsComplete bool
	Sequence   uint64
	// SnapshotSequence is the sequence number of the snapshot that is being received, and
	// SnapshotParts is how many of its parts have arrived.
	SnapshotSequence uint64
	SnapshotParts    int
}

// isBehind reports whether both positions are complete and position has fewer decisions than other.
func (position Position) isBehind(other Position) bool {
	return position.IsComplete && other.IsComplete && position.Sequence < other.Sequence
}

// isValid reports whether a leader could have sent the message: whether it is within the bounds and
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

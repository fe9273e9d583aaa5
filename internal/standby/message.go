package standby

// Bounds of one message, so that it fits a frame between controllers.
const (
	// MaxDecisions is how many decisions a message holds at most.
	MaxDecisions = 500
	// MaxPartPlacements is how many placements a part of a snapshot holds at most.
	MaxPartPlacements = 500
	// MaxSnapshotParts bounds the parts of a snapshot.
	MaxSnapshotParts = 20_000
)

// Message goes from the leader to one follower. It holds decisions, or a part of a
// snapshot, or only the digest.
type Message struct {
	// Token is that of the leader's lock.
	Token uint64
	// AfterSequence is the number of the decision before the first one here. Numbers begin with
	// 1 in each lead and have no gaps.
	AfterSequence uint64
	Decisions     []Decision
	// Part, if not nil, is a part of a snapshot.
	Part *SnapshotPart
	// Check, if not nil, is what the digest is after a decision.
	Check *DigestCheck
}

// DigestCheck is the digest of the account after a decision.
type DigestCheck struct{ Sequence, Digest uint64 }

// SnapshotPart is a piece of the account as it was after a decision.
type SnapshotPart struct {
	Sequence         uint64
	Index, PartCount int
	Placements       []Placement
	// Digest is that of the whole snapshot.
	Digest uint64
}

// ProtocolVersion is that of the messages which this version takes. The first one knew no doubts:
// a follower of that version would take a job that is in doubt for one that is nowhere.
const ProtocolVersion = 2

// firstVersionWithUnconfirmed is the first version whose followers may be told of doubts.
const firstVersionWithUnconfirmed = 2

// Position is where a follower stands; it is the answer to each message.
type Position struct {
	// Incarnation tells lives of a member apart.
	Incarnation uint64
	// ProtocolVersion is that of the messages which the member takes in that life; the first
	// version does not tell it, so it is 0 there.
	ProtocolVersion uint8
	// Token is that of the leader whose stream it follows.
	Token uint64
	// IsComplete: the replica is the leader's account after decision Sequence.
	IsComplete bool
	Sequence   uint64
	// SnapshotSequence is the decision of the snapshot that it is taking, Parts how many of its
	// parts it has.
	SnapshotSequence uint64
	SnapshotParts    int
}

// isValid tells whether a message is no larger than any that is ever sent, and
// makes sense.
func (message *Message) isValid() bool {
	if len(message.Decisions) > MaxDecisions || message.Token == 0 {
		return false
	}
	for _, decision := range message.Decisions {
		if decision.Kind != Started && decision.Kind != Ended || !decision.Placement.isValid() {
			return false
		}
	}
	return message.Part == nil || message.Part.isValid()
}

func (part *SnapshotPart) isValid() bool {
	for _, placement := range part.Placements {
		if !placement.isValid() {
			return false
		}
	}
	return len(part.Placements) <= MaxPartPlacements && part.PartCount >= 1 && part.PartCount <= MaxSnapshotParts && part.Index >= 0 && part.Index < part.PartCount
}

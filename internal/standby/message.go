package standby

// Bounds of one message, so that it fits a frame between controllers.
const (
	// MaxDecisions is how many decisions a message holds at most.
	MaxDecisions = 500
	// MaxPlacements is how many placements a part of a snapshot holds at most.
	MaxPlacements = 500
	// MaxParts bounds the parts of a snapshot.
	MaxParts = 20_000
)

// Message goes from the leader to one follower. It holds decisions, or a part of a
// snapshot, or only the digest.
type Message struct {
	// Token is that of the leader's lock.
	Token uint64
	// After is the number of the decision before the first one here. Numbers begin with
	// 1 in each lead and have no gaps.
	After     uint64
	Decisions []Decision
	// Part, if not nil, is a part of a snapshot.
	Part *Part
	// Check, if not nil, is what the digest is after a decision.
	Check *Check
}

// Check is the digest of the account after a decision.
type Check struct{ Sequence, Digest uint64 }

// Part is a piece of the account as it was after a decision.
type Part struct {
	Sequence   uint64
	Number, Of int
	Placements []Placement
	// Digest is that of the whole snapshot.
	Digest uint64
}

// Version is that of the messages which this version takes. The first one knew no doubts:
// a follower of that version would take a job that is in doubt for one that is nowhere.
const Version = 2

// firstWithDoubts is the first version whose followers may be told of doubts.
const firstWithDoubts = 2

// Position is where a follower stands; it is the answer to each message.
type Position struct {
	// Life tells lives of a member apart.
	Life uint64
	// Version is that of the messages which the member takes in that life; the first
	// version does not tell it, so it is 0 there.
	Version uint8
	// Token is that of the leader whose stream it follows.
	Token uint64
	// IsComplete: the replica is the leader's account after decision Sequence.
	IsComplete bool
	Sequence   uint64
	// Building is the decision of the snapshot that it is taking, Parts how many of its
	// parts it has.
	Building uint64
	Parts    int
}

// isWithinBounds tells whether a message is no larger than any that is ever sent, and
// makes sense.
func (m *Message) isWithinBounds() bool {
	if len(m.Decisions) > MaxDecisions || m.Token == 0 {
		return false
	}
	for _, d := range m.Decisions {
		if d.Kind != Started && d.Kind != Over || !d.Placement.isValid() {
			return false
		}
	}
	return m.Part == nil || m.Part.isWithinBounds()
}

func (p *Part) isWithinBounds() bool {
	for _, placement := range p.Placements {
		if !placement.isValid() {
			return false
		}
	}
	return len(p.Placements) <= MaxPlacements && p.Of >= 1 && p.Of <= MaxParts && p.Number >= 0 && p.Number < p.Of
}

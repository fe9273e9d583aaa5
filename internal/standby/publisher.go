package standby

import (
	"github.com/tidwall/btree"

	"firwood.dev/firwood/internal/clock"
)

const (
	// maxLogDecisions is how many decisions are kept for followers that lag; one that lags by
	// more gets a snapshot.
	maxLogDecisions = 16 * MaxDecisions
	// resendTimeout is how long the answer to a message is awaited before the next one is sent.
	resendTimeout = 200 * clock.Millisecond
	// digestInterval is how often a follower that is up to date is sent the digest.
	digestInterval = 5 * clock.Second
)

// Publisher is the leader's side. It keeps a bounded log of decisions and has at most one message
// in flight to each follower, so that a slow one costs neither time nor memory.
type Publisher struct {
	token        uint64
	table        *Table
	lastSequence uint64
	decisionLog  []Decision // the last ones, up to lastSequence
	// lastUnconfirmedSequence is the number of the last decision about an unconfirmed entry.
	lastUnconfirmedSequence uint64

	followers map[string]*followerState
}

// followerState is what the leader knows of a follower.
type followerState struct {
	position    Position
	hasPosition bool

	laggingSince    clock.Micros // since when the replica has been incomplete or behind; 0: up to date
	isAnswerPending bool         // a message is in flight
	sentAt          clock.Micros
	digestSentAt    clock.Micros
	transfer        *snapshotTransfer
}

// snapshotTransfer is a snapshot that is being sent to a follower.
type snapshotTransfer struct {
	sequence      uint64
	digest        uint64
	placements    *btree.BTreeG[Placement]
	partCount     int
	nextPlacement Placement // first placement of the next part
	receivedParts int       // how many parts the follower has
}

// NewPublisher starts the side of a leader whose table begins with some placements.
func NewPublisher(token uint64, initial []Placement, memberNames []string) *Publisher {
	publisher := &Publisher{token: token, table: NewTable(), followers: map[string]*followerState{}}
	for _, placement := range initial {
		publisher.table.add(placement)
	}
	for _, name := range memberNames {
		publisher.followers[name] = &followerState{}
	}
	return publisher
}

// AppendDecision applies a decision and returns its sequence number. A start must not be sent
// before InSyncSet.MaySendStart allows that number.
func (publisher *Publisher) AppendDecision(decision Decision) uint64 {
	publisher.table.Apply(decision)
	publisher.lastSequence++
	if len(publisher.decisionLog) == maxLogDecisions {
		publisher.decisionLog = append(publisher.decisionLog[:0], publisher.decisionLog[maxLogDecisions/2:]...)
	}
	publisher.decisionLog = append(publisher.decisionLog, decision)
	if decision.Placement.IsUnconfirmed() {
		publisher.lastUnconfirmedSequence = publisher.lastSequence
	}
	return publisher.lastSequence
}

// LastSequence returns the sequence number of the last decision.
func (publisher *Publisher) LastSequence() uint64 { return publisher.lastSequence }

// Table returns the leader's own table.
func (publisher *Publisher) Table() *Table { return publisher.table }

// RecordPosition records a follower's position. A position under another token, or of another
// incarnation of the follower, only means that a full snapshot is needed.
func (publisher *Publisher) RecordPosition(name string, position Position) {
	follower := publisher.followers[name]
	if follower == nil || position.Token > publisher.token {
		return
	}
	if position.Token != publisher.token {
		position = Position{Incarnation: position.Incarnation}
	}
	if follower.hasPosition && position.Incarnation == follower.position.Incarnation && position.IsComplete && follower.position.IsComplete && position.Sequence < follower.position.Sequence {
		return // a delayed answer
	}
	if position.Incarnation != follower.position.Incarnation {
		follower.transfer = nil
	}
	follower.position, follower.hasPosition, follower.isAnswerPending = position, true, false
}

// NextMessage returns the next message to a follower, if one is due.
func (publisher *Publisher) NextMessage(name string, now clock.Micros) (*Message, bool) {
	follower := publisher.followers[name]
	if follower != nil {
		publisher.trackLag(follower, now)
	}
	if follower == nil || follower.isAnswerPending && now-follower.sentAt < resendTimeout {
		return nil, false
	}
	message := publisher.buildMessage(follower, now)
	if message == nil {
		return nil, false
	}
	follower.isAnswerPending, follower.sentAt = true, now
	return message, true
}

func (publisher *Publisher) buildMessage(follower *followerState, now clock.Micros) *Message {
	message := &Message{Token: publisher.token, Check: &DigestCheck{publisher.lastSequence, publisher.table.Digest()}}
	beforeLog := publisher.lastSequence - uint64(len(publisher.decisionLog)) // the number before the first one kept
	switch {
	case !publisher.isCompatible(follower):
		return publisher.buildAnnouncement(follower, now)
	case !follower.position.IsComplete || follower.position.Sequence < max(beforeLog, publisher.minLogSequence(follower)):
		message.Part = publisher.nextPart(follower)
		message.Check = nil
	case follower.position.Sequence < publisher.lastSequence:
		follower.transfer = nil
		message.AfterSequence = follower.position.Sequence
		remaining := publisher.decisionLog[message.AfterSequence-beforeLog:]
		message.Decisions = append(message.Decisions, remaining[:min(len(remaining), MaxDecisions)]...)
		if len(message.Decisions) < len(remaining) {
			message.Check = nil
		}
	case now-follower.digestSentAt < digestInterval:
		return nil
	default:
		follower.digestSentAt = now
	}
	return message
}

// isCompatible reports whether the follower can read the table as it is. As long as there are
// unconfirmed entries, followers of the first version can't, and those whose version is not known
// yet might not.
func (publisher *Publisher) isCompatible(follower *followerState) bool {
	return publisher.table.UnconfirmedCount() == 0 || follower.hasPosition && follower.position.ProtocolVersion >= firstVersionWithUnconfirmed
}

// minLogSequence returns the sequence number that a follower has to have reached to be sent
// decisions from the log; otherwise it gets a snapshot.
func (publisher *Publisher) minLogSequence(follower *followerState) uint64 {
	if follower.position.ProtocolVersion >= firstVersionWithUnconfirmed {
		return 0
	}
	return publisher.lastUnconfirmedSequence
}

// buildAnnouncement makes a message that has only the leader's token; the answer reveals the
// follower's protocol version.
func (publisher *Publisher) buildAnnouncement(follower *followerState, now clock.Micros) *Message {
	if follower.hasPosition && now-follower.digestSentAt < digestInterval {
		return nil
	}
	follower.digestSentAt = now
	return &Message{Token: publisher.token}
}

// nextPart returns the part of a snapshot that a follower needs next. If the log has moved past
// the snapshot meanwhile, a new one is begun.
func (publisher *Publisher) nextPart(follower *followerState) *SnapshotPart {
	transfer := follower.transfer
	beforeLog := publisher.lastSequence - uint64(len(publisher.decisionLog))
	isInProgress := transfer != nil && transfer.sequence >= beforeLog && follower.position.SnapshotSequence == transfer.sequence
	switch {
	case isInProgress && follower.position.SnapshotParts == transfer.receivedParts+1:
		transfer.advancePage()
	case isInProgress && follower.position.SnapshotParts == transfer.receivedParts:
		// The last message, or its answer, was lost: send the same part again.
	case transfer != nil && transfer.sequence >= beforeLog && transfer.receivedParts == 0 && follower.position.SnapshotParts == 0:
		// Nothing of it has arrived yet.
	default:
		transfer = publisher.newTransfer()
		follower.transfer = transfer
	}
	placements := transfer.currentPage()
	return &SnapshotPart{Sequence: transfer.sequence, Index: transfer.receivedParts, PartCount: transfer.partCount, Placements: placements, Digest: transfer.digest}
}

func (publisher *Publisher) newTransfer() *snapshotTransfer {
	placements := publisher.table.copyPlacements()
	return &snapshotTransfer{
		sequence: publisher.lastSequence, digest: publisher.table.Digest(), placements: placements,
		partCount: max((placements.Len()+MaxPartPlacements-1)/MaxPartPlacements, 1),
	}
}

// currentPage returns the placements of the part that comes after those the follower has.
func (transfer *snapshotTransfer) currentPage() []Placement {
	var page []Placement
	transfer.placements.Ascend(transfer.nextPlacement, func(placement Placement) bool {
		page = append(page, placement)
		return len(page) < MaxPartPlacements
	})
	return page
}

// advancePage goes on to the next part.
func (transfer *snapshotTransfer) advancePage() {
	visited := 0
	transfer.placements.Ascend(transfer.nextPlacement, func(placement Placement) bool {
		transfer.nextPlacement = placement
		visited++
		return visited <= MaxPartPlacements
	})
	transfer.receivedParts++
}

// HasDecision reports whether the replica of a member's process has a decision. One of the first
// version counts as having none while there are unconfirmed entries: it may have received a
// snapshot that was sent to an earlier process of the member, of a later version.
func (publisher *Publisher) HasDecision(member Member, sequence uint64) bool {
	follower := publisher.followers[member.Name]
	if follower == nil || !publisher.isCompatible(follower) {
		return false
	}
	return follower.hasPosition && follower.position.Incarnation == member.Incarnation && follower.position.IsComplete && follower.position.Sequence >= sequence
}

// LagCount returns how many decisions a member's replica lacks; all of them if it is not
// complete.
func (publisher *Publisher) LagCount(name string) uint64 {
	follower := publisher.followers[name]
	if follower == nil || !follower.position.IsComplete {
		return publisher.lastSequence + 1
	}
	return publisher.lastSequence - follower.position.Sequence
}

// trackLag notes since when a follower has lagged.
func (publisher *Publisher) trackLag(follower *followerState, now clock.Micros) {
	switch {
	case follower.position.IsComplete && follower.position.Sequence == publisher.lastSequence:
		follower.laggingSince = 0
	case follower.laggingSince == 0:
		follower.laggingSince = now
	}
}

// LagDuration returns for how long a member's replica has been incomplete or behind.
func (publisher *Publisher) LagDuration(name string, now clock.Micros) clock.Micros {
	if follower := publisher.followers[name]; follower != nil && follower.laggingSince != 0 {
		return now - follower.laggingSince
	}
	return 0
}

// incarnationOf returns the incarnation of a member's last position; 0 if there was none.
func (publisher *Publisher) incarnationOf(name string) uint64 {
	if follower := publisher.followers[name]; follower != nil && follower.hasPosition {
		return follower.position.Incarnation
	}
	return 0
}

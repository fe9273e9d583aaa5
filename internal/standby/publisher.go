package standby

import (
	"github.com/tidwall/btree"

	"firwood.dev/firwood/internal/clock"
)

const (
	// maxLogDecisions is how many decisions are kept for followers that lag; one that lags by
	// more takes a snapshot.
	maxLogDecisions = 16 * MaxDecisions
	// resendTimeout is how long the answer to a message is waited for.
	resendTimeout = 200 * clock.Millisecond
	// digestInterval is how often a follower with nothing to take is sent the digest.
	digestInterval = 5 * clock.Second
)

// Publisher is the leader's side. It holds a bounded log and sends each follower one
// message at a time, so a slow one costs neither time nor memory.
type Publisher struct {
	token        uint64
	table        *Table
	lastSequence uint64
	decisionLog  []Decision // the last ones, up to sequence
	// lastUnconfirmedSequence is the number of the last decision about a doubt.
	lastUnconfirmedSequence uint64

	followers map[string]*followerState
}

// followerState is what the leader knows of a member.
type followerState struct {
	position    Position
	hasPosition bool

	laggingSince    clock.Micros // something; 0: it has all
	isAnswerPending bool         // a message is under way
	sentAt          clock.Micros
	digestSentAt    clock.Micros
	transfer        *snapshotTransfer
}

// snapshotTransfer is one that a follower is taking.
type snapshotTransfer struct {
	sequence      uint64
	digest        uint64
	placements    *btree.BTreeG[Placement]
	partCount     int
	nextPlacement Placement // the first one of the part after the last one taken
	receivedParts int       // how many parts have been taken
}

// NewPublisher makes the side of a leader whose account begins with some placements:
// those that it has found, or has reason to reckon with.
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

// AppendDecision takes a decision and tells its number. A start must not be sent before
// InSyncSet.MaySendStart allows that number.
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

// LastSequence is the number of the last decision.
func (publisher *Publisher) LastSequence() uint64 { return publisher.lastSequence }

// Table is the leader's own account.
func (publisher *Publisher) Table() *Table { return publisher.table }

// RecordPosition takes a follower's position. An answer under another token, or to a leader's
// message of another life of the follower, tells only that all has to be sent.
func (publisher *Publisher) RecordPosition(name string, position Position) {
	follower := publisher.followers[name]
	if follower == nil || position.Token > publisher.token {
		return
	}
	if position.Token != publisher.token {
		position = Position{Incarnation: position.Incarnation}
	}
	if follower.hasPosition && position.Incarnation == follower.position.Incarnation && position.IsComplete && follower.position.IsComplete && position.Sequence < follower.position.Sequence {
		return // an older answer
	}
	if position.Incarnation != follower.position.Incarnation {
		follower.transfer = nil
	}
	follower.position, follower.hasPosition, follower.isAnswerPending = position, true, false
}

// NextMessage is the next message to a follower, if one is due.
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

// isCompatible tells whether the follower can take the account as it is. One of the first
// version cannot as long as there are doubts, and neither may one whose version is not
// known yet.
func (publisher *Publisher) isCompatible(follower *followerState) bool {
	return publisher.table.UnconfirmedCount() == 0 || follower.hasPosition && follower.position.ProtocolVersion >= firstVersionWithUnconfirmed
}

// minLogSequence is the decision that a follower has to be past to be told the ones after it;
// else it takes a snapshot.
func (publisher *Publisher) minLogSequence(follower *followerState) uint64 {
	if follower.position.ProtocolVersion >= firstVersionWithUnconfirmed {
		return 0
	}
	return publisher.lastUnconfirmedSequence
}

// buildAnnouncement is a message that says only who leads. Its answer tells the follower's version.
func (publisher *Publisher) buildAnnouncement(follower *followerState, now clock.Micros) *Message {
	if follower.hasPosition && now-follower.digestSentAt < digestInterval {
		return nil
	}
	follower.digestSentAt = now
	return &Message{Token: publisher.token}
}

// nextPart is the part of a snapshot that a follower takes next. One that has fallen behind
// the log while it took a snapshot begins with another.
func (publisher *Publisher) nextPart(follower *followerState) *SnapshotPart {
	transfer := follower.transfer
	beforeLog := publisher.lastSequence - uint64(len(publisher.decisionLog))
	isInProgress := transfer != nil && transfer.sequence >= beforeLog && follower.position.SnapshotSequence == transfer.sequence
	switch {
	case isInProgress && follower.position.SnapshotParts == transfer.receivedParts+1:
		transfer.advancePage()
	case isInProgress && follower.position.SnapshotParts == transfer.receivedParts:
		// The last message, or its answer, was lost.
	case transfer != nil && transfer.sequence >= beforeLog && transfer.receivedParts == 0 && follower.position.SnapshotParts == 0:
		// Nothing of it has come yet.
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

// currentPage is the part after those that have been taken.
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

// HasDecision tells whether a member's replica, in one of its lives, has a decision. One of the
// first version has none as long as there are doubts: it may have been given a snapshot that
// was sent to an earlier life, of a later version.
func (publisher *Publisher) HasDecision(member Member, sequence uint64) bool {
	follower := publisher.followers[member.Name]
	if follower == nil || !publisher.isCompatible(follower) {
		return false
	}
	return follower.hasPosition && follower.position.Incarnation == member.Incarnation && follower.position.IsComplete && follower.position.Sequence >= sequence
}

// LagCount is how many decisions a member's replica lacks; all of them if it is not complete.
func (publisher *Publisher) LagCount(name string) uint64 {
	follower := publisher.followers[name]
	if follower == nil || !follower.position.IsComplete {
		return publisher.lastSequence + 1
	}
	return publisher.lastSequence - follower.position.Sequence
}

func (publisher *Publisher) trackLag(follower *followerState, now clock.Micros) {
	switch {
	case follower.position.IsComplete && follower.position.Sequence == publisher.lastSequence:
		follower.laggingSince = 0
	case follower.laggingSince == 0:
		follower.laggingSince = now
	}
}

// LagDuration is for how long a member's replica has lacked something.
func (publisher *Publisher) LagDuration(name string, now clock.Micros) clock.Micros {
	if follower := publisher.followers[name]; follower != nil && follower.laggingSince != 0 {
		return now - follower.laggingSince
	}
	return 0
}

// incarnationOf is the life in which a member was last heard, 0 if it was not.
func (publisher *Publisher) incarnationOf(name string) uint64 {
	if follower := publisher.followers[name]; follower != nil && follower.hasPosition {
		return follower.position.Incarnation
	}
	return 0
}

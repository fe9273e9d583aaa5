package standby

import (
	"slices"

	"firwood.dev/firwood/internal/clock"
)

const (
	// maxLogDecisions is the maximum number of decisions that are kept for lagging followers. When it
	// is reached, the older half is dropped. A follower that lacks a dropped decision gets a snapshot.
	maxLogDecisions = 16 * MaxDecisions
	// resendTimeout is how long the leader waits for the answer to a message before it sends another.
	resendTimeout = 200 * clock.Millisecond
	// digestInterval is how often a follower that is up to date is sent the digest. It is also how
	// often the leader's token is announced to a follower that has answered but can't read the table.
	digestInterval = 5 * clock.Second
)

// Publisher is the leader's side of the replication. It keeps a bounded log of decisions and at most
// one message in flight to each follower, so that a slow follower costs neither time nor memory.
type Publisher struct {
	token        uint64
	table        *Table
	lastSequence uint64
	decisionLog  []Decision // the last decisions, up to lastSequence
	// lastUnconfirmedSequence is the sequence number of the last decision about an unconfirmed entry.
	lastUnconfirmedSequence uint64

	followers map[string]*followerState
}

// followerState is what the leader knows about a follower.
type followerState struct {
	position    Position
	hasPosition bool

	laggingSince       clock.Micros // since when the replica has been incomplete or behind, or 0 if it is up to date
	isAwaitingPosition bool         // no position has arrived since the last message was sent
	sentAt             clock.Micros
	digestSentAt       clock.Micros // when the last digest without decisions, or the last announcement, was sent
	transfer           *snapshotTransfer
}

// NewPublisher returns the publisher of a leader whose table is empty, for the given other members.
func NewPublisher(token uint64, memberNames []string) *Publisher {
	publisher := &Publisher{token: token, table: NewTable(), followers: map[string]*followerState{}}
	for _, name := range memberNames {
		publisher.followers[name] = &followerState{}
	}
	return publisher
}

// AppendDecision applies a decision to the table and returns the decision's sequence number. A start
// must not be sent before InSyncSet.MaySendStart allows its number.
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

// sequenceBeforeLog returns the sequence number just before the oldest decision in the log.
func (publisher *Publisher) sequenceBeforeLog() uint64 {
	return publisher.lastSequence - uint64(len(publisher.decisionLog))
}

// RecordPosition records a follower's position. A position under an earlier leader's token says only
// which process answers: that follower has nothing of this leader yet, and is treated as one of the
// first protocol version until it answers under this leader's token. A position under a later token
// answers another leader and is ignored. A transfer to an earlier process of the member is abandoned.
func (publisher *Publisher) RecordPosition(name string, position Position) {
	follower := publisher.followers[name]
	if follower == nil || position.Token > publisher.token {
		return
	}
	if position.Token != publisher.token {
		position = Position{Incarnation: position.Incarnation}
	}
	isSameProcess := position.Incarnation == follower.position.Incarnation
	if follower.hasPosition && isSameProcess && position.isBehind(follower.position) {
		return // a delayed position
	}
	if !isSameProcess {
		follower.transfer = nil
	}
	follower.position, follower.hasPosition, follower.isAwaitingPosition = position, true, false
}

// NextMessage returns the next message to a follower, and reports whether one is due.
func (publisher *Publisher) NextMessage(name string, now clock.Micros) (*Message, bool) {
	follower := publisher.followers[name]
	if follower == nil {
		return nil, false
	}
	publisher.trackLag(follower, now)
	if follower.isAwaitingPosition && now-follower.sentAt < resendTimeout {
		return nil, false
	}
	message := publisher.buildMessage(follower, now)
	if message == nil {
		return nil, false
	}
	follower.isAwaitingPosition, follower.sentAt = true, now
	return message, true
}

// buildMessage returns the message that the follower needs most, or nil if none is due.
func (publisher *Publisher) buildMessage(follower *followerState, now clock.Micros) *Message {
	switch {
	case !publisher.isCompatible(follower):
		return publisher.buildAnnouncement(follower, now)
	case publisher.needsSnapshot(follower):
		return &Message{Token: publisher.token, Part: publisher.nextPart(follower)}
	case follower.position.Sequence < publisher.lastSequence:
		return publisher.buildDecisionMessage(follower)
	}
	return publisher.buildDigestMessage(follower, now)
}

// needsSnapshot reports whether the decisions in the log can't bring the follower up to date.
func (publisher *Publisher) needsSnapshot(follower *followerState) bool {
	requiredSequence := max(publisher.sequenceBeforeLog(), publisher.minLogSequence(follower))
	return !follower.position.IsComplete || follower.position.Sequence < requiredSequence
}

// buildDecisionMessage returns a message with the decisions that the follower lacks next. It includes
// the digest if they are the last ones.
func (publisher *Publisher) buildDecisionMessage(follower *followerState) *Message {
	follower.transfer = nil
	after := follower.position.Sequence
	remaining := publisher.decisionLog[after-publisher.sequenceBeforeLog():]
	next := remaining[:min(len(remaining), MaxDecisions)]
	// The message gets a copy, since AppendDecision moves the log's entries in place.
	message := &Message{Token: publisher.token, AfterSequence: after, Decisions: slices.Clone(next)}
	if len(next) == len(remaining) {
		message.Check = publisher.digestCheck()
	}
	return message
}

// buildDigestMessage returns a message that has only the digest, or nil if none is due.
func (publisher *Publisher) buildDigestMessage(follower *followerState, now clock.Micros) *Message {
	if !follower.isDigestDue(now) {
		return nil
	}
	follower.digestSentAt = now
	return &Message{Token: publisher.token, Check: publisher.digestCheck()}
}

// digestCheck returns the digest of the present table.
func (publisher *Publisher) digestCheck() *DigestCheck {
	return &DigestCheck{Sequence: publisher.lastSequence, Digest: publisher.table.Digest()}
}

// isDigestDue reports whether digestInterval has passed since the last digest or announcement.
func (follower *followerState) isDigestDue(now clock.Micros) bool {
	return now-follower.digestSentAt >= digestInterval
}

// isCompatible reports whether the follower is known to be able to read the present table. While the
// table has unconfirmed entries, followers of the first protocol version can't read it, and those
// whose version is not known yet may not be able to.
func (publisher *Publisher) isCompatible(follower *followerState) bool {
	return publisher.table.UnconfirmedCount() == 0 || follower.hasPosition && follower.canReadUnconfirmed()
}

// canReadUnconfirmed reports whether the protocol version in the follower's last position has
// unconfirmed entries.
func (follower *followerState) canReadUnconfirmed() bool {
	return follower.position.ProtocolVersion >= firstVersionWithUnconfirmed
}

// minLogSequence returns the sequence number that a follower must have reached to be sent decisions
// from the log. A follower that has not reached it gets a snapshot.
func (publisher *Publisher) minLogSequence(follower *followerState) uint64 {
	if follower.canReadUnconfirmed() {
		return 0
	}
	return publisher.lastUnconfirmedSequence
}

// buildAnnouncement returns a message that has only the leader's token, or nil if none is due. The
// answer reveals the follower's protocol version.
func (publisher *Publisher) buildAnnouncement(follower *followerState, now clock.Micros) *Message {
	if follower.hasPosition && !follower.isDigestDue(now) {
		return nil
	}
	follower.digestSentAt = now
	return &Message{Token: publisher.token}
}

// HasDecision reports whether the replica of a member's process has a decision. While the table has
// unconfirmed entries, a process of the first protocol version counts as having no decisions: it may
// have received a snapshot that was sent to an earlier process of the member, of a later version.
func (publisher *Publisher) HasDecision(member Member, sequence uint64) bool {
	follower := publisher.followers[member.Name]
	if follower == nil || !publisher.isCompatible(follower) {
		return false
	}
	position := follower.position
	return follower.hasPosition && position.Incarnation == member.Incarnation && position.IsComplete && position.Sequence >= sequence
}

// LagCount returns how many decisions a member's replica lacks. For an incomplete replica it returns
// one more than there are decisions, so that the replica never seems up to date.
func (publisher *Publisher) LagCount(name string) uint64 {
	follower := publisher.followers[name]
	if follower == nil || !follower.position.IsComplete {
		return publisher.lastSequence + 1
	}
	return publisher.lastSequence - follower.position.Sequence
}

// trackLag records since when a follower has lagged.
func (publisher *Publisher) trackLag(follower *followerState, now clock.Micros) {
	switch {
	case follower.position.IsComplete && follower.position.Sequence == publisher.lastSequence:
		follower.laggingSince = 0
	case follower.laggingSince == 0:
		follower.laggingSince = now
	}
}

// LagDuration returns how long a member's replica has been incomplete or behind.
func (publisher *Publisher) LagDuration(name string, now clock.Micros) clock.Micros {
	if follower := publisher.followers[name]; follower != nil && follower.laggingSince != 0 {
		return now - follower.laggingSince
	}
	return 0
}

// incarnationOf returns the incarnation in a member's last position, or 0 if there is no position.
func (publisher *Publisher) incarnationOf(name string) uint64 {
	if follower := publisher.followers[name]; follower != nil && follower.hasPosition {
		return follower.position.Incarnation
	}
	return 0
}

package standby

import (
	"slices"

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

// NewPublisher starts the side of a leader whose table is empty, with the other members.
func NewPublisher(token uint64, memberNames []string) *Publisher {
	publisher := &Publisher{token: token, table: NewTable(), followers: map[string]*followerState{}}
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

// sequenceBeforeLog returns the sequence number just before the oldest decision in the log.
func (publisher *Publisher) sequenceBeforeLog() uint64 {
	return publisher.lastSequence - uint64(len(publisher.decisionLog))
}

// RecordPosition records a follower's position. A position under an earlier token says only which
// process answers: that follower has nothing of this leader yet, and counts as one of the first
// protocol version until it answers under this leader's token. A position under a later token is
// ignored: it answers another leader. A transfer to an earlier process of the member is abandoned.
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
		return // a delayed answer
	}
	if !isSameProcess {
		follower.transfer = nil
	}
	follower.position, follower.hasPosition, follower.isAnswerPending = position, true, false
}

// NextMessage returns the next message to a follower, if one is due.
func (publisher *Publisher) NextMessage(name string, now clock.Micros) (*Message, bool) {
	follower := publisher.followers[name]
	if follower == nil {
		return nil, false
	}
	publisher.trackLag(follower, now)
	if follower.isAnswerPending && now-follower.sentAt < resendTimeout {
		return nil, false
	}
	message := publisher.buildMessage(follower, now)
	if message == nil {
		return nil, false
	}
	follower.isAnswerPending, follower.sentAt = true, now
	return message, true
}

// buildMessage makes what the follower needs most; nil if that is nothing.
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

// needsSnapshot reports whether decisions from the log can't bring the follower up to date.
func (publisher *Publisher) needsSnapshot(follower *followerState) bool {
	requiredSequence := max(publisher.sequenceBeforeLog(), publisher.minLogSequence(follower))
	return !follower.position.IsComplete || follower.position.Sequence < requiredSequence
}

// buildDecisionMessage makes a message of the next decisions, with the digest if they are the last ones.
func (publisher *Publisher) buildDecisionMessage(follower *followerState) *Message {
	follower.transfer = nil
	after := follower.position.Sequence
	remaining := publisher.decisionLog[after-publisher.sequenceBeforeLog():]
	next := remaining[:min(len(remaining), MaxDecisions)]
	// The log is moved in place later, so the message gets a copy.
	message := &Message{Token: publisher.token, AfterSequence: after, Decisions: slices.Clone(next)}
	if len(next) == len(remaining) {
		message.Check = publisher.digestCheck()
	}
	return message
}

// buildDigestMessage makes a message that has only the digest; nil if none is due.
func (publisher *Publisher) buildDigestMessage(follower *followerState, now clock.Micros) *Message {
	if !follower.isDigestDue(now) {
		return nil
	}
	follower.digestSentAt = now
	return &Message{Token: publisher.token, Check: publisher.digestCheck()}
}

// digestCheck returns the digest of the table as it is now.
func (publisher *Publisher) digestCheck() *DigestCheck {
	return &DigestCheck{Sequence: publisher.lastSequence, Digest: publisher.table.Digest()}
}

// isDigestDue reports whether the last digest or announcement was sent long enough ago.
func (follower *followerState) isDigestDue(now clock.Micros) bool {
	return now-follower.digestSentAt >= digestInterval
}

// isCompatible reports whether the follower can read the table as it is. As long as there are
// unconfirmed entries, followers of the first version can't, and those whose version is not known
// yet might not.
func (publisher *Publisher) isCompatible(follower *followerState) bool {
	return publisher.table.UnconfirmedCount() == 0 || follower.hasPosition && follower.canReadUnconfirmed()
}

// canReadUnconfirmed reports whether the version of the follower's last position has unconfirmed
// entries.
func (follower *followerState) canReadUnconfirmed() bool {
	return follower.position.ProtocolVersion >= firstVersionWithUnconfirmed
}

// minLogSequence returns the sequence number that a follower has to have reached to be sent
// decisions from the log; otherwise it gets a snapshot.
func (publisher *Publisher) minLogSequence(follower *followerState) uint64 {
	if follower.canReadUnconfirmed() {
		return 0
	}
	return publisher.lastUnconfirmedSequence
}

// buildAnnouncement makes a message that has only the leader's token; the answer reveals the
// follower's protocol version.
func (publisher *Publisher) buildAnnouncement(follower *followerState, now clock.Micros) *Message {
	if follower.hasPosition && !follower.isDigestDue(now) {
		return nil
	}
	follower.digestSentAt = now
	return &Message{Token: publisher.token}
}

// HasDecision reports whether the replica of a member's process has a decision. One of the first
// version counts as having none while there are unconfirmed entries: it may have received a
// snapshot that was sent to an earlier process of the member, of a later version.
func (publisher *Publisher) HasDecision(member Member, sequence uint64) bool {
	follower := publisher.followers[member.Name]
	if follower == nil || !publisher.isCompatible(follower) {
		return false
	}
	position := follower.position
	return follower.hasPosition && position.Incarnation == member.Incarnation && position.IsComplete && position.Sequence >= sequence
}

// LagCount returns how many decisions a member's replica lacks; if it is not complete, one more
// than there are, so that it never seems up to date.
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

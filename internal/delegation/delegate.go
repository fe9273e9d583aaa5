package delegation

import "firwood.dev/firwood/internal/clock"

// Delegate is the follower's side of delegation: it decides whether this member may act as delegate.
type Delegate struct {
	cfg         Config
	incarnation uint64
	startedAt   clock.Micros

	leaderToken         uint64       // highest known fencing token of a leader, or 0 if none is known
	leaderHeartbeatAt   clock.Micros // when that leader's last heartbeat was received, or 0 if none was
	grantUntil          clock.Micros // end of this member's grant
	latestReplyDeadline clock.Micros // latest deadline of a reply given as delegate, or 0 if none was given
}

// NewDelegate returns the Delegate of a member's process that starts now. The incarnation has to differ
// from those of all other processes of the member.
func NewDelegate(cfg Config, incarnation uint64, now clock.Micros) *Delegate {
	return &Delegate{cfg: cfg, incarnation: incarnation, startedAt: now}
}

// Timestamp returns the timestamp to send in a heartbeat, for the leader to acknowledge.
func (delegate *Delegate) Timestamp(now clock.Micros) Timestamp {
	return Timestamp{delegate.incarnation, now}
}

// IsOwnTimestamp reports whether a timestamp belongs to this incarnation of the member.
func (delegate *Delegate) IsOwnTimestamp(timestamp Timestamp) bool {
	return timestamp.Incarnation == delegate.incarnation && timestamp.At > 0
}

// RecordLeaderHeartbeat records a heartbeat from the leader with the given fencing token, unless a higher
// token is known. ack is this member's own timestamp that the heartbeat acknowledges; it extends the
// grant if it belongs to this incarnation.
func (delegate *Delegate) RecordLeaderHeartbeat(now clock.Micros, token uint64, ack Timestamp) {
	if token < delegate.leaderToken {
		return
	}
	// A grant outlives the leader that gave it: the successor takes the grant into account,
	// and this member uses it with the successor's token.
	delegate.leaderToken = token
	delegate.leaderHeartbeatAt = now
	if delegate.cfg.isEnabled() && delegate.IsOwnTimestamp(ack) && ack.At <= now {
		delegate.grantUntil = max(delegate.grantUntil, ack.At+delegate.cfg.GrantTTL)
	}
}

// GrantToSelf gives this member a grant when its own entitlement as leader has ended, if only
// temporarily, and lets it reply as delegate at once. While it was entitled, this member knew of every
// cancellation made before cancellationsKnownAt; if cancellationsKnownAt is 0, the member gets no grant.
// GrantToSelf may be called repeatedly, and in a term that continues later.
func (delegate *Delegate) GrantToSelf(token uint64, cancellationsKnownAt clock.Micros) {
	if token < delegate.leaderToken || !delegate.cfg.isEnabled() || cancellationsKnownAt == 0 {
		return
	}
	delegate.leaderToken = token
	delegate.leaderHeartbeatAt = 0 // no other leader is known yet whose heartbeats could time out
	delegate.grantUntil = max(delegate.grantUntil, cancellationsKnownAt+delegate.cfg.GrantTTL)
}

// MayReply reports whether the member may reply to a worker as delegate, with which fencing token and
// until when. workerToken is the highest token that the worker has seen.
func (delegate *Delegate) MayReply(now clock.Micros, workerToken uint64) (token uint64, until clock.Micros, ok bool) {
	knowsNewestLeader := delegate.leaderToken != 0 && workerToken <= delegate.leaderToken
	isLeaderSilent := now-delegate.leaderHeartbeatAt >= delegate.cfg.LeaderHeartbeatTimeout
	if !knowsNewestLeader || !isLeaderSilent || now >= delegate.grantUntil {
		return 0, 0, false
	}
	return delegate.leaderToken, delegate.grantUntil, true
}

// RecordReply records a reply given as delegate that is sent before until, or not at all.
func (delegate *Delegate) RecordReply(until clock.Micros) {
	delegate.latestReplyDeadline = max(delegate.latestReplyDeadline, until)
}

// SilentFor returns how long this incarnation has certainly not replied as delegate. The result never
// exceeds the age of the incarnation, which knows nothing of earlier ones.
func (delegate *Delegate) SilentFor(now clock.Micros) clock.Micros {
	if delegate.latestReplyDeadline == 0 {
		return now - delegate.startedAt
	}
	return max(now-delegate.latestReplyDeadline, 0)
}

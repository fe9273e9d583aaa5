package delegation

import "firwood.dev/firwood/internal/clock"

// Delegate is the follower's side.
type Delegate struct {
	cfg         Config
	incarnation uint64
	startedAt   clock.Micros

	leaderToken         uint64       // highest token of a leader that it knows; 0: none
	leaderHeartbeatAt   clock.Micros // when that leader's last heartbeat was received; 0: never
	grantUntil          clock.Micros
	latestReplyDeadline clock.Micros // latest deadline of an answer given as delegate
}

// NewDelegate starts the side of a member's process. The incarnation has to differ from those of
// all its other processes.
func NewDelegate(cfg Config, incarnation uint64, now clock.Micros) *Delegate {
	return &Delegate{cfg: cfg, incarnation: incarnation, startedAt: now}
}

// Timestamp returns the timestamp to send in a heartbeat, for the leader to acknowledge.
func (delegate *Delegate) Timestamp(now clock.Micros) Timestamp {
	return Timestamp{delegate.incarnation, now}
}

// IsOwnTimestamp reports whether a timestamp is of this incarnation.
func (delegate *Delegate) IsOwnTimestamp(timestamp Timestamp) bool {
	return timestamp.Incarnation == delegate.incarnation && timestamp.At > 0
}

// RecordLeaderHeartbeat records a leader's heartbeat, with the member's own timestamp that it
// acknowledges.
func (delegate *Delegate) RecordLeaderHeartbeat(now clock.Micros, token uint64, ack Timestamp) {
	if token < delegate.leaderToken {
		return
	}
	// A grant outlives the leader that gave it: the successor takes it into account,
	// and it is used under the successor's token.
	delegate.leaderToken = token
	delegate.leaderHeartbeatAt = now
	if delegate.cfg.isEnabled() && delegate.IsOwnTimestamp(ack) && ack.At <= now {
		delegate.grantUntil = max(delegate.grantUntil, ack.At+delegate.cfg.GrantTTL)
	}
}

// GrantToSelf gives this member a grant of its own when its entitlement as leader has ended, if only
// for now, and lets it answer as delegate at once. cancellationsKnownAt is the last instant before which it
// knew of every cancellation while it was entitled; 0 if there is none, and then it gets no grant.
// It may be called repeatedly, and in a term that goes on later.
func (delegate *Delegate) GrantToSelf(token uint64, cancellationsKnownAt clock.Micros) {
	if token < delegate.leaderToken || !delegate.cfg.isEnabled() || cancellationsKnownAt == 0 {
		return
	}
	delegate.leaderToken = token
	delegate.leaderHeartbeatAt = 0 // there is no other leader yet whose silence has to be awaited
	delegate.grantUntil = max(delegate.grantUntil, cancellationsKnownAt+delegate.cfg.GrantTTL)
}

// MayReply reports whether the member may answer a worker as delegate, with which token and
// until when. workerToken is the highest token that the worker has seen.
func (delegate *Delegate) MayReply(now clock.Micros, workerToken uint64) (token uint64, until clock.Micros, ok bool) {
	knowsNewestLeader := delegate.leaderToken != 0 && workerToken <= delegate.leaderToken
	isLeaderSilent := now-delegate.leaderHeartbeatAt >= delegate.cfg.LeaderHeartbeatTimeout
	if !knowsNewestLeader || !isLeaderSilent || now >= delegate.grantUntil {
		return 0, 0, false
	}
	return delegate.leaderToken, delegate.grantUntil, true
}

// RecordReply records an answer given as delegate that may be sent until then.
func (delegate *Delegate) RecordReply(until clock.Micros) {
	delegate.latestReplyDeadline = max(delegate.latestReplyDeadline, until)
}

// SilentFor returns for how long this incarnation has certainly not answered as delegate. That is
// never longer than its age: of earlier incarnations it knows nothing.
func (delegate *Delegate) SilentFor(now clock.Micros) clock.Micros {
	if delegate.latestReplyDeadline == 0 {
		return now - delegate.startedAt
	}
	return max(now-delegate.latestReplyDeadline, 0)
}

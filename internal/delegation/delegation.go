// Package delegation lets a controller that is cut off together with workers renew their leases
// for a bounded time, on behalf of a leader that neither it nor they can reach (PROTOCOL,
// "Outages and cuts"). It is pure: times and heartbeats between controllers come in, grants come
// out.
//
// Invariant: when a leader takes a machine's lease as expired, it has expired. A follower's grant
// runs from a timestamp of its own clock that a leader has acknowledged, so a delayed heartbeat
// extends nothing. The leader knows when it acknowledged which timestamp, and a new leader knows
// that no earlier grant ends later than the start of its own term plus GrantTTL. docs/design.md,
// "Delegated renewal of leases", has the argument.
//
// A delegate sends no commands and starts nothing. Its grant also ends early enough for
// cancellations to take effect in time: see Config.
package delegation

import (
	"slices"

	"firwood.dev/firwood/internal/clock"
)

// Config holds the times of delegation; all are durations.
type Config struct {
	// GrantTTL is how long a grant lasts from its timestamp; 0 disables delegation.
	GrantTTL clock.Micros
	// SilenceBeforeActing is for how long a follower has had no heartbeat of the leader before it
	// answers as delegate.
	SilenceBeforeActing clock.Micros
	// CancellationGrace is how long after a cancellation tasks of the job may still run while the
	// leader goes on acknowledging timestamps. They may outlive a grant by one lease, so
	// CancellationGrace, GrantTTL and the lease together are less than the cancellation timeout.
	CancellationGrace clock.Micros
}

// NewConfig derives the times from the workers' cancellation timeout and lease TTL.
// redirectRoundTrip is how long a worker that is redirected to an unreachable leader takes to
// come back. It has to be back well before its lease ends; otherwise delegation would only delay
// the proof that the lease has ended, and is disabled.
func NewConfig(cancellationTimeout, leaseTTL, silenceBeforeActing, redirectRoundTrip clock.Micros) Config {
	// Short, since it is subtracted from GrantTTL: tasks of a cancelled job normally
	// end within a fraction of a second, unless their machine is unreachable.
	cfg := Config{SilenceBeforeActing: silenceBeforeActing, CancellationGrace: (cancellationTimeout - leaseTTL) / 30}
	cfg.GrantTTL = cancellationTimeout - leaseTTL - cfg.CancellationGrace - clock.MutualDrift(cancellationTimeout) - clock.Second
	if cfg.GrantTTL <= silenceBeforeActing || leaseTTL < redirectRoundTrip+redirectRoundTrip/2 {
		cfg.GrantTTL = 0 // too short to be of use
	}
	return cfg
}

// Timestamp is an instant of a member's steady clock, valid for one incarnation of the member.
type Timestamp struct {
	// Incarnation identifies the process whose clock it is.
	Incarnation uint64
	// At is the instant; it is positive.
	At clock.Micros
}

// Delegate is the follower's side.
type Delegate struct {
	cfg               Config
	incarnation       uint64
	startedAt         clock.Micros
	leaderToken       uint64
	grantUntil        clock.Micros
	leaderHeartbeatAt clock.Micros
	lastAnswerUntil   clock.Micros // latest deadline of an answer given as delegate
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

// IsOwnStamp reports whether a timestamp is of this incarnation.
func (delegate *Delegate) IsOwnStamp(timestamp Timestamp) bool {
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
	if delegate.IsOwnStamp(ack) && ack.At <= now && delegate.cfg.GrantTTL > 0 {
		delegate.grantUntil = max(delegate.grantUntil, ack.At+delegate.cfg.GrantTTL)
	}
}

// EndTerm gives this member a grant of its own when its entitlement as leader has ended, if only
// for now. syncedAt is the last instant before which it knew of every cancellation while it was
// entitled. It may be called repeatedly, and in a term that goes on later.
func (delegate *Delegate) EndTerm(token uint64, syncedAt clock.Micros) {
	if token < delegate.leaderToken || delegate.cfg.GrantTTL == 0 || syncedAt == 0 {
		return
	}
	delegate.leaderToken, delegate.leaderHeartbeatAt, delegate.grantUntil = token, 0, max(delegate.grantUntil, syncedAt+delegate.cfg.GrantTTL)
}

// MayAnswer reports whether the member may answer a worker as delegate, with which token and
// until when. workerToken is the highest token that the worker has seen.
func (delegate *Delegate) MayAnswer(now clock.Micros, workerToken uint64) (token uint64, until clock.Micros, ok bool) {
	if delegate.leaderToken == 0 || workerToken > delegate.leaderToken || now >= delegate.grantUntil || now-delegate.leaderHeartbeatAt < delegate.cfg.SilenceBeforeActing {
		return 0, 0, false
	}
	return delegate.leaderToken, delegate.grantUntil, true
}

// RecordAnswer records an answer given as delegate that may be sent until then.
func (delegate *Delegate) RecordAnswer(until clock.Micros) {
	delegate.lastAnswerUntil = max(delegate.lastAnswerUntil, until)
}

// SilentFor returns for how long this incarnation has certainly not answered as delegate; it is
// at most its age.
func (delegate *Delegate) SilentFor(now clock.Micros) clock.Micros {
	if delegate.lastAnswerUntil == 0 {
		return now - delegate.startedAt
	}
	return max(now-delegate.lastAnswerUntil, 0)
}

// Grants is the leader's side: until when other members may have renewed leases as delegates.
type Grants struct {
	cfg              Config
	termStartedAt    clock.Micros
	ownRenewalsUntil clock.Micros // until when this member may have renewed leases as delegate before its term
	members          map[string]*memberState
}

type memberState struct {
	grantUntil    clock.Micros // end of the last grant that it may have
	lastReceiptAt clock.Micros // latest timestamp of this leader that it is known to have received
	renewalsUntil clock.Micros // it has not answered as delegate between this and lastReceiptAt
}

// NewGrants starts the side of a leader whose term begins now. silentFor is for how long this
// member has not answered as delegate itself. Grants that earlier leaders gave to others or to
// themselves began before now.
func NewGrants(cfg Config, now, silentFor clock.Micros, others []string) *Grants {
	grants := &Grants{cfg: cfg, termStartedAt: now, ownRenewalsUntil: now - silentFor, members: map[string]*memberState{}}
	for _, name := range others {
		grants.members[name] = &memberState{grantUntil: grants.grantEnd(now)}
	}
	return grants
}

// grantEnd is when a grant given at an instant ends at the latest; 0 if delegation is disabled.
func (grants *Grants) grantEnd(from clock.Micros) clock.Micros {
	if grants.cfg.GrantTTL == 0 {
		return 0
	}
	return from + grants.cfg.GrantTTL + clock.MutualDrift(grants.cfg.GrantTTL)
}

// RecordInherited applies an earlier leader's constraint, which no leader has removed since: the
// member's last grant ends by grantUntil.
func (grants *Grants) RecordInherited(name string, grantUntil clock.Micros) {
	if member := grants.members[name]; member != nil {
		member.grantUntil = min(member.grantUntil, grantUntil)
	}
}

// GrantUntil returns the end of the last grant that a member may have.
func (grants *Grants) GrantUntil(name string) clock.Micros {
	if member := grants.members[name]; member != nil {
		return member.grantUntil
	}
	return 0
}

// RecordAck records that a member's timestamp, received before ackedAt, is acknowledged from now
// on.
func (grants *Grants) RecordAck(name string, ackedAt clock.Micros) {
	if member := grants.members[name]; member != nil {
		member.grantUntil = max(member.grantUntil, grants.grantEnd(ackedAt))
	}
}

// RecordReceipt records that a member has received the heartbeat that this leader sent at
// stampedAt, and that it had not answered as delegate for silentFor when it said so.
func (grants *Grants) RecordReceipt(name string, now, stampedAt, silentFor clock.Micros) {
	member := grants.members[name]
	if member == nil || stampedAt < grants.termStartedAt || stampedAt > now || silentFor < 0 {
		return
	}
	if stampedAt >= member.lastReceiptAt {
		member.lastReceiptAt = stampedAt
		member.renewalsUntil = max(member.renewalsUntil, now-silentFor+clock.MutualDrift(silentFor))
	}
}

// LatestRenewal returns the last instant at which another member, or this one before its term,
// may have renewed a worker's lease as delegate, as far as can be known now.
func (grants *Grants) LatestRenewal(now clock.Micros) clock.Micros {
	return grants.LatestRenewalExcept(now, "", nil)
}

// LatestRenewalExcept is LatestRenewal for a zone in which the excluded members don't renew
// leases as delegates. self is this member's name.
func (grants *Grants) LatestRenewalExcept(now clock.Micros, self string, excluded []string) clock.Micros {
	var latest clock.Micros
	if !slices.Contains(excluded, self) {
		latest = grants.ownRenewalsUntil
	}
	for name, member := range grants.members {
		if slices.Contains(excluded, name) {
			continue
		}
		latest = max(latest, member.renewalsUntil)
		// It has received this leader's heartbeat after lastReceiptAt, and answers nobody
		// as delegate for SilenceBeforeActing after that.
		if member.lastReceiptAt == 0 || now >= member.lastReceiptAt+grants.cfg.SilenceBeforeActing-clock.MutualDrift(grants.cfg.SilenceBeforeActing) {
			latest = max(latest, member.grantUntil)
		}
	}
	return latest
}

// OwnRenewalsUntil returns until when this member may have renewed leases as delegate before its
// term.
func (grants *Grants) OwnRenewalsUntil() clock.Micros { return grants.ownRenewalsUntil }

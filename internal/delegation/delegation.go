// Package delegation lets a controller that is cut off together with workers keep
// their leases alive for a bounded while, in the name of a leader that neither
// it nor they can reach. It is pure: time and beats come in, rights go out.
//
// What must hold: a leader that takes a machine's lease for over is right about
// it. A follower's right runs from a stamp of its own clock that a leader has
// echoed, so a beat that comes late extends nothing. The leader knows when it
// echoed what, and a new leader knows that no right of an earlier one ends later
// than its own beginning plus the time of a right.
//
// A right gives no commands and starts nothing. It also ends early enough for
// withdrawals: see Config.
package delegation

import (
	"slices"

	"firwood.dev/firwood/internal/clock"
)

// Config holds the times.
type Config struct {
	// GrantTTL is how long a right lasts from its stamp on; 0: there are none.
	GrantTTL clock.Micros
	// SilenceBeforeActing is how long a follower has not heard the leader before it answers as delegate.
	SilenceBeforeActing clock.Micros
	// CancellationGrace is how long after a withdrawal the job's tasks may still be about
	// while the leader echoes stamps. What is told at a stamp plus For may live
	// for a lease more: Settle, For and the lease together are less than what a
	// cancellation has.
	CancellationGrace clock.Micros
}

// NewConfig works out the times from those of the workers; trip is how long a worker
// that is sent on to a leader out of reach takes to come back. It has to be back
// well before its lease ends, or rights would only put off the proof that it has.
func NewConfig(cancellationTimeout, leaseTTL, silenceBeforeActing, redirectRoundTrip clock.Micros) Config {
	// Short, as each second of it is one less of a right: tasks of a withdrawn job
	// are gone within a fraction of a second, unless their machine is not reached.
	cfg := Config{SilenceBeforeActing: silenceBeforeActing, CancellationGrace: (cancellationTimeout - leaseTTL) / 30}
	cfg.GrantTTL = cancellationTimeout - leaseTTL - cfg.CancellationGrace - clock.MutualDrift(cancellationTimeout) - clock.Second
	if cfg.GrantTTL <= silenceBeforeActing || leaseTTL < redirectRoundTrip+redirectRoundTrip/2 {
		cfg.GrantTTL = 0 // too short to be of use
	}
	return cfg
}

// Timestamp is an instant of a member's steady clock, in one of its lives.
type Timestamp struct {
	Incarnation uint64
	At          clock.Micros
}

// Delegate is a follower's side.
type Delegate struct {
	cfg               Config
	incarnation       uint64
	startedAt         clock.Micros
	leaderToken       uint64
	grantUntil        clock.Micros
	leaderHeartbeatAt clock.Micros
	lastAnswerUntil   clock.Micros // when it last answered as delegate
}

// NewDelegate makes a member's side; life has to differ from that of any other
// life of the member.
func NewDelegate(cfg Config, incarnation uint64, now clock.Micros) *Delegate {
	return &Delegate{cfg: cfg, incarnation: incarnation, startedAt: now}
}

// Timestamp is what the member sends to be echoed.
func (delegate *Delegate) Timestamp(now clock.Micros) Timestamp {
	return Timestamp{delegate.incarnation, now}
}

// IsOwnStamp tells whether a stamp is of this life.
func (delegate *Delegate) IsOwnStamp(timestamp Timestamp) bool {
	return timestamp.Incarnation == delegate.incarnation && timestamp.At > 0
}

// RecordLeaderHeartbeat takes a beat of a leader, with the member's own stamp that it echoes.
func (delegate *Delegate) RecordLeaderHeartbeat(now clock.Micros, token uint64, ack Timestamp) {
	if token < delegate.leaderToken {
		return
	}
	// A right outlives the leader that gave it: the new one counts with that,
	// and it is used under the new one's token.
	delegate.leaderToken = token
	delegate.leaderHeartbeatAt = now
	if delegate.IsOwnStamp(ack) && ack.At <= now && delegate.cfg.GrantTTL > 0 {
		delegate.grantUntil = max(delegate.grantUntil, ack.At+delegate.cfg.GrantTTL)
	}
}

// EndTerm is told by a leader whose entitlement is over, if only for now: it knew
// all that was withdrawn before `from`, when it was still entitled.
func (delegate *Delegate) EndTerm(token uint64, syncedAt clock.Micros) {
	if token < delegate.leaderToken || delegate.cfg.GrantTTL == 0 || syncedAt == 0 {
		return
	}
	delegate.leaderToken, delegate.leaderHeartbeatAt, delegate.grantUntil = token, 0, max(delegate.grantUntil, syncedAt+delegate.cfg.GrantTTL)
}

// MayAnswer tells whether the member may answer a worker that has seen a token, under
// which token, and until when.
func (delegate *Delegate) MayAnswer(now clock.Micros, workerToken uint64) (token uint64, until clock.Micros, ok bool) {
	if delegate.leaderToken == 0 || workerToken > delegate.leaderToken || now >= delegate.grantUntil || now-delegate.leaderHeartbeatAt < delegate.cfg.SilenceBeforeActing {
		return 0, 0, false
	}
	return delegate.leaderToken, delegate.grantUntil, true
}

// RecordAnswer notes an answer that may go out until then.
func (delegate *Delegate) RecordAnswer(until clock.Micros) {
	delegate.lastAnswerUntil = max(delegate.lastAnswerUntil, until)
}

// SilentFor is for how long the member has certainly not answered as delegate, earlier lives
// left out, and how long this life is at most.
func (delegate *Delegate) SilentFor(now clock.Micros) clock.Micros {
	if delegate.lastAnswerUntil == 0 {
		return now - delegate.startedAt
	}
	return max(now-delegate.lastAnswerUntil, 0)
}

// Grants is a leader's side: until when others may have renewed leases as delegates.
type Grants struct {
	cfg              Config
	termStartedAt    clock.Micros
	ownRenewalsUntil clock.Micros // it may have renewed leases as delegates itself until then, in an earlier life
	members          map[string]*memberState
}

type memberState struct {
	grantUntil    clock.Micros // the end of its right
	lastReceiptAt clock.Micros // the latest own stamp that it is known to have received
	renewalsUntil clock.Micros // nothing was answered as delegate between this and sure
}

// NewGrants makes the side of a leader that begins now and has not answered as delegate itself
// for so long. Rights that earlier leaders gave, or keep for themselves, began
// before that.
func NewGrants(cfg Config, now, silentFor clock.Micros, others []string) *Grants {
	grants := &Grants{cfg: cfg, termStartedAt: now, ownRenewalsUntil: now - silentFor, members: map[string]*memberState{}}
	for _, name := range others {
		grants.members[name] = &memberState{grantUntil: grants.grantEnd(now)}
	}
	return grants
}

func (grants *Grants) grantEnd(from clock.Micros) clock.Micros {
	if grants.cfg.GrantTTL == 0 {
		return 0
	}
	return from + grants.cfg.GrantTTL + clock.MutualDrift(grants.cfg.GrantTTL)
}

// RecordInherited takes an earlier leader's promises that a member's last right ends no later,
// which no leader has taken back since.
func (grants *Grants) RecordInherited(name string, grantUntil clock.Micros) {
	if member := grants.members[name]; member != nil {
		member.grantUntil = min(member.grantUntil, grantUntil)
	}
}

// GrantUntil is the end of the last right that a member may have.
func (grants *Grants) GrantUntil(name string) clock.Micros {
	if member := grants.members[name]; member != nil {
		return member.grantUntil
	}
	return 0
}

// RecordAck notes that a stamp of a member, which came before `at`, is echoed from
// now on.
func (grants *Grants) RecordAck(name string, ackedAt clock.Micros) {
	if member := grants.members[name]; member != nil {
		member.grantUntil = max(member.grantUntil, grants.grantEnd(ackedAt))
	}
}

// RecordReceipt takes a member's promises that it has received the beat of this leader
// stamped so, and for how long it had not answered as delegate when it said that.
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

// LatestRenewal is the last instant at which another member, or this one in an earlier
// life, may have renewed leases as delegates for a worker, as far as can be known now.
func (grants *Grants) LatestRenewal(now clock.Micros) clock.Micros {
	return grants.LatestRenewalExcept(now, "", nil)
}

// LatestRenewalExcept is the same for a zone in which some members renew no leases as delegates; self
// is this member's name.
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
		// It has heard this leader after `sure`, and answers nobody as delegate for a
		// while after that.
		if member.lastReceiptAt == 0 || now >= member.lastReceiptAt+grants.cfg.SilenceBeforeActing-clock.MutualDrift(grants.cfg.SilenceBeforeActing) {
			latest = max(latest, member.grantUntil)
		}
	}
	return latest
}

// OwnRenewalsUntil is until when this member may have renewed leases as delegates itself before it led.
func (grants *Grants) OwnRenewalsUntil() clock.Micros { return grants.ownRenewalsUntil }

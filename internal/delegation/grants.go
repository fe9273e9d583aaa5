package delegation

import (
	"slices"

	"firwood.dev/firwood/internal/clock"
)

// Grants is the leader's side: until when other members may have renewed leases as delegates.
type Grants struct {
	cfg              Config
	termStartedAt    clock.Micros
	ownRenewalsUntil clock.Micros // see OwnRenewalsUntil
	members          map[string]*memberState
}

// memberState is what the leader knows of another member as delegate.
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
	if !grants.cfg.isEnabled() {
		return 0
	}
	return from + grants.cfg.GrantTTL + clock.MutualDrift(grants.cfg.GrantTTL)
}

// ApplyInheritedConstraint applies an earlier leader's constraint, which no leader has removed since: the
// member's last grant ends by grantUntil. The caller has converted that from the time of day, in
// which it is stored, to an instant of this member's steady clock.
func (grants *Grants) ApplyInheritedConstraint(name string, grantUntil clock.Micros) {
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
// sentAt, and that it had not answered as delegate for silentFor when it said so.
func (grants *Grants) RecordReceipt(name string, now, sentAt, silentFor clock.Micros) {
	member := grants.members[name]
	if member == nil || sentAt < grants.termStartedAt || sentAt > now || silentFor < 0 {
		return
	}
	if sentAt >= member.lastReceiptAt {
		member.lastReceiptAt = sentAt
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
		if !grants.hasNotRepliedSinceReceipt(member, now) {
			latest = max(latest, member.grantUntil)
		}
	}
	return latest
}

// hasNotRepliedSinceReceipt reports whether a member can't have answered as delegate since lastReceiptAt:
// it has received this leader's heartbeat of that instant, and answers nobody as delegate for
// LeaderHeartbeatTimeout after that.
func (grants *Grants) hasNotRepliedSinceReceipt(member *memberState, now clock.Micros) bool {
	heartbeatTimeout := grants.cfg.LeaderHeartbeatTimeout
	return member.lastReceiptAt != 0 && now < member.lastReceiptAt+heartbeatTimeout-clock.MutualDrift(heartbeatTimeout)
}

// OwnRenewalsUntil returns until when this member may have renewed leases as delegate before its
// term.
func (grants *Grants) OwnRenewalsUntil() clock.Micros { return grants.ownRenewalsUntil }

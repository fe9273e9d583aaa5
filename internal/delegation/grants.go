package delegation

import (
	"slices"

	"firwood.dev/firwood/internal/clock"
)

// Grants is the leader's side of delegation: it bounds until when other members may have renewed leases
// as delegates. All its times are on the leader's monotonic clock.
type Grants struct {
	cfg              Config
	termStartedAt    clock.Micros
	ownRenewalsUntil clock.Micros // see OwnRenewalsUntil
	members          map[string]*memberState
}

// memberState is what the leader knows of another member as delegate.
type memberState struct {
	grantUntil    clock.Micros // end of the last grant that the member may have
	lastReceiptAt clock.Micros // send time of the newest heartbeat of this leader known to have arrived there
	renewalsUntil clock.Micros // the member has not replied as delegate after this and up to lastReceiptAt
}

// NewGrants returns the Grants of a leader whose term begins now. silentFor is how long this member
// itself has not replied as delegate. others are the names of the other members. Grants that earlier
// leaders gave to other members or to themselves began before now.
func NewGrants(cfg Config, now, silentFor clock.Micros, others []string) *Grants {
	grants := &Grants{cfg: cfg, termStartedAt: now, ownRenewalsUntil: now - silentFor, members: map[string]*memberState{}}
	for _, name := range others {
		grants.members[name] = &memberState{grantUntil: grants.grantEnd(now)}
	}
	return grants
}

// grantEnd returns when a grant given at from ends at the latest, or 0 if delegation is disabled.
func (grants *Grants) grantEnd(from clock.Micros) clock.Micros {
	if !grants.cfg.isEnabled() {
		return 0
	}
	return from + grants.cfg.GrantTTL + clock.MutualDrift(grants.cfg.GrantTTL)
}

// ApplyInheritedConstraint applies an earlier leader's constraint that no leader has removed since: the
// member's last grant ends by grantUntil. The constraint is stored in wall-clock time; the caller has
// converted it to a time on this member's monotonic clock.
func (grants *Grants) ApplyInheritedConstraint(name string, grantUntil clock.Micros) {
	if member := grants.members[name]; member != nil {
		member.grantUntil = min(member.grantUntil, grantUntil)
	}
}

// GrantUntil returns the end of the last grant that a member may have, or 0 if the member is unknown.
func (grants *Grants) GrantUntil(name string) clock.Micros {
	if member := grants.members[name]; member != nil {
		return member.grantUntil
	}
	return 0
}

// RecordAck records that this leader acknowledges, from now on, a timestamp that it received from a
// member before ackedAt.
func (grants *Grants) RecordAck(name string, ackedAt clock.Micros) {
	if member := grants.members[name]; member != nil {
		member.grantUntil = max(member.grantUntil, grants.grantEnd(ackedAt))
	}
}

// RecordReceipt records a member's heartbeat which shows that the member has received the heartbeat that
// this leader sent at sentAt. silentFor is how long the member had not replied as delegate when it sent
// its heartbeat.
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

// LatestRenewal returns the last instant at which another member, or this one before its term, may have
// renewed a worker's lease as delegate, as far as this leader can tell now.
func (grants *Grants) LatestRenewal(now clock.Micros) clock.Micros {
	return grants.LatestRenewalExcept(now, "", nil)
}

// LatestRenewalExcept returns the same as LatestRenewal for a zone in which the excluded members do not
// renew leases as delegates. self is this member's name.
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

// hasNotRepliedSinceReceipt reports whether a member certainly has not replied as delegate since
// lastReceiptAt. The member has received the heartbeat that this leader sent at that instant, and does
// not reply as delegate for LeaderHeartbeatTimeout after receiving it.
func (grants *Grants) hasNotRepliedSinceReceipt(member *memberState, now clock.Micros) bool {
	heartbeatTimeout := grants.cfg.LeaderHeartbeatTimeout
	return member.lastReceiptAt != 0 && now < member.lastReceiptAt+heartbeatTimeout-clock.MutualDrift(heartbeatTimeout)
}

// OwnRenewalsUntil returns the last instant before its term at which this member may have renewed
// leases as delegate.
func (grants *Grants) OwnRenewalsUntil() clock.Micros { return grants.ownRenewalsUntil }

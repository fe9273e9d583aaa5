package leader

import (
	"maps"
	"slices"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/config"
	"firwood.dev/firwood/internal/delegation"
	"firwood.dev/firwood/internal/kvstore"
	"firwood.dev/firwood/internal/metrics"
	"firwood.dev/firwood/internal/records"
	"firwood.dev/firwood/internal/server"
	"firwood.dev/firwood/wire"
)

// A leader records in the store the zones in which it renews no leases and the members to which it
// gives no grants, so that its successor can bound the leases there. See delegation.Constraints.

// MaxClockSkew returns the maximum difference between two members' wall clocks.
func MaxClockSkew(cfg *config.Platform) clock.Micros {
	return 2 * clock.FromSeconds(cfg.Deployment.ClockErrorMillis/1000)
}

// latestMonotonicTime converts a wall-clock time noted by any member to an instant on this process's
// monotonic clock, rounded up by the maximum clock skew.
func (term *Term) latestMonotonicTime(now, wall clock.Micros) clock.Micros {
	return now - (clock.WallTime() - wall) + MaxClockSkew(term.environment.Config)
}

// adoptConstraints applies the constraints recorded by earlier leaders as upper bounds on the ends of
// machines' leases and of members' grants.
func (term *Term) adoptConstraints(now clock.Micros) {
	constraints := term.renewals.constraints.Confirmed()
	for _, machine := range term.tracker.Machines {
		if zone, ok := constraints.Zones[machine.Zone]; ok {
			term.tracker.CapLeaseRenewal(machine, term.latestMonotonicTime(now, zone.LastAnswerAt))
		}
	}
	for member, renewalsUntil := range constraints.MemberGrantUntil {
		term.renewals.grants.ApplyInheritedConstraint(member, term.latestMonotonicTime(now, renewalsUntil))
	}
}

// updateRenewalBounds gives the tracker the latest times at which other members, or this one before its
// term, may have renewed leases as delegates.
func (term *Term) updateRenewalBounds(now clock.Micros) {
	constraints := term.renewals.constraints.Confirmed()
	renewalsUntil := map[string]clock.Micros{}
	for zone, constraint := range constraints.Zones {
		renewalsUntil[zone] = term.renewals.grants.LatestRenewalExcept(now, term.environment.Config.Member, constraint.KnownBy)
	}
	term.tracker.SetDelegatedUntil(term.renewals.grants.LatestRenewal(now), renewalsUntil)
}

// updateConstraints constrains zones that have no reachable machine and members that are unreachable,
// and lifts the constraints of those that are reachable again. From the write on, heartbeats from a
// constrained zone get no replies and a constrained member gets no grants. A new leader that has
// reached neither the zone nor the member can therefore bound the leases there.
func (term *Term) updateConstraints(now clock.Micros) {
	current := term.renewals.constraints.Confirmed()
	updated := delegation.Constraints{Zones: term.zoneConstraints(current, now), MemberGrantUntil: term.memberConstraints(current, now)}
	if !updated.Equal(current) || !term.renewals.constraints.IsConfirmed() {
		term.writeConstraints(updated)
	}
}

// wallTimeAt converts an instant on the monotonic clock to wall-clock time.
func wallTimeAt(at, now clock.Micros) clock.Micros { return clock.WallTime() - (now - at) }

// zoneConstraints returns the constraints that zones should have: the current ones, except for zones
// whose constraint is being lifted, and new ones for zones without reachable machines. Each of them
// names this member among those that know of it.
func (term *Term) zoneConstraints(current delegation.Constraints, now clock.Micros) map[string]delegation.ZoneConstraint {
	member := term.environment.Config.Member
	constraints := map[string]delegation.ZoneConstraint{}
	for zone, status := range term.zoneStatuses(now) {
		constraint, isConstrained := current.Zones[zone]
		needsConstraint := status.hasMachinesUp && !status.isReachable
		switch {
		case term.renewals.liftingZones[zone], !isConstrained && !needsConstraint:
			continue
		case !isConstrained:
			lastAnswerAt := max(status.lastReplyAt, term.renewals.grants.OwnRenewalsUntil())
			constraint = delegation.ZoneConstraint{LastAnswerAt: wallTimeAt(lastAnswerAt, now), KnownBy: []string{member}}
		case !slices.Contains(constraint.KnownBy, member):
			constraint.LastAnswerAt = max(constraint.LastAnswerAt, wallTimeAt(term.renewals.grants.OwnRenewalsUntil(), now))
			constraint.KnownBy = append(slices.Clone(constraint.KnownBy), member)
		}
		constraints[zone] = constraint
	}
	return constraints
}

// memberConstraints returns, for each unreachable member, the wall-clock time until which it may renew
// leases with the grants that it has.
func (term *Term) memberConstraints(current delegation.Constraints, now clock.Micros) map[string]clock.Micros {
	grantUntil := map[string]clock.Micros{}
	if term.environment.Delegation.GrantTTL == 0 {
		return grantUntil
	}
	for _, other := range term.environment.Config.Peers {
		if received := term.host.Heartbeats()[other.Member]; received != nil && now-received.ReceivedAt < MemberTimeout {
			continue
		}
		until, isConstrained := current.MemberGrantUntil[other.Member]
		if !isConstrained {
			if now-term.liveness.resumedAt < MemberTimeout {
				continue // the member may not have had the time to send a heartbeat
			}
			until = wallTimeAt(term.renewals.grants.GrantUntil(other.Member), now)
		}
		grantUntil[other.Member] = until
	}
	return grantUntil
}

// zoneStatus holds whether a zone has machines that are up, and whether any of them is reachable.
type zoneStatus struct {
	hasMachinesUp, isReachable bool
	lastReplyAt                clock.Micros // when the last reply that may have renewed a lease was sent
}

// zoneStatuses returns the status of each zone that has machines. A machine of this term that is still
// booting does not count as up, whereas one of an earlier term does, since it may have been up for
// long.
func (term *Term) zoneStatuses(now clock.Micros) map[string]*zoneStatus {
	statuses := map[string]*zoneStatus{}
	for _, machine := range term.tracker.Machines {
		status := statuses[machine.Zone]
		if status == nil {
			status = &zoneStatus{}
			statuses[machine.Zone] = status
		}
		status.lastReplyAt = max(status.lastReplyAt, machine.LastRenewalAt())
		if machine.FirstHeartbeatAt != 0 || machine.CreatedAt < term.liveness.startedAt {
			status.hasMachinesUp = true
			status.isReachable = status.isReachable || term.isReachable(machine, now)
		}
	}
	return statuses
}

// writeConstraints makes constraints durable. Until the outcome of the write is known, the old
// constraints and the new ones are both in force.
func (term *Term) writeConstraints(constraints delegation.Constraints) {
	value, err := records.Constraints{Constraints: constraints}.MarshalJSON()
	limit := int(term.environment.Config.Deployment.Store.Effective().MaxValueKB * 1024)
	if err != nil || len(value) > limit {
		term.host.LogDropped("renewal constraints exceed the store's value limit", "bytes", len(value), "limit_bytes", limit)
		return
	}
	version, ok := term.renewals.constraints.BeginWrite(constraints)
	if !ok {
		return
	}
	// The sync brings the stored version into the view before the next review of the machines.
	retryDeferredAndSyncView := func() {
		term.retryDeferredHeartbeats()
		term.environment.View.RequestSync(func(error) {}, clock.Now()+verifyTimeout)
	}
	handleRefusal := func() {
		term.renewals.constraints.RecordRefusal()
		retryDeferredAndSyncView()
	}
	term.commitWithHandlers(&kvstore.Write{
		Priority:   kvstore.Critical,
		Conditions: []wire.Condition{{Key: records.ConstraintsKey, Version: version}},
		Changes:    []wire.Change{{PutKey: records.ConstraintsKey, Value: value}},
	}, outcomeHandlers{
		committed:   func(revision uint64) { term.handleConstraintsCommitted(constraints, revision) },
		conflict:    handleRefusal,
		notExecuted: handleRefusal,
		unknown: func() {
			term.renewals.constraints.RecordUnknownOutcome()
			retryDeferredAndSyncView()
		},
	})
}

// handleConstraintsCommitted applies constraints that have become durable, and starts the next write if
// the constraints of more zones are to be lifted.
func (term *Term) handleConstraintsCommitted(constraints delegation.Constraints, revision uint64) {
	term.renewals.constraints.RecordCommit(revision)
	term.environment.View.SetConstraints(constraints, revision)
	term.environment.Log.Info("renewal constraints recorded", "zones", slices.Sorted(maps.Keys(constraints.Zones)), "members", slices.Sorted(maps.Keys(constraints.MemberGrantUntil)))
	term.retryDeferredHeartbeats()
	if len(term.renewals.liftingZones) > 0 {
		term.updateConstraints(clock.Now())
	}
}

// deferredHeartbeat is a worker's heartbeat to which the leader may not reply yet.
type deferredHeartbeat struct {
	heartbeat  *wire.Heartbeat
	reply      *server.Reply
	receivedAt clock.Micros
}

// maxDeferral is the age above which a deferred heartbeat is refused. retryDeferredHeartbeats checks it
// after each sync of the view and after each write of constraints.
const maxDeferral = clock.Second

// deferIfRenewalBlocked reports whether a heartbeat must not be handled now, since its reply would renew
// a lease. It defers or refuses such a heartbeat. A heartbeat that arrives while the view is too old is
// deferred until a newer view has been read. A heartbeat from a constrained zone is deferred until the
// constraint is lifted, which this method initiates. A late copy of an earlier heartbeat is refused
// instead, since it does not show that the zone is reachable.
func (term *Term) deferIfRenewalBlocked(heartbeat *wire.Heartbeat, reply *server.Reply, now clock.Micros) bool {
	if !term.entitlement.viewAge.MayRenewLeases(now) {
		// No reply may renew a lease before the view has been synced with the store.
		term.deferHeartbeat(deferredHeartbeat{heartbeat, reply, now}, "the view is too old")
		term.refreshView(now)
		return true
	}
	if !term.renewals.constraints.MayConstrainZone(heartbeat.Zone) {
		return false
	}
	if machine := term.tracker.Machines[heartbeat.MachineID]; machine != nil && !heartbeat.IsNewerThan(machine.Incarnation, machine.HeartbeatSequence) {
		term.environment.Metrics.CountReply(metrics.ReplyRefused)
		replyUnavailable(reply, "an older report")
		return true
	}
	term.deferHeartbeat(deferredHeartbeat{heartbeat, reply, now}, "the zone is constrained")
	if !term.renewals.liftingZones[heartbeat.Zone] {
		term.renewals.liftingZones[heartbeat.Zone] = true
		term.updateConstraints(now)
	}
	return true
}

// deferHeartbeat keeps a heartbeat until the leader may reply to it, and logs why it has to wait.
func (term *Term) deferHeartbeat(deferred deferredHeartbeat, reason string) {
	term.renewals.deferredHeartbeats = append(term.renewals.deferredHeartbeats, deferred)
	term.environment.Metrics.CountReply(metrics.ReplyDeferred)
	if suppressed, isAllowed := term.logs.deferrals.allow(deferred.receivedAt); isAllowed {
		term.environment.Log.Info("heartbeat held back", "reason", reason, "machine", deferred.heartbeat.MachineID, "zone", deferred.heartbeat.Zone,
			"read_age_s", term.viewAge(deferred.receivedAt).Seconds(), "suppressed", suppressed)
	}
}

// refuseDeferredHeartbeat replies 503 to a deferred heartbeat, so that the worker retries.
func (term *Term) refuseDeferredHeartbeat(deferred deferredHeartbeat, reason string) {
	term.environment.Metrics.CountReply(metrics.ReplyRefused)
	replyUnavailable(deferred.reply, reason)
}

// retryDeferredHeartbeats handles the deferred heartbeats whose zones are no longer constrained, and
// refuses those that have waited longer than maxDeferral. A heartbeat may show a higher token, which ends
// the term. The heartbeats after it are then refused, since a reply would renew a lease in a term that is
// over.
func (term *Term) retryDeferredHeartbeats() {
	now := clock.Now()
	deferred := term.renewals.deferredHeartbeats
	term.renewals.deferredHeartbeats = nil
	for _, waiting := range deferred {
		switch {
		case term.isClosed:
			term.refuseDeferredHeartbeat(waiting, termOverReply)
		case !term.renewals.constraints.MayConstrainZone(waiting.heartbeat.Zone) && term.entitlement.viewAge.MayRenewLeases(now):
			term.HandleHeartbeat(waiting.heartbeat, waiting.reply)
		case now-waiting.receivedAt > maxDeferral:
			term.refuseDeferredHeartbeat(waiting, "the state service does not answer")
		default:
			term.renewals.deferredHeartbeats = append(term.renewals.deferredHeartbeats, waiting)
		}
	}
	for zone := range term.renewals.liftingZones {
		if !term.renewals.constraints.MayConstrainZone(zone) {
			delete(term.renewals.liftingZones, zone)
		}
	}
}

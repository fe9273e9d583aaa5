package controller

import (
	"maps"
	"slices"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/delegation"
	"firwood.dev/firwood/internal/kvstore"
	"firwood.dev/firwood/internal/records"
	"firwood.dev/firwood/internal/server"
	"firwood.dev/firwood/wire"
)

// What a leader promises to those after it: zones that are silent, members that are not
// heard. See delegation.Constraints.

// applyConstraints takes newer renewal constraints from the view.
func (controller *Controller) applyConstraints(constraints delegation.Constraints, version uint64) {
	controller.delegation.unconfirmedConstraints = nil
	if controller.term != nil {
		controller.term.renewals.constraints.ObserveStored(constraints, version)
	}
}

// maxClockSkew bounds how far two members' times of day may be apart.
func (controller *Controller) maxClockSkew() clock.Micros {
	return 2 * clock.FromSeconds(controller.cfg.Deployment.ClockErrorMillis/1000)
}

// latestSteadyInstant is an instant of the steady clock that is certainly not before a time of
// day that some member has noted.
func (controller *Controller) latestSteadyInstant(now, wall clock.Micros) clock.Micros {
	return now - (clock.WallTime() - wall) + controller.maxClockSkew()
}

// adoptConstraints takes over what earlier leaders have promised.
func (term *leaderTerm) adoptConstraints(now clock.Micros) {
	constraints := term.renewals.constraints.Confirmed()
	for _, member := range term.tracker.Machines {
		if zone, ok := constraints.Zones[member.Zone]; ok {
			term.tracker.CapLeaseRenewal(member, term.controller.latestSteadyInstant(now, zone.LastAnswerAt))
		}
	}
	for member, renewalsUntil := range constraints.MemberGrantUntil {
		term.renewals.grants.RecordInherited(member, term.controller.latestSteadyInstant(now, renewalsUntil))
	}
}

// updateRenewalBounds tells the ledger until when others may have renewed leases as delegates.
func (term *leaderTerm) updateRenewalBounds(now clock.Micros) {
	constraints := term.renewals.constraints.Confirmed()
	renewalsUntil := map[string]clock.Micros{}
	for zone, constraint := range constraints.Zones {
		renewalsUntil[zone] = term.renewals.grants.LatestRenewalExcept(now, term.controller.cfg.Member, constraint.KnownBy)
	}
	term.tracker.SetDelegatedUntil(term.renewals.grants.LatestRenewal(now), renewalsUntil)
}

// updateConstraints writes what has changed about who is heard. A zone of which no
// machine is heard gets no answers from now on, and a member that is not heard no
// rights, until the promise is taken back: a new leader, who has never heard either,
// then knows when the leases there end.
func (term *leaderTerm) updateConstraints(now clock.Micros) {
	current := term.renewals.constraints.Confirmed()
	updated := delegation.Constraints{Zones: map[string]delegation.ZoneConstraint{}, MemberGrantUntil: map[string]clock.Micros{}}
	wall := func(at clock.Micros) clock.Micros { return clock.WallTime() - (now - at) }
	for zone, status := range term.zoneStatuses(now) {
		constraint, ok := current.Zones[zone]
		switch {
		case term.renewals.liftingZones[zone] || !ok && (status.isReachable || !status.hasMachinesUp):
			continue
		case !ok:
			constraint = delegation.ZoneConstraint{LastAnswerAt: wall(max(status.lastReplyAt, term.renewals.grants.OwnRenewalsUntil())), KnownBy: []string{term.controller.cfg.Member}}
		case !slices.Contains(constraint.KnownBy, term.controller.cfg.Member):
			constraint.LastAnswerAt = max(constraint.LastAnswerAt, wall(term.renewals.grants.OwnRenewalsUntil()))
			constraint.KnownBy = append(slices.Clone(constraint.KnownBy), term.controller.cfg.Member)
		}
		updated.Zones[zone] = constraint
	}
	for _, other := range term.controller.cfg.Peers {
		if received := term.controller.members.heartbeats[other.Member]; term.controller.delegation.times.GrantTTL == 0 || received != nil && now-received.receivedAt < memberTimeout {
			continue
		}
		renewalsUntil, ok := current.MemberGrantUntil[other.Member]
		switch {
		case !ok && now-term.liveness.resumedAt < memberTimeout:
			continue
		case !ok:
			renewalsUntil = wall(term.renewals.grants.GrantUntil(other.Member))
		}
		updated.MemberGrantUntil[other.Member] = renewalsUntil
	}
	if !updated.Equal(current) || !term.renewals.constraints.IsConfirmed() {
		term.writeConstraints(updated)
	}
}

// memberTimeout is after how long without a beat a member counts as not heard.
const memberTimeout = 3 * heartbeatInterval

// zoneStatus is how a zone's machines are heard.
type zoneStatus struct {
	hasMachinesUp, isReachable bool
	lastReplyAt                clock.Micros // when the last of them may have been answered
}

func (term *leaderTerm) zoneStatuses(now clock.Micros) map[string]*zoneStatus {
	statuses := map[string]*zoneStatus{}
	for _, machine := range term.tracker.Machines {
		status := statuses[machine.Zone]
		if status == nil {
			status = &zoneStatus{}
			statuses[machine.Zone] = status
		}
		status.lastReplyAt = max(status.lastReplyAt, machine.LastRenewalAt())
		if machine.FirstHeartbeatAt != 0 || machine.CreatedAt < term.liveness.startedAt { // one that boots says nothing of its zone
			status.hasMachinesUp = true
			status.isReachable = status.isReachable || now-max(machine.LastHeartbeatAt, term.liveness.resumedAt) < term.controller.heartbeatWindow()
		}
	}
	return statuses
}

func (term *leaderTerm) writeConstraints(constraints delegation.Constraints) {
	value, err := records.Constraints{Constraints: constraints}.MarshalJSON()
	if err != nil || len(value) > int(term.controller.cfg.Deployment.Store.Effective().MaxValueKB*1024) {
		term.controller.logDropped("what is to be promised is too large for the state service", "bytes", len(value))
		return
	}
	version, ok := term.renewals.constraints.BeginWrite(constraints)
	if !ok {
		return
	}
	term.commitWithRevision(&kvstore.Write{
		Priority:   kvstore.Critical,
		Conditions: []wire.Condition{{Key: records.ConstraintsKey, Version: version}},
		Changes:    []wire.Change{{PutKey: records.ConstraintsKey, Value: value}},
	}, func(outcome kvstore.Outcome, revision uint64) {
		switch outcome {
		case kvstore.Committed:
			term.renewals.constraints.RecordCommit(revision)
			term.controller.view.SetConstraints(constraints, revision)
			term.controller.log.Info("promises written", "zones", slices.Sorted(maps.Keys(constraints.Zones)), "members", slices.Sorted(maps.Keys(constraints.MemberGrantUntil)))
		case kvstore.Unknown:
			term.renewals.constraints.RecordUnknownOutcome()
		default:
			term.renewals.constraints.RecordRefusal()
		}
		term.retryDeferred()
		switch {
		case outcome != kvstore.Committed:
			// The view tells the version by the time of the next look.
			term.controller.view.RequestSync(func(error) {}, clock.Now()+2*clock.Second)
		case len(term.renewals.liftingZones) > 0:
			term.updateConstraints(clock.Now())
		}
	})
}

// deferredHeartbeat is a report from a zone whose reports are not answered.
type deferredHeartbeat struct {
	heartbeat  *wire.Heartbeat
	reply      *server.Reply
	receivedAt clock.Micros
}

// deferIfConstrained tells whether a report has to wait until the promise about its zone is
// taken back, and takes care of that.
func (term *leaderTerm) deferIfConstrained(heartbeat *wire.Heartbeat, reply *server.Reply, now clock.Micros) bool {
	if !term.entitlement.viewAge.MayRenewLeases(now) {
		// No answer may renew its lease before the next read, which is under way.
		term.renewals.deferredHeartbeats = append(term.renewals.deferredHeartbeats, deferredHeartbeat{heartbeat, reply, now})
		term.refreshView(now)
		return true
	}
	if !term.renewals.constraints.MayConstrainZone(heartbeat.Zone) {
		return false
	}
	if machine := term.tracker.Machines[heartbeat.MachineID]; machine != nil && !heartbeat.IsNewerThan(machine.Incarnation, machine.HeartbeatSequence) {
		replyUnavailable(reply, "an older report")
		return true
	}
	term.renewals.deferredHeartbeats = append(term.renewals.deferredHeartbeats, deferredHeartbeat{heartbeat, reply, now})
	if !term.renewals.liftingZones[heartbeat.Zone] {
		term.renewals.liftingZones[heartbeat.Zone] = true
		term.updateConstraints(now)
	}
	return true
}

// retryDeferred answers the reports that waited, once nothing is promised about their
// zones, and those that wait for too long.
func (term *leaderTerm) retryDeferred() {
	now := clock.Now()
	deferred := term.renewals.deferredHeartbeats
	term.renewals.deferredHeartbeats = nil
	for _, waiting := range deferred {
		switch {
		case !term.renewals.constraints.MayConstrainZone(waiting.heartbeat.Zone) && term.entitlement.viewAge.MayRenewLeases(now):
			term.handleHeartbeat(waiting.heartbeat, waiting.reply)
		case now-waiting.receivedAt > clock.Second:
			replyUnavailable(waiting.reply, "the state service does not answer")
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

// mayConstrainZone tells whether this member has, or may have, promised to answer nobody as delegate
// in a zone. A member that has not may: a leader that hears nobody of a zone may
// itself be the one that is cut off from it.
func (controller *Controller) mayConstrainZone(zone string) bool {
	if controller.term != nil && controller.term.renewals.constraints.MayConstrainZone(zone) || controller.delegation.unconfirmedConstraints[zone] {
		return true
	}
	return slices.Contains(controller.view.Constraints.Zones[zone].KnownBy, controller.cfg.Member)
}

package leader

import (
	"errors"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/client"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/health"
	"firwood.dev/firwood/wire"
)

// Missing heartbeats reveal a failed or hanging machine late: after its longest heartbeat interval and the
// redirects through other members. Replicas on the machine are down meanwhile. So machines with replicas
// are probed periodically, and other machines when a heartbeat is overdue. A machine that leaves two probes
// in a row unanswered while most of its zone answers is deleted; the deletion proves that its tasks have
// ended.

// sendProbes probes the machines that are due: first those that missed a probe or whose heartbeat is
// overdue, then those with replicas, in turn. The number of probes in flight is bounded, so each round
// continues where the last one ended. Before rounds did so, the first machines by name were probed again
// and again and the last ones never.
func (term *Term) sendProbes(now clock.Micros) {
	machines := term.tracker.SortedMachines()
	for _, machine := range machines {
		if term.probing.inFlight >= term.environment.WorkerRequests.MaxInFlight {
			return
		}
		if machineInfo := term.machines[machine.Name]; canProbe(machine, machineInfo) && term.needsProbe(machine, machineInfo, now) {
			term.probeMachine(machine, machineInfo, now)
		}
	}
	for range machines {
		if term.probing.inFlight >= term.environment.WorkerRequests.MaxInFlight {
			return
		}
		term.probing.nextMachineIndex %= len(machines)
		machine := machines[term.probing.nextMachineIndex]
		term.probing.nextMachineIndex++
		if machineInfo := term.machines[machine.Name]; canProbe(machine, machineInfo) && isRoundProbeDue(machine, machineInfo, now) {
			term.probeMachine(machine, machineInfo, now)
		}
	}
}

// canProbe reports whether a machine can be probed at all.
func canProbe(machine *allocation.Machine, machineInfo *machineState) bool {
	return machineInfo != nil && !machineInfo.isDeleting && machine.Address != "" && machine.FirstHeartbeatAt != 0 && !machineInfo.probes.IsInFlight
}

// needsProbe reports whether a machine is due for a probe out of turn.
func (term *Term) needsProbe(machine *allocation.Machine, machineInfo *machineState, now clock.Micros) bool {
	return machineInfo.probes.NeedsProbe(machine.LastHeartbeatAt, term.liveness.resumedAt, now, term.environment.Timing)
}

// isRoundProbeDue reports whether a machine has replicas and is due for a probe in its turn.
func isRoundProbeDue(machine *allocation.Machine, machineInfo *machineState, now clock.Micros) bool {
	return machine.ReplicaCount() > 0 && machineInfo.probes.IsRoundProbeDue(machine.LastHeartbeatAt, now)
}

// probeMachine requests a machine's status from its worker.
func (term *Term) probeMachine(machine *allocation.Machine, machineInfo *machineState, now clock.Micros) {
	term.probing.inFlight++
	machineInfo.probes.RecordSent(now)
	host := term.workerHost(machine, machineInfo)
	name := machine.Name
	term.background(func() func() {
		response, err := host.Do(client.Request{Method: "GET", Target: "/status", Timeout: health.ProbeTimeout, SendDeadline: term.sendDeadline})
		var heartbeat *wire.Heartbeat
		if err == nil && response.Status == 200 {
			heartbeat = decodeHeartbeatOf(name, response.Body)
		}
		return func() {
			term.probing.inFlight--
			term.handleProbeResult(machine, machineInfo, now, heartbeat, err)
		}
	})
}

// handleProbeResult handles the result of a probe that was sent at sentAt. heartbeat is that of the
// machine's response, or nil if there was none.
func (term *Term) handleProbeResult(machine *allocation.Machine, machineInfo *machineState, sentAt clock.Micros, heartbeat *wire.Heartbeat, err error) {
	now := clock.Now()
	machineInfo.probes.IsInFlight = false
	switch {
	case term.tracker.Machines[machine.Name] != machine:
		// The machine has been deleted meanwhile.
	case heartbeat != nil:
		term.handleProbeResponse(machine, machineInfo, heartbeat, now)
	case errors.Is(err, client.ErrPoolExhausted), errors.Is(err, client.ErrSendDeadlinePassed), health.IsResultTooLate(sentAt, now):
		// The probe was not sent, or this process was too late to handle the response: the result says
		// nothing about the machine.
	default:
		term.handleProbeMiss(machine, machineInfo, sentAt, now)
	}
}

func (term *Term) handleProbeResponse(machine *allocation.Machine, machineInfo *machineState, heartbeat *wire.Heartbeat, now clock.Micros) {
	machineInfo.probes.RecordResponse(now)
	if term.renewals.constraints.MayConstrainZone(machine.Zone) {
		term.renewals.liftingZones[machine.Zone] = true // reachable again; the next review lifts its constraint
	}
	if term.tracker.RecordCommandHeartbeat(machine, heartbeat, now) == allocation.HeartbeatFenced {
		term.host.HandleHigherToken(term.token)
		return
	}
	term.logUnexpectedTasks(machine, heartbeat, false, now)
	term.processTaskEvents(now)
	term.requestPlan()
}

func (term *Term) handleProbeMiss(machine *allocation.Machine, machineInfo *machineState, sentAt, now clock.Micros) {
	probes := &machineInfo.probes
	probes.RecordMiss(sentAt, max(term.liveness.resumedAt, term.liveness.zoneUnreachableAt[machine.Zone]))
	if probes.HasTooManyMisses() && term.isZoneAnswering(machine, probes.FirstMissSentAt()) {
		term.logDeletion(machine, "probes unanswered", now-max(machine.LastHeartbeatAt, probes.AnsweredAt))
		term.deleteMachine(machine)
	}
}

// isZoneAnswering reports whether the network to a machine's zone works, judging by the machines of the zone
// that answered a probe or sent a heartbeat more than half of health.ProbeTimeout after firstMissSentAt,
// and by the other machines of the zone that have missed a probe. At least two in three of these machines
// must have answered.
func (term *Term) isZoneAnswering(machine *allocation.Machine, firstMissSentAt clock.Micros) bool {
	var answers health.ZoneAnswers
	for _, other := range term.tracker.Machines {
		if machineInfo := term.machines[other.Name]; other.Zone == machine.Zone && machineInfo != nil {
			answers.Add(&machineInfo.probes, other.LastHeartbeatAt, firstMissSentAt)
		}
	}
	return answers.IsMostlyAnswering()
}

package leader

import (
	"errors"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/client"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/health"
	"firwood.dev/firwood/wire"
)

// A machine that fails or hangs shows only as missing heartbeats, after its longest
// interval and the redirects through other members; replicas on it are down meanwhile.
// So machines with replicas are probed periodically, and others when a heartbeat is
// overdue. One that leaves two probes in a row unanswered while most of its zone answers
// is deleted, which proves its tasks over.

// sendProbes probes the machines that are due: first those that missed a probe or whose
// heartbeat is overdue, then those with replicas, in turn. The number of probes in flight
// is bounded, so each round continues where the last one ended. Added after the first
// machines by name had been probed again and again, and the last ones never.
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

// canProbe tells whether a machine can be probed at all.
func canProbe(machine *allocation.Machine, machineInfo *machineState) bool {
	return machineInfo != nil && !machineInfo.isDeleting && machine.Address != "" && machine.FirstHeartbeatAt != 0 && !machineInfo.probes.IsInFlight
}

// needsProbe tells whether a machine is probed out of turn.
func (term *Term) needsProbe(machine *allocation.Machine, machineInfo *machineState, now clock.Micros) bool {
	return machineInfo.probes.NeedsProbe(machine.LastHeartbeatAt, term.liveness.resumedAt, now, term.environment.Timing)
}

// isRoundProbeDue tells whether a machine has replicas and is probed in its turn.
func isRoundProbeDue(machine *allocation.Machine, machineInfo *machineState, now clock.Micros) bool {
	return machine.ReplicaCount() > 0 && machineInfo.probes.IsRoundDue(machine.LastHeartbeatAt, now)
}

// probeMachine asks a machine for its state.
func (term *Term) probeMachine(machine *allocation.Machine, machineInfo *machineState, now clock.Micros) {
	term.probing.inFlight++
	machineInfo.probes.Begin(now)
	host := term.workerHost(machine, machineInfo)
	name := machine.Name
	term.background(func() func() {
		response, err := host.Do(client.Request{Method: "GET", Target: "/status", Timeout: health.ProbeTimeout, SendDeadline: term.mayActUntil})
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

// handleProbeResult takes the result of a probe that was sent at an instant: a heartbeat, or
// none if the machine didn't answer.
func (term *Term) handleProbeResult(machine *allocation.Machine, machineInfo *machineState, sentAt clock.Micros, heartbeat *wire.Heartbeat, err error) {
	now := clock.Now()
	machineInfo.probes.IsInFlight = false
	switch {
	case term.tracker.Machines[machine.Name] != machine:
		// It has been deleted meanwhile.
	case heartbeat != nil:
		term.handleProbeAnswer(machine, machineInfo, heartbeat, now)
	case errors.Is(err, client.ErrPoolExhausted), errors.Is(err, client.ErrSendDeadlinePassed), health.IsResultTooLate(sentAt, now):
		// The probe was not sent, or this process was too late itself to take the answer:
		// that says nothing of the machine.
	default:
		term.handleProbeMiss(machine, machineInfo, sentAt, now)
	}
}

func (term *Term) handleProbeAnswer(machine *allocation.Machine, machineInfo *machineState, heartbeat *wire.Heartbeat, now clock.Micros) {
	machineInfo.probes.RecordAnswer(now)
	if term.renewals.constraints.MayConstrainZone(machine.Zone) {
		term.renewals.liftingZones[machine.Zone] = true // it is reachable again; the next review writes that
	}
	if term.tracker.RecordCommandHeartbeat(machine, heartbeat, now) == allocation.HeartbeatFenced {
		term.host.HandleHigherToken(term.token)
		return
	}
	term.logListedCancelled(machine, heartbeat, false, now)
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

// isZoneAnswering tells whether the way to a machine's zone is open: of the machines there that
// were heard since an instant (and half a probe's timeout), or else have missed a probe, at least
// two in three were heard.
func (term *Term) isZoneAnswering(machine *allocation.Machine, since clock.Micros) bool {
	var answers health.ZoneAnswers
	for _, other := range term.tracker.Machines {
		if machineInfo := term.machines[other.Name]; other.Zone == machine.Zone && machineInfo != nil {
			answers.Add(&machineInfo.probes, other.LastHeartbeatAt, since)
		}
	}
	return answers.IsMostlyAnswering()
}

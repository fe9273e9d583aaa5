package controller

import (
	"errors"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/client"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// A machine that dies or hangs is told from its silence only after its longest
// report interval and the way round the other controllers. Replicas on it are down
// meanwhile. So machines with replicas are asked for their state now and then, and
// others when their report is overdue; one that gives no answer twice, while most
// of its zone answer, is deleted, which proves its tasks over.

const (
	// probeInterval is how often a machine with replicas is asked that says nothing.
	probeInterval = 2 * clock.Second
	// probeTimeout bounds a probe: a packet that is lost is sent again within it.
	probeTimeout = 1500 * clock.Millisecond
	// allowedProbeMisses is how many probes in a row may stay unanswered.
	allowedProbeMisses = 1
)

// probeState is what the ledger need not know of how a machine answers.
type probeState struct {
	isInFlight      bool
	sentAt          clock.Micros // when it was last asked
	misses          int          // in a row
	firstMissSentAt clock.Micros // when the first of those was asked
	answeredAt      clock.Micros // when it last answered
}

// sendProbes asks the machines that are due: first those of which something is amiss, then
// those with replicas, in turn. Only so many probes are under way at a time, so in a
// large fleet each look goes on where the last one ended: once the first by name were
// asked again and again, and the last ones never.
func (term *leaderTerm) sendProbes(now clock.Micros) {
	machines := term.tracker.SortedMachines()
	for _, machine := range machines {
		if term.probing.inFlight >= term.controller.workerRequests.maxInFlight {
			return
		}
		if machineInfo := term.machines[machine.Name]; term.canProbe(machine, machineInfo) && term.needsProbe(machine, machineInfo, now) {
			term.probeMachine(machine, machineInfo, now)
		}
	}
	for range machines {
		if term.probing.inFlight >= term.controller.workerRequests.maxInFlight {
			return
		}
		term.probing.nextMachineIndex %= len(machines)
		machine := machines[term.probing.nextMachineIndex]
		term.probing.nextMachineIndex++
		if machineInfo := term.machines[machine.Name]; term.canProbe(machine, machineInfo) && machine.ReplicaCount() > 0 && now-max(machine.LastHeartbeatAt, machineInfo.probes.sentAt) >= probeInterval {
			term.probeMachine(machine, machineInfo, now)
		}
	}
}

// canProbe tells whether a machine can be asked at all.
func (term *leaderTerm) canProbe(machine *allocation.Machine, machineInfo *machineState) bool {
	return machineInfo != nil && !machineInfo.isDeleting && machine.Address != "" && machine.FirstHeartbeatAt != 0 && !machineInfo.probes.isInFlight
}

// needsProbe tells whether a machine has left a probe unanswered, or its report is overdue,
// and it is time to ask again.
func (term *leaderTerm) needsProbe(machine *allocation.Machine, machineInfo *machineState, now clock.Micros) bool {
	silence := now - max(machine.LastHeartbeatAt, machineInfo.probes.sentAt)
	if machineInfo.probes.misses > 0 {
		return silence >= clock.Second/2
	}
	overdue := clock.FromSeconds(1.25*term.controller.cfg.Deployment.Workers.HeartbeatIntervalSeconds) + clock.Second/2
	return now-max(machine.LastHeartbeatAt, term.liveness.resumedAt) >= overdue && silence >= probeInterval
}

func (term *leaderTerm) probeMachine(machine *allocation.Machine, machineInfo *machineState, now clock.Micros) {
	term.probing.inFlight++
	machineInfo.probes.isInFlight, machineInfo.probes.sentAt = true, now
	if machineInfo.host == nil {
		machineInfo.host = term.controller.workerRequests.pool.NewHost(machine.Address, 1, 4*wire.MaxBodyBytes)
	}
	host := machineInfo.host
	go func() {
		response, err := host.Do(client.Request{Method: "GET", Target: "/status", Timeout: probeTimeout, SendDeadline: term.mayActUntil})
		var heartbeat *wire.Heartbeat
		if err == nil && response.Status == 200 {
			decoded := &wire.Heartbeat{}
			if decoded.UnmarshalJSON(response.Body) == nil && decoded.MachineID == machine.Name {
				heartbeat = decoded
			}
		}
		term.controller.postResult(func() {
			if !term.isClosed {
				term.probing.inFlight--
				term.handleProbeResult(machine, machineInfo, now, heartbeat, err)
			}
		})
	}()
}

// handleProbeResult takes the end of a probe that was sent at `sent`.
func (term *leaderTerm) handleProbeResult(machine *allocation.Machine, machineInfo *machineState, sent clock.Micros, heartbeat *wire.Heartbeat, err error) {
	now := clock.Now()
	probes := &machineInfo.probes
	probes.isInFlight = false
	if term.tracker.Machines[machine.Name] != machine {
		return
	}
	if heartbeat != nil {
		probes.misses, probes.answeredAt = 0, now
		if term.renewals.constraints.MayConstrainZone(machine.Zone) {
			term.renewals.liftingZones[machine.Zone] = true // its zone is back
		}
		if term.tracker.RecordCommandHeartbeat(machine, heartbeat, now) == allocation.HeartbeatFenced {
			term.controller.handleFenced(term.token)
			return
		}
		term.processTaskEvents(now)
		term.requestPlan()
		return
	}
	// Nothing is known of the machine if it was not asked, or if this process was
	// too late itself to take the answer.
	if errors.Is(err, client.ErrPoolExhausted) || errors.Is(err, client.ErrSendDeadlinePassed) || now-sent > probeTimeout+clock.Second/2 {
		return
	}
	if sent < max(term.liveness.resumedAt, term.liveness.zoneUnreachableAt[machine.Zone]) {
		probes.misses = 0 // the way was not open
		return
	}
	if probes.misses == 0 {
		probes.firstMissSentAt = sent
	}
	probes.misses++
	if probes.misses > allowedProbeMisses && term.isZoneAnswering(machine, probes.firstMissSentAt) {
		term.controller.log.Info("machine does not answer", "machine", machine.Name, "for_s", (now - max(machine.LastHeartbeatAt, probes.answeredAt)).Seconds())
		term.deleteMachine(machine)
	}
}

// isZoneAnswering tells whether the way to a machine's zone is open: most of the others
// there that were asked since have answered.
func (term *leaderTerm) isZoneAnswering(machine *allocation.Machine, since clock.Micros) bool {
	answered, missed := 0, 0
	for _, other := range term.tracker.Machines {
		machineInfo := term.machines[other.Name]
		if other.Zone != machine.Zone || machineInfo == nil {
			continue
		}
		switch {
		case max(machineInfo.probes.answeredAt, other.LastHeartbeatAt) > since+probeTimeout/2:
			answered++
		case machineInfo.probes.misses > 0:
			missed++
		}
	}
	return answered >= 2*missed
}

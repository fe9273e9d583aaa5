package leader

import (
	"slices"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/health"
	"firwood.dev/firwood/wire"
)

// reviewMachines hands leadership over if this leader is cut off. Otherwise it decides what to do about
// each machine; see health.Verdict.
func (term *Term) reviewMachines(now clock.Micros) {
	term.updateRenewalBounds(now)
	fleet, zones := term.countReachable(now)
	if term.handOverIfCutOff(fleet, now) {
		return
	}
	term.updateConstraints(now)
	for zone, counts := range zones {
		if !counts.IsMostlyReachable() {
			term.liveness.zoneUnreachableAt[zone] = now
		}
	}
	judge := &health.Term{
		StartedAt: term.liveness.startedAt, SuspectTimeout: term.environment.Timing.SuspectTimeout, Tracker: term.tracker, BootTimeout: term.scheduler.BootTimeout,
	}
	for name, machine := range term.tracker.Machines {
		machineInfo := term.machines[name]
		if machineInfo == nil || machineInfo.isDeleting {
			continue
		}
		term.retryFaultyMachine(machine, machineInfo, now)
		evidence := health.Evidence{Silence: term.silenceOf(machine, now), IsListedBooting: machineInfo.isListedBooting, Zone: zones[machine.Zone]}
		term.applyVerdict(judge.Judge(machine, evidence, now), machine, evidence, now)
	}
	term.processTaskEvents(now)
	term.expireDeletedMachines(now)
	term.deleteUnknownMachines(now)
}

// countReachable counts the machines that have booted, and those of them that are reachable, in total and
// by zone.
func (term *Term) countReachable(now clock.Micros) (fleet health.Reachability, zones map[string]health.Reachability) {
	zones = map[string]health.Reachability{}
	for _, machine := range term.tracker.Machines {
		if machine.FirstHeartbeatAt == 0 {
			continue
		}
		isReachable := term.isReachable(machine, now)
		zone := zones[machine.Zone]
		zone.Add(isReachable)
		zones[machine.Zone] = zone
		fleet.Add(isReachable)
	}
	return fleet, zones
}

// isReachable reports whether a machine's last heartbeat, or the end of the process's last stall, is
// within the heartbeat window.
func (term *Term) isReachable(machine *allocation.Machine, now clock.Micros) bool {
	return now-max(machine.LastHeartbeatAt, term.liveness.resumedAt) < term.environment.Timing.HeartbeatWindow
}

// silenceOf returns for how long a machine's heartbeats have been missing although they could have
// arrived. After a zone was cut off, its machines become reachable again one by one, so the time counts
// from when the zone was mostly reachable again at the earliest. Without this, two thirds of a zone were
// deleted once the first third was reachable again.
func (term *Term) silenceOf(machine *allocation.Machine, now clock.Micros) clock.Micros {
	return now - max(machine.LastHeartbeatAt, term.liveness.resumedAt, term.liveness.zoneUnreachableAt[machine.Zone])
}

// applyVerdict carries out the decision about a machine.
func (term *Term) applyVerdict(verdict health.Verdict, machine *allocation.Machine, evidence health.Evidence, now clock.Micros) {
	switch verdict {
	case health.Keep:
	case health.LeaseExpired:
		term.tracker.ExpireLease(machine, now)
		term.logDeletion(machine, verdict.String(), evidence.Silence)
		term.deleteMachine(machine)
	case health.LeaseExpiredWhileBooting:
		term.tracker.ExpireLease(machine, now)
	case health.NeverBooted, health.Suspected:
		term.logDeletion(machine, verdict.String(), evidence.Silence)
		term.deleteMachine(machine)
	case health.Drained, health.ReclaimedIdle:
		term.deleteMachine(machine)
	case health.Reclaimed:
		term.evacuateReclaimed(machine, now)
	}
}

// logDeletion logs why a machine that ought to work is deleted. silence is the time for which nothing has
// been received from it.
func (term *Term) logDeletion(machine *allocation.Machine, reason string, silence clock.Micros) {
	term.environment.Log.Info("deleting machine", "machine", machine.Name, "zone", machine.Zone, "spot", machine.Spot, "reason", reason, "silent_s", silence.Seconds())
}

// expireDeletedMachines forgets machines that were deleted more than deletedMachineTTL ago. It ignores
// the cloud's list, so the rule in handleList that keeps machines that are still listed has no effect.
// Which of the two rules should apply has yet to be decided.
func (term *Term) expireDeletedMachines(now clock.Micros) {
	for name, at := range term.deletions.deletedAt {
		if now-at > deletedMachineTTL {
			delete(term.deletions.deletedAt, name)
		}
	}
}

const (
	// unknownMachineGrace is the time for which a machine that no record names is left alone.
	unknownMachineGrace = 5 * clock.Second
	// unknownMachineRetry is the time, in addition to the grace, for which such a machine is left alone
	// after its deletion has been requested.
	unknownMachineRetry = 30 * clock.Second
)

// deleteUnknownMachines deletes machines that no record names. Such a machine comes from a scale-out
// request that was executed late, and has no tasks. None is deleted while any scale-out request is
// unanswered, since the machine might belong to that request.
func (term *Term) deleteUnknownMachines(now clock.Micros) {
	for _, request := range term.scaleOuts {
		if !request.IsAnswered() {
			return
		}
	}
	for name, since := range term.listing.unknownSince {
		if now-since <= unknownMachineGrace || slices.Contains(term.deletions.pending, name) {
			continue
		}
		term.environment.Log.Info("deleting unknown machine", "machine", name)
		// This instant is in the future, unlike those of other machines, which delays the next attempt.
		term.listing.unknownSince[name] = now + unknownMachineRetry
		term.deletions.pending = append(term.deletions.pending, name)
	}
}

// checkpointMargin is the minimum time that has to be left until a reclaim, beyond twice the time to save
// a checkpoint, for a task to keep running.
const checkpointMargin = 3 * clock.Second

// evacuateReclaimed stops the tasks of a machine that the cloud reclaims, except those that will be done
// in time and those that are better left running.
func (term *Term) evacuateReclaimed(machine *allocation.Machine, now clock.Micros) {
	remaining := machine.ReclaimAt - now
	machine.ForEachPlacement(func(placement *allocation.Placement) {
		if placement.IsStopping() || term.scheduler.RemainingRun(placement, now) <= remaining || mayKeepRunning(placement, remaining) {
			return
		}
		job := placement.Job
		grace := clock.FromSeconds(job.Spec.CheckpointSaveSeconds)
		if job.IsGang() && job.GangStarted {
			term.tracker.StopJob(job, grace)
		} else {
			term.tracker.StopPlacement(placement, grace)
		}
	})
}

// mayKeepRunning reports whether a task that saves checkpoints may keep running although its machine is
// being reclaimed: either there is enough time to run further and still save a checkpoint, or too little
// time to save one at all.
func mayKeepRunning(placement *allocation.Placement, remaining clock.Micros) bool {
	spec := placement.Job.Spec
	saveTime := clock.FromSeconds(spec.CheckpointSaveSeconds)
	if spec.CheckpointIntervalSeconds <= 0 || saveTime <= 0 {
		return false
	}
	canKeepRunning := remaining > 2*saveTime+checkpointMargin
	isTooLateToSave := remaining <= saveTime && placement.ReportedState == wire.TaskRunning
	return canKeepRunning || isTooLateToSave
}

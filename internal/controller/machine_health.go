package controller

import (
	"slices"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// suspectTimeout is when a machine that has not reported counts as silent: its
// longest report interval, an answer that never came, and the way to the
// leader by way of another node.
func (controller *Controller) suspectTimeout() clock.Micros {
	return clock.FromSeconds(1.25*controller.cfg.Deployment.Workers.HeartbeatIntervalSeconds) + 6500*clock.Millisecond
}

// heartbeatWindow is how long ago a machine that can be heard may have reported last:
// its longest interval and one slow message.
func (controller *Controller) heartbeatWindow() clock.Micros {
	return clock.FromSeconds(1.25*controller.cfg.Deployment.Workers.HeartbeatIntervalSeconds) + 1500*clock.Millisecond
}

// reachability counts machines that are up, and those of them heard just now.
type reachability struct{ up, reachable int }

func (counts *reachability) add(isReachable bool) {
	counts.up++
	if isReachable {
		counts.reachable++
	}
}

// isMostlyReachable tells that the way to these machines is open: enough of them are
// heard, even while a wave takes many of the others.
func (counts *reachability) isMostlyReachable() bool {
	return counts.reachable > 0 && 3*counts.reachable >= counts.up
}

// isOnlyLeaderCutOff tells that the leader hears next to none of its machines while another
// controller is asked by many: the fault is on the leader's side.
func (counts *reachability) isOnlyLeaderCutOff(othersWorkers uint32) bool {
	return counts.up >= 3 && 4*counts.reachable < counts.up && 3*int(othersWorkers) >= counts.up
}

// isNoneReachable tells that nobody is heard, of enough machines for that to mean something.
func (counts *reachability) isNoneReachable() bool { return counts.up >= 3 && counts.reachable == 0 }

// reviewMachines gives up machines that are stuck, silent, taken or over.
func (term *leaderTerm) reviewMachines(now clock.Micros) {
	term.updateRenewalBounds(now)
	timeout := term.controller.suspectTimeout()
	zones := map[string]*reachability{}
	var all reachability
	for _, machine := range term.tracker.Machines {
		if machine.FirstHeartbeatAt == 0 {
			continue
		}
		zone := zones[machine.Zone]
		if zone == nil {
			zone = &reachability{}
			zones[machine.Zone] = zone
		}
		isReachable := now-max(machine.LastHeartbeatAt, term.liveness.resumedAt) < term.controller.heartbeatWindow()
		zone.add(isReachable)
		all.add(isReachable)
	}
	if term.handOverIfCutOff(all, now) {
		return
	}
	term.updateConstraints(now)
	for zone, status := range zones {
		if !status.isMostlyReachable() {
			term.liveness.zoneUnreachableAt[zone] = now
		}
	}
	for name, machine := range term.tracker.Machines {
		machineInfo := term.machines[name]
		if machineInfo == nil || machineInfo.isDeleting {
			continue
		}
		term.retryFaultyMachine(machine, machineInfo, now)
		// When a zone comes back its machines do one by one: once the last two
		// thirds of it were deleted when the first third was heard again.
		silence := now - max(machine.LastHeartbeatAt, term.liveness.resumedAt, term.liveness.zoneUnreachableAt[machine.Zone])
		switch {
		case term.tracker.LeaseEndsAt(machine) <= now && (machine.FirstHeartbeatAt != 0 || !machine.Reconciled):
			// Its tasks are provably over, and it is of no use.
			term.tracker.ExpireLease(machine, now)
			if machine.FirstHeartbeatAt != 0 || machine.CreatedAt < term.liveness.startedAt {
				// One that an earlier leader rented and that was taken meanwhile is
				// on no list: it would count as booting for ever.
				term.controller.log.Info("machine lost", "machine", name)
				term.deleteMachine(machine)
			}
		case machine.FirstHeartbeatAt == 0 && (machine.CreatedAt > term.liveness.startedAt || machineInfo.isListedBooting) && now-machine.CreatedAt > term.scheduler.BootTimeout(machine.Type) && silence > timeout:
			// Not having been heard is no proof for a new leader: once one took a
			// zone that was cut off for machines that never came up, and deleted
			// it with all that ran there.
			term.controller.log.Info("machine does not come up", "machine", name)
			term.deleteMachine(machine)
		case machine.FirstHeartbeatAt != 0 && silence > timeout && zones[machine.Zone].isMostlyReachable():
			// It is silent while others of its zone are heard. Deleting it
			// proves its tasks over, sooner than its lease would. When a whole
			// zone falls silent a cut is more likely, and it comes back: once
			// a leader that was cut off deleted half its fleet.
			term.controller.log.Info("machine silent", "machine", name, "for_s", silence.Seconds())
			term.deleteMachine(machine)
		case machine.Draining && machine.IsIdle() || term.tracker.IsCordoned(machine, now):
			term.deleteMachine(machine)
		case machine.ReclaimAt != 0 && machine.IsIdle():
			term.deleteMachine(machine)
		case machine.ReclaimAt != 0:
			term.evacuateReclaimed(machine, now)
		}
	}
	term.processTaskEvents(now)
	for name, at := range term.deletions.deletedAt {
		if now-at > 600*clock.Second {
			delete(term.deletions.deletedAt, name)
		}
	}
	// A machine that no record names comes from a request that was carried
	// out late. It has no tasks; it is returned once no rental is open that it
	// might belong to.
	hasOpenRequest := false
	for _, status := range term.scaleOuts {
		hasOpenRequest = hasOpenRequest || !status.isResolved
	}
	for name, at := range term.listing.unknownSince {
		if !hasOpenRequest && now-at > 5*clock.Second && !slices.Contains(term.deletions.pending, name) {
			term.controller.log.Info("unknown machine returned", "machine", name)
			term.listing.unknownSince[name] = now + 30*clock.Second
			term.deletions.pending = append(term.deletions.pending, name)
		}
	}
}

// evacuateReclaimed moves tasks off a machine that is about to be taken, unless they will
// be done in time.
func (term *leaderTerm) evacuateReclaimed(machine *allocation.Machine, now clock.Micros) {
	remaining := machine.ReclaimAt - now
	machine.ForEachPlacement(func(placement *allocation.Placement) {
		job := placement.Job
		if placement.IsStopping() {
			return
		}
		if term.scheduler.RemainingRun(placement, now) <= remaining {
			return
		}
		grace := clock.FromSeconds(job.Spec.CheckpointSaveSeconds)
		if job.Spec.CheckpointIntervalSeconds > 0 && grace > 0 && (remaining > 2*grace+3*clock.Second || remaining <= grace && placement.ReportedState == wire.TaskRunning) {
			return // there is time to run on and still save, or none to save at all
		}
		if job.IsGang() && job.GangStarted {
			term.tracker.StopJob(job, grace)
		} else {
			term.tracker.StopPlacement(placement, grace)
		}
	})
}

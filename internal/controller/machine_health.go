package controller

import (
	"maps"
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

// handOverBackoff is how long a leader that was cut off leaves the lead to others.
const handOverBackoff = 30 * clock.Second

// handOverIfCutOff gives the lead to a controller that the workers do reach: their
// leases would run out while this one renews its lock. So it does where the state
// service renews the lock but answers no reads. Where all machines fall silent
// at once it does not wait until another says that it is asked: a worker that has
// waited for an answer for four seconds, and is then sent back here, is lost with a
// lease of ten. A leader that has never heard them does not pass the lead on.
func (term *leaderTerm) handOverIfCutOff(fleet reachability, now clock.Micros) bool {
	var othersWorkers uint32
	hasCandidate := false // another controller could lead
	for _, received := range term.controller.members.heartbeats {
		if now-received.receivedAt < 2*clock.Second && received.heartbeat.IsStoreReachable {
			othersWorkers = max(othersWorkers, received.heartbeat.WorkerCount)
			hasCandidate = true
		}
	}
	if hasCandidate && now-max(term.entitlement.viewAge.LastReadSentAt(), term.liveness.resumedAt) > 2*term.controller.leaderTTL() {
		term.controller.log.Info("the state service answers no reads", "for_s", (now - term.entitlement.viewAge.LastReadSentAt()).Seconds())
		term.handOverTerm(now)
		return true
	}
	if term.liveness.hadMostReachable && hasCandidate && fleet.isNoneReachable() {
		term.controller.log.Info("no worker is heard any more", "of", fleet.up)
		term.handOverTerm(now)
		return true
	}
	term.liveness.hadMostReachable = term.liveness.hadMostReachable || fleet.isMostlyReachable()
	if now-term.liveness.resumedAt < term.controller.suspectTimeout() {
		return false
	}
	for _, contact := range term.controller.workers.reports {
		if now-contact.reportedAt < workerContactTTL {
			othersWorkers = max(othersWorkers, contact.workers)
		}
	}
	if !fleet.isOnlyLeaderCutOff(othersWorkers) {
		return false
	}
	term.controller.log.Info("few workers are heard, others hear them", "heard", fleet.reachable, "of", fleet.up, "others", othersWorkers)
	term.handOverTerm(now)
	return true
}

func (term *leaderTerm) handOverTerm(now clock.Micros) {
	term.controller.executeActions(term.controller.elector.StepDown(now, handOverBackoff))
	term.controller.endTerm("handed over")
}

// acknowledgeTimestamps renews the rights of the others to keep leases alive: the stamps that
// have come so far are echoed once the view is known to be newer than them, and
// only while no withdrawn job is taking long to go. So what a withdrawal leaves
// behind in a zone that is cut off ends in time; see delegation.Config.
func (term *leaderTerm) acknowledgeTimestamps(now clock.Micros, then func()) {
	stamps := maps.Clone(term.controller.members.timestamps)
	term.controller.view.RequestSync(func(err error) {
		defer then()
		if err != nil || term.isClosed {
			return
		}
		term.recordViewRead(now)
		if !term.controller.isEntitled() {
			return
		}
		for _, job := range term.tracker.Jobs {
			if job.Cancelled && !term.tracker.IsVacated(job) && clock.Now()-job.CancelledAt > term.controller.delegation.times.CancellationGrace {
				return
			}
		}
		term.renewals.cancellationsKnownAt = now
		for member, timestamp := range stamps {
			if !term.renewals.constraints.MayConstrainMember(member) {
				term.renewals.acknowledgements[member] = timestamp
				term.renewals.grants.RecordAck(member, now)
			}
		}
	}, now+heartbeatInterval)
}

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

// logFleet sums up, at debug level, what is rented and what it does.
func (term *leaderTerm) logFleet(now clock.Micros) {
	if now < term.pace.nextFleetLogAt {
		return
	}
	term.pace.nextFleetLogAt = now + 5*clock.Second
	var machines, booting, idle [2]int
	var capacity, replicas, tasks [2]int64
	for _, machine := range term.tracker.Machines {
		kind := 0
		if machine.Spot {
			kind = 1
		}
		machines[kind]++
		if machine.FirstHeartbeatAt == 0 {
			booting[kind]++
			continue
		}
		if machine.IsIdle() {
			idle[kind]++
		}
		capacity[kind] += machine.Capacity.MilliCPU / 1000
		machine.ForEachPlacement(func(placement *allocation.Placement) {
			if placement.Job.IsService() {
				replicas[kind] += placement.Job.Request.MilliCPU / 1000
			} else {
				tasks[kind] += placement.Job.Request.MilliCPU / 1000
			}
		})
	}
	waiting := 0
	for _, job := range term.tracker.Jobs {
		if !job.Cancelled {
			waiting += job.WaitingCount()
		}
	}
	term.controller.log.Debug("fleet", "ordinary", machines[0], "booting", booting[0], "idle", idle[0], "cpus", capacity[0], "replicas", replicas[0], "tasks", tasks[0],
		"spot", machines[1], "spot_booting", booting[1], "spot_idle", idle[1], "spot_cpus", capacity[1], "spot_tasks", tasks[1], "waiting", waiting)
}

// deletedMachineTTL is how long a deleted machine is remembered at least: late reports of it, and
// lists that lag, mean nothing.
const deletedMachineTTL = 600 * clock.Second

// listMachines reads the cloud's list now and then: for machines that failed, and for
// machines that nobody knows.
func (term *leaderTerm) listMachines(now clock.Micros) {
	if term.listing.isInFlight || now < term.listing.nextAt {
		return
	}
	term.listing.isInFlight = true
	go func() {
		listed, err := term.controller.cloud.ListMachines()
		term.controller.postResult(func() {
			if term.isClosed {
				return
			}
			now := clock.Now()
			term.listing.isInFlight = false
			term.listing.nextAt = now + 10*clock.Second
			if err != nil {
				term.listing.nextAt = now + 3*clock.Second
				return
			}
			names := make(map[string]bool, len(listed))
			for i := range listed {
				term.applyListedMachine(&listed[i], now)
				names[listed[i].ID] = true
			}
			term.deleteUnlisted(names, now)
			maps.DeleteFunc(term.deletions.deletedAt, func(name string, at clock.Micros) bool { return now-at > deletedMachineTTL && !names[name] })
		})
	}()
}

// deleteUnlisted gives up machines that an earlier leader rented, that nobody has heard
// and that the cloud does not list: they are gone, though a record names them.
func (term *leaderTerm) deleteUnlisted(names map[string]bool, now clock.Micros) {
	listLag := clock.FromSeconds(2*term.controller.cfg.Deployment.Cloud.ListLagSeconds) + clock.Second
	for name, machine := range term.tracker.Machines {
		if machine.FirstHeartbeatAt == 0 && machine.CreatedAt < term.liveness.startedAt && !names[name] && now-machine.CreatedAt > term.scheduler.BootTimeout(machine.Type)+listLag {
			term.controller.log.Info("machine not listed", "machine", name)
			term.deleteMachine(machine)
		}
	}
}

func (term *leaderTerm) applyListedMachine(listed *wire.ListedMachine, now clock.Micros) {
	if _, ok := term.deletions.deletedAt[listed.ID]; ok {
		return // the list lags
	}
	machine := term.tracker.Machines[listed.ID]
	if machine == nil {
		if _, ok := term.listing.unknownSince[listed.ID]; !ok {
			term.listing.unknownSince[listed.ID] = now
		}
		return
	}
	if machine.Address == "" {
		machine.Address = listed.Address
	}
	if machineInfo := term.machines[listed.ID]; machineInfo != nil {
		machineInfo.isListedBooting = listed.State == wire.MachineBooting
	}
	if listed.State == wire.MachineFailed {
		term.controller.log.Info("machine failed", "machine", listed.ID)
		term.deleteMachine(machine)
	}
}

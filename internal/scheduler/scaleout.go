package scheduler

import (
	"cmp"
	"slices"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/wire"
)

// planScaleOut requests the machines that are lacking. It assigns the waiting tasks in queue order
// to the room that will be free within one boot time (compare the paper's sequential plan, IV-C,
// Definition 6), and requests machines now for the tasks that find no room.
func (cycle *schedulingCycle) planScaleOut(queue []*queuedJob, pendingScaleOuts []PendingScaleOut, decision *Decision) {
	wanted := cycle.possiblyLostReplicas()
	for _, queued := range queue {
		if queued.unplaced > 0 {
			wanted = append(wanted, queued)
		}
	}
	if len(wanted) == 0 {
		return
	}
	cycle.scheduler.forgetGangAttempts(cycle.tracker)
	forecast := cycle.forecastCapacity(wanted, pendingScaleOuts)
	var requestedPools []*poolForecast // in the order in which the queue first needs them
	for _, queued := range wanted {
		shortfall := jobShortfall{queued: queued, remaining: queued.unplaced, requiredZone: cycle.chooseZone(queued, forecast), tasksByZone: map[string]int{}}
		for zone, taskCount := range queued.reservedByZone {
			shortfall.assignToZone(zone, taskCount)
		}
		shortfall.allocateFromForecast(forecast)
		queued.hasShortfall = shortfall.remaining > 0
		if queued.job.IsGang() && !cycle.holdIdleMachines(&shortfall) || !queued.hasShortfall {
			continue
		}
		if cycle.mayRequestMachines(queued, shortfall.requiredZone) {
			requestedPools = cycle.requestMachines(&shortfall, forecast, requestedPools)
		}
	}
	for _, capacity := range requestedPools {
		decision.ScaleOut = append(decision.ScaleOut, ScaleOutRequest{capacity.pool, capacity.requested})
	}
}

// jobShortfall tracks how many of a job's tasks have found no room in the forecast yet.
type jobShortfall struct {
	queued       *queuedJob
	remaining    int                   // tasks without room
	tasksByZone  map[string]int        // tasks for which this plan has found room, by zone
	requiredZone string                // the only zone that the job may use, or "" if it may use any
	idleMachines []*allocation.Machine // idle machines on which this plan has found room for tasks
}

// zoneAllowance is how many more tasks of the job may be assigned to a zone.
func (shortfall *jobShortfall) zoneAllowance(zone string) int {
	job := shortfall.queued.job
	if shortfall.queued.isLossUnconfirmed || !job.Spec.SpreadZones {
		return shortfall.remaining
	}
	return min(shortfall.remaining, job.MaxTasksPerZone()-job.CountInZone(zone)-shortfall.tasksByZone[zone])
}

// allocateFromForecast assigns tasks of the job to the room that the forecast has for them.
func (shortfall *jobShortfall) allocateFromForecast(forecast *capacityForecast) {
	job := shortfall.queued.job
	for _, capacity := range forecast.pools {
		zone := capacity.pool.Zone
		if shortfall.remaining <= 0 || !isPoolAllowed(job, capacity.pool) || shortfall.requiredZone != "" && zone != shortfall.requiredZone {
			continue
		}
		if count := shortfall.zoneAllowance(zone); count > 0 {
			shortfall.assignToZone(zone, forecast.allocate(capacity, job.Request, count, shortfall.visitMachine))
		}
	}
}

// visitMachine records a machine on which this plan has found room for tasks, if it is idle.
func (shortfall *jobShortfall) visitMachine(machine *allocation.Machine) {
	if machine.IsIdle() && machine.FirstHeartbeatAt != 0 {
		shortfall.idleMachines = append(shortfall.idleMachines, machine)
	}
}

func (shortfall *jobShortfall) assignToZone(zone string, taskCount int) {
	shortfall.tasksByZone[zone] += taskCount
	shortfall.remaining -= taskCount
}

// requestMachines adds machines to the forecast until all tasks of the job have room. Tasks that still wait for a spot
// machine get no other one. It returns requestedPools with the pools appended that had no request before.
func (cycle *schedulingCycle) requestMachines(shortfall *jobShortfall, forecast *capacityForecast, requestedPools []*poolForecast) []*poolForecast {
	queued := shortfall.queued
	waitingForSpot := max(shortfall.remaining-cycle.countPastSpotWait(queued), 0)
	if waitingForSpot > 0 {
		var hasPool bool
		requestedPools, hasPool = cycle.requestFromPools(shortfall, cycle.pricedPools(queued.job, preferSpot, shortfall.requiredZone, forecast), forecast, requestedPools)
		if hasPool || shortfall.remaining <= waitingForSpot {
			return requestedPools
		}
	}
	shortfall.remaining -= waitingForSpot
	requestedPools, _ = cycle.requestFromPools(shortfall, cycle.pricedPools(queued.job, anyKind, shortfall.requiredZone, forecast), forecast, requestedPools)
	shortfall.remaining += waitingForSpot
	return requestedPools
}

// requestFromPools adds machines of some pools to the forecast until all tasks of the job have room. It stops early
// if no pool is left, or if the cheapest one has reached the limit of one request; the next plan
// requests the rest. It reports whether a pool was left, and returns requestedPools as requestMachines does.
func (cycle *schedulingCycle) requestFromPools(shortfall *jobShortfall, candidatePools []pricedPool, forecast *capacityForecast, requestedPools []*poolForecast) (pools []*poolForecast, hasPool bool) {
	job := shortfall.queued.job
	for shortfall.remaining > 0 {
		capacity := cycle.cheapestPool(job, candidatePools, func(zone string) bool { return shortfall.zoneAllowance(zone) > 0 })
		if capacity == nil {
			return requestedPools, false
		}
		if capacity.requested >= wire.MaxScaleOutCount {
			break
		}
		// The new machine is filled with tasks of this job before other jobs may use it.
		expected := expectedMachine{free: cycle.scheduler.MachineCapacity(capacity.pool.Type)}
		for count := shortfall.zoneAllowance(capacity.pool.Zone); count > 0 && job.Request.IsWithin(expected.free); count-- {
			expected.free = expected.free.Sub(job.Request)
			shortfall.assignToZone(capacity.pool.Zone, 1)
		}
		forecast.addExpectedMachine(capacity, expected)
		if capacity.requested == 0 {
			requestedPools = append(requestedPools, capacity)
		}
		capacity.requested++
	}
	return requestedPools, true
}

// possiblyLostReplicas lists the services with production replicas that are on suspected machines or
// are unconfirmed since a failover. The replicas may not be started again yet, but the machines
// that they will need can boot in the meantime. If those were requested only once the loss is
// confirmed, the replicas would start one boot time later.
func (cycle *schedulingCycle) possiblyLostReplicas() []*queuedJob {
	var out []*queuedJob
	for _, job := range cycle.tracker.Jobs {
		if !job.IsService() || job.Cancelled || job.Dependencies == allocation.DependenciesUnmet || job.Priority != 0 {
			continue
		}
		if lostCount := cycle.possiblyLostCount(job); lostCount > 0 {
			out = append(out, &queuedJob{job: job, unplaced: lostCount, isLossUnconfirmed: true})
		}
	}
	slices.SortFunc(out, func(a, b *queuedJob) int { return cmp.Compare(a.job.Spec.ID, b.job.Spec.ID) })
	return out
}

// possiblyLostCount counts the tasks of a job that are on suspected machines, and those that are
// still unconfirmed although this term is old enough for each machine to have sent a heartbeat.
func (cycle *schedulingCycle) possiblyLostCount(job *allocation.Job) int {
	lostCount := 0
	if cycle.now-cycle.scheduler.TermStartedAt > cycle.scheduler.HeartbeatWindow {
		lostCount = job.UnconfirmedCount()
	}
	for i := range job.Tasks {
		if placement := job.Tasks[i].Placement; placement != nil && !placement.Machine.Draining && !cycle.scheduler.hasRecentHeartbeat(placement.Machine, cycle.now) {
			lostCount++
		}
	}
	return lostCount
}

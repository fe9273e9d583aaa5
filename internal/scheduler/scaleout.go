package scheduler

import (
	"cmp"
	"slices"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/wire"
)

// planScaleOut works out what is lacking: what waits is planned in order onto what will be
// free within one boot time (compare the paper's sequential plan, IV-C, Definition 6), and
// machines for the rest are requested now.
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
	forecast := cycle.forecastCapacity(wanted, pendingScaleOuts)
	var requestedPools []*poolForecast // in the order of need
	for _, queued := range wanted {
		shortfall := jobShortfall{queued: queued, remaining: queued.unplaced, requiredZone: cycle.chooseZone(queued.job, forecast), tasksByZone: map[string]int{}}
		shortfall.allocateFromForecast(forecast)
		if shortfall.remaining <= 0 {
			continue
		}
		queued.hasShortfall = true
		if !queued.job.IsGang() || !cycle.isInfeasible(queued, shortfall.requiredZone) {
			requestedPools = cycle.requestMachines(&shortfall, forecast, requestedPools)
		}
	}
	for _, capacity := range requestedPools {
		decision.ScaleOut = append(decision.ScaleOut, ScaleOutRequest{capacity.pool, capacity.requested})
	}
}

// jobShortfall is what of a job has found no room in the forecast yet.
type jobShortfall struct {
	queued       *queuedJob
	remaining    int            // tasks without room
	tasksByZone  map[string]int // tasks with room, of those that waited
	requiredZone string         // the only zone that the job may use; empty: any
}

// zoneAllowance is how many more of the job's tasks a zone may have.
func (shortfall *jobShortfall) zoneAllowance(zone string) int {
	job := shortfall.queued.job
	if shortfall.queued.isLossUnconfirmed || !job.Spec.SpreadZones {
		return shortfall.remaining
	}
	return min(shortfall.remaining, job.MaxTasksPerZone()-job.CountInZone(zone)-shortfall.tasksByZone[zone])
}

// allocateFromForecast takes what room the forecast has for the job.
func (shortfall *jobShortfall) allocateFromForecast(forecast *capacityForecast) {
	job := shortfall.queued.job
	for _, capacity := range forecast.pools {
		zone := capacity.pool.Zone
		if shortfall.remaining <= 0 || !isPoolAllowed(job, capacity.pool) || shortfall.requiredZone != "" && zone != shortfall.requiredZone {
			continue
		}
		if count := shortfall.zoneAllowance(zone); count > 0 {
			shortfall.assignToZone(zone, forecast.allocate(capacity, job.Request, count))
		}
	}
}

func (shortfall *jobShortfall) assignToZone(zone string, taskCount int) {
	shortfall.tasksByZone[zone] += taskCount
	shortfall.remaining -= taskCount
}

// requestMachines adds machines to the forecast until the job has room, or as many as one
// request may ask for; more is left to the next plan. It appends the pools that had not
// grown yet.
func (cycle *schedulingCycle) requestMachines(shortfall *jobShortfall, forecast *capacityForecast, requestedPools []*poolForecast) []*poolForecast {
	job := shortfall.queued.job
	pricedPools := cycle.pricedPools(job, shortfall.queued.urgency, shortfall.requiredZone, forecast)
	for shortfall.remaining > 0 {
		capacity := cycle.cheapestPool(job, pricedPools, func(zone string) bool { return shortfall.zoneAllowance(zone) > 0 })
		if capacity == nil || capacity.requested >= wire.MaxScaleOutCount {
			break
		}
		// A new machine takes what it can of this job at once.
		expected := expectedMachine{free: cycle.scheduler.MachineCapacity(capacity.pool.Type)}
		for count := shortfall.zoneAllowance(capacity.pool.Zone); count > 0 && job.Request.IsWithin(expected.free); count-- {
			expected.free = expected.free.Sub(job.Request)
			shortfall.assignToZone(capacity.pool.Zone, 1)
		}
		forecast.addMachine(capacity, expected)
		if capacity.requested == 0 {
			requestedPools = append(requestedPools, capacity)
		}
		capacity.requested++
	}
	return requestedPools
}

// isInfeasible tells whether a gang needs more machines than can be had: every pool that it
// may use was found empty, and all machines there would not hold it. Machines requested for a
// part of it would idle, be deleted and be requested again.
func (cycle *schedulingCycle) isInfeasible(queued *queuedJob, requiredZone string) bool {
	taskCapacity := 0
	for typeName, machineType := range cycle.scheduler.MachineTypes {
		tasksPerMachine := cycle.scheduler.tasksPerMachine(queued.job.Request, typeName)
		for _, zone := range machineType.Zones {
			for _, spot := range []bool{true, false} {
				pool := Pool{typeName, zone, spot}
				if tasksPerMachine == 0 || !isPoolAllowed(queued.job, pool) || requiredZone != "" && zone != requiredZone {
					continue
				}
				if cycle.scheduler.backoffFor(pool).emptyResponses == 0 {
					return false
				}
				taskCapacity += tasksPerMachine * cycle.machineCount(pool)
			}
		}
	}
	return taskCapacity < len(queued.job.Tasks)
}

// possiblyLostReplicas lists production replicas on suspected machines, or unconfirmed since
// a failover. Nothing of them may be started yet, but the machines that they will need can
// boot meanwhile: requested only once the loss is proven, they would be a boot too late.
func (cycle *schedulingCycle) possiblyLostReplicas() []*queuedJob {
	var out []*queuedJob
	for _, job := range cycle.tracker.Jobs {
		if !job.IsService() || job.Cancelled || job.Priority != 0 {
			continue
		}
		if lostCount := cycle.possiblyLostCount(job); lostCount > 0 {
			out = append(out, &queuedJob{job: job, unplaced: lostCount, isLossUnconfirmed: true})
		}
	}
	slices.SortFunc(out, func(a, b *queuedJob) int { return cmp.Compare(a.job.Spec.ID, b.job.Spec.ID) })
	return out
}

// possiblyLostCount counts tasks of a job that are unconfirmed though machines have had the
// time for a heartbeat, or on a suspected machine.
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

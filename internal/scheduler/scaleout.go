package scheduler

import (
	"cmp"
	"slices"

	"firwood.dev/firwood/wire"
)

// planScaleOut works out the shortfall: what waits is planned in order onto what will
// be free within one boot time, and the rest is rented now.
func (cycle *schedulingCycle) planScaleOut(queue []*queuedJob, pendingScaleOuts []PendingScaleOut, decision *Decision) {
	wanted := cycle.unconfirmedReplicas()
	for _, queued := range queue {
		if queued.unplaced > 0 {
			wanted = append(wanted, queued)
		}
	}
	if len(wanted) == 0 {
		return
	}
	forecast := cycle.forecastCapacity(wanted, pendingScaleOuts)
	var growing []*poolForecast // in the order of need
	for _, queued := range wanted {
		job := queued.job
		zones := map[string]int{}
		remaining := queued.unplaced
		requiredZone := cycle.chooseZone(job, forecast)
		// most is how many more of the job's tasks a zone may have.
		zoneAllowance := func(zone string) int {
			if queued.isLossUnconfirmed || !job.Spec.SpreadZones {
				return remaining
			}
			return min(remaining, job.MaxTasksPerZone()-job.CountInZone(zone)-zones[zone])
		}
		allocate := func(capacity *poolForecast) {
			if remaining <= 0 || !isPoolAllowed(job, capacity.pool) || requiredZone != "" && capacity.pool.Zone != requiredZone {
				return
			}
			if count := zoneAllowance(capacity.pool.Zone); count > 0 {
				allocated := forecast.allocate(capacity, job.Request, count)
				zones[capacity.pool.Zone] += allocated
				remaining -= allocated
			}
		}
		for _, capacity := range forecast.pools {
			allocate(capacity)
		}
		if remaining <= 0 {
			continue
		}
		queued.hasShortfall = true
		if job.IsGang() && cycle.isInfeasible(queued, requiredZone) {
			continue
		}
		offers := cycle.pricedPools(job, queued.urgency, requiredZone, forecast)
		for remaining > 0 {
			capacity := cycle.cheapestPool(job, offers, func(zone string) bool { return zoneAllowance(zone) > 0 })
			if capacity == nil || capacity.requested >= wire.MaxScaleOutCount {
				break // more than one call may ask for is for the next plan
			}
			// A new machine takes what it can of this job at once.
			expected := expectedMachine{free: cycle.scheduler.MachineCapacity(capacity.pool.Type)}
			for count := zoneAllowance(capacity.pool.Zone); count > 0 && job.Request.IsWithin(expected.free); count-- {
				expected.free = expected.free.Sub(job.Request)
				zones[capacity.pool.Zone]++
				remaining--
			}
			forecast.addMachine(capacity, expected)
			if capacity.requested == 0 {
				growing = append(growing, capacity)
			}
			capacity.requested++
		}
	}
	for _, capacity := range growing {
		decision.ScaleOut = append(decision.ScaleOut, ScaleOutRequest{capacity.pool, capacity.requested})
	}
}

// isInfeasible tells whether a gang asks for more machines than can be had: every pool
// that it may use has refused, and all that is rented there would not do. What is
// rented for it in part would stand idle, be given back and be rented again.
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

// unconfirmedReplicas lists replicas whose machine has fallen silent, or that are in doubt
// since the take-over. Nothing of them may be started yet, but where they are
// to go can boot meanwhile: when they are provably gone, a boot later is a
// boot too late.
func (cycle *schedulingCycle) unconfirmedReplicas() []*queuedJob {
	var out []*queuedJob
	for _, job := range cycle.tracker.Jobs {
		if !job.IsService() || job.Cancelled || job.Priority != 0 {
			continue
		}
		lostCount := 0
		if cycle.now-cycle.scheduler.TermStartedAt > cycle.scheduler.HeartbeatWindow {
			lostCount = job.UnconfirmedCount()
		}
		for i := range job.Tasks {
			if placement := job.Tasks[i].Placement; placement != nil && !placement.Machine.Draining && !cycle.scheduler.hasRecentHeartbeat(placement.Machine, cycle.now) {
				lostCount++
			}
		}
		if lostCount > 0 {
			out = append(out, &queuedJob{job: job, unplaced: lostCount, isLossUnconfirmed: true})
		}
	}
	slices.SortFunc(out, func(a, b *queuedJob) int { return cmp.Compare(a.job.Spec.ID, b.job.Spec.ID) })
	return out
}

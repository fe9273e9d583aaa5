package scheduler

import (
	"cmp"
	"slices"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// expectedMachine is a machine of the future: what will be free on it one boot time on.
type expectedMachine struct {
	free    allocation.Resources
	machine *allocation.Machine // nil if not there yet
}

// capacityForecast holds the slots, pool by pool. Slots with no room left for anything
// that waits are taken out as they are met.
type capacityForecast struct {
	pools   []*poolForecast
	minNeed allocation.Resources
}

type poolForecast struct {
	pool         Pool
	expected     []expectedMachine
	machineCount int // machines that are, boot, or are to be rented
	requested    int // by this plan
}

func (forecast *capacityForecast) forPool(pool Pool) *poolForecast {
	for _, capacity := range forecast.pools {
		if capacity.pool == pool {
			return capacity
		}
	}
	capacity := &poolForecast{pool: pool}
	forecast.pools = append(forecast.pools, capacity)
	return capacity
}

func (forecast *capacityForecast) addMachine(capacity *poolForecast, expected expectedMachine) {
	capacity.machineCount++
	if forecast.minNeed.IsWithin(expected.free) {
		capacity.expected = append(capacity.expected, expected)
	}
}

// allocate uses up to n places of a pool; it returns how many it found.
func (forecast *capacityForecast) allocate(capacity *poolForecast, need allocation.Resources, limit int) int {
	allocated := 0
	remaining := capacity.expected[:0]
	for i := range capacity.expected {
		expected := capacity.expected[i]
		for allocated < limit && need.IsWithin(expected.free) {
			expected.free = expected.free.Sub(need)
			allocated++
		}
		if allocated == limit && len(remaining) == i {
			capacity.expected[i] = expected // nothing was taken out before it
			return allocated
		}
		if forecast.minNeed.IsWithin(expected.free) {
			remaining = append(remaining, expected)
		}
	}
	capacity.expected = remaining
	return allocated
}

// forecastCapacity works out what will be free one boot time on.
func (cycle *schedulingCycle) forecastCapacity(wanted []*queuedJob, pendingScaleOuts []PendingScaleOut) *capacityForecast {
	forecast := &capacityForecast{minNeed: wanted[0].job.Request}
	for _, queued := range wanted {
		need := queued.job.Request
		forecast.minNeed = allocation.Resources{MilliCPU: min(forecast.minNeed.MilliCPU, need.MilliCPU), MilliGPU: min(forecast.minNeed.MilliGPU, need.MilliGPU), MemoryMB: min(forecast.minNeed.MemoryMB, need.MemoryMB)}
	}
	bootTimes := map[string][2]clock.Micros{}
	for _, machine := range cycle.machines {
		if machine.Draining || machine.ReclaimAt != 0 || cycle.gangReserved[machine.SortIndex] || machine.FirstHeartbeatAt != 0 && !cycle.scheduler.hasRecentHeartbeat(machine, cycle.now) {
			continue
		}
		bootQuantiles, ok := bootTimes[machine.Type]
		if !ok {
			bootQuantiles = [2]clock.Micros{cycle.scheduler.BootTime(machine.Type, 50), cycle.scheduler.BootTime(machine.Type, 95)}
			bootTimes[machine.Type] = bootQuantiles
		}
		if !cycle.isExpected(machine, bootQuantiles[1]) {
			continue
		}
		expected := expectedMachine{free: cycle.freeResources(machine), machine: machine}
		machine.ForEachPlacement(func(placement *allocation.Placement) {
			if !placement.Job.IsService() && cycle.scheduler.remainingSeconds(placement, cycle.now) <= bootQuantiles[0].Seconds() {
				expected.free = expected.free.Add(placement.Job.Request)
			}
		})
		forecast.addMachine(forecast.forPool(Pool{machine.Type, machine.Zone, machine.Spot}), expected)
	}
	for _, pending := range pendingScaleOuts {
		for i := 0; i < pending.Count; i++ {
			forecast.addMachine(forecast.forPool(pending.Pool), expectedMachine{free: cycle.scheduler.MachineCapacity(pending.Pool.Type)})
		}
	}
	return forecast
}

// isExpected tells whether a machine that is not silent can be counted on to take tasks
// soon. One that has just come up can: it has yet to see the token, which its next report
// shows. When it was not counted on, every machine that came up was rented once more.
func (cycle *schedulingCycle) isExpected(machine *allocation.Machine, bootTimeout clock.Micros) bool {
	switch {
	case machine.TokenConfirmed:
		return true
	case machine.FirstHeartbeatAt != 0:
		return cycle.now-machine.FirstHeartbeatAt <= cycle.scheduler.HeartbeatWindow // else it is heard, but can't be told anything
	default:
		return cycle.now-machine.CreatedAt <= bootTimeout
	}
}

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
		offers := cycle.pricedPools(job, queued.isCritical, requiredZone, forecast)
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

// chooseZone picks the zone that a job wants all its tasks in, if it wants that:
// where its tasks are, else where most of them will find room, or a pool that
// has not just refused. Machines rented in several zones would never do.
func (cycle *schedulingCycle) chooseZone(job *allocation.Job, forecast *capacityForecast) string {
	if !job.Spec.SingleZone {
		return ""
	}
	if zone, ok := job.OccupiedZone(); ok {
		return zone
	}
	if job.Spec.Zone != "" {
		return job.Spec.Zone
	}
	bestZone, bestFit := "", -1
	for _, zone := range cycle.scheduler.Zones {
		fitCount := 0
		for _, capacity := range forecast.pools {
			if capacity.pool.Zone != zone || !isPoolAllowed(job, capacity.pool) {
				continue
			}
			for _, expected := range capacity.expected {
				for free := expected.free; fitCount < len(job.Tasks) && job.Request.IsWithin(free); fitCount++ {
					free = free.Sub(job.Request)
				}
			}
		}
		if len(cycle.pricedPools(job, false, zone, forecast)) > 0 {
			fitCount = max(fitCount, 1)
		} else if fitCount < len(job.Tasks) {
			fitCount = 0 // it cannot grow there now
		}
		if fitCount > bestFit {
			bestZone, bestFit = zone, fitCount
		}
	}
	return bestZone
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

func isPoolAllowed(job *allocation.Job, pool Pool) bool {
	spec := job.Spec
	if pool.Spot && !spec.AllowsSpot || spec.Zone != "" && spec.Zone != pool.Zone || spec.MachineTypes != nil && !slices.Contains(spec.MachineTypes, pool.Type) {
		return false
	}
	if spec.SingleZone {
		if zone, ok := job.OccupiedZone(); ok && zone != pool.Zone {
			return false
		}
	}
	return true
}

// pricedPool is a pool that a job may rent from, with what a task costs there.
type pricedPool struct {
	capacity    *poolForecast
	costPerTask float64
}

// pricedPools lists the pools that may be asked for a job now.
func (cycle *schedulingCycle) pricedPools(job *allocation.Job, isCritical bool, requiredZone string, forecast *capacityForecast) []pricedPool {
	var out []pricedPool
	for typeName, machineType := range cycle.scheduler.MachineTypes {
		tasksPerMachine := cycle.scheduler.tasksPerMachine(job.Request, typeName)
		if tasksPerMachine == 0 {
			continue
		}
		for _, zone := range machineType.Zones {
			if requiredZone != "" && zone != requiredZone || cycle.isZoneSuspected(zone) {
				continue
			}
			for _, spot := range []bool{true, false} {
				pool := Pool{typeName, zone, spot}
				if !isPoolAllowed(job, pool) || cycle.now < cycle.scheduler.backoffFor(pool).backoffUntil {
					continue
				}
				if !spot && machineType.SpotPrice > 0 && !isCritical && cycle.mayAwaitSpot(job) {
					continue // worth the wait for a spot machine
				}
				price := machineType.OnDemandPrice
				if spot {
					price = machineType.SpotPrice
				}
				out = append(out, pricedPool{forecast.forPool(pool), price / float64(tasksPerMachine)})
			}
		}
	}
	return out
}

// mayAwaitSpot tells whether a job waits for a spot machine rather than have an ordinary
// one rented. A gang does not: all its machines would have to come in that time.
func (cycle *schedulingCycle) mayAwaitSpot(job *allocation.Job) bool {
	return job.Spec.AllowsSpot && !job.IsGang() && (job.ActiveCount() > 0 || cycle.now-job.AddedAt < cycle.scheduler.Settings.SpotWaitTimeout)
}

// cheapestPool picks where to rent one more machine for a job: the cheapest by task,
// then where the job is better off, then the zone with the fewest machines, so
// that a loss hits little.
func (cycle *schedulingCycle) cheapestPool(job *allocation.Job, offers []pricedPool, isZoneAllowed func(zone string) bool) *poolForecast {
	var best *poolForecast
	var bestCost float64
	for _, priced := range offers {
		if !isZoneAllowed(priced.capacity.pool.Zone) {
			continue
		}
		if best == nil || priced.costPerTask < bestCost || priced.costPerTask == bestCost && cycle.isPreferredPool(job, priced.capacity, best) {
			best, bestCost = priced.capacity, priced.costPerTask
		}
	}
	return best
}

func (cycle *schedulingCycle) isPreferredPool(job *allocation.Job, a, b *poolForecast) bool {
	switch {
	case cycle.prefersZone(job, a.pool.Zone, b.pool.Zone):
		return true
	case cycle.prefersZone(job, b.pool.Zone, a.pool.Zone):
		return false
	}
	return a.machineCount < b.machineCount || a.machineCount == b.machineCount && isPoolBefore(a.pool, b.pool)
}

func isPoolBefore(a, b Pool) bool {
	return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Type, b.Type)) < 0
}

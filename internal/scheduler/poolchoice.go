package scheduler

import (
	"firwood.dev/firwood/internal/allocation"
)

// chooseZone picks the zone that a job has to have all its tasks in, if it has to: where its
// tasks are, else where most of them will find room, or where machines can be requested.
// Machines requested in several zones would never do.
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
		fitCount := forecast.countFitting(job, zone)
		if len(cycle.pricedPools(job, relaxed, zone, forecast)) > 0 {
			fitCount = max(fitCount, 1)
		} else if fitCount < len(job.Tasks) {
			fitCount = 0 // no machine can be requested there now
		}
		if fitCount > bestFit {
			bestZone, bestFit = zone, fitCount
		}
	}
	return bestZone
}

// pricedPool is a pool that machines may be requested from for a job, with what a task
// costs there.
type pricedPool struct {
	capacity    *poolForecast
	costPerTask float64
}

// pricedPools lists the pools that machines may be requested from for a job now.
func (cycle *schedulingCycle) pricedPools(job *allocation.Job, urgency urgency, requiredZone string, forecast *capacityForecast) []pricedPool {
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
				if !isPoolAllowed(job, pool) || cycle.isBackingOff(pool) || cycle.isTooExpensive(job, urgency, pool) {
					continue
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

// isTooExpensive tells whether a job rather waits for a spot machine than have a machine of an
// ordinary pool.
func (cycle *schedulingCycle) isTooExpensive(job *allocation.Job, urgency urgency, pool Pool) bool {
	return !pool.Spot && cycle.scheduler.MachineTypes[pool.Type].SpotPrice > 0 && urgency != critical && cycle.mayWaitForSpot(job)
}

// mayWaitForSpot tells whether a job waits for a spot machine: for SpotWaitTimeout from when this
// leader first knew of it, and for as long as tasks of it run. A gang does not: all its
// machines would have to come in that time.
func (cycle *schedulingCycle) mayWaitForSpot(job *allocation.Job) bool {
	return job.Spec.AllowsSpot && !job.IsGang() && (job.ActiveCount() > 0 || cycle.now-job.AddedAt < cycle.scheduler.Settings.SpotWaitTimeout)
}

// cheapestPool picks where to request one more machine for a job: the cheapest per task, then
// a zone that it prefers, then the pool with the fewest machines, so that a loss hits little.
func (cycle *schedulingCycle) cheapestPool(job *allocation.Job, pricedPools []pricedPool, isZoneAllowed func(zone string) bool) *poolForecast {
	var best *poolForecast
	var bestCost float64
	for _, offer := range pricedPools {
		if !isZoneAllowed(offer.capacity.pool.Zone) {
			continue
		}
		if best == nil || offer.costPerTask < bestCost || offer.costPerTask == bestCost && cycle.isPreferredPool(job, offer.capacity, best) {
			best, bestCost = offer.capacity, offer.costPerTask
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

// chooseSparePool picks where a spare machine of a kind is requested: for ordinary ones a
// zone with delegation if there is one, as these are for replicas first, then the pool with
// the fewest machines.
func (cycle *schedulingCycle) chooseSparePool(kind machineKind) (best Pool, found bool) {
	for typeName, machineType := range cycle.scheduler.MachineTypes {
		for _, zone := range machineType.Zones {
			pool := Pool{typeName, zone, bool(kind)}
			if cycle.isBackingOff(pool) || cycle.isZoneSuspected(zone) {
				continue
			}
			if !found || cycle.isPreferredSparePool(pool, best) {
				best, found = pool, true
			}
		}
	}
	return best, found
}

func (cycle *schedulingCycle) isPreferredSparePool(a, b Pool) bool {
	delegated := cycle.scheduler.DelegatedZones
	if !a.Spot && delegated[a.Zone] != delegated[b.Zone] {
		return delegated[a.Zone]
	}
	countA, countB := cycle.machineCount(a), cycle.machineCount(b)
	return countA < countB || countA == countB && isPoolBefore(a, b)
}

package scheduler

import (
	"firwood.dev/firwood/internal/allocation"
)

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
		if len(cycle.pricedPools(job, relaxed, zone, forecast)) > 0 {
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

// pricedPool is a pool that a job may rent from, with what a task costs there.
type pricedPool struct {
	capacity    *poolForecast
	costPerTask float64
}

// pricedPools lists the pools that may be asked for a job now.
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
				if !isPoolAllowed(job, pool) || cycle.isBackingOff(pool) {
					continue
				}
				if !spot && machineType.SpotPrice > 0 && urgency != critical && cycle.mayAwaitSpot(job) {
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

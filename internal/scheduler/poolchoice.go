package scheduler

import (
	"firwood.dev/firwood/internal/allocation"
)

// chooseZone returns the zone that all tasks of a SingleZone job have to run in, or "" for other
// jobs. It is the zone that has tasks of the job or that its spec names; otherwise it is the zone
// where most of its tasks will find room. A zone where machines can be requested counts as having
// room for at least one task; a zone where none can be requested, or too few for a gang, counts only if all
// tasks fit there. All requests for such a job have to go to the same zone, since the job can't use machines in several
// zones.
func (cycle *schedulingCycle) chooseZone(queued *queuedJob, forecast *capacityForecast) string {
	job := queued.job
	if !job.Spec.SingleZone {
		return ""
	}
	if zone, ok := job.OccupiedZone(); ok {
		return zone
	}
	if job.Spec.Zone != "" {
		return job.Spec.Zone
	}
	preference := preferSpot
	if cycle.countPastSpotWait(queued) > 0 {
		preference = anyKind
	}
	bestZone, bestFit := "", -1
	for _, zone := range cycle.scheduler.Zones {
		fitCount := forecast.countFitting(job, zone)
		canRequest := len(cycle.pricedPools(job, preference, zone, forecast)) > 0 && !(job.IsGang() && cycle.isInfeasible(job, zone))
		if canRequest {
			fitCount = max(fitCount, 1)
		} else if fitCount < len(job.Tasks) {
			fitCount = 0
		}
		if fitCount > bestFit {
			bestZone, bestFit = zone, fitCount
		}
	}
	return bestZone
}

// pricedPool is a pool from which machines may be requested for a job, with the price of running
// one task of the job there.
type pricedPool struct {
	capacity    *poolForecast
	costPerTask float64
}

// kindPreference is whether machines of any kind may be requested, or on-demand ones only of types that have no spot
// machines.
type kindPreference uint8

const (
	anyKind kindPreference = iota
	preferSpot
)

// pricedPools lists the pools from which machines may be requested for a job now.
func (cycle *schedulingCycle) pricedPools(job *allocation.Job, preference kindPreference, requiredZone string, forecast *capacityForecast) []pricedPool {
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
				isTooExpensive := preference == preferSpot && !spot && machineType.SpotPrice > 0
				if isTooExpensive || !isPoolAllowed(job, pool) || cycle.isBackingOff(pool) {
					continue
				}
				price := machineType.OnDemandPrice
				if spot {
					price = machineType.SpotPrice
				}
				out = append(out, pricedPool{forecast.findOrAddPool(pool), price / float64(tasksPerMachine)})
			}
		}
	}
	return out
}

// cheapestPool picks the pool to request one more machine from for a job: the one with the lowest
// price per task, then one in a zone that the job prefers, then the one with the fewest machines,
// so that the loss of a pool affects few tasks. It returns nil if no pool is allowed.
func (cycle *schedulingCycle) cheapestPool(job *allocation.Job, candidatePools []pricedPool, isZoneAllowed func(zone string) bool) *poolForecast {
	var best *poolForecast
	var bestCost float64
	for _, offer := range candidatePools {
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
	case cycle.isPreferredZone(job, a.pool.Zone, b.pool.Zone):
		return true
	case cycle.isPreferredZone(job, b.pool.Zone, a.pool.Zone):
		return false
	}
	return a.machineCount < b.machineCount || a.machineCount == b.machineCount && isPoolBefore(a.pool, b.pool)
}

// chooseSparePool picks the pool to request a spare machine of a kind from. On-demand spares are
// mainly for replicas, so zones with delegation come first for them. Then the pool with the fewest
// machines is chosen.
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

package scheduler

import (
	"cmp"
	"math"
	"slices"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/forecast"
)

// planSpares chooses the spare target of each kind, rents what it lacks, and gives
// back what has been idle for long and is not wanted.
func (cycle *schedulingCycle) planSpares(queue []*queuedJob, pendingScaleOuts []PendingScaleOut, decision *Decision) {
	idleToKeep := 0
	decision.SpotSpares, idleToKeep = cycle.planSpareTarget(&cycle.scheduler.spotDemand, true, queue, pendingScaleOuts, decision)
	cycle.planScaleIn(true, idleToKeep, decision)
	decision.OrdinarySpares, idleToKeep = cycle.planSpareTarget(&cycle.scheduler.ordinaryDemand, false, queue, pendingScaleOuts, decision)
	cycle.planScaleIn(false, idleToKeep, decision)
	if len(queue) == 0 && len(pendingScaleOuts) == 0 {
		decision.Drain = cycle.chooseConsolidation(idleToKeep)
	}
}

// needsWarmSpares tells whether users expect starts of this kind of demand sooner
// than a machine boots. Only then is an idle machine worth its price; where
// they wait longer than a boot anyway, a machine rented on arrival does.
func (scheduler *Scheduler) needsWarmSpares(demand *forecast.DemandModel, boot clock.Micros) bool {
	return demand.WaitObjective() == 0 && len(scheduler.WaitObjectives) == 0 || demand.WaitObjective() > 0 && demand.WaitObjective() < boot.Seconds()
}

// dominantShare is how much of a machine a need takes, of what it takes most of.
func dominantShare(need, size allocation.Resources) float64 {
	share := 0.0
	for _, dimension := range [][2]int64{{need.MilliCPU, size.MilliCPU}, {need.MilliGPU, size.MilliGPU}, {need.MemoryMB, size.MemoryMB}} {
		if dimension[1] > 0 {
			share = max(share, float64(dimension[0])/float64(dimension[1]))
		}
	}
	return share
}

// freeFraction is how much of a machine is left for others: of what is shortest on it.
// Reckoned in processors alone, machines whose cards were all taken once counted as
// room for spares.
func freeFraction(free, size allocation.Resources) float64 {
	return max(1-dominantShare(size.Sub(free), size), 0)
}

// minConsolidationAge is how long a replica has to run before it may be moved.
const minConsolidationAge = 45 * clock.Second

// chooseConsolidation picks an ordinary machine that is at most half used by replicas
// alone, and whose replicas all fit where there are others and their image is
// at hand: moved there they are away for a moment only, and the machine can be
// given back. The free room that the spare target keeps is not touched.
func (cycle *schedulingCycle) chooseConsolidation(minFreeMachines int) *allocation.Machine {
	var best *allocation.Machine
	var freeMachines float64
	for _, machine := range cycle.machines {
		if machine.Spot {
			continue
		}
		if machine.Draining || !machine.TokenConfirmed {
			return nil // one at a time
		}
		freeMachines += freeFraction(machine.Free(), machine.Capacity)
	}
	for _, machine := range cycle.machines {
		if machine.Spot || !machine.IsSchedulable() || machine.IsIdle() || dominantShare(machine.Used(), machine.Capacity) > 0.5 || freeMachines-1 < float64(minFreeMachines) {
			continue
		}
		if best != nil && dominantShare(best.Used(), best.Capacity) <= dominantShare(machine.Used(), machine.Capacity) {
			continue
		}
		if cycle.areReplicasMovable(machine) {
			best = machine
		}
	}
	return best
}

func (cycle *schedulingCycle) areReplicasMovable(machine *allocation.Machine) bool {
	remainingRoom := map[*allocation.Machine]allocation.Resources{}
	isMovable := true
	machine.ForEachPlacement(func(placement *allocation.Placement) {
		job := placement.Job
		if !isMovable || !job.IsService() || placement.IsStopping() || placement.StartedAt == 0 || cycle.now-placement.StartedAt < minConsolidationAge || job.UnconfirmedCount() > 0 {
			isMovable = false
			return
		}
		hasRoom := false
		for _, other := range cycle.machines {
			if other == machine || other.Spot && !job.Spec.AllowsSpot || !other.IsSchedulable() || other.ReplicaCount() == 0 || dominantShare(other.Used(), other.Capacity) < dominantShare(machine.Used(), machine.Capacity) {
				continue
			}
			// Within a zone nothing changes for the job's wishes; else they
			// have to allow one more.
			if other.Zone != machine.Zone && !allocation.IsEligible(job, other) || other.Type != machine.Type && !allocation.IsEligible(job, other) {
				continue
			}
			free, seen := remainingRoom[other]
			if !seen {
				free = other.Free()
			}
			if !job.Request.IsWithin(free) {
				continue
			}
			// Which of the machines it will be is settled only when it has
			// stopped: each has to have the image, or it is away for a fetch.
			if _, cached := other.ImageUsedAt[job.Spec.Image]; !cached {
				isMovable = false
				return
			}
			if !hasRoom {
				remainingRoom[other] = free.Sub(job.Request)
				hasRoom = true
			}
		}
		isMovable = isMovable && hasRoom
	})
	return isMovable
}

func (cycle *schedulingCycle) planSpareTarget(demand *forecast.DemandModel, spot bool, queue []*queuedJob, pendingScaleOuts []PendingScaleOut, decision *Decision) (SpareReport, int) {
	settings := &cycle.scheduler.Settings
	report := SpareReport{ArrivalScreen: demand.ArrivalGaps.Screen(&settings.Screen, cycle.now), RunTimeScreen: demand.JobRunTimes.Screen(&settings.Screen, cycle.now)}
	// The queue counts as empty when what waits will find room that is about to be
	// free: in a fleet of a thousand machines something always waits a moment.
	isQueueServed := !slices.ContainsFunc(queue, func(queued *queuedJob) bool {
		return queued.job.Spec.AllowsSpot == spot && queued.unplaced > 0 && queued.hasShortfall
	})
	isServicesOnly := !spot && report.RunTimeScreen.SampleCount == 0
	report.IsEnabled = report.ArrivalScreen.IsExponential && (report.RunTimeScreen.IsExponential || isServicesOnly) && isQueueServed && demand.HasRecentArrival(cycle.now, settings.Spares.ArrivalRecencyWindow)
	if !report.IsEnabled {
		return report, 0
	}
	model := forecast.SpareModel{MachineFraction: demand.MachineFraction(), ArrivalRate: demand.ArrivalRate(), SizeWeights: demand.SizeWeights(), HorizonSeconds: min(settings.Spares.IdleCostHorizon, settings.IdleTimeout).Seconds()}
	var freeMachines, freeOnBusyMachines float64 // free room in machines: in all, and on used ones
	nearestCompletion := math.Inf(1)
	runningTasks, fleetMachines := 0, 0
	typeName := ""
	for _, machine := range cycle.machines {
		if machine.Spot != spot || machine.Draining || machine.ReclaimAt != 0 {
			continue
		}
		typeName = machine.Type
		fleetMachines++
		switch {
		case machine.IsSchedulable():
			room := freeFraction(cycle.freeResources(machine), machine.Capacity)
			freeMachines += room
			if !machine.IsIdle() {
				freeOnBusyMachines += room
			}
		case machine.FirstHeartbeatAt == 0:
			model.BootingSeconds = append(model.BootingSeconds, max((cycle.scheduler.BootTime(machine.Type, 50)-(cycle.now-machine.CreatedAt)).Seconds(), 0))
		}
		machine.ForEachPlacement(func(placement *allocation.Placement) {
			if seconds := cycle.scheduler.remainingSeconds(placement, cycle.now); seconds > 0 {
				nearestCompletion = min(nearestCompletion, seconds)
			}
			if !placement.Job.IsService() {
				runningTasks++
			}
		})
	}
	pool, hasPool := cycle.chooseSparePool(spot, decision)
	if typeName == "" {
		typeName = pool.Type
	}
	model.BootSeconds = cycle.scheduler.BootTime(typeName, 50).Seconds()
	for _, pending := range pendingScaleOuts {
		if pending.Pool.Spot == spot {
			for i := 0; i < pending.Count; i++ {
				model.BootingSeconds = append(model.BootingSeconds, model.BootSeconds)
			}
		}
	}
	model.ReadyCount = int(freeMachines / demand.MachineFraction())
	model.CompletionRate = demand.CompletionRate(nearestCompletion, runningTasks)
	if !cycle.scheduler.needsWarmSpares(demand, cycle.scheduler.BootTime(typeName, 50)) {
		return report, 0
	}
	maxSpares := settings.Spares.Max
	if maxSpares == 0 {
		// Spares grow with the fleet: a job may ask for tens of machines there.
		maxSpares = max(minSpareLimit, fleetMachines/machinesPerSpare)
	}
	report.Cost = model.CheapestTarget(settings.Spares.Min, max(maxSpares, settings.Spares.Min), settings.Spares.WaitWeight, settings.Spares.IdleWeight)
	target := float64(report.Cost.Target) * demand.MachineFraction()
	if shortfall := int(math.Ceil(target - freeMachines - float64(len(model.BootingSeconds)) - 1e-9)); shortfall > 0 && hasPool {
		decision.ScaleOut = append(decision.ScaleOut, ScaleOutRequest{pool, shortfall})
	}
	// The room beside running tasks is part of the target; whole idle machines
	// are kept only for the rest of it.
	return report, max(int(math.Ceil(target-freeOnBusyMachines-1e-9)), 0)
}

// Where no bound of the spare target is set, it is one in machinesPerSpare of the
// machines of its kind, and minSpareLimit at least.
const (
	machinesPerSpare = 16
	minSpareLimit    = 4
)

// chooseSparePool picks where a spare machine is rented.
func (cycle *schedulingCycle) chooseSparePool(spot bool, decision *Decision) (Pool, bool) {
	var best Pool
	found := false
	for typeName, machineType := range cycle.scheduler.MachineTypes {
		for _, zone := range machineType.Zones {
			pool := Pool{typeName, zone, spot}
			if cycle.now < cycle.scheduler.backoffFor(pool).backoffUntil || cycle.isZoneSuspected(zone) {
				continue
			}
			// Ordinary spares are for replicas first.
			gainsDelegation := !spot && cycle.scheduler.DelegatedZones[zone] && !cycle.scheduler.DelegatedZones[best.Zone]
			losesDelegation := !spot && cycle.scheduler.DelegatedZones[best.Zone] && !cycle.scheduler.DelegatedZones[zone]
			if !found || gainsDelegation || !losesDelegation && (cycle.machineCount(pool) < cycle.machineCount(best) || cycle.machineCount(pool) == cycle.machineCount(best) && isPoolBefore(pool, best)) {
				best, found = pool, true
			}
		}
	}
	return best, found
}

// minChargedDuration is what a deleted machine costs at least; the protocol says so.
const minChargedDuration = 60 * clock.Second

// fleetSize counts the machines of a kind.
func (cycle *schedulingCycle) fleetSize(spot bool) int {
	n := 0
	for _, view := range cycle.pools {
		if view.pool.Spot == spot {
			n += view.machineCount
		}
	}
	return n
}

// hasUnconfirmedTasks tells whether tasks that may use machines of a kind are in doubt. They are
// either found on a machine or have to be started anew, all at once: once a fleet's
// idle machines were given back while two in three of its tasks were in doubt.
func (cycle *schedulingCycle) hasUnconfirmedTasks(spot bool) bool {
	for _, job := range cycle.tracker.Jobs {
		if job.UnconfirmedCount() > 0 && !job.Cancelled && (job.Spec.AllowsSpot || !spot) {
			return true
		}
	}
	return false
}

// planScaleIn returns machines that have been idle for the wait, but for those
// that the spare target keeps.
func (cycle *schedulingCycle) planScaleIn(spot bool, idleToKeep int, decision *Decision) {
	if cycle.hasUnconfirmedTasks(spot) {
		return
	}
	demand := &cycle.scheduler.ordinaryDemand
	if spot {
		demand = &cycle.scheduler.spotDemand
	}
	var idle []*allocation.Machine
	for _, machine := range cycle.machines {
		if machine.Spot == spot && machine.IsSchedulable() && machine.IsIdle() && cycle.reserved[machine.SortIndex] == (allocation.Resources{}) {
			idle = append(idle, machine)
		}
	}
	slices.SortStableFunc(idle, func(a, b *allocation.Machine) int { return -cmp.Compare(a.BecameIdleAt, b.BecameIdleAt) })
	idleTimeout := cycle.scheduler.Settings.IdleTimeout
	if cycle.fleetSize(spot)/machinesPerSpare > minSpareLimit {
		idleTimeout /= 2 // the spares, which have grown with the fleet, are what is kept
	}
	for i, machine := range idle {
		idle := cycle.now - max(machine.BecameIdleAt, machine.FirstHeartbeatAt)
		timeout := idleTimeout
		if !cycle.scheduler.needsWarmSpares(demand, cycle.scheduler.BootTime(machine.Type, 50)) {
			timeout = min(cycle.scheduler.Settings.RelaxedIdleTimeout, idleTimeout)
		}
		// The first minute is paid whether it is used or not.
		if i >= idleToKeep && idle >= timeout && (cycle.now-machine.CreatedAt >= minChargedDuration || idle >= idleTimeout) {
			decision.ScaleIn = append(decision.ScaleIn, machine)
		}
	}
}

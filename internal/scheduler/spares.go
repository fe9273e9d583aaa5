package scheduler

import (
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

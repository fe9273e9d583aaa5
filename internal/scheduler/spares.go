package scheduler

import (
	"math"
	"slices"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/forecast"
)

// planSpares chooses the spare target of each kind of machine (paper, IV-F to IV-I), requests the
// spares that are lacking, and deletes machines that have been idle for too long and are not part
// of the target. If no job waits and no request is pending, it also looks for a machine to
// consolidate.
func (cycle *schedulingCycle) planSpares(queue []*queuedJob, pendingScaleOuts []PendingScaleOut, decision *Decision) {
	idleToKeep := 0
	decision.SpotSpares, idleToKeep = cycle.planSpareTarget(spotMachines, queue, pendingScaleOuts, decision)
	cycle.planScaleIn(spotMachines, idleToKeep, decision)
	decision.OnDemandSpares, idleToKeep = cycle.planSpareTarget(onDemandMachines, queue, pendingScaleOuts, decision)
	cycle.planScaleIn(onDemandMachines, idleToKeep, decision)
	if len(queue) == 0 && len(pendingScaleOuts) == 0 {
		decision.Drain = cycle.chooseConsolidation(idleToKeep)
	}
}

// planSpareTarget chooses the number of spares of a kind and requests those that are lacking. It
// returns the number of whole idle machines to keep.
func (cycle *schedulingCycle) planSpareTarget(kind machineKind, queue []*queuedJob, pendingScaleOuts []PendingScaleOut, decision *Decision) (SpareReport, int) {
	report := cycle.screenDemand(kind, queue)
	if !report.IsEnabled {
		return report, 0
	}
	demand := cycle.scheduler.demandForKind(kind)
	survey := cycle.surveyFleet(kind)
	pool, hasPool := cycle.chooseSparePool(kind)
	if survey.typeName == "" {
		survey.typeName = pool.Type
	}
	bootTime := cycle.scheduler.BootTime(survey.typeName, medianBootPercentile)
	if !cycle.scheduler.needsWarmSpares(demand, bootTime) {
		return report, 0
	}
	survey.addPending(kind, pendingScaleOuts, bootTime)
	settings := &cycle.scheduler.Settings.Spares
	model := cycle.spareModel(demand, survey, bootTime)
	report.Cost = model.CheapestTarget(settings.Min, max(cycle.maxSpares(survey), settings.Min), settings.WaitWeight, settings.IdleWeight)
	target := float64(report.Cost.Target) * demand.MachineFraction()
	if shortfall := int(math.Ceil(target - survey.freeMachines - float64(len(survey.bootingSeconds)) - roundingMargin)); shortfall > 0 && hasPool {
		decision.ScaleOut = append(decision.ScaleOut, ScaleOutRequest{pool, shortfall})
	}
	// Free room on machines with tasks is part of the target; whole idle machines are kept only
	// for the rest of the target.
	return report, max(int(math.Ceil(target-survey.freeOnBusyMachines-roundingMargin)), 0)
}

// roundingMargin is subtracted before a number of machines is rounded up, so that a rounding error
// does not add a machine.
const roundingMargin = 1e-9

// screenDemand decides whether spares are planned for a kind of machine. Spares are planned if the
// demand passes the screen, every waiting job will find room within a boot time, and the last arrival
// is recent.
func (cycle *schedulingCycle) screenDemand(kind machineKind, queue []*queuedJob) SpareReport {
	settings, demand := &cycle.scheduler.Settings, cycle.scheduler.demandForKind(kind)
	report := SpareReport{ArrivalScreen: demand.ArrivalGaps.Screen(&settings.Screen, cycle.now), RunTimeScreen: demand.JobRunTimes.Screen(&settings.Screen, cycle.now)}
	// The queue counts as empty if all waiting tasks will find room that is about to be free: in a
	// fleet of a thousand machines some task is always waiting for a moment.
	isQueueServed := !slices.ContainsFunc(queue, func(queued *queuedJob) bool {
		return machineKind(queued.job.Spec.AllowsSpot) == kind && queued.unplaced > 0 && queued.hasShortfall
	})
	// Services have no run times. If there are no other jobs, the arrivals alone are screened.
	hasOnlyServices := kind == onDemandMachines && report.RunTimeScreen.SampleCount == 0
	report.IsEnabled = report.ArrivalScreen.IsExponential && (report.RunTimeScreen.IsExponential || hasOnlyServices) &&
		isQueueServed && demand.HasRecentArrival(cycle.now, settings.Spares.ArrivalRecencyWindow)
	return report
}

// fleetSurvey summarizes the machines of one kind.
type fleetSurvey struct {
	machineCount       int
	typeName           string    // the type of one of the machines, or "" if there are none
	freeMachines       float64   // free room, in machines
	freeOnBusyMachines float64   // the part of freeMachines that is on machines with tasks
	bootingSeconds     []float64 // seconds until ready, for each machine that boots or is requested
	nearestCompletion  float64   // seconds until the next placement ends, d_C (21); +Inf if none will
	runningTasks       int       // tasks on the machines, without those of services
}

func (cycle *schedulingCycle) surveyFleet(kind machineKind) *fleetSurvey {
	survey := &fleetSurvey{nearestCompletion: math.Inf(1)}
	for _, machine := range cycle.machines {
		if machineKind(machine.Spot) != kind || machine.Draining || machine.ReclaimAt != 0 {
			continue
		}
		survey.typeName = machine.Type
		survey.machineCount++
		switch {
		case machine.IsSchedulable():
			room := freeFraction(cycle.freeResources(machine), machine.Capacity)
			survey.freeMachines += room
			if !machine.IsIdle() {
				survey.freeOnBusyMachines += room
			}
		case machine.FirstHeartbeatAt == 0:
			remaining := cycle.scheduler.BootTime(machine.Type, medianBootPercentile) - (cycle.now - machine.CreatedAt)
			survey.bootingSeconds = append(survey.bootingSeconds, max(remaining.Seconds(), 0))
		}
		machine.ForEachPlacement(func(placement *allocation.Placement) {
			if seconds := cycle.scheduler.remainingSeconds(placement, cycle.now); seconds > 0 {
				survey.nearestCompletion = min(survey.nearestCompletion, seconds)
			}
			if !placement.Job.IsService() {
				survey.runningTasks++
			}
		})
	}
	return survey
}

// addPending counts each machine of a pending request as one that begins to boot now.
func (survey *fleetSurvey) addPending(kind machineKind, pendingScaleOuts []PendingScaleOut, bootTime clock.Micros) {
	for _, pending := range pendingScaleOuts {
		if machineKind(pending.Pool.Spot) == kind {
			for range pending.Count {
				survey.bootingSeconds = append(survey.bootingSeconds, bootTime.Seconds())
			}
		}
	}
}

func (cycle *schedulingCycle) spareModel(demand *forecast.DemandModel, survey *fleetSurvey, bootTime clock.Micros) *forecast.SpareModel {
	settings := &cycle.scheduler.Settings
	return &forecast.SpareModel{
		MachineFraction: demand.MachineFraction(), ArrivalRate: demand.ArrivalRate(), SizeWeights: demand.SizeWeights(),
		CompletionRate: demand.CompletionRate(survey.nearestCompletion, survey.runningTasks),
		ReadyCount:     int(survey.freeMachines / demand.MachineFraction()),
		BootingSeconds: survey.bootingSeconds, BootSeconds: bootTime.Seconds(),
		HorizonSeconds: min(settings.Spares.IdleCostHorizon, settings.IdleTimeout).Seconds(),
	}
}

// If Settings.Spares.Max is 0, the spare target of a kind is at most one in machinesPerSpare of the
// machines of that kind, but the bound is never below minSpareLimit. The bound grows with the fleet
// because a job may ask for tens of machines in a large fleet.
const (
	machinesPerSpare = 16
	minSpareLimit    = 4
)

func (cycle *schedulingCycle) maxSpares(survey *fleetSurvey) int {
	if limit := cycle.scheduler.Settings.Spares.Max; limit > 0 {
		return limit
	}
	return max(minSpareLimit, survey.machineCount/machinesPerSpare)
}

// needsWarmSpares reports whether users expect jobs of this demand to start sooner than a machine
// boots, or whether no class has a wait objective at all. Only then is an idle machine worth its price:
// if users accept a wait longer than a boot, requesting a machine on arrival is enough.
func (scheduler *Scheduler) needsWarmSpares(demand *forecast.DemandModel, bootTime clock.Micros) bool {
	waitObjective := demand.WaitObjective()
	return waitObjective == 0 && len(scheduler.WaitObjectives) == 0 || waitObjective > 0 && waitObjective < bootTime.Seconds()
}

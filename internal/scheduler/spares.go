package scheduler

import (
	"math"
	"slices"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/forecast"
)

// planSpares chooses the spare target of each kind of machines (paper, IV-F to IV-I),
// requests what it lacks, and deletes machines that have been idle for long and are not
// part of it. With nothing waiting it looks for a machine to consolidate.
func (cycle *schedulingCycle) planSpares(queue []*queuedJob, pendingScaleOuts []PendingScaleOut, decision *Decision) {
	idleToKeep := 0
	decision.SpotSpares, idleToKeep = cycle.planSpareTarget(spotMachines, queue, pendingScaleOuts, decision)
	cycle.planScaleIn(spotMachines, idleToKeep, decision)
	decision.OrdinarySpares, idleToKeep = cycle.planSpareTarget(onDemandMachines, queue, pendingScaleOuts, decision)
	cycle.planScaleIn(onDemandMachines, idleToKeep, decision)
	if len(queue) == 0 && len(pendingScaleOuts) == 0 {
		decision.Drain = cycle.chooseConsolidation(idleToKeep)
	}
}

// planSpareTarget chooses how many spares of a kind to have, and requests what is lacking.
// It returns how many whole idle machines are to be kept.
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
	// The room beside running tasks is part of the target; whole idle machines
	// are kept only for the rest of it.
	return report, max(int(math.Ceil(target-survey.freeOnBusyMachines-roundingMargin)), 0)
}

// roundingMargin keeps rounding errors from adding a machine when a number of them is
// rounded up.
const roundingMargin = 1e-9

// screenDemand tells whether spares are planned for a kind: its demand passes the screen,
// nothing waits in vain, and an arrival is recent.
func (cycle *schedulingCycle) screenDemand(kind machineKind, queue []*queuedJob) SpareReport {
	settings, demand := &cycle.scheduler.Settings, cycle.scheduler.demandForKind(kind)
	report := SpareReport{ArrivalScreen: demand.ArrivalGaps.Screen(&settings.Screen, cycle.now), RunTimeScreen: demand.JobRunTimes.Screen(&settings.Screen, cycle.now)}
	// The queue counts as empty when what waits will find room that is about to be
	// free: in a fleet of a thousand machines something always waits a moment.
	isQueueServed := !slices.ContainsFunc(queue, func(queued *queuedJob) bool {
		return machineKind(queued.job.Spec.AllowsSpot) == kind && queued.unplaced > 0 && queued.hasShortfall
	})
	// Services have no run times: where there is nothing else, their arrivals alone count.
	hasOnlyServices := kind == onDemandMachines && report.RunTimeScreen.SampleCount == 0
	report.IsEnabled = report.ArrivalScreen.IsExponential && (report.RunTimeScreen.IsExponential || hasOnlyServices) &&
		isQueueServed && demand.HasRecentArrival(cycle.now, settings.Spares.ArrivalRecencyWindow)
	return report
}

// fleetSurvey is what there is of machines of one kind.
type fleetSurvey struct {
	machineCount       int
	typeName           string    // of one of them; empty: there is none
	freeMachines       float64   // free room, in machines
	freeOnBusyMachines float64   // the part of that on machines that have tasks
	bootingSeconds     []float64 // for each machine that boots or is requested
	nearestCompletion  float64   // seconds until a placement ends, d_C (21); +Inf: none does
	runningTasks       int       // tasks of services left out
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

// addPending counts requests under way as machines that begin to boot now.
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

// Where no bound of the spare target is set, it is one in machinesPerSpare of the
// machines of its kind, and minSpareLimit at least: a job may ask for tens of machines in
// a large fleet.
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

// needsWarmSpares tells whether users expect starts of this kind of demand sooner than a
// machine boots, or have said nothing about any class. Only then is an idle machine worth
// its price; where they wait longer than a boot anyway, a machine requested on arrival does.
func (scheduler *Scheduler) needsWarmSpares(demand *forecast.DemandModel, bootTime clock.Micros) bool {
	waitObjective := demand.WaitObjective()
	return waitObjective == 0 && len(scheduler.WaitObjectives) == 0 || waitObjective > 0 && waitObjective < bootTime.Seconds()
}

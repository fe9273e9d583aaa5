package forecast

import (
	"math"

	"firwood.dev/firwood/internal/clock"
)

// Smoothing holds the smoothing factors of the moving averages, each within (0, 1]
// (paper, IV-D): rho_A, rho_S and rho_R.
type Smoothing struct{ Arrival, RunTime, DemandSize float64 }

const (
	// minGapSeconds keeps the arrival rate finite, the paper's epsilon (17).
	minGapSeconds = 1e-3
	// minSizeWeight is the weight below which a size of jobs is forgotten.
	minSizeWeight = 1e-4
	// minMachineFraction is the least part of a machine that a spare is counted as.
	minMachineFraction = 0.01
)

// DemandModel is the model of one kind of demand: jobs that may use spot machines,
// or those that may not. Its averages are exponential moving averages (paper, IV-D).
type DemandModel struct {
	ArrivalGaps Series // seconds between arrivals of jobs
	JobRunTimes Series // seconds, the mean run time of a job's tasks

	lastArrivalAt   clock.Micros
	meanGapSeconds  float64
	meanRunSeconds  float64
	gapCount        int
	sizeWeights     map[int]float64 // by the number of machines that a job needs
	machineFraction float64         // see MachineFraction
	waitObjective   float64         // seconds, the shortest one of its classes; 0: none
}

// ObserveArrival records the arrival of a job that needs machineCount machines and would
// use share machines in all.
func (demand *DemandModel) ObserveArrival(now clock.Micros, machineCount int, fractionalMachines float64, smoothing *Smoothing) {
	fraction := min(max(fractionalMachines/float64(max(machineCount, 1)), minMachineFraction), 1)
	if demand.machineFraction == 0 {
		demand.machineFraction = fraction
	} else {
		demand.machineFraction += smoothing.DemandSize * (fraction - demand.machineFraction)
	}
	if demand.lastArrivalAt != 0 {
		demand.observeGap(now, (now - demand.lastArrivalAt).Seconds(), smoothing.Arrival)
	}
	demand.lastArrivalAt = now
	demand.observeSize(machineCount, smoothing.DemandSize)
}

// observeGap updates the mean time between arrivals (17).
func (demand *DemandModel) observeGap(now clock.Micros, gapSeconds, smoothing float64) {
	demand.ArrivalGaps.Add(now, gapSeconds)
	if demand.gapCount == 0 {
		demand.meanGapSeconds = gapSeconds
	} else {
		demand.meanGapSeconds += smoothing * (gapSeconds - demand.meanGapSeconds)
	}
	demand.gapCount++
}

// observeSize updates the weights of sizes of jobs (19).
func (demand *DemandModel) observeSize(machineCount int, smoothing float64) {
	if demand.sizeWeights == nil {
		demand.sizeWeights = map[int]float64{machineCount: 1}
		return
	}
	for size, weight := range demand.sizeWeights {
		weight *= 1 - smoothing
		if weight < minSizeWeight {
			delete(demand.sizeWeights, size)
		} else {
			demand.sizeWeights[size] = weight
		}
	}
	demand.sizeWeights[machineCount] += smoothing
}

// ObserveWaitObjective records that users expect jobs of some class of this demand to start
// within so many seconds.
func (demand *DemandModel) ObserveWaitObjective(seconds float64) {
	if demand.waitObjective == 0 || seconds < demand.waitObjective {
		demand.waitObjective = seconds
	}
}

// ObserveTaskRun records the run time of a completed task, in seconds.
func (demand *DemandModel) ObserveTaskRun(seconds float64, smoothing *Smoothing) {
	if demand.meanRunSeconds == 0 {
		demand.meanRunSeconds = seconds
	} else {
		demand.meanRunSeconds += smoothing.RunTime * (seconds - demand.meanRunSeconds)
	}
}

// HasRecentArrival is the arrival-recency gate (Definition 7).
func (demand *DemandModel) HasRecentArrival(now, window clock.Micros) bool {
	return demand.lastArrivalAt != 0 && now-demand.lastArrivalAt <= window
}

// ArrivalRate is the estimated number of arrivals a second, lambda (17).
func (demand *DemandModel) ArrivalRate() float64 {
	if demand.gapCount == 0 {
		return 0
	}
	return 1 / max(demand.meanGapSeconds, minGapSeconds)
}

// CompletionRate is the estimated number of completions a second, lambda_C (22), from the
// least predicted rest of a run in seconds (21), +Inf if there is none, and the number of
// running tasks.
func (demand *DemandModel) CompletionRate(nearestCompletion float64, runningTasks int) float64 {
	switch {
	case nearestCompletion > 0 && !math.IsInf(nearestCompletion, 1):
		return 1 / nearestCompletion
	case demand.meanRunSeconds > 0:
		return float64(runningTasks) / demand.meanRunSeconds
	}
	return 0
}

// SizeWeights returns the weight w_r of each number r of machines that the next job may
// need (19). The map is the model's own.
func (demand *DemandModel) SizeWeights() map[int]float64 { return demand.sizeWeights }

// MachineFraction is the mean part that a job really uses of each machine it needs, which a
// spare is counted as; 0 before the first arrival. Several tasks share a machine here,
// which the paper's jobs do not.
func (demand *DemandModel) MachineFraction() float64 { return demand.machineFraction }

// WaitObjective is the shortest time in seconds within which users expect jobs of this
// demand to start; 0: no such time.
func (demand *DemandModel) WaitObjective() float64 { return demand.waitObjective }

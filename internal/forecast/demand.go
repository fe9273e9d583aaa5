package forecast

import (
	"math"

	"firwood.dev/firwood/internal/clock"
)

// Smoothing holds the smoothing factors of the moving averages (paper, IV-D): rho_A, rho_S and
// rho_R. Each factor is above 0 and at most 1.
type Smoothing struct{ Arrival, RunTime, DemandSize float64 }

const (
	// minGapSeconds is the smallest mean gap from which the arrival rate is computed, so that the
	// rate stays finite. It is the paper's epsilon (17).
	minGapSeconds = 1e-3
	// minSizeWeight is the weight below which a job size is forgotten.
	minSizeWeight = 1e-4
	// minMachineFraction is the smallest fraction of a machine that a spare counts as.
	minMachineFraction = 0.01
)

// DemandModel models one kind of demand: either the jobs that may use spot machines, or the jobs that
// may not. Its averages are exponential moving averages (paper, IV-D).
type DemandModel struct {
	ArrivalGaps Series // times between arrivals of jobs, in seconds
	JobRunTimes Series // for each job, the mean run time of its tasks, in seconds

	lastArrivalAt   clock.Micros
	meanGapSeconds  float64
	meanRunSeconds  float64
	gapCount        int
	sizeWeights     map[int]float64 // weights of job sizes, by the number of machines that a job needs
	machineFraction float64         // the result of MachineFraction
	waitObjective   float64         // the shortest wait objective of the jobs' classes in seconds, or 0 if none
}

// ObserveArrival records the arrival of a job. machineCount is the number of machines that the job
// needs, and fractionalMachines is the same number before it was rounded up.
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

// observeGap updates the mean time between two arrivals (17).
func (demand *DemandModel) observeGap(now clock.Micros, gapSeconds, smoothing float64) {
	demand.ArrivalGaps.Add(now, gapSeconds)
	if demand.gapCount == 0 {
		demand.meanGapSeconds = gapSeconds
	} else {
		demand.meanGapSeconds += smoothing * (gapSeconds - demand.meanGapSeconds)
	}
	demand.gapCount++
}

// observeSize updates the weights of job sizes (19).
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

// ObserveWaitObjective records the wait objective of a class of jobs of this demand: the time in
// seconds within which users expect a job to start.
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

// HasRecentArrival reports whether the last arrival lies within the window, which is the paper's
// arrival-recency gate (Definition 7).
func (demand *DemandModel) HasRecentArrival(now, window clock.Micros) bool {
	return demand.lastArrivalAt != 0 && now-demand.lastArrivalAt <= window
}

// ArrivalRate returns the estimated number of arrivals per second, lambda (17).
func (demand *DemandModel) ArrivalRate() float64 {
	if demand.gapCount == 0 {
		return 0
	}
	return 1 / max(demand.meanGapSeconds, minGapSeconds)
}

// CompletionRate returns the estimated number of completions per second, lambda_C (22).
// nearestCompletion is the shortest predicted remaining run time of a task, in seconds (21), or +Inf
// if there is none. If it is 0 or infinite, the rate is runningTasks divided by the mean run time, or
// 0 if no task has completed yet.
func (demand *DemandModel) CompletionRate(nearestCompletion float64, runningTasks int) float64 {
	switch {
	case nearestCompletion > 0 && !math.IsInf(nearestCompletion, 1):
		return 1 / nearestCompletion
	case demand.meanRunSeconds > 0:
		return float64(runningTasks) / demand.meanRunSeconds
	}
	return 0
}

// SizeWeights returns the weights w_r by the number r of machines that the next job may need (19).
// The map is the model's own, so the caller must not change it.
func (demand *DemandModel) SizeWeights() map[int]float64 { return demand.sizeWeights }

// MachineFraction returns the mean fraction that a job really uses of each machine that it needs, or 0
// before the first arrival. A spare counts as this fraction of a machine, because here several tasks
// share a machine, unlike in the paper.
func (demand *DemandModel) MachineFraction() float64 { return demand.machineFraction }

// WaitObjective returns the shortest time in seconds within which users expect jobs of this demand to
// start, or 0 if there is no such time.
func (demand *DemandModel) WaitObjective() float64 { return demand.waitObjective }

// Package scheduler owns SNF-ICON: the order of waiting work, where it goes,
// what is rented and given back, the screen, the spare target. It is pure: it
// reads the ledger and returns decisions.
package scheduler

import (
	"maps"
	"math"
	"slices"
	"sort"

	"gonum.org/v1/gonum/stat"

	"firwood.dev/firwood/internal/clock"
)

// Settings are the settings of the model; the paper's symbols are in the names
// of the operators' file.
type Settings struct {
	WaitWeight, IdleWeight float64
	IdleTimeout            clock.Micros
	// RelaxedIdleTimeout is the idle wait where users expect no start sooner than a
	// machine boots.
	RelaxedIdleTimeout                                      clock.Micros
	ScreenWindow, ArrivalRecencyWindow                      clock.Micros
	MinSpares, MaxSpares                                    int
	ScreenMinSamples, ScreenMaxSamples                      int
	MaxVariationDeviation, MaxLagCorrelation, MaxKSDistance float64
	ArrivalSmoothing                                        float64
	RunTimeSmoothing                                        float64
	DemandSizeSmoothing                                     float64
	IdleCostHorizon                                         clock.Micros
	// SpotWaitTimeout is how long a job that may use spot machines waits for one
	// before an ordinary machine is rented for it.
	SpotWaitTimeout clock.Micros
	// AgingThreshold is how long a job waits for its first start before it goes first
	// within its rank; 0: never.
	AgingThreshold clock.Micros
	// GangWaitWeight is what a second of a gang's wait weighs, in seconds of other work
	// on as many machines.
	GangWaitWeight float64
}

// sample is an observation with its time.
type sample struct {
	observedAt clock.Micros
	value      float64
}

// Series is a window of recent observations.
type Series struct{ samples []sample }

// Add appends an observation.
func (series *Series) Add(observedAt clock.Micros, value float64) {
	series.samples = append(series.samples, sample{observedAt, value})
}

func (series *Series) trim(now, window clock.Micros, maxSamples int) {
	i := 0
	for i < len(series.samples) && series.samples[i].observedAt < now-window {
		i++
	}
	// The bound caps the samples during bursts (paper, IV-A): the newest count.
	// Where thousands of tasks end in a window, rejecting it would close the
	// screen for good.
	i = max(i, len(series.samples)-maxSamples)
	if i > 0 {
		series.samples = append(series.samples[:0], series.samples[i:]...)
	}
}

// ScreenResult is what the screen says of a series (paper, IV-A).
type ScreenResult struct {
	IsExponential        bool
	RejectReason         string // empty if OK
	SampleCount          int
	VariationCoefficient float64
	LagCorrelation       float64
	KSDistance           float64
}

// Screen tests a series for an exponential fit: enough samples (Definition 4),
// a coefficient of variation near 1 (6), little lag-one correlation (9), a
// small Kolmogorov-Smirnov distance (10).
func (series *Series) Screen(settings *Settings, now clock.Micros) ScreenResult {
	series.trim(now, settings.ScreenWindow, settings.ScreenMaxSamples)
	values := make([]float64, len(series.samples))
	for i := range series.samples {
		values[i] = series.samples[i].value
	}
	return screenSamples(values, settings)
}

func screenSamples(samples []float64, settings *Settings) ScreenResult {
	result := ScreenResult{SampleCount: len(samples)}
	if result.SampleCount < settings.ScreenMinSamples {
		result.RejectReason = "too few samples"
		return result
	}
	mean := stat.Mean(samples, nil)
	if mean <= 0 {
		result.RejectReason = "no spread"
		return result
	}
	var sumOfSquares float64
	for _, value := range samples {
		sumOfSquares += (value - mean) * (value - mean)
	}
	result.VariationCoefficient = math.Sqrt(sumOfSquares/float64(result.SampleCount)) / mean
	if correlation := stat.Correlation(samples[:result.SampleCount-1], samples[1:], nil); !math.IsNaN(correlation) {
		result.LagCorrelation = correlation
	}
	sorted := append([]float64(nil), samples...)
	sort.Float64s(sorted)
	for i, value := range sorted {
		fitted := 1 - math.Exp(-value/mean)
		result.KSDistance = max(result.KSDistance, fitted-float64(i)/float64(result.SampleCount), float64(i+1)/float64(result.SampleCount)-fitted)
	}
	switch {
	case math.Abs(result.VariationCoefficient-1) > settings.MaxVariationDeviation:
		result.RejectReason = "variation"
	case math.Abs(result.LagCorrelation) > settings.MaxLagCorrelation:
		result.RejectReason = "correlation"
	case result.KSDistance > settings.MaxKSDistance/math.Sqrt(float64(result.SampleCount)):
		result.RejectReason = "distance"
	default:
		result.IsExponential = true
	}
	return result
}

// RunTimeModel predicts run times of one class from the log ratio of actual to
// estimated ones (paper, appendix A).
type RunTimeModel struct {
	count                             int
	meanLogRatio, meanSquaredLogRatio float64
}

// Hint is what has been learnt, for another to go on with.
func (model *RunTimeModel) Hint() (count int, mean, square float64) {
	return model.count, model.meanLogRatio, model.meanSquaredLogRatio
}

// Restore takes what another has learnt, unless something is known already. A mean square
// below the square of the mean cannot be.
func (model *RunTimeModel) Restore(count int, mean, square float64) {
	if model.count == 0 && count > 0 && !math.IsNaN(mean) && math.Abs(mean) < 20 && square >= mean*mean*(1-1e-9) && square < 1000 {
		model.count, model.meanLogRatio, model.meanSquaredLogRatio = count, mean, square
	}
}

const minSigma = 0.25

// Observe takes the run time of a completed task.
func (model *RunTimeModel) Observe(estimate, actual, smooth float64) {
	if estimate <= 0 || actual <= 0 {
		return
	}
	logRatio := math.Log(actual / estimate)
	if model.count == 0 {
		model.meanLogRatio, model.meanSquaredLogRatio = logRatio, logRatio*logRatio
	} else {
		model.meanLogRatio += smooth * (logRatio - model.meanLogRatio)
		model.meanSquaredLogRatio += smooth * (logRatio*logRatio - model.meanSquaredLogRatio)
	}
	model.count++
}

func (model *RunTimeModel) sigma() float64 {
	if model.count < 2 {
		return 0.5 // estimates are often wrong by half
	}
	return math.Sqrt(max(minSigma*minSigma, model.meanSquaredLogRatio-model.meanLogRatio*model.meanLogRatio))
}

// PredictedSeconds is the predicted run time of a waiting task (46).
func (model *RunTimeModel) PredictedSeconds(estimate float64) float64 {
	return estimate * math.Exp(model.meanLogRatio)
}

func normalSurvival(z float64) float64 { return math.Erfc(z/math.Sqrt2) / 2 }

// RemainingSeconds is the expected rest of a run, given its age (50), (51).
func (model *RunTimeModel) RemainingSeconds(estimate, age float64) float64 {
	if estimate <= 0 {
		return math.Inf(1)
	}
	sigma := model.sigma()
	logMedian := math.Log(estimate) + model.meanLogRatio
	mean := math.Exp(logMedian + sigma*sigma/2)
	if age <= 0 {
		return mean
	}
	standardized := (math.Log(age) - logMedian) / sigma
	numerator, denominator := normalSurvival(standardized-sigma), normalSurvival(standardized)
	if denominator < 1e-12 {
		return age * sigma / max(standardized, 1) // the tail, where the ratio has no digits left
	}
	return max(mean*numerator/denominator-age, 0)
}

// DemandModel is the model of one kind of demand: jobs that may use spot machines,
// or those that may not.
type DemandModel struct {
	ArrivalGaps, JobRunTimes Series
	lastArrivalAt            clock.Micros
	meanGapSeconds           float64 // EMA, seconds
	meanRunSeconds           float64 // EMA, seconds
	gapCount                 int
	sizeWeights              map[int]float64
	machineFraction          float64 // EMA of the part of a machine that is used of each asked for
	waitObjective            float64 // shortest wait expected of its classes, 0: none
}

// ObserveArrival takes an arrival of a job that needs r machines, and so much of them
// in all.
func (demand *DemandModel) ObserveArrival(now clock.Micros, machineCount int, share float64, settings *Settings) {
	fraction := min(max(share/float64(max(machineCount, 1)), 0.01), 1)
	if demand.machineFraction == 0 {
		demand.machineFraction = fraction
	} else {
		demand.machineFraction += settings.DemandSizeSmoothing * (fraction - demand.machineFraction)
	}
	if demand.lastArrivalAt != 0 {
		gapSeconds := (now - demand.lastArrivalAt).Seconds()
		demand.ArrivalGaps.Add(now, gapSeconds)
		if demand.gapCount == 0 {
			demand.meanGapSeconds = gapSeconds
		} else {
			demand.meanGapSeconds += settings.ArrivalSmoothing * (gapSeconds - demand.meanGapSeconds)
		}
		demand.gapCount++
	}
	demand.lastArrivalAt = now
	if demand.sizeWeights == nil {
		demand.sizeWeights = map[int]float64{machineCount: 1}
		return
	}
	for size, weight := range demand.sizeWeights {
		weight *= 1 - settings.DemandSizeSmoothing
		if weight < 1e-4 {
			delete(demand.sizeWeights, size)
		} else {
			demand.sizeWeights[size] = weight
		}
	}
	demand.sizeWeights[machineCount] += settings.DemandSizeSmoothing
}

// ObserveTaskRun takes the run time of a completed task.
func (demand *DemandModel) ObserveTaskRun(seconds float64, settings *Settings) {
	if demand.meanRunSeconds == 0 {
		demand.meanRunSeconds = seconds
	} else {
		demand.meanRunSeconds += settings.RunTimeSmoothing * (seconds - demand.meanRunSeconds)
	}
}

// HasRecentArrival is the arrival-recency gate (Definition 7).
func (demand *DemandModel) HasRecentArrival(now clock.Micros, settings *Settings) bool {
	return demand.lastArrivalAt != 0 && now-demand.lastArrivalAt <= settings.ArrivalRecencyWindow
}

// ArrivalRate is the estimated arrival rate (17).
func (demand *DemandModel) ArrivalRate() float64 {
	if demand.gapCount == 0 {
		return 0
	}
	return 1 / max(demand.meanGapSeconds, 1e-3)
}

// SpareModel is what the choice of the spare target rests on.
type SpareModel struct {
	// MachineFraction is the machine that spares are counted in: the part of a machine
	// that jobs use of each one that they ask for. Several tasks share a
	// machine here, which the paper's jobs do not.
	MachineFraction float64
	ArrivalRate     float64         // arrivals a second
	CompletionRate  float64         // completions a second
	SizeWeights     map[int]float64 // weight of a next job that asks for r machines
	ReadyCount      int             // spare machines ready now
	BootingSeconds  []float64       // seconds until each booting machine is ready
	BootSeconds     float64         // seconds until a machine rented now is ready
	HorizonSeconds  float64         // seconds; 0: none
}

// SpareCost is the cost of one candidate target.
type SpareCost struct {
	Target                           int
	ExpectedWait, IdleSeconds, Total float64
}

// expectedRemainder is the part of a transition of d seconds that is still left at
// the next event (59).
func expectedRemainder(delay, rate float64) float64 {
	if rate <= 0 {
		return 0
	}
	return delay - (1-math.Exp(-rate*delay))/rate
}

// Cost works out J for one target (34), (35), (37), (39).
func (model *SpareModel) Cost(target int, waitWeight, idleWeight float64) SpareCost {
	rate := model.ArrivalRate + model.CompletionRate
	cost := SpareCost{Target: target}
	horizon := model.HorizonSeconds
	if rate > 0 {
		untilNextEvent := 1 / rate
		if model.HorizonSeconds > 0 {
			untilNextEvent = (1 - math.Exp(-rate*model.HorizonSeconds)) / rate
		}
		horizon = untilNextEvent
	}
	// Readiness of the machines that the plan prepares, nearest first.
	delays := make([]float64, 0, target)
	for i := 0; i < model.ReadyCount && len(delays) < target; i++ {
		delays = append(delays, 0)
	}
	bootingSeconds := append([]float64(nil), model.BootingSeconds...)
	sort.Float64s(bootingSeconds)
	for _, seconds := range bootingSeconds {
		if len(delays) < target {
			delays = append(delays, expectedRemainder(seconds, rate))
		}
	}
	for len(delays) < target {
		delays = append(delays, expectedRemainder(model.BootSeconds, rate))
	}
	if rate > 0 && model.ArrivalRate > 0 {
		var weightedDelay, totalWeight float64
		// In order of r: the sums, and with them the choice, must not depend on
		// the order of a map.
		for _, size := range slices.Sorted(maps.Keys(model.SizeWeights)) {
			sizeWeight := model.SizeWeights[size]
			delay := model.BootSeconds // not prepared: rented on arrival
			if size <= len(delays) {
				delay = delays[size-1]
			}
			weightedDelay += sizeWeight * delay
			totalWeight += sizeWeight
		}
		if totalWeight > 0 {
			cost.ExpectedWait = model.ArrivalRate / rate * weightedDelay / totalWeight
		}
	}
	cost.IdleSeconds = float64(target) * model.MachineFraction * horizon
	cost.Total = waitWeight*cost.ExpectedWait + idleWeight*cost.IdleSeconds
	return cost
}

// CheapestTarget picks the target between lo and hi with the least J, then the least
// W, then E, then x.
func (model *SpareModel) CheapestTarget(minTarget, maxTarget int, waitWeight, idleWeight float64) SpareCost {
	best := model.Cost(minTarget, waitWeight, idleWeight)
	for target := minTarget + 1; target <= maxTarget; target++ {
		cost := model.Cost(target, waitWeight, idleWeight)
		if cost.Total < best.Total || cost.Total == best.Total && (cost.ExpectedWait < best.ExpectedWait || cost.ExpectedWait == best.ExpectedWait && cost.IdleSeconds < best.IdleSeconds) {
			best = cost
		}
	}
	return best
}

package forecast

import (
	"maps"
	"math"
	"slices"
	"sort"
)

// SpareModel holds the values from which the target number of spares is chosen. A spare is counted as
// a fraction of a machine; see DemandModel.MachineFraction.
type SpareModel struct {
	MachineFraction float64
	ArrivalRate     float64         // arrivals per second, lambda
	CompletionRate  float64         // completions per second, lambda_C
	SizeWeights     map[int]float64 // w_r, by the number r of machines that the next job needs
	ReadyCount      int             // the number of spares that are ready now
	BootingSeconds  []float64       // the seconds until each booting machine is ready
	BootSeconds     float64         // the seconds until a machine requested now is ready
	HorizonSeconds  float64         // the cap on the time to the next event, H_c, or 0 if there is none
}

// SpareCost is the cost of one candidate for the target.
type SpareCost struct {
	Target       int     // x, the number of spares
	ExpectedWait float64 // W, in seconds
	IdleSeconds  float64 // E, in machine-seconds
	Total        float64 // J
}

// expectedRemainder returns how much of a delay of the given seconds is expected to remain at the next
// event, phi (59). rate is the rate of events. If it is 0, no event is expected, and the result is 0,
// which is the limit of (59).
func expectedRemainder(delay, rate float64) float64 {
	if rate <= 0 {
		return 0
	}
	return delay - (1-math.Exp(-rate*delay))/rate
}

// Cost returns the cost J of one target x (34), (35), (37), (39). waitWeight is alpha, and idleWeight
// is beta.
func (model *SpareModel) Cost(target int, waitWeight, idleWeight float64) SpareCost {
	eventRate := model.ArrivalRate + model.CompletionRate
	cost := SpareCost{Target: target, ExpectedWait: model.expectedWait(model.readyDelays(target, eventRate), eventRate)}
	cost.IdleSeconds = float64(target) * model.MachineFraction * model.meanHorizon(eventRate)
	cost.Total = waitWeight*cost.ExpectedWait + idleWeight*cost.IdleSeconds
	return cost
}

// meanHorizon returns H, the mean time to the next event, with the time capped at the horizon (25). If
// no event is expected, H is the horizon, or 0 if there is none.
func (model *SpareModel) meanHorizon(eventRate float64) float64 {
	switch {
	case eventRate <= 0:
		return model.HorizonSeconds
	case model.HorizonSeconds > 0:
		return (1 - math.Exp(-eventRate*model.HorizonSeconds)) / eventRate
	}
	return 1 / eventRate
}

// readyDelays returns, for each machine of the target, how many of the seconds until it is ready are
// expected to remain at the next event (33). The machines that are ready now come first, then the
// booting ones, nearest first, and then those still to be requested.
func (model *SpareModel) readyDelays(target int, eventRate float64) []float64 {
	delays := make([]float64, 0, target)
	for i := 0; i < model.ReadyCount && len(delays) < target; i++ {
		delays = append(delays, 0)
	}
	bootingSeconds := append([]float64(nil), model.BootingSeconds...)
	sort.Float64s(bootingSeconds)
	for _, seconds := range bootingSeconds {
		if len(delays) < target {
			delays = append(delays, expectedRemainder(seconds, eventRate))
		}
	}
	for len(delays) < target {
		delays = append(delays, expectedRemainder(model.BootSeconds, eventRate))
	}
	return delays
}

// expectedWait returns W: the mean delay over the sizes of the next job (34), times the probability
// that the next event is an arrival (35).
func (model *SpareModel) expectedWait(delays []float64, eventRate float64) float64 {
	if eventRate <= 0 || model.ArrivalRate <= 0 {
		return 0
	}
	var weightedDelay, totalWeight float64
	// The loop goes in order of size, because the floating-point sums, and so the chosen target, must
	// not depend on the order of a map.
	for _, size := range slices.Sorted(maps.Keys(model.SizeWeights)) {
		sizeWeight := model.SizeWeights[size]
		delay := model.BootSeconds // the machine is not prepared, but requested when the job arrives
		if size <= len(delays) {
			delay = delays[size-1]
		}
		weightedDelay += sizeWeight * delay
		totalWeight += sizeWeight
	}
	if totalWeight <= 0 {
		return 0
	}
	return model.ArrivalRate / eventRate * weightedDelay / totalWeight
}

// CheapestTarget returns the cost of the best target from minTarget to maxTarget. That is the target
// with the smallest J, then the smallest W, then E, then x (39).
func (model *SpareModel) CheapestTarget(minTarget, maxTarget int, waitWeight, idleWeight float64) SpareCost {
	best := model.Cost(minTarget, waitWeight, idleWeight)
	for target := minTarget + 1; target <= maxTarget; target++ {
		if cost := model.Cost(target, waitWeight, idleWeight); cost.isCheaperThan(best) {
			best = cost
		}
	}
	return best
}

// isCheaperThan reports whether cost is less than other, compared by J, then by W, then by E.
func (cost SpareCost) isCheaperThan(other SpareCost) bool {
	switch {
	case cost.Total != other.Total:
		return cost.Total < other.Total
	case cost.ExpectedWait != other.ExpectedWait:
		return cost.ExpectedWait < other.ExpectedWait
	}
	return cost.IdleSeconds < other.IdleSeconds
}

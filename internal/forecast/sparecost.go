package forecast

import (
	"maps"
	"math"
	"slices"
	"sort"
)

// SpareModel is what the choice of the spare target rests on. Spares are counted in parts of
// a machine, see DemandModel.MachineFraction.
type SpareModel struct {
	MachineFraction float64
	ArrivalRate     float64         // arrivals a second, lambda
	CompletionRate  float64         // completions a second, lambda_C
	SizeWeights     map[int]float64 // w_r, by the number of machines r that the next job needs
	ReadyCount      int             // spares ready now
	BootingSeconds  []float64       // seconds until each booting machine is ready
	BootSeconds     float64         // seconds until a machine requested now is ready
	HorizonSeconds  float64         // H_c; 0: none
}

// SpareCost is the cost of one candidate target.
type SpareCost struct {
	Target       int     // x, the number of spares
	ExpectedWait float64 // W, in seconds
	IdleSeconds  float64 // E, in seconds of a machine
	Total        float64 // J
}

// expectedRemainder is the expected part of a transition of delay seconds that is still left
// at the next event, phi (59); 0 if no event is expected, as the limit of (59) is.
func expectedRemainder(delay, rate float64) float64 {
	if rate <= 0 {
		return 0
	}
	return delay - (1-math.Exp(-rate*delay))/rate
}

// Cost works out J for one target x (34), (35), (37), (39). The weights are alpha and beta.
func (model *SpareModel) Cost(target int, waitWeight, idleWeight float64) SpareCost {
	eventRate := model.ArrivalRate + model.CompletionRate
	cost := SpareCost{Target: target, ExpectedWait: model.expectedWait(model.readyDelays(target, eventRate), eventRate)}
	cost.IdleSeconds = float64(target) * model.MachineFraction * model.meanHorizon(eventRate)
	cost.Total = waitWeight*cost.ExpectedWait + idleWeight*cost.IdleSeconds
	return cost
}

// meanHorizon is the mean time to the next event, H, capped by the horizon (25); if no event
// is expected, the horizon, 0 if there is none.
func (model *SpareModel) meanHorizon(eventRate float64) float64 {
	switch {
	case eventRate <= 0:
		return model.HorizonSeconds
	case model.HorizonSeconds > 0:
		return (1 - math.Exp(-eventRate*model.HorizonSeconds)) / eventRate
	}
	return 1 / eventRate
}

// readyDelays lists the seconds until each machine that the plan prepares is ready, nearest
// first (33): those ready now, those that boot, those still to be requested.
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

// expectedWait is W: the mean delay over the sizes of the next job (34), times the
// probability that the next event is an arrival (35).
func (model *SpareModel) expectedWait(delays []float64, eventRate float64) float64 {
	if eventRate <= 0 || model.ArrivalRate <= 0 {
		return 0
	}
	var weightedDelay, totalWeight float64
	// In order of size: the sums, and with them the choice, must not depend on the order
	// of a map.
	for _, size := range slices.Sorted(maps.Keys(model.SizeWeights)) {
		sizeWeight := model.SizeWeights[size]
		delay := model.BootSeconds // not prepared: requested on arrival
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

// CheapestTarget picks the target from minTarget to maxTarget with the least J, then the
// least W, then E, then x (39).
func (model *SpareModel) CheapestTarget(minTarget, maxTarget int, waitWeight, idleWeight float64) SpareCost {
	best := model.Cost(minTarget, waitWeight, idleWeight)
	for target := minTarget + 1; target <= maxTarget; target++ {
		if cost := model.Cost(target, waitWeight, idleWeight); cost.isCheaperThan(best) {
			best = cost
		}
	}
	return best
}

// isCheaperThan compares by J, then W, then E.
func (cost SpareCost) isCheaperThan(other SpareCost) bool {
	switch {
	case cost.Total != other.Total:
		return cost.Total < other.Total
	case cost.ExpectedWait != other.ExpectedWait:
		return cost.ExpectedWait < other.ExpectedWait
	}
	return cost.IdleSeconds < other.IdleSeconds
}

package forecast

import (
	"maps"
	"math"
	"slices"
	"sort"
)

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

package forecast

import (
	"math"
	"math/rand/v2"
	"testing"
)

func isAlmostEqual(a, b float64) bool { return math.Abs(a-b) < 1e-9*max(1, math.Abs(b)) }

// The expected values are worked out by hand from (23), (25), (34), (35) and (59). There are 0.1
// arrivals and 0.1 completions per second, so the next event is an arrival with probability one half,
// and it comes after 5 s on average. One machine is ready, one boots for another 6 s, and a new one
// takes 20 s. The next job needs 1, 2 or 3 machines with weights 0.5, 0.3 and 0.2.
func TestSpareCostMatchesHandComputedValues(t *testing.T) {
	model := SpareModel{MachineFraction: 1, ArrivalRate: 0.1, CompletionRate: 0.1, SizeWeights: map[int]float64{1: 0.5, 2: 0.3, 3: 0.2}, ReadyCount: 1, BootingSeconds: []float64{6}, BootSeconds: 20}
	remainder6 := 6 - (1-math.Exp(-1.2))/0.2
	remainder20 := 20 - (1-math.Exp(-4))/0.2
	for _, testCase := range []struct {
		target                    int
		wantWait, wantIdleSeconds float64
	}{
		{0, 0.5 * 20, 0},
		{1, 0.5 * (0.5*0 + 0.5*20), 5},
		{2, 0.5 * (0.3*remainder6 + 0.2*20), 10},
		{3, 0.5 * (0.3*remainder6 + 0.2*remainder20), 15},
	} {
		got := model.Cost(testCase.target, 50, 1)
		if !isAlmostEqual(got.ExpectedWait, testCase.wantWait) || !isAlmostEqual(got.IdleSeconds, testCase.wantIdleSeconds) || !isAlmostEqual(got.Total, 50*testCase.wantWait+testCase.wantIdleSeconds) {
			t.Errorf("target %d: got wait %v, idle seconds %v, total %v, want wait %v, idle seconds %v", testCase.target, got.ExpectedWait, got.IdleSeconds, got.Total, testCase.wantWait, testCase.wantIdleSeconds)
		}
	}
	model.MachineFraction = 0.25 // four typical jobs fit on a machine, so a spare costs a quarter
	if got := model.Cost(2, 50, 1); !isAlmostEqual(got.IdleSeconds, 2.5) || !isAlmostEqual(got.ExpectedWait, 0.5*(0.3*remainder6+0.2*20)) {
		t.Errorf("target 2 with a machine fraction of 0.25: got %+v, want the same wait and 2.5 idle seconds", got)
	}
	model.MachineFraction = 1
	model.HorizonSeconds = 4
	if got, want := model.Cost(1, 50, 1).IdleSeconds, (1-math.Exp(-0.8))/0.2; !isAlmostEqual(got, want) {
		t.Errorf("idle seconds with a horizon of 4 s: got %v, want %v", got, want)
	}
}

// CheapestTarget must choose a target such that no other target within the bounds has a lower cost.
func TestCheapestTargetMatchesBruteForce(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 3))
	for n := 0; n < 2000; n++ {
		model := SpareModel{MachineFraction: 0.01 + rng.Float64(), ArrivalRate: rng.Float64(), CompletionRate: rng.Float64(), ReadyCount: rng.IntN(4), BootSeconds: 30 * rng.Float64(), SizeWeights: map[int]float64{}}
		for i := rng.IntN(4); i > 0; i-- {
			model.BootingSeconds = append(model.BootingSeconds, 20*rng.Float64())
		}
		for size := 1; size <= 5; size++ {
			model.SizeWeights[size] = rng.Float64()
		}
		waitWeight := 100 * rng.Float64()
		got := model.CheapestTarget(1, 6, waitWeight, 1)
		for target := 1; target <= 6; target++ {
			if cost := model.Cost(target, waitWeight, 1); cost.Total < got.Total {
				t.Fatalf("target %d has cost %v, below the chosen target %d with %v", target, cost.Total, got.Target, got.Total)
			}
		}
	}
}

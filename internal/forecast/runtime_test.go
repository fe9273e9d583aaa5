package forecast

import (
	"math"
	"math/rand/v2"
	"testing"
)

// RemainingSeconds computes the conditional mean (50) in closed form. The test compares it with the mean
// of numbers drawn from the distribution.
func TestRemainingSecondsMatchesSampling(t *testing.T) {
	model := RunTimeModel{}
	rng := rand.New(rand.NewPCG(5, 5))
	for i := 0; i < 4000; i++ {
		model.Observe(40, 40*math.Exp(0.2+0.4*rng.NormFloat64()), 0.01)
	}
	for _, age := range []float64{0, 20, 60} {
		sum, count := 0.0, 0
		for i := 0; i < 200000; i++ {
			duration := 40 * math.Exp(model.meanLogRatio+model.sigma()*rng.NormFloat64())
			if duration > age {
				sum += duration - age
				count++
			}
		}
		if got, want := model.RemainingSeconds(40, age), sum/float64(count); math.Abs(got-want) > 0.03*want {
			t.Errorf("RemainingSeconds(40, %v): got %v, want about %v, the mean of samples", age, got, want)
		}
	}
	if tail := model.RemainingSeconds(40, 1e6); tail < 0 || math.IsNaN(tail) || math.IsInf(tail, 0) {
		t.Errorf("RemainingSeconds(40, 1e6): got %v, want a finite value of at least 0", tail)
	}
}

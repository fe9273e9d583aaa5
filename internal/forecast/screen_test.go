package forecast

import (
	"math"
	"math/rand/v2"
	"testing"

	"firwood.dev/firwood/internal/clock"
)

func testScreenSettings() ScreenSettings {
	return ScreenSettings{Window: 120 * clock.Second, MinSamples: 3, MaxSamples: 1000, MaxVariationDeviation: 0.45, MaxLagCorrelation: 0.65, MaxKSDistance: 3.75}
}

// Most windows of exponential samples pass the screen; equal samples, a trend and too few samples do
// not. Samples from before the window don't count, and of too many only the newest.
func TestScreenAcceptsOnlyExponentialSamples(t *testing.T) {
	settings := testScreenSettings()
	rng := rand.New(rand.NewPCG(4, 4))
	accepted := 0
	for n := 0; n < 200; n++ {
		samples := make([]float64, 40)
		for i := range samples {
			samples[i] = rng.ExpFloat64() * 7
		}
		if screenSamples(samples, &settings).IsExponential {
			accepted++
		}
	}
	if accepted < 180 {
		t.Errorf("only %d of 200 exponential windows pass", accepted)
	}
	constant := make([]float64, 40)
	for i := range constant {
		constant[i] = 7
	}
	if result := screenSamples(constant, &settings); result.IsExponential || result.RejectReason != "variation" {
		t.Errorf("equal gaps: %+v", result)
	}
	rising := make([]float64, 40)
	for i := range rising {
		rising[i] = math.Exp(float64(i) / 10)
	}
	if result := screenSamples(rising, &settings); result.IsExponential {
		t.Errorf("a trend passes: %+v", result)
	}
	if result := screenSamples(constant[:2], &settings); result.IsExponential || result.RejectReason != "too few samples" {
		t.Errorf("two samples: %+v", result)
	}
	// More samples than the bound in a window: the newest count.
	var busySeries Series
	for i := 0; i < 3*settings.MaxSamples; i++ {
		busySeries.Add(clock.Micros(i), rng.ExpFloat64()*7)
	}
	if result := busySeries.Screen(&settings, clock.Second); !result.IsExponential || result.SampleCount != settings.MaxSamples {
		t.Errorf("a busy window: %+v", result)
	}
	var series Series
	for i := 0; i < 10; i++ {
		series.Add(clock.Micros(i)*clock.Second, 1)
	}
	if result := series.Screen(&settings, 125*clock.Second); result.SampleCount != 5 {
		t.Errorf("%d samples in the window, want 5", result.SampleCount)
	}
}

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

// The screen must accept most windows of exponential samples. It must reject equal samples, a trend and
// too few samples, ignore samples from before the window, and use only the newest of too many samples.
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
		t.Errorf("accepted %d of 200 windows of exponential samples, want at least 180", accepted)
	}
	constant := make([]float64, 40)
	for i := range constant {
		constant[i] = 7
	}
	if result := screenSamples(constant, &settings); result.IsExponential || result.RejectReason != "variation" {
		t.Errorf("equal samples: got %+v, want rejected for their variation", result)
	}
	rising := make([]float64, 40)
	for i := range rising {
		rising[i] = math.Exp(float64(i) / 10)
	}
	if result := screenSamples(rising, &settings); result.IsExponential {
		t.Errorf("rising samples: got %+v, want rejected", result)
	}
	if result := screenSamples(constant[:2], &settings); result.IsExponential || result.RejectReason != "too few samples" {
		t.Errorf("two samples: got %+v, want rejected as too few", result)
	}
	// There are more samples in the window than MaxSamples; only the newest count.
	var busySeries Series
	for i := 0; i < 3*settings.MaxSamples; i++ {
		busySeries.Add(clock.Micros(i), rng.ExpFloat64()*7)
	}
	if result := busySeries.Screen(&settings, clock.Second); !result.IsExponential || result.SampleCount != settings.MaxSamples {
		t.Errorf("more samples than MaxSamples: got %+v, want accepted with MaxSamples samples", result)
	}
	var series Series
	for i := 0; i < 10; i++ {
		series.Add(clock.Micros(i)*clock.Second, 1)
	}
	if result := series.Screen(&settings, 125*clock.Second); result.SampleCount != 5 {
		t.Errorf("got %d samples in the window, want 5", result.SampleCount)
	}
}

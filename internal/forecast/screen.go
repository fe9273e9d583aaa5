package forecast

import (
	"math"
	"sort"

	"gonum.org/v1/gonum/stat"

	"firwood.dev/firwood/internal/clock"
)

// ScreenSettings bound what the screen accepts as exponential (paper, IV-A).
type ScreenSettings struct {
	Window                clock.Micros // older samples do not count
	MinSamples            int          // fewer samples are rejected
	MaxSamples            int          // of more samples, the newest count
	MaxVariationDeviation float64      // of the coefficient of variation from 1 (6)
	MaxLagCorrelation     float64      // absolute value (9)
	MaxKSDistance         float64      // times the square root of the number of samples (10)
}

// RejectReason is why the screen rejects a series.
type RejectReason string

// Reasons of the screen, as they are logged; RejectNone: the series is accepted. No spread
// means that all samples are 0.
const (
	RejectNone          RejectReason = ""
	RejectTooFewSamples RejectReason = "too few samples"
	RejectNoSpread      RejectReason = "no spread"
	RejectVariation     RejectReason = "variation"
	RejectCorrelation   RejectReason = "correlation"
	RejectDistance      RejectReason = "distance"
)

// ScreenResult is the outcome of the screen of one series (paper, IV-A), with the figures
// that it rests on.
type ScreenResult struct {
	IsExponential        bool
	RejectReason         RejectReason
	SampleCount          int
	VariationCoefficient float64 // (5)
	LagCorrelation       float64 // (8)
	KSDistance           float64 // (10)
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

// trim drops samples from before the window, and the oldest of more than maxSamples. The
// paper (IV-A) says both that nmax caps the samples and that the screen rejects more of them.
// The cap is taken (docs/questions.md, 9): where jobs always come so fast, a screen that
// rejects more samples would never pass.
func (series *Series) trim(now, window clock.Micros, maxSamples int) {
	i := 0
	for i < len(series.samples) && series.samples[i].observedAt < now-window {
		i++
	}
	i = max(i, len(series.samples)-maxSamples)
	if i > 0 {
		series.samples = append(series.samples[:0], series.samples[i:]...)
	}
}

// Screen tests whether the samples of the window fit an exponential distribution: there
// are enough of them (Definition 4), the coefficient of variation is near 1 (6), there is
// little lag-one autocorrelation (9), and the Kolmogorov-Smirnov distance is small (10).
func (series *Series) Screen(settings *ScreenSettings, now clock.Micros) ScreenResult {
	series.trim(now, settings.Window, settings.MaxSamples)
	values := make([]float64, len(series.samples))
	for i := range series.samples {
		values[i] = series.samples[i].value
	}
	return screenSamples(values, settings)
}

func screenSamples(samples []float64, settings *ScreenSettings) ScreenResult {
	result := ScreenResult{SampleCount: len(samples)}
	if result.SampleCount < settings.MinSamples {
		result.RejectReason = RejectTooFewSamples
		return result
	}
	mean := stat.Mean(samples, nil)
	if mean <= 0 {
		result.RejectReason = RejectNoSpread
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
	result.KSDistance = exponentialDistance(samples, mean)
	switch {
	case math.Abs(result.VariationCoefficient-1) > settings.MaxVariationDeviation:
		result.RejectReason = RejectVariation
	case math.Abs(result.LagCorrelation) > settings.MaxLagCorrelation:
		result.RejectReason = RejectCorrelation
	case result.KSDistance > settings.MaxKSDistance/math.Sqrt(float64(result.SampleCount)):
		result.RejectReason = RejectDistance
	default:
		result.IsExponential = true
	}
	return result
}

// exponentialDistance is the two-sided Kolmogorov-Smirnov distance between the samples'
// distribution and the exponential one of the same mean (paper, IV-A).
func exponentialDistance(samples []float64, mean float64) float64 {
	sorted := append([]float64(nil), samples...)
	sort.Float64s(sorted)
	distance, count := 0.0, float64(len(sorted))
	for i, value := range sorted {
		fitted := 1 - math.Exp(-value/mean)
		distance = max(distance, fitted-float64(i)/count, float64(i+1)/count-fitted)
	}
	return distance
}

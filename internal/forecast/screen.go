package forecast

import (
	"math"
	"sort"

	"gonum.org/v1/gonum/stat"

	"firwood.dev/firwood/internal/clock"
)

// ScreenSettings are the limits within which the screen accepts samples as exponentially distributed
// (paper, IV-A).
type ScreenSettings struct {
	Window                clock.Micros // the age above which samples do not count
	MinSamples            int          // the minimum number of samples; a series with fewer is rejected
	MaxSamples            int          // the maximum number of samples that count; these are the newest
	MaxVariationDeviation float64      // the maximum deviation of the coefficient of variation from 1 (6)
	MaxLagCorrelation     float64      // the maximum absolute lag-one autocorrelation (9)
	MaxKSDistance         float64      // the maximum distance times the square root of the sample count (10)
}

// RejectReason is the reason why the screen rejects a series.
type RejectReason string

// Reasons of the screen, as they are logged. RejectNone means that the series is accepted, and
// RejectNoSpread that all samples are 0.
const (
	RejectNone          RejectReason = ""
	RejectTooFewSamples RejectReason = "too few samples"
	RejectNoSpread      RejectReason = "no spread"
	RejectVariation     RejectReason = "variation"
	RejectCorrelation   RejectReason = "correlation"
	RejectDistance      RejectReason = "distance"
)

// ScreenResult is the result of screening one series (paper, IV-A), with the figures on which it is
// based.
type ScreenResult struct {
	IsExponential        bool
	RejectReason         RejectReason
	SampleCount          int
	VariationCoefficient float64 // (5)
	LagCorrelation       float64 // (8)
	KSDistance           float64 // (10)
}

// sample is an observed value with the time of its observation.
type sample struct {
	observedAt clock.Micros
	value      float64
}

// Series is a time-ordered list of recent observations.
type Series struct{ samples []sample }

// Add appends an observation.
func (series *Series) Add(observedAt clock.Micros, value float64) {
	series.samples = append(series.samples, sample{observedAt, value})
}

// trim drops the samples from before the window, and the oldest samples beyond maxSamples. The paper
// (IV-A) says both that nmax caps the number of samples and that the screen rejects a larger number.
// This implementation caps the number (docs/questions.md, 9): where jobs always arrive at a high rate,
// a screen that rejects more samples would never pass.
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

// Screen tests whether the samples in the window fit an exponential distribution. They do if there are
// enough samples (Definition 4), the coefficient of variation is near 1 (6), the lag-one
// autocorrelation is small (9), and the Kolmogorov-Smirnov distance is small (10).
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

// exponentialDistance returns the two-sided Kolmogorov-Smirnov distance between the distribution of the
// samples and the exponential distribution with the given mean, which is that of the samples (paper,
// IV-A).
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

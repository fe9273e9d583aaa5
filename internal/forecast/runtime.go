package forecast

import "math"

// RunTimeModel predicts run times of one class from the log ratio of actual to
// estimated ones (paper, appendix A). Times are in seconds.
type RunTimeModel struct {
	count                             int
	meanLogRatio, meanSquaredLogRatio float64
}

const (
	// minSigma and initialSigma are standard deviations of the log ratio: the least one
	// (45), and the one of a class with fewer than two observations, as estimates are
	// often wrong by half.
	minSigma     = 0.25
	initialSigma = 0.5
	// maxRestoredMean and maxRestoredMeanSquare bound the moments that another leader's hint may give.
	maxRestoredMean       = 20
	maxRestoredMeanSquare = 1000
	// minSurvival is the survival probability below which the ratio in (50) has no digits left.
	minSurvival = 1e-12
)

// Statistics returns the number of observations and the first and second moments of the log
// ratio, for the next leader's Restore.
func (model *RunTimeModel) Statistics() (count int, mean, meanSquare float64) {
	return model.count, model.meanLogRatio, model.meanSquaredLogRatio
}

// Restore takes another leader's hint, unless there are observations already. Moments that
// make no sense are ignored: a mean square below the square of the mean cannot be.
func (model *RunTimeModel) Restore(count int, mean, meanSquare float64) {
	if model.count == 0 && count > 0 && !math.IsNaN(mean) && math.Abs(mean) < maxRestoredMean && meanSquare >= mean*mean*(1-1e-9) && meanSquare < maxRestoredMeanSquare {
		model.count, model.meanLogRatio, model.meanSquaredLogRatio = count, mean, meanSquare
	}
}

// Observe records the run time of a completed task (41)-(43), with its estimate and the
// smoothing factor of the moving averages. Runs without an estimate say nothing.
func (model *RunTimeModel) Observe(estimate, actual, smoothing float64) {
	if estimate <= 0 || actual <= 0 {
		return
	}
	logRatio := math.Log(actual / estimate)
	if model.count == 0 {
		model.meanLogRatio, model.meanSquaredLogRatio = logRatio, logRatio*logRatio
	} else {
		model.meanLogRatio += smoothing * (logRatio - model.meanLogRatio)
		model.meanSquaredLogRatio += smoothing * (logRatio*logRatio - model.meanSquaredLogRatio)
	}
	model.count++
}

// sigma is the standard deviation of the log ratio (45).
func (model *RunTimeModel) sigma() float64 {
	if model.count < 2 {
		return initialSigma
	}
	return math.Sqrt(max(minSigma*minSigma, model.meanSquaredLogRatio-model.meanLogRatio*model.meanLogRatio))
}

// PredictedSeconds is the predicted run time of a waiting task, the median (46).
func (model *RunTimeModel) PredictedSeconds(estimate float64) float64 {
	return estimate * math.Exp(model.meanLogRatio)
}

// normalSurvival is the survival function of the standard normal distribution (49).
func normalSurvival(z float64) float64 { return math.Erfc(z/math.Sqrt2) / 2 }

// RemainingSeconds is the expected rest of a run, given its age (50), (51); +Inf if there
// is no estimate.
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
	if denominator < minSurvival {
		return age * sigma / max(standardized, 1) // the asymptote of the far tail
	}
	return max(mean*numerator/denominator-age, 0)
}

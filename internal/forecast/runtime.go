package forecast

import "math"

// RunTimeModel predicts the run times of tasks of one class from the logarithm of the ratio of actual
// to estimated run times, called the log ratio (paper, appendix A). Times are in seconds.
type RunTimeModel struct {
	count                             int
	meanLogRatio, meanSquaredLogRatio float64
}

const (
	// minSigma is the minimum standard deviation of the log ratio (45). initialSigma is the standard
	// deviation for a class with fewer than two observations: users' estimates are often wrong by half.
	minSigma     = 0.25
	initialSigma = 0.5
	// maxRestoredMean and maxRestoredMeanSquare are exclusive bounds on the moments that Restore accepts.
	maxRestoredMean       = 20
	maxRestoredMeanSquare = 1000
	// minSurvival is the survival probability below which the ratio in (50) has no significant digits
	// left.
	minSurvival = 1e-12
)

// Statistics returns the number of observations and the first and second moments of the log ratio, to
// be given to the next leader's Restore.
func (model *RunTimeModel) Statistics() (count int, mean, meanSquare float64) {
	return model.count, model.meanLogRatio, model.meanSquaredLogRatio
}

// Restore adopts another leader's statistics, unless the model already has observations. It ignores
// moments that are impossible or out of bounds: a mean square cannot be below the square of the mean.
func (model *RunTimeModel) Restore(count int, mean, meanSquare float64) {
	if model.count == 0 && count > 0 && !math.IsNaN(mean) && math.Abs(mean) < maxRestoredMean && meanSquare >= mean*mean*(1-1e-9) && meanSquare < maxRestoredMeanSquare {
		model.count, model.meanLogRatio, model.meanSquaredLogRatio = count, mean, meanSquare
	}
}

// Observe records the estimated and the actual run time of a completed task (41)-(43). smoothing is the
// smoothing factor of the moving averages. A run without an estimate is ignored.
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

// sigma returns the standard deviation of the log ratio (45).
func (model *RunTimeModel) sigma() float64 {
	if model.count < 2 {
		return initialSigma
	}
	return math.Sqrt(max(minSigma*minSigma, model.meanSquaredLogRatio-model.meanLogRatio*model.meanLogRatio))
}

// PredictedSeconds returns the predicted run time of a waiting task, which is the median (46).
func (model *RunTimeModel) PredictedSeconds(estimate float64) float64 {
	return estimate * math.Exp(model.meanLogRatio)
}

// normalSurvival returns the survival function of the standard normal distribution at z (49).
func normalSurvival(z float64) float64 { return math.Erfc(z/math.Sqrt2) / 2 }

// RemainingSeconds returns the expected remaining run time of a task that has run for age seconds (50),
// (51), or +Inf if there is no estimate.
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
		return age * sigma / max(standardized, 1) // the asymptotic value far in the tail
	}
	return max(mean*numerator/denominator-age, 0)
}

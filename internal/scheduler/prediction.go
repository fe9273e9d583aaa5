package scheduler

import (
	"math"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
)

// remainingSeconds predicts how long a placement will still run, in seconds; it returns +Inf for a
// service. It caches the prediction in the placement for forecastTTL.
func (scheduler *Scheduler) remainingSeconds(placement *allocation.Placement, now clock.Micros) float64 {
	if placement.Job.IsService() {
		return math.Inf(1)
	}
	if placement.IsStopping() {
		return stopSeconds
	}
	if placement.ForecastMadeAt != 0 && now-placement.ForecastMadeAt < forecastTTL && placement.ForecastEndAt > now {
		return (placement.ForecastEndAt - now).Seconds()
	}
	seconds := scheduler.estimateRemainingSeconds(placement, now)
	placement.ForecastEndAt, placement.ForecastMadeAt = now+clock.FromSeconds(seconds), now
	return seconds
}

// forecastTTL is how long a cached prediction is reused. Thousands of tasks run at a time, and the
// prediction for one of them changes little within a second.
const forecastTTL = 1 * clock.Second

// maxRemainingSeconds is the longest predicted remaining run that RemainingRun treats as finite.
const maxRemainingSeconds = 1e6

// outlivedFactor is how many times its predicted run time a task may run until the model's expectation of its rest no longer
// counts. Where the run times of a class vary little, that expectation stays below a boot time for many times the prediction.
const outlivedFactor = 4

// estimateRemainingSeconds computes the prediction for a placement (50). If the task has not
// started, it is the time of the image fetch plus the part of the predicted run time that is not
// covered by the checkpoint. A task that has outlived its prediction is expected to run for as long again as it has run.
func (scheduler *Scheduler) estimateRemainingSeconds(placement *allocation.Placement, now clock.Micros) float64 {
	job := placement.Job
	savedSeconds := job.Tasks[placement.TaskIndex].CheckpointedSeconds
	if job.IsGang() {
		savedSeconds = job.CheckpointedSeconds
	}
	if placement.StartedAt == 0 {
		return scheduler.imageFetchSeconds(job, placement.Machine.Type) + max(scheduler.predictedRunSeconds(job)-savedSeconds, 0)
	}
	elapsed := savedSeconds
	if placement.RunningAt != 0 {
		elapsed += (now - placement.RunningAt).Seconds()
	}
	remaining := scheduler.RunTimeModel(job.Spec.Class).RemainingSeconds(job.Spec.EstimatedRunSeconds, elapsed)
	if elapsed > outlivedFactor*scheduler.predictedRunSeconds(job) {
		return max(remaining, elapsed)
	}
	return remaining
}

// elapsedSeconds is how long ago, in seconds, a placement was made. An adopted placement was made
// by an earlier leader at an unknown time; half of its predicted run time is added, as the part
// that is assumed to have passed before the adoption.
func (scheduler *Scheduler) elapsedSeconds(placement *allocation.Placement, now clock.Micros) float64 {
	elapsed := (now - placement.CreatedAt).Seconds()
	if placement.Adopted && !placement.Job.IsService() {
		elapsed += scheduler.predictedRunSeconds(placement.Job) / 2
	}
	return elapsed
}

// predictedRunSeconds predicts the run time of one task of a job, in seconds (46).
func (scheduler *Scheduler) predictedRunSeconds(job *allocation.Job) float64 {
	return scheduler.RunTimeModel(job.Spec.Class).PredictedSeconds(job.Spec.EstimatedRunSeconds)
}

// imageFetchSeconds is how long, in seconds, a machine of a type takes to fetch a job's image.
func (scheduler *Scheduler) imageFetchSeconds(job *allocation.Job, typeName string) float64 {
	if machineType, ok := scheduler.MachineTypes[typeName]; ok && machineType.FetchGBPerSecond > 0 {
		return job.Spec.ImageSizeGB / machineType.FetchGBPerSecond
	}
	return 0
}

// RemainingRun predicts how long a placement will still run. It returns math.MaxInt64 for services
// and for predictions above maxRemainingSeconds.
func (scheduler *Scheduler) RemainingRun(placement *allocation.Placement, now clock.Micros) clock.Micros {
	seconds := scheduler.remainingSeconds(placement, now)
	if math.IsInf(seconds, 1) || seconds > maxRemainingSeconds {
		return math.MaxInt64
	}
	return clock.FromSeconds(seconds)
}

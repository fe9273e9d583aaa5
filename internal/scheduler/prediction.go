package scheduler

import (
	"math"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
)

// remainingSeconds predicts the rest of a placement's run, in seconds; +Inf for a service.
// The placement keeps the forecast for the forecast's TTL.
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

// forecastTTL is how long a forecast is used again. Thousands of tasks run at a time, and
// the forecast of one changes little within a second.
const forecastTTL = 1 * clock.Second

// maxRemainingSeconds is the longest predicted run that counts as bounded.
const maxRemainingSeconds = 1e6

// estimateRemainingSeconds makes the forecast (50): of a placement that has not started, its
// image fetch and what is left after its checkpoint.
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
	return scheduler.RunTimeModel(job.Spec.Class).RemainingSeconds(job.Spec.EstimatedRunSeconds, elapsed)
}

// elapsedSeconds is how long ago, in seconds, a placement was made. An adopted one was made
// by an earlier leader, at an unknown time: half of its predicted run is taken to have
// passed before.
func (scheduler *Scheduler) elapsedSeconds(placement *allocation.Placement, now clock.Micros) float64 {
	elapsed := (now - placement.CreatedAt).Seconds()
	if placement.Adopted && !placement.Job.IsService() {
		elapsed += scheduler.predictedRunSeconds(placement.Job) / 2
	}
	return elapsed
}

// predictedRunSeconds predicts how long a task of a job runs (46).
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

// RemainingRun predicts how long a placement will still run; math.MaxInt64 if that has no
// bound.
func (scheduler *Scheduler) RemainingRun(placement *allocation.Placement, now clock.Micros) clock.Micros {
	seconds := scheduler.remainingSeconds(placement, now)
	if math.IsInf(seconds, 1) || seconds > maxRemainingSeconds {
		return math.MaxInt64
	}
	return clock.FromSeconds(seconds)
}

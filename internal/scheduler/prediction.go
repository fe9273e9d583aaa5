package scheduler

import (
	"math"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
)

// remainingSeconds predicts the rest of a placement's run, in seconds.
func (scheduler *Scheduler) remainingSeconds(placement *allocation.Placement, now clock.Micros) float64 {
	if placement.Job.IsService() {
		return math.Inf(1)
	}
	if placement.IsStopping() {
		return 0.5
	}
	if placement.ForecastMadeAt != 0 && now-placement.ForecastMadeAt < forecastTTL && placement.ForecastEndAt > now {
		return (placement.ForecastEndAt - now).Seconds()
	}
	seconds := scheduler.estimateRemainingSeconds(placement, now)
	placement.ForecastEndAt, placement.ForecastMadeAt = now+clock.FromSeconds(seconds), now
	return seconds
}

// forecastTTL is how long a forecast is good for. Thousands of tasks run at a
// time, and what is known of one changes little within a second.
const forecastTTL = 1 * clock.Second

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

// elapsedSeconds is for how long, in seconds, a placement has had its place. One that an earlier
// leader began was found at any time of its run: in the mean half of it is over.
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

// RemainingRun predicts how long a placement will still run.
func (scheduler *Scheduler) RemainingRun(placement *allocation.Placement, now clock.Micros) clock.Micros {
	seconds := scheduler.remainingSeconds(placement, now)
	if math.IsInf(seconds, 1) || seconds > 1e6 {
		return math.MaxInt64
	}
	return clock.FromSeconds(seconds)
}

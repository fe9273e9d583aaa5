package scheduler

import (
	"math"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
)

// activeArraySpotWaitFactor is how many times SpotWaitTimeout a task of an array waits for a spot machine while other tasks
// of the array run: their ends make room for it.
const activeArraySpotWaitFactor = 4

// countPastSpotWait counts the ready tasks of a job for which on-demand machines may be requested, because the job may not use
// spot machines or because they have waited for one long enough. Other jobs than those that mayWaitForSpot do not wait; the
// count is then math.MaxInt.
func (cycle *schedulingCycle) countPastSpotWait(queued *queuedJob) int {
	if !mayWaitForSpot(queued) {
		return math.MaxInt
	}
	limit := cycle.spotWaitLimit(queued.job)
	count := 0
	for _, taskIndex := range queued.readyTasks {
		if cycle.waitOf(queued.job, taskIndex) >= limit {
			count++
		}
	}
	return count
}

// mayWaitForSpot reports whether tasks of a job wait for a spot machine for a time. Critical jobs do not wait, nor does a
// gang, since all its machines would have to become available within that time.
func mayWaitForSpot(queued *queuedJob) bool {
	return queued.job.Spec.AllowsSpot && !queued.job.IsGang() && queued.urgency != critical
}

// spotWaitLimit returns how long each task of a job waits for a spot machine.
func (cycle *schedulingCycle) spotWaitLimit(job *allocation.Job) clock.Micros {
	limit := cycle.scheduler.Settings.SpotWaitTimeout
	if !job.IsService() && job.ActiveCount()+job.UnconfirmedCount() > 0 {
		limit *= activeArraySpotWaitFactor
	}
	return limit
}

// waitOf returns how long a task has waited: since its last placement ended, if this leader has seen that, and otherwise since
// its job could start. So a change of leader doesn't begin the wait anew.
func (cycle *schedulingCycle) waitOf(job *allocation.Job, taskIndex int) clock.Micros {
	if waitsSince := job.Tasks[taskIndex].WaitsSince; waitsSince != 0 {
		return cycle.now - waitsSince
	}
	return cycle.wallNow - job.ReleasedAt
}

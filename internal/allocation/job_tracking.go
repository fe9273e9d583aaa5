package allocation

import (
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// AddJob adds an accepted job. Tasks whose completion is durable are done. Before FinishRecovery,
// the other tasks of a job with recorded starts are unconfirmed if they may have been started.
//
// releasedAt is a wall-clock time; now is a time of the monotonic clock. isDurable reports whether the
// completion of the task with an index is durable; if it is nil, no task is done.
func (tracker *Tracker) AddJob(spec *wire.Job, releasedAt, now clock.Micros, startsRecorded bool, isDurable func(int) bool) *Job {
	job := &Job{
		Spec: spec, Request: NewRequest(spec.CPUs, spec.GPUs, spec.MemoryGB),
		Priority: wire.PriorityIndex(spec.Priority), StartsRecorded: startsRecorded,
		Tasks:      make([]Task, spec.TaskCount),
		JobTimes:   JobTimes{ReleasedAt: releasedAt, AddedAt: now},
		jobKind:    jobKind{isGang: spec.Kind == wire.KindGang, isService: spec.Kind == wire.KindService},
		taskCounts: taskCounts{waitingCount: spec.TaskCount, placementCountByZone: map[string]int{}},
	}
	job.Request.ReportBytes = taskReportBytes(spec)
	tracker.Jobs[spec.ID] = job
	mayHaveStarted := tracker.unconfirmedFilter(job, func(i int) bool { return tracker.cfg.MayHaveStarted(wire.TaskID(spec.ID, i)) })
	for i := range job.Tasks {
		task := &job.Tasks[i]
		if isDurable != nil && isDurable(i) {
			task.State, task.CompletionDurable = TaskDone, true
			job.doneCount++
			job.durableCount++
			job.waitingCount--
		} else if startsRecorded && !tracker.isRecovered && mayHaveStarted(i) {
			task.Unconfirmed = true
			job.unconfirmedCount++
		}
	}
	tracker.addUnconfirmedUsage(job, job.unconfirmedCount)
	tracker.publishUnconfirmed(job)
	return job
}

// SetDependencyState records what is known of the jobs that a job depends on. If a dependency is unmet, it
// stops the job's tasks without grace; those that are listed later are stopped when they are adopted.
func (tracker *Tracker) SetDependencyState(job *Job, state DependencyState) {
	job.Dependencies = state
	if state == DependenciesUnmet {
		tracker.StopJob(job, 0)
	}
}

// Cancel records the durable cancellation of a job, and stops its tasks without grace. If the
// cancellation was confirmed before now, the caller corrects CancelledAt afterwards.
func (tracker *Tracker) Cancel(job *Job, now clock.Micros) {
	if job.Cancelled {
		return
	}
	job.Cancelled = true
	job.CancelledAt = now
	tracker.stopPlacements(job, 0)
}

// IsVacated reports whether none of the job's tasks is, or may be, on any machine.
func (tracker *Tracker) IsVacated(job *Job) bool {
	return job.activeCount == 0 && job.unconfirmedCount == 0
}

// RemoveJob removes a job that is over, if none of its tasks is, or may be, on any machine.
func (tracker *Tracker) RemoveJob(job *Job) {
	if tracker.IsVacated(job) {
		tracker.publishDeferred(job, publishAll)
		delete(tracker.Jobs, job.Spec.ID)
	}
}

// clearUnconfirmed records that this leader now knows whether an earlier leader's start of a task is
// on some machine, and on which.
func (tracker *Tracker) clearUnconfirmed(job *Job, taskIndex int) {
	task := &job.Tasks[taskIndex]
	if !task.Unconfirmed {
		return
	}
	task.Unconfirmed = false
	job.unconfirmedCount--
	if task.Placement == nil {
		tracker.addUnconfirmedUsage(job, -1)
	}
	tracker.publishResolved(job, taskIndex)
}

// addUnconfirmedUsage adds unconfirmed tasks to the usage of a job's team, or subtracts them if
// taskCount is negative. It applies to tasks without a placement: if an unconfirmed task has one, its
// usage is counted with the placement only.
func (tracker *Tracker) addUnconfirmedUsage(job *Job, taskCount int) {
	addUsage(tracker.unconfirmedUsage, job.Spec.Team, job.Request.Times(taskCount))
}

// recordCompletion records that a task has completed. The tasks of a gang complete together: if one
// is done, all are (PROTOCOL, gangs).
func (tracker *Tracker) recordCompletion(job *Job, taskIndex int) {
	if job.IsGang() {
		for index := range job.Tasks {
			tracker.completeTask(job, index)
		}
		return
	}
	tracker.completeTask(job, taskIndex)
}

// completeTask records the completion of one task, unless it is recorded already.
func (tracker *Tracker) completeTask(job *Job, taskIndex int) {
	task := &job.Tasks[taskIndex]
	if task.State != TaskDone {
		if task.State == TaskWaiting {
			job.waitingCount--
		}
		task.State = TaskDone
		job.doneCount++
	}
	tracker.clearUnconfirmed(job, taskIndex)
}

// MarkCompletionsDurable records that the completions of tasks are in the key-value store.
func (tracker *Tracker) MarkCompletionsDurable(job *Job, taskIndices []int) {
	for _, i := range taskIndices {
		if task := &job.Tasks[i]; task.State == TaskDone && !task.CompletionDurable {
			task.CompletionDurable = true
			job.durableCount++
		}
	}
	tracker.publishDeferred(job, publishDurable)
}

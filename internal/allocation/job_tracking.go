package allocation

import (
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// AddJob takes an accepted job. Before Settle, a marked job's tasks are in
// doubt, unless their completion is durable.
func (tracker *Tracker) AddJob(spec *wire.Job, releasedAt, now clock.Micros, startsRecorded bool, isDurable func(int) bool) *Job {
	job := &Job{
		Spec: spec, Request: NewResources(spec.CPUs, spec.GPUs, spec.MemoryGB),
		Priority: wire.PriorityIndex(spec.Priority), StartsRecorded: startsRecorded,
		Tasks:      make([]Task, spec.TaskCount),
		JobTimes:   JobTimes{ReleasedAt: releasedAt, AddedAt: now},
		jobKind:    jobKind{isGang: spec.Kind == wire.KindGang, isService: spec.Kind == wire.KindService},
		taskCounts: taskCounts{waitingCount: spec.TaskCount, placementsByZone: map[string]int{}},
	}
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

// Cancel takes the durable withdrawal of a job: its tasks are to end.
func (tracker *Tracker) Cancel(job *Job, now clock.Micros) {
	if job.Cancelled {
		return
	}
	job.Cancelled = true
	job.CancelledAt = now
	tracker.stopPlacements(job, 0)
}

// IsVacated tells that no task of the job is, or may be, anywhere.
func (tracker *Tracker) IsVacated(job *Job) bool {
	return job.activeCount == 0 && job.unconfirmedCount == 0
}

// RemoveJob forgets a job that is over and gone.
func (tracker *Tracker) RemoveJob(job *Job) {
	if tracker.IsVacated(job) {
		tracker.publishHeldBackEnds(job, publishAll)
		delete(tracker.Jobs, job.Spec.ID)
	}
}

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

// addUnconfirmedUsage adds tasks to what a team may use beside its placements. A task that is in
// doubt and has a place all the same takes its share once, wherever it is.
func (tracker *Tracker) addUnconfirmedUsage(job *Job, taskCount int) {
	addUsage(tracker.unconfirmedUsage, job.Spec.Team, job.Request.Times(taskCount))
}

// recordCompletion takes the completion of a task. A gang completes as one.
func (tracker *Tracker) recordCompletion(job *Job, taskIndex int) {
	if job.IsGang() {
		for index := range job.Tasks {
			tracker.completeTask(job, index)
		}
		return
	}
	tracker.completeTask(job, taskIndex)
}

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

// MarkDurable takes the news that completions are in the state service.
func (tracker *Tracker) MarkDurable(job *Job, tasks []int) {
	for _, i := range tasks {
		if task := &job.Tasks[i]; task.State == TaskDone && !task.CompletionDurable {
			task.CompletionDurable = true
			job.durableCount++
		}
	}
	tracker.publishHeldBackEnds(job, publishDurable)
}

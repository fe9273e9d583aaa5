package allocation

import "firwood.dev/firwood/wire"

// Replicator records each placement whose start may be sent and each placement that is proved to be
// over, so that standbys can follow the allocation table (docs/standby.md).
type Replicator interface {
	// RecordStarted records a placement whose start may be sent from now on. It returns the decision
	// number of the record, which MaySendStart takes.
	RecordStarted(task string, attempt uint64, machine string) uint64
	// RecordEnded records that a placement is over. If the task completed, its completion is durable.
	RecordEnded(task string, attempt uint64, machine string)
	// RecordUnconfirmed records an unconfirmed task, or a job all of whose unfinished tasks are
	// unconfirmed.
	RecordUnconfirmed(id string)
	// RecordResolved records that a task or job is no longer unconfirmed: its tasks are recorded as
	// started, are on no machine, or are durably done.
	RecordResolved(id string)
	// MaySendStart reports whether the start with this decision number may be sent.
	MaySendStart(number uint64) bool
}

// HasIssuedAttempt reports whether NextAttempt was called, which means that a task was placed or is about
// to be.
func (tracker *Tracker) HasIssuedAttempt() bool { return tracker.attemptCounter > 0 }

// maxUnconfirmedTasksPublished is the largest number of unconfirmed tasks of a job that are always
// published one by one. If there are more, and every unfinished task of the job is unconfirmed, one entry
// for the whole job is published instead.
const maxUnconfirmedTasksPublished = 16

// publishScope selects which of a job's deferred entries are published.
type publishScope uint8

const (
	// publishDurable selects the entries of tasks whose completion is durable by now.
	publishDurable publishScope = iota
	// publishAll selects all entries, because the job is over.
	publishAll
)

// publishUnconfirmed publishes the unconfirmed tasks of a job that is being added to the tracker.
func (tracker *Tracker) publishUnconfirmed(job *Job) {
	if tracker.cfg.Replicator == nil || job.unconfirmedCount == 0 {
		return
	}
	if job.unconfirmedCount > maxUnconfirmedTasksPublished && job.unconfirmedCount == len(job.Tasks)-job.doneCount {
		job.hasWholeJobEntry = true
		tracker.cfg.Replicator.RecordUnconfirmed(job.Spec.ID)
		return
	}
	tracker.publishEachUnconfirmed(job)
}

// publishEachUnconfirmed publishes an entry for each unconfirmed task.
func (tracker *Tracker) publishEachUnconfirmed(job *Job) {
	for i := range job.Tasks {
		if job.Tasks[i].Unconfirmed {
			tracker.cfg.Replicator.RecordUnconfirmed(wire.TaskID(job.Spec.ID, i))
		}
	}
}

// publishResolved publishes that a task is no longer unconfirmed. The task's placement has to be
// published before that and, if the task is done, its completion has to be durable. Otherwise a standby
// would meanwhile take the task for one that is on no machine and has yet to run.
func (tracker *Tracker) publishResolved(job *Job, taskIndex int) {
	if tracker.cfg.Replicator == nil {
		return
	}
	task := &job.Tasks[taskIndex]
	switch {
	case job.hasWholeJobEntry:
		tracker.splitWholeJobEntry(job, publishDurable)
	case task.State == TaskDone && !task.CompletionDurable:
		job.unpublishedResolved = append(job.unpublishedResolved, taskIndex)
	default:
		tracker.cfg.Replicator.RecordResolved(wire.TaskID(job.Spec.ID, taskIndex))
	}
}

// splitWholeJobEntry replaces the entry for a whole job by entries for its unconfirmed tasks. With
// publishDurable it does so only when at most maxUnconfirmedTasksPublished tasks are unconfirmed and all
// completions are durable. With publishAll the job is over and has no unconfirmed task left.
func (tracker *Tracker) splitWholeJobEntry(job *Job, scope publishScope) {
	canSplit := job.unconfirmedCount <= maxUnconfirmedTasksPublished && job.durableCount == job.doneCount
	if !job.hasWholeJobEntry || scope == publishDurable && !canSplit {
		return
	}
	job.hasWholeJobEntry = false
	tracker.publishEachUnconfirmed(job)
	tracker.cfg.Replicator.RecordResolved(job.Spec.ID)
}

// publishStarted publishes a placement before its start may be sent.
func (tracker *Tracker) publishStarted(placement *Placement) {
	if replicator := tracker.cfg.Replicator; replicator != nil {
		placement.decisionNumber = replicator.RecordStarted(placement.taskID, placement.Attempt, placement.Machine.Name)
	}
}

// publishEnded publishes the end of a placement. If the task is done, the end is deferred until the
// completion is durable: before that, a standby would take the task for one that has yet to run.
func (tracker *Tracker) publishEnded(placement *Placement) {
	if tracker.cfg.Replicator == nil {
		return
	}
	if task := &placement.Job.Tasks[placement.TaskIndex]; task.State == TaskDone && !task.CompletionDurable {
		placement.Job.unpublishedEnds = append(placement.Job.unpublishedEnds, placement)
		return
	}
	tracker.cfg.Replicator.RecordEnded(placement.taskID, placement.Attempt, placement.Machine.Name)
}

// publishDeferred publishes the entries that were deferred until completions are durable.
func (tracker *Tracker) publishDeferred(job *Job, scope publishScope) {
	if tracker.cfg.Replicator == nil {
		return
	}
	tracker.splitWholeJobEntry(job, scope)
	tracker.publishDeferredResolved(job, scope)
	remaining := job.unpublishedEnds[:0]
	for _, placement := range job.unpublishedEnds {
		if scope == publishAll || job.Tasks[placement.TaskIndex].CompletionDurable {
			tracker.cfg.Replicator.RecordEnded(placement.taskID, placement.Attempt, placement.Machine.Name)
		} else {
			remaining = append(remaining, placement)
		}
	}
	clear(job.unpublishedEnds[len(remaining):])
	job.unpublishedEnds = remaining
}

// publishDeferredResolved publishes the resolved tasks whose entries were deferred until their
// completions are durable.
func (tracker *Tracker) publishDeferredResolved(job *Job, scope publishScope) {
	remaining := job.unpublishedResolved[:0]
	for _, i := range job.unpublishedResolved {
		if scope == publishAll || job.Tasks[i].CompletionDurable {
			tracker.cfg.Replicator.RecordResolved(wire.TaskID(job.Spec.ID, i))
		} else {
			remaining = append(remaining, i)
		}
	}
	job.unpublishedResolved = remaining
}

// unconfirmedFilter returns a function that reports whether the task with an index may have been started
// by an earlier leader. If any task of a gang may have been started, so may all tasks of the gang.
func (tracker *Tracker) unconfirmedFilter(job *Job, mayTaskHaveStarted func(i int) bool) func(i int) bool {
	if tracker.cfg.MayHaveStarted == nil {
		return func(int) bool { return true }
	}
	if !job.IsGang() {
		return mayTaskHaveStarted
	}
	mayAnyHaveStarted := false
	for i := range job.Tasks {
		mayAnyHaveStarted = mayAnyHaveStarted || mayTaskHaveStarted(i)
	}
	return func(int) bool { return mayAnyHaveStarted }
}

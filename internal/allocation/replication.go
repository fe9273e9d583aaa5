package allocation

import "firwood.dev/firwood/wire"

// Replicator is told of each placement whose start may be sent and of each that is proved to be over,
// so that standbys can follow the allocation table (docs/standby.md).
type Replicator interface {
	// RecordStarted records a placement whose start may be sent from now on. It returns the number of
	// this decision.
	RecordStarted(task string, attempt uint64, machine string) uint64
	// RecordEnded records that a placement is over, and that its completion, if any, is durable.
	RecordEnded(task string, attempt uint64, machine string)
	// RecordUnconfirmed records an unconfirmed task, or a job that is unconfirmed as a whole.
	RecordUnconfirmed(id string)
	// RecordResolved records that a task or job isn't unconfirmed any more: what it stood for was
	// recorded as started, is nowhere, or is durably done.
	RecordResolved(id string)
	// MaySendStart tells whether the start with a decision's number may be sent.
	MaySendStart(number uint64) bool
}

// HasIssuedAttempt tells whether NextAttempt was called: a task was placed, or is about to be.
func (tracker *Tracker) HasIssuedAttempt() bool { return tracker.attemptCounter > 0 }

// maxUnconfirmedTasksPublished is how many unconfirmed tasks of a job are published one by one. If
// there are more, and they are all that is left of the job, one entry for the job is published.
const maxUnconfirmedTasksPublished = 16

// publishScope selects which of a job's held back entries are published.
type publishScope uint8

const (
	// publishDurable: those whose completion is durable by now.
	publishDurable publishScope = iota
	// publishAll: all, as the job is over.
	publishAll
)

// publishUnconfirmed publishes what is unconfirmed of a job that is added.
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

// publishResolved publishes that a task isn't unconfirmed any more. Its placement has to be published
// before, and if it is done, its completion has to be durable. Otherwise a standby would, in between,
// take it for a task that is nowhere and has yet to run.
func (tracker *Tracker) publishResolved(job *Job, taskIndex int) {
	if tracker.cfg.Replicator == nil {
		return
	}
	task := &job.Tasks[taskIndex]
	switch {
	case job.hasWholeJobEntry:
		tracker.narrowUnconfirmed(job, publishDurable)
	case task.State == TaskDone && !task.CompletionDurable:
		job.unpublishedResolved = append(job.unpublishedResolved, taskIndex)
	default:
		tracker.cfg.Replicator.RecordResolved(wire.TaskID(job.Spec.ID, taskIndex))
	}
}

// narrowUnconfirmed replaces the entry of a whole job by entries of its unconfirmed tasks, once they
// are few and all completions are durable. When the job is over, no task is left.
func (tracker *Tracker) narrowUnconfirmed(job *Job, scope publishScope) {
	isNarrow := job.unconfirmedCount <= maxUnconfirmedTasksPublished && job.durableCount == job.doneCount
	if !job.hasWholeJobEntry || scope == publishDurable && !isNarrow {
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

// publishEnded publishes the end of a placement. If its task is done, it waits until the completion is
// durable: a standby would take the task for one that has yet to run.
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

// publishHeldBackEnds publishes what waited for completions to be durable.
func (tracker *Tracker) publishHeldBackEnds(job *Job, scope publishScope) {
	if tracker.cfg.Replicator == nil {
		return
	}
	tracker.narrowUnconfirmed(job, scope)
	tracker.publishHeldBackResolved(job, scope)
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

// publishHeldBackResolved publishes the resolved tasks that waited for durable completions.
func (tracker *Tracker) publishHeldBackResolved(job *Job, scope publishScope) {
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

// unconfirmedFilter returns whether an earlier leader may have started a task, by index. If it may
// have started any task of a gang, all tasks of the gang are unconfirmed.
func (tracker *Tracker) unconfirmedFilter(job *Job, mayTaskHaveStarted func(i int) bool) func(i int) bool {
	if tracker.cfg.MayHaveStarted == nil {
		return func(int) bool { return true }
	}
	if !job.IsGang() {
		return mayTaskHaveStarted
	}
	hasAnyStarted := false
	for i := range job.Tasks {
		hasAnyStarted = hasAnyStarted || mayTaskHaveStarted(i)
	}
	return func(int) bool { return hasAnyStarted }
}

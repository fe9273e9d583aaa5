package allocation

import "firwood.dev/firwood/wire"

// Replicator are told of each placement that may begin and of each that is provably over,
// so that others can follow the account.
type Replicator interface {
	// RecordStarted takes a placement that may begin from now on, and tells the decision's
	// number.
	RecordStarted(task string, attempt uint64, machine string) uint64
	// RecordEnded takes a placement that is over, and whose result, if it has one, is durable.
	RecordEnded(task string, attempt uint64, machine string)
	// RecordUnconfirmed takes a task, or a whole job, of which an earlier leader may have started
	// something somewhere.
	RecordUnconfirmed(id string)
	// RecordResolved takes the end of such a doubt: what it was about is told of as started, is
	// nowhere, or is durably done.
	RecordResolved(id string)
	// MaySendStart tells whether the start that has a decision's number may be sent.
	MaySendStart(number uint64) bool
}

// HasIssuedAttempt tells whether a task has been placed, or is about to be.
func (tracker *Tracker) HasIssuedAttempt() bool { return tracker.attemptCounter > 0 }

// maxUnconfirmedTasksPublished is how many doubts of one job are told one by one. More are told as one of
// the whole job, where all that is left of it is in doubt.
const maxUnconfirmedTasksPublished = 16

// publishScope is which of a job's held back ends are published.
type publishScope uint8

const (
	// publishDurable: those whose completion is durable by now.
	publishDurable publishScope = iota
	// publishAll: all, as the job is over.
	publishAll
)

// publishUnconfirmed tells of what is in doubt of a job that the account begins with.
func (tracker *Tracker) publishUnconfirmed(job *Job) {
	if tracker.cfg.Replicator == nil || job.unconfirmedCount == 0 {
		return
	}
	if job.unconfirmedCount > maxUnconfirmedTasksPublished && job.unconfirmedCount == len(job.Tasks)-job.doneCount {
		job.isWhollyUnconfirmed = true
		tracker.cfg.Replicator.RecordUnconfirmed(job.Spec.ID)
		return
	}
	tracker.publishEachUnconfirmed(job)
}

func (tracker *Tracker) publishEachUnconfirmed(job *Job) {
	for i := range job.Tasks {
		if job.Tasks[i].Unconfirmed {
			tracker.cfg.Replicator.RecordUnconfirmed(wire.TaskID(job.Spec.ID, i))
		}
	}
}

// publishResolved tells that a task is in doubt no more. Whatever it was placed on has to be
// told before, and if it is done, its completion has to be durable: else a follower would
// take it, in between, for a task that is nowhere and has yet to run.
func (tracker *Tracker) publishResolved(job *Job, taskIndex int) {
	if tracker.cfg.Replicator == nil {
		return
	}
	task := &job.Tasks[taskIndex]
	switch {
	case job.isWhollyUnconfirmed:
		tracker.narrowUnconfirmed(job, publishDurable)
	case task.State == TaskDone && !task.CompletionDurable:
		job.unpublishedResolved = append(job.unpublishedResolved, taskIndex)
	default:
		tracker.cfg.Replicator.RecordResolved(wire.TaskID(job.Spec.ID, taskIndex))
	}
}

// narrowUnconfirmed replaces the doubt of a whole job by those of its last tasks, once they are
// few and all that is done is durable. Of a job that is over nothing is left.
func (tracker *Tracker) narrowUnconfirmed(job *Job, scope publishScope) {
	isNarrow := job.unconfirmedCount <= maxUnconfirmedTasksPublished && job.durableCount == job.doneCount
	if !job.isWhollyUnconfirmed || scope == publishDurable && !isNarrow {
		return
	}
	job.isWhollyUnconfirmed = false
	tracker.publishEachUnconfirmed(job)
	tracker.cfg.Replicator.RecordResolved(job.Spec.ID)
}

func (tracker *Tracker) publishStarted(placement *Placement) {
	if d := tracker.cfg.Replicator; d != nil {
		placement.decisionNumber = d.RecordStarted(placement.taskID, placement.Attempt, placement.Machine.Name)
	}
}

// publishEnded tells of an end. That of a completed task waits until the completion is
// durable: who follows the account would take the task for one that has yet to run.
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

// publishHeldBackEnds tells of the ends that have waited for their completions to be durable;
// of a job that is over, of all.
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

// unconfirmedFilter tells whether an earlier leader may have started a task. A gang whose tasks are
// not all known to be nowhere is in doubt as a whole.
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

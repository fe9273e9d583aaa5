package allocation

import (
	"fmt"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// TaskState is the state of a task within its job.
type TaskState uint8

// States of a task.
const (
	TaskWaiting TaskState = iota // neither placed nor done
	TaskPlaced                   // it has a placement
	TaskDone                     // it has completed
)

// String returns the name that log lines and test messages use.
func (state TaskState) String() string {
	switch state {
	case TaskWaiting:
		return "waiting"
	case TaskPlaced:
		return "placed"
	case TaskDone:
		return "done"
	}
	return fmt.Sprintf("TaskState(%d)", uint8(state))
}

// Task is one task of a job.
type Task struct {
	State TaskState
	// Unconfirmed tells whether an earlier leader may have started it somewhere (invariant 4). It
	// may have a placement all the same, from a heartbeat that may be a late copy.
	Unconfirmed bool
	// CompletionDurable tells whether its completion is in the key-value store.
	CompletionDurable bool
	FailureCount      uint8      // exits with an error, at most 255
	Placement         *Placement // nil if there is none; orphans aren't set here
	// RetryAt is when the backoff of a failed task ends, 0 if it has none. The scheduler places it
	// no sooner; PlaceTask doesn't check it.
	RetryAt clock.Micros
	// CheckpointedSeconds is how many seconds of its run are safe in a checkpoint, as far as
	// this leader has seen. Only forecasts use it.
	CheckpointedSeconds float64
}

// Job is an accepted job that isn't over, or isn't vacated. Its fields are grouped by concern.
type Job struct {
	Spec     *wire.Job
	Request  Resources // of one task
	Priority int       // see wire.PriorityIndex; its own or a dependent's
	Tasks    []Task
	JobTimes
	JobCancellation
	GangState
	JobFailures
	jobKind
	taskCounts
	unpublishedState

	// StartsRecorded tells whether the key-value store records that tasks of it may have been
	// started. None is placed before.
	StartsRecorded bool
	// StartedByAging tells whether it was started because it had waited too long.
	StartedByAging bool
	// StartedCount is the number of present placements that were seen with their image.
	StartedCount int
	// CheckpointedSeconds is the largest of its tasks' CheckpointedSeconds; a gang's tasks share it.
	CheckpointedSeconds float64
}

// JobTimes are the instants that a job's waits and its lateness are measured from.
type JobTimes struct {
	// ReleasedAt is the time of day from which its wait counts: its submission, or the end of the
	// last of its dependencies.
	ReleasedAt clock.Micros
	// Deadline is the time of day by which it should be done, for its own or its dependents'
	// deadline. 0 means that there is none.
	Deadline     clock.Micros
	AddedAt      clock.Micros // steady clock, when this leader first knew of it
	FirstStartAt clock.Micros // steady clock, 0 before
}

// JobCancellation tells whether a job is cancelled, and since when.
type JobCancellation struct {
	Cancelled bool
	// CancelledAt is an instant of the steady clock. Cancel sets it to its own time; the controller
	// then moves it back to the end in the job's record, which this leader may have read late. The
	// time that the job's tasks have to end runs from there (PROTOCOL, cancel_s).
	CancelledAt clock.Micros
}

// GangState is the state of a gang's attempt. It is zero between attempts, and for other jobs.
type GangState struct {
	GangAttempt  uint64 // 0 if the gang has no placement, orphans included
	GangAborting bool   // all its tasks are being stopped
	GangStarted  bool   // a task was seen running, so all have started together
}

// JobFailures counts exits with an error, and restarts.
type JobFailures struct {
	FailuresByMachine map[string]int // by machine name; nil before the first
	FailureCount      int
	RestartCount      int // kept by the controller
}

// jobKind caches comparisons of the spec's kind.
type jobKind struct{ isGang, isService bool }

// taskCounts sum up the states of a job's tasks.
type taskCounts struct {
	unconfirmedCount     int
	doneCount            int
	durableCount         int            // done, and the completion is durable
	activeCount          int            // placements, orphans included
	waitingCount         int            // neither placed nor done
	placementCountByZone map[string]int // orphans included
}

// unpublishedState is what standbys still have to be told of a job, see Replicator.
type unpublishedState struct {
	// unpublishedEnds are ended placements whose completion isn't durable yet.
	unpublishedEnds []*Placement
	// hasWholeJobEntry tells whether one entry for the whole job was published, instead of one
	// for each unconfirmed task.
	hasWholeJobEntry bool
	// unpublishedResolved are tasks that aren't unconfirmed any more, but whose completion isn't
	// durable yet.
	unpublishedResolved []int
}

// IsGang tells whether the job's tasks run together.
func (job *Job) IsGang() bool { return job.isGang }

// IsService tells whether the job runs until it is cancelled.
func (job *Job) IsService() bool { return job.isService }

// DoneCount returns the number of completed tasks.
func (job *Job) DoneCount() int { return job.doneCount }

// WaitingCount returns the number of tasks that are neither placed nor done.
func (job *Job) WaitingCount() int { return job.waitingCount }

// ActiveCount returns the number of placements. Unconfirmed tasks without one aren't included.
func (job *Job) ActiveCount() int { return job.activeCount }

// UnconfirmedCount returns the number of unconfirmed tasks.
func (job *Job) UnconfirmedCount() int { return job.unconfirmedCount }

// ForEachPlacement calls visit for every task's placement, orphans left out.
func (job *Job) ForEachPlacement(visit func(*Placement)) {
	for i := range job.Tasks {
		if placement := job.Tasks[i].Placement; placement != nil {
			visit(placement)
		}
	}
}

// IsComplete tells whether every task is done.
func (job *Job) IsComplete() bool { return job.doneCount == len(job.Tasks) }

// CountInZone returns how many of the job's tasks are, or may be, in a zone.
func (job *Job) CountInZone(zone string) int {
	return job.placementCountByZone[zone] + job.unconfirmedCount
}

// OccupiedZone returns a zone that has a placement of the job, if there is one. Of several zones it
// may return any; unconfirmed tasks without a placement aren't considered.
func (job *Job) OccupiedZone() (string, bool) {
	for zone, placementCount := range job.placementCountByZone {
		if placementCount > 0 {
			return zone, true
		}
	}
	return "", false
}

// MaxTasksPerZone returns how many tasks of a job that spreads over zones may be in one zone.
func (job *Job) MaxTasksPerZone() int { return (len(job.Tasks) + 1) / 2 }

// NeedsPersisting tells whether the job has something to write or to clean up: a completion is not
// in the key-value store yet, or all tasks are done.
func (job *Job) NeedsPersisting() bool {
	return job.durableCount != job.doneCount || job.doneCount == len(job.Tasks)
}

// UnpersistedCompletions returns the indices of done tasks whose completion isn't durable yet.
func (job *Job) UnpersistedCompletions() []int {
	if job.durableCount == job.doneCount {
		return nil
	}
	var taskIndices []int
	for i := range job.Tasks {
		if job.Tasks[i].State == TaskDone && !job.Tasks[i].CompletionDurable {
			taskIndices = append(taskIndices, i)
		}
	}
	return taskIndices
}

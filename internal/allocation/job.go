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
	TaskPlaced                   // has a placement and isn't done
	TaskDone                     // has completed
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
	// Unconfirmed is true if an earlier leader may have started the task somewhere (invariant 4).
	// An unconfirmed task may have a placement, from a heartbeat that may be a late copy.
	Unconfirmed bool
	// CompletionDurable is true if the task's completion is in the key-value store.
	CompletionDurable bool
	FailureCount      uint8      // number of exits with an error, at most 255
	Placement         *Placement // the task's placement, or nil; never an orphan
	// RetryAt is when the backoff after a failure ends, or 0 if there is no backoff. The scheduler
	// doesn't place the task before; PlaceTask doesn't check it.
	RetryAt clock.Micros
	// WaitsSince is when the task's last placement ended, on the monotonic clock, or 0 if the task has had none under
	// this leader.
	WaitsSince clock.Micros
	// CheckpointedSeconds is how many seconds of the task's run its checkpoints cover, as far as this
	// leader has seen. Only forecasts use it.
	CheckpointedSeconds float64
}

// DependencyState is what the leader knows of the jobs that a job depends on.
type DependencyState uint8

// States of a job's dependencies.
const (
	// DependenciesDone means that all of them are done, or that there are none. Only then are the job's tasks
	// started, and only then does its end become durable.
	DependenciesDone DependencyState = iota
	// DependenciesUnknown means that of some dependency no record has been read yet, and that all others are
	// done. An earlier leader knew the record if it has started the job, so tasks that run stay.
	DependenciesUnknown
	// DependenciesUnmet means that a dependency has not ended or is cancelled. A version that knows no
	// dependencies may have started the job's tasks; they have to stop.
	DependenciesUnmet
)

// String returns the name that log lines and test messages use.
func (state DependencyState) String() string {
	switch state {
	case DependenciesDone:
		return "done"
	case DependenciesUnknown:
		return "unknown"
	case DependenciesUnmet:
		return "unmet"
	}
	return fmt.Sprintf("DependencyState(%d)", uint8(state))
}

// Job is an accepted job that isn't over, or that may still have tasks on machines. Its fields are
// grouped by concern.
type Job struct {
	Spec     *wire.Job
	Request  Resources // of one task
	Priority int       // index from wire.PriorityIndex, of the job's own priority or a dependent job's
	Tasks    []Task
	JobTimes
	JobCancellation
	GangState
	JobFailures
	jobKind
	taskCounts
	publicationState

	// StartsRecorded is true if the key-value store records that tasks of the job may have been
	// started. No task is placed before that.
	StartsRecorded bool
	// Dependencies is the state of the job's dependencies. Tracker.SetDependencyState changes it.
	Dependencies DependencyState
	// StartedByAging is true if the job was started because it had waited too long.
	StartedByAging bool
	// StartedCount is the number of current placements whose task a worker has listed with its image
	// fetched.
	StartedCount int
	// CheckpointedSeconds is the largest CheckpointedSeconds of the job's tasks. The tasks of a gang
	// share it.
	CheckpointedSeconds float64
}

// JobTimes holds the times from which a job's waits and its lateness are measured.
type JobTimes struct {
	// ReleasedAt is the wall-clock time from which the job's wait counts: its submission, or the end of
	// the last of its dependencies.
	ReleasedAt clock.Micros
	// Deadline is the wall-clock time by which the job should be done, for its own deadline or for that
	// of a dependent job. It is 0 if there is no deadline.
	Deadline     clock.Micros
	AddedAt      clock.Micros // when this leader first learned of the job, on the monotonic clock
	FirstStartAt clock.Micros // when the first task started, on the monotonic clock; 0 before
}

// JobCancellation holds whether a job is cancelled, and since when.
type JobCancellation struct {
	Cancelled bool
	// CancelledAt is the time of the cancellation on the monotonic clock. Cancel sets it to the time of
	// its call; the controller then moves it back to the end time in the job's record, which this leader may
	// have read late. The cancellation timeout, within which the job's tasks have to end, counts from
	// CancelledAt (PROTOCOL, cancel_s).
	CancelledAt clock.Micros
}

// GangState is the state of a gang's attempt. It is zero between attempts, and for other jobs.
type GangState struct {
	GangAttempt  uint64 // attempt of the gang, or 0 if it has no placement, not even an orphan
	GangAborting bool   // all tasks of the attempt are being stopped
	GangStarted  bool   // a worker listed a task as running, so all tasks have started together
}

// JobFailures counts a job's exits with an error and its restarts.
type JobFailures struct {
	FailuresByMachine map[string]int // exits with an error by machine name; nil before the first
	FailureCount      int            // exits with an error
	RestartCount      int            // restarts, counted by the controller
}

// jobKind caches whether the spec's kind is a gang or a service.
type jobKind struct{ isGang, isService bool }

// taskCounts holds the numbers of a job's tasks and placements by state.
type taskCounts struct {
	unconfirmedCount     int            // tasks that are unconfirmed
	doneCount            int            // tasks that are done
	durableCount         int            // tasks that are done and whose completion is durable
	activeCount          int            // placements, orphans included
	waitingCount         int            // tasks that are neither placed nor done
	placementCountByZone map[string]int // placements by zone, orphans included
}

// publicationState holds what the Replicator has of a job's unconfirmed tasks, and which entries it gets
// only once a completion is durable.
type publicationState struct {
	// unpublishedEnds are the ended placements whose completion isn't durable yet.
	unpublishedEnds []*Placement
	// hasWholeJobEntry is true if one entry for the whole job was published instead of one for
	// each unconfirmed task.
	hasWholeJobEntry bool
	// unpublishedResolved are the indices of tasks that are no longer unconfirmed, but whose completion
	// isn't durable yet.
	unpublishedResolved []int
}

// IsGang reports whether the job's tasks run together.
func (job *Job) IsGang() bool { return job.isGang }

// IsService reports whether the job runs until it is cancelled.
func (job *Job) IsService() bool { return job.isService }

// DoneCount returns the number of completed tasks.
func (job *Job) DoneCount() int { return job.doneCount }

// WaitingCount returns the number of tasks that are neither placed nor done.
func (job *Job) WaitingCount() int { return job.waitingCount }

// ActiveCount returns the number of placements, orphans included. It leaves out unconfirmed tasks
// without a placement.
func (job *Job) ActiveCount() int { return job.activeCount }

// UnconfirmedCount returns the number of unconfirmed tasks.
func (job *Job) UnconfirmedCount() int { return job.unconfirmedCount }

// ForEachPlacement calls visit for the placement of each task that has one. It leaves out orphans.
func (job *Job) ForEachPlacement(visit func(*Placement)) {
	for i := range job.Tasks {
		if placement := job.Tasks[i].Placement; placement != nil {
			visit(placement)
		}
	}
}

// IsComplete reports whether every task is done.
func (job *Job) IsComplete() bool { return job.doneCount == len(job.Tasks) }

// CountInZone returns how many of the job's tasks are, or may be, in a zone. Unconfirmed tasks count
// in every zone.
func (job *Job) CountInZone(zone string) int {
	return job.placementCountByZone[zone] + job.unconfirmedCount
}

// OccupiedZone returns a zone with a placement of the job, and whether there is one. If several zones
// have placements, it returns any of them. It ignores unconfirmed tasks without a placement.
func (job *Job) OccupiedZone() (string, bool) {
	for zone, placementCount := range job.placementCountByZone {
		if placementCount > 0 {
			return zone, true
		}
	}
	return "", false
}

// MaxTasksPerZone returns how many tasks may be in one zone if the job spreads over zones.
func (job *Job) MaxTasksPerZone() int { return (len(job.Tasks) + 1) / 2 }

// IsReleased reports whether the job may start and end: all of its dependencies are done.
func (job *Job) IsReleased() bool { return job.Dependencies == DependenciesDone }

// HasUnpersistedCompletions reports whether a task is done whose completion isn't durable yet.
func (job *Job) HasUnpersistedCompletions() bool { return job.durableCount != job.doneCount }

// NeedsPersisting reports whether the job has something to write or to clean up: a completion is not
// in the key-value store yet, or all tasks are done.
func (job *Job) NeedsPersisting() bool {
	return job.HasUnpersistedCompletions() || job.doneCount == len(job.Tasks)
}

// UnpersistedCompletions returns the indices of done tasks whose completion isn't durable yet.
func (job *Job) UnpersistedCompletions() []int {
	if !job.HasUnpersistedCompletions() {
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

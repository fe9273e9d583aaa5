package allocation

import (
	"fmt"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// TaskState is where a task stands.
type TaskState uint8

// States of a task.
const (
	TaskWaiting TaskState = iota
	TaskPlaced
	TaskDone
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
	// Unconfirmed: an earlier leader may have started it somewhere. It may have a place
	// all the same, as told by what may be a late copy of a report.
	Unconfirmed bool
	// CompletionDurable: its completion is in the state service.
	CompletionDurable bool
	FailureCount      uint8
	Placement         *Placement
	// RetryAt holds a failed task back.
	RetryAt clock.Micros
	// CheckpointedSeconds is how many seconds of its run are safe in a checkpoint, as far as
	// this leader has seen. Predictions use it; nothing else rests on it.
	CheckpointedSeconds float64
}

// Job is an accepted job that is not over, or whose tasks are not all gone. Its fields are
// grouped by concern.
type Job struct {
	Spec     *wire.Job
	Request  Resources
	Priority int
	Tasks    []Task
	JobTimes
	JobCancellation
	GangState
	JobFailures
	jobKind
	taskCounts
	unpublishedState

	// StartsRecorded: the state service knows that tasks of it may have been started.
	StartsRecorded bool
	// StartedByAging: it was begun because it had waited too long.
	StartedByAging bool
	StartedCount   int
	// CheckpointedSeconds is the most that is safe of any task; a gang's tasks share it.
	CheckpointedSeconds float64
}

// JobTimes are the instants that a job's waits and its lateness are measured from.
type JobTimes struct {
	// ReleasedAt is the time of day from which its waits count: its submission, or
	// the end of the last job that it awaited.
	ReleasedAt clock.Micros
	// Deadline is the time of day by which it should be done, by its own wish or
	// for those that await it; 0: there is none.
	Deadline     clock.Micros
	AddedAt      clock.Micros // steady clock, when this leader learnt of it
	FirstStartAt clock.Micros // steady clock
}

// JobCancellation tells whether a job was cancelled.
type JobCancellation struct {
	Cancelled   bool
	CancelledAt clock.Micros
}

// GangState is where the attempt of a gang stands.
type GangState struct {
	// GangAttempt of a gang in progress, 0 if none; Broken: it has to end; Under way: it
	// has been seen running, all its tasks together.
	GangAttempt  uint64
	GangAborting bool
	GangStarted  bool
}

// JobFailures counts what went wrong with a job's tasks.
type JobFailures struct {
	// FailuresByMachine counts failures by machine.
	FailuresByMachine map[string]int
	FailureCount      int
	RestartCount      int
}

// jobKind is the spec's kind, compared once.
type jobKind struct{ isGang, isService bool }

// taskCounts sum up the states of a job's tasks.
type taskCounts struct {
	unconfirmedCount int
	doneCount        int
	durableCount     int
	activeCount      int // placements
	waitingCount     int
	placementsByZone map[string]int
}

// unpublishedState is what followers have still to be told of a job, see Replicator.
type unpublishedState struct {
	unpublishedEnds []*Placement // that are over, and whose completion is not durable
	// isWhollyUnconfirmed: followers were told that all that is left of the job is in doubt, and
	// not of single tasks. unpublishedResolved are tasks that are in doubt no more, and whose
	// completion is not durable.
	isWhollyUnconfirmed bool
	unpublishedResolved []int
}

// IsGang tells whether the job's tasks run together.
func (job *Job) IsGang() bool { return job.isGang }

// IsService tells whether the job runs until it is withdrawn.
func (job *Job) IsService() bool { return job.isService }

// DoneCount is the number of completed tasks.
func (job *Job) DoneCount() int { return job.doneCount }

// WaitingCount is the number of tasks that are neither placed nor done.
func (job *Job) WaitingCount() int { return job.waitingCount }

// ActiveCount is the number of placements, doubtful ones not included.
func (job *Job) ActiveCount() int { return job.activeCount }

// UnconfirmedCount is the number of tasks in doubt.
func (job *Job) UnconfirmedCount() int { return job.unconfirmedCount }

// ForEachPlacement calls f for every task's placement, strays left out.
func (job *Job) ForEachPlacement(visit func(*Placement)) {
	for i := range job.Tasks {
		if placement := job.Tasks[i].Placement; placement != nil {
			visit(placement)
		}
	}
}

// IsComplete tells whether every task is done.
func (job *Job) IsComplete() bool { return job.doneCount == len(job.Tasks) }

// CountInZone counts the job's tasks that are, or may be, in a zone.
func (job *Job) CountInZone(zone string) int {
	return job.placementsByZone[zone] + job.unconfirmedCount
}

// OccupiedZone returns the zone that the job's tasks are in, if there is one.
func (job *Job) OccupiedZone() (string, bool) {
	for z, n := range job.placementsByZone {
		if n > 0 {
			return z, true
		}
	}
	return "", false
}

// MaxTasksPerZone is how many tasks may be in one zone.
func (job *Job) MaxTasksPerZone() int { return (len(job.Tasks) + 1) / 2 }

// NeedsPersisting tells whether some completion is not in the state service yet, or the
// job is complete: then there is something to write, or to clean up.
func (job *Job) NeedsPersisting() bool {
	return job.durableCount != job.doneCount || job.doneCount == len(job.Tasks)
}

// UnpersistedCompletions lists completions that the state service does not have yet.
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

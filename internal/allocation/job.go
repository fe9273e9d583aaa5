package allocation

import (
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// TaskState is where a task stands.
type TaskState uint8

// States of a task.
const (
	Waiting TaskState = iota
	Placed
	Done
)

// Task is one task of a job.
type Task struct {
	State TaskState
	// Doubt: an earlier leader may have started it somewhere. It may have a place
	// all the same, as told by what may be a late copy of a report.
	Doubt bool
	// Durable: its completion is in the state service.
	Durable bool
	Fails   uint8
	Place   *Placement
	// NotBefore holds a failed task back.
	NotBefore clock.Micros
	// Progress is how many seconds of its run are safe in a checkpoint, as far as
	// this leader has seen. Predictions use it; nothing else rests on it.
	Progress float64
}

// Job is an accepted job that is not over, or whose tasks are not all gone.
type Job struct {
	Spec     *wire.Job
	Need     Resources
	Priority int
	// Submitted is the time of day from which its waits count: its submission, or
	// the end of the last job that it awaited.
	Submitted clock.Micros
	// Deadline is the time of day by which it should be done, by its own wish or
	// for those that await it; 0: there is none.
	Deadline    clock.Micros
	Seen        clock.Micros // steady clock, when this leader learnt of it
	Withdrawn   bool
	WithdrawnAt clock.Micros
	// Marked: the state service knows that tasks of it may have been started.
	Marked bool
	Tasks  []Task

	gang    bool
	service bool
	doubts  int
	done    int
	durable int
	active  int // placements
	waiting int
	byZone  map[string]int
	untold  []*Placement // that are over, and whose completion is not durable
	// isDoubtWhole: followers were told that all that is left of the job is in doubt, and
	// not of single tasks. untoldCleared are tasks that are in doubt no more, and whose
	// completion is not durable.
	isDoubtWhole  bool
	untoldCleared []int
	// Attempt of a gang in progress, 0 if none; Broken: it has to end; Under way: it
	// has been seen running, all its tasks together.
	Attempt  uint64
	Broken   bool
	UnderWay bool
	Running  int
	// ErrorsOn counts failures by machine.
	ErrorsOn   map[string]int
	Errors     int
	Restarts   int
	FirstStart clock.Micros // steady clock
	// Aged: it was begun because it had waited too long.
	Aged bool
	// Progress is the most that is safe of any task; a gang's tasks share it.
	Progress float64
}

// Gang tells whether the job's tasks run together.
func (j *Job) Gang() bool { return j.gang }

// Service tells whether the job runs until it is withdrawn.
func (j *Job) Service() bool { return j.service }

// DoneCount is the number of completed tasks.
func (j *Job) DoneCount() int { return j.done }

// WaitingCount is the number of tasks that are neither placed nor done.
func (j *Job) WaitingCount() int { return j.waiting }

// Active is the number of placements, doubtful ones not included.
func (j *Job) Active() int { return j.active }

// Doubts is the number of tasks in doubt.
func (j *Job) Doubts() int { return j.doubts }

// Places calls f for every task's placement, strays left out.
func (j *Job) Places(f func(*Placement)) {
	for i := range j.Tasks {
		if p := j.Tasks[i].Place; p != nil {
			f(p)
		}
	}
}

// Complete tells whether every task is done.
func (j *Job) Complete() bool { return j.done == len(j.Tasks) }

// InZone counts the job's tasks that are, or may be, in a zone.
func (j *Job) InZone(zone string) int { return j.byZone[zone] + j.doubts }

// OnlyZone returns the zone that the job's tasks are in, if there is one.
func (j *Job) OnlyZone() (string, bool) {
	for z, n := range j.byZone {
		if n > 0 {
			return z, true
		}
	}
	return "", false
}

// SpreadLimit is how many tasks may be in one zone.
func (j *Job) SpreadLimit() int { return (len(j.Tasks) + 1) / 2 }

// Unsaved tells whether some completion is not in the state service yet, or the
// job is complete: then there is something to write, or to clean up.
func (j *Job) Unsaved() bool { return j.durable != j.done || j.done == len(j.Tasks) }

// NotDurable lists completions that the state service does not have yet.
func (j *Job) NotDurable() []int {
	if j.durable == j.done {
		return nil
	}
	var out []int
	for i := range j.Tasks {
		if j.Tasks[i].State == Done && !j.Tasks[i].Durable {
			out = append(out, i)
		}
	}
	return out
}

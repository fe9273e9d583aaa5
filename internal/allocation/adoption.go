package allocation

import (
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// adoptPlacement adds a placement for a task that a worker lists and that the tracker didn't expect
// on the machine, either after a failover or as an orphan that has to be stopped.
//
// A heartbeat made before the worker saw this leader's token may be a late copy, and the task may
// have moved since. Such a heartbeat leaves the task unconfirmed (invariant 4): when it cleared the
// unconfirmed state, a task was started again while it ran on another machine.
//
// If two machines list a task, the one with the later attempt is right: attempts only increase, and
// a new attempt begins only when the previous one is over.
func (tracker *Tracker) adoptPlacement(machine *Machine, job *Job, taskIndex int, taskReport *wire.TaskStatus, now clock.Micros, tokenConfirmed bool) *Placement {
	task := &job.Tasks[taskIndex]
	placement := &Placement{Job: job, TaskIndex: taskIndex, Attempt: taskReport.Attempt, Machine: machine, Adopted: true, taskID: taskReport.TaskID, PlacementTimes: PlacementTimes{CreatedAt: now}}
	hasConflict := false
	if job.IsGang() {
		hasConflict = tracker.supersedeGang(job, taskReport.Attempt)
		placement.Orphaned = taskReport.Attempt < job.GangAttempt && !tokenConfirmed
	} else if old := task.Placement; old != nil && task.Unconfirmed && old.Attempt < taskReport.Attempt {
		tracker.orphanPlacement(old)
	}
	placement.Orphaned = placement.Orphaned || task.Placement != nil || task.State == TaskDone
	tracker.addPlacement(placement)
	if tokenConfirmed {
		tracker.clearUnconfirmed(job, taskIndex) // after addPlacement has published the placement, see publishResolved
	}
	if job.IsGang() && !placement.Orphaned {
		if hasConflict || job.GangAttempt != 0 && job.GangAttempt != taskReport.Attempt {
			tracker.StopJob(job, 0)
		} else {
			job.GangAttempt = taskReport.Attempt
		}
	}
	if job.Dependencies == DependenciesUnmet {
		job.GangAborting = job.IsGang()
		placement.isStopping = true
	}
	if placement.Orphaned || job.Cancelled || job.GangAborting {
		placement.isStopping = true
	}
	return placement
}

// supersedeGang orphans the placements of a gang's earlier attempt when a worker lists a later one:
// the earlier placements came from late copies. It reports a conflict, and orphans nothing, if one of
// them is confirmed.
func (tracker *Tracker) supersedeGang(job *Job, attempt uint64) (hasConflict bool) {
	if job.GangAttempt == 0 || attempt <= job.GangAttempt {
		return false
	}
	for i := range job.Tasks {
		if job.Tasks[i].Placement != nil && !job.Tasks[i].Unconfirmed {
			return true
		}
	}
	for i := range job.Tasks {
		if placement := job.Tasks[i].Placement; placement != nil {
			tracker.orphanPlacement(placement)
		}
	}
	job.GangState = GangState{}
	return false
}

// orphanPlacement detaches from its task a placement that came from a late copy, and stops it.
func (tracker *Tracker) orphanPlacement(placement *Placement) {
	tracker.clearPlacement(placement.Job, &placement.Job.Tasks[placement.TaskIndex])
	placement.Orphaned = true
	tracker.StopPlacement(placement, 0)
}

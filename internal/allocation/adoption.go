package allocation

import (
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// adoptPlacement adds a placement for a task that a worker lists and the tracker didn't expect
// there: after a failover, or as an orphan that has to be stopped.
//
// A heartbeat made before the worker saw our token may be a late copy, and the task elsewhere by
// now. So it leaves the task unconfirmed (invariant 4). Of two places, the one with the later
// attempt is the right one: attempts only grow, and a new one begins when the last is over.
//
// Added after a late copy cleared the unconfirmed state of a task, which was started again while it
// ran elsewhere.
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
		tracker.clearUnconfirmed(job, taskIndex) // after addPlacement has published it, see publishResolved
	}
	if job.IsGang() && !placement.Orphaned {
		if hasConflict || job.GangAttempt != 0 && job.GangAttempt != taskReport.Attempt {
			tracker.StopJob(job, 0)
		} else {
			job.GangAttempt = taskReport.Attempt
		}
	}
	if placement.Orphaned || job.Cancelled || job.GangAborting {
		placement.isStopping = true
	}
	return placement
}

// supersedeGang orphans the placements of a gang's earlier attempt when a later attempt is listed:
// the earlier ones came from late copies. There is a conflict if one of them is confirmed.
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

// orphanPlacement takes from its task a placement that came from a late copy, and stops it.
func (tracker *Tracker) orphanPlacement(placement *Placement) {
	tracker.clearPlacement(placement.Job, &placement.Job.Tasks[placement.TaskIndex])
	placement.Orphaned = true
	tracker.StopPlacement(placement, 0)
}

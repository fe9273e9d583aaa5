package allocation

import (
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// adoptPlacement books a task that a worker has and the ledger did not expect there:
// after a take-over, or as a stray that has to go.
//
// A report from before the token may be a late copy, and the task elsewhere by now. So
// it ends no doubt about the task, and of two places the one with the later attempt
// is the true one: attempts only grow, and a new one begins when the last is over.
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
		tracker.clearUnconfirmed(job, taskIndex) // after the place is told of, see publishResolved
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

// supersedeGang takes the places of earlier attempts of a gang for what they are, late
// copies; it tells whether one of them is not.
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

// orphanPlacement makes a stray of a place that a late copy has told of.
func (tracker *Tracker) orphanPlacement(placement *Placement) {
	tracker.clearPlacement(placement.Job, &placement.Job.Tasks[placement.TaskIndex])
	placement.Orphaned = true
	tracker.StopPlacement(placement, 0)
}

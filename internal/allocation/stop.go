package allocation

import (
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// abortGang stops the remaining tasks of a gang's attempt after the attempt has lost a task.
func (tracker *Tracker) abortGang(job *Job) {
	if job.GangAborting || job.activeCount == 0 {
		return
	}
	job.GangAborting = true
	tracker.stopPlacements(job, 0)
}

// StopPlacement ends a placement at once if no start of it has reached, or may still reach, the worker.
// Otherwise it requests a stop, and the task gets the grace as time to save its progress. A later request
// may shorten the grace but not extend it.
func (tracker *Tracker) StopPlacement(placement *Placement, grace clock.Micros) {
	if placement.Phase == PhaseAssigned && !placement.mayStartArrive() {
		// Nothing ran, so the machine has been idle since the task was placed, not only from now on.
		tracker.endPlacement(placement, wire.ExitStopped, placement.CreatedAt)
		return
	}
	if placement.isStopping && grace >= placement.stopGrace {
		return
	}
	placement.isStopping, placement.stopGrace, placement.stopSentAt = true, grace, 0
	tracker.queueDispatch(placement.Machine)
}

// StopJob stops every task of a job. A gang's attempt is aborted, so that no further task joins it.
func (tracker *Tracker) StopJob(job *Job, grace clock.Micros) {
	tracker.stopPlacements(job, grace)
	if job.IsGang() && job.activeCount > 0 {
		job.GangAborting = true
	}
}

// stopPlacements stops the placement of each of the job's tasks. Orphans are being stopped already.
func (tracker *Tracker) stopPlacements(job *Job, grace clock.Micros) {
	for i := range job.Tasks {
		if placement := job.Tasks[i].Placement; placement != nil {
			tracker.StopPlacement(placement, grace)
		}
	}
}

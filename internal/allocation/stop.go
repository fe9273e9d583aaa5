package allocation

import (
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// abortGang stops the rest of a gang's attempt that has lost a task.
func (tracker *Tracker) abortGang(job *Job) {
	if job.GangAborting || job.activeCount == 0 {
		return
	}
	job.GangAborting = true
	tracker.stopPlacements(job, 0)
}

// StopPlacement ends a placement at once if no start of it was sent. Else it requests a stop, with
// the grace as time to save progress. A shorter grace replaces a longer one, never the reverse.
func (tracker *Tracker) StopPlacement(placement *Placement, grace clock.Micros) {
	if placement.Phase == PhaseAssigned && !placement.mayStartArrive() {
		// Nothing ran, so the machine counts as idle from when the task was placed, not from now.
		tracker.endPlacement(placement, wire.ExitStopped, placement.CreatedAt)
		return
	}
	if placement.isStopping && grace >= placement.stopGrace {
		return
	}
	placement.isStopping, placement.stopGrace, placement.stopSentAt = true, grace, 0
	tracker.queueDispatch(placement.Machine)
}

// StopJob stops every task of a job. A gang's attempt is aborted, so that no task joins it.
func (tracker *Tracker) StopJob(job *Job, grace clock.Micros) {
	tracker.stopPlacements(job, grace)
	if job.IsGang() && job.activeCount > 0 {
		job.GangAborting = true
	}
}

// stopPlacements stops the placement of each of the job's tasks. Orphans are stopping already.
func (tracker *Tracker) stopPlacements(job *Job, grace clock.Micros) {
	for i := range job.Tasks {
		if placement := job.Tasks[i].Placement; placement != nil {
			tracker.StopPlacement(placement, grace)
		}
	}
}

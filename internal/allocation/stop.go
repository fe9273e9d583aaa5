package allocation

import (
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// abortGang ends an attempt of which a task is gone.
func (tracker *Tracker) abortGang(job *Job) {
	if job.GangAborting || job.activeCount == 0 {
		return
	}
	job.GangAborting = true
	tracker.stopPlacements(job, 0)
}

// StopPlacement asks that a placement ends, with time to save if it can.
func (tracker *Tracker) StopPlacement(placement *Placement, grace clock.Micros) {
	if placement.Phase == PhaseAssigned && !placement.mayStartArrive() {
		tracker.endPlacement(placement, wire.ExitStopped, placement.CreatedAt)
		return
	}
	if placement.isStopping && grace >= placement.stopGrace {
		return
	}
	placement.isStopping, placement.stopGrace, placement.stopSentAt = true, grace, 0
	tracker.queueDispatch(placement.Machine)
}

// StopJob stops all tasks of a gang together, or one task otherwise.
func (tracker *Tracker) StopJob(job *Job, grace clock.Micros) {
	tracker.stopPlacements(job, grace)
	if job.IsGang() && job.activeCount > 0 {
		job.GangAborting = true
	}
}

// stopPlacements stops the placement of each task.
func (tracker *Tracker) stopPlacements(job *Job, grace clock.Micros) {
	for i := range job.Tasks {
		if placement := job.Tasks[i].Placement; placement != nil {
			tracker.StopPlacement(placement, grace)
		}
	}
}

package allocation

import (
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// applyTaskReport applies one entry of a heartbeat's list of tasks. It reports whether the entry is for a
// placement on this machine that no earlier entry of the list was for.
func (tracker *Tracker) applyTaskReport(machine *Machine, taskReport *wire.TaskStatus, now clock.Micros, tokenConfirmed bool) bool {
	placement := machine.placements[taskReport.TaskID]
	if placement != nil && tracker.isUnchanged(placement, taskReport) {
		return tracker.markListed(placement)
	}
	jobID, taskIndex, ok := wire.ParseTaskID(taskReport.TaskID)
	job := tracker.Jobs[jobID]
	if !ok || job == nil || taskIndex >= len(job.Tasks) {
		// The job is over or unknown, so the task can only be stopped and reaped.
		isRunning := taskReport.State != wire.TaskExited
		machine.addUnplaced(unplacedAttempt{taskID: taskReport.TaskID, attempt: taskReport.Attempt, isRunning: isRunning})
		if isRunning {
			tracker.TasksOfUnknownJobs = append(tracker.TasksOfUnknownJobs, taskReport.TaskID)
		}
		return false
	}
	if placement != nil && placement.Attempt != taskReport.Attempt {
		if taskReport.State == wire.TaskExited {
			machine.addUnplaced(unplacedAttempt{taskID: taskReport.TaskID, attempt: taskReport.Attempt, job: job, taskIndex: taskIndex})
			return false
		}
		if placement.Phase == PhaseReported && taskReport.Attempt < placement.Attempt {
			return tracker.markListed(placement) // a worker has one attempt of a task, so the lower one is outdated
		}
		tracker.endReplacedPlacement(placement, &job.Tasks[taskIndex], now)
		placement = nil
	}
	if taskReport.State == wire.TaskExited {
		tracker.applyExit(machine, job, taskIndex, placement, taskReport, now)
		return false
	}
	if placement == nil {
		placement = tracker.adoptPlacement(machine, job, taskIndex, taskReport, now, tokenConfirmed)
	}
	tracker.applyProgress(placement, job, taskReport, now)
	return tracker.markListed(placement)
}

// isUnchanged reports whether a task report has nothing new about a placement. Most reports have nothing new.
func (tracker *Tracker) isUnchanged(placement *Placement, taskReport *wire.TaskStatus) bool {
	return placement.Attempt == taskReport.Attempt && placement.Phase == PhaseReported &&
		placement.ReportedState == taskReport.State && tracker.Jobs[placement.Job.Spec.ID] == placement.Job
}

// endReplacedPlacement ends a placement whose worker lists another attempt of the task. Either the worker
// refuses the placement's start, or the placement came from a late copy of a heartbeat. In both cases the
// worker's list is right.
func (tracker *Tracker) endReplacedPlacement(placement *Placement, task *Task, now clock.Micros) {
	if task.Placement == placement && task.Unconfirmed {
		tracker.orphanPlacement(placement)
	}
	tracker.endPlacement(placement, CauseVanished, now)
}

// applyExit records that an attempt has exited. The placement is nil if the attempt has none.
func (tracker *Tracker) applyExit(machine *Machine, job *Job, taskIndex int, placement *Placement, taskReport *wire.TaskStatus, now clock.Micros) {
	if placement != nil {
		placement.ProgressSaved = taskReport.Saved
		tracker.recordExit(placement, taskReport.ExitCause, now)
	} else if taskReport.ExitCause == wire.ExitDone && !job.IsService() {
		tracker.recordCompletion(job, taskIndex)
	}
	machine.addUnplaced(unplacedAttempt{taskID: taskReport.TaskID, attempt: taskReport.Attempt, job: job, taskIndex: taskIndex, isCompleted: taskReport.ExitCause == wire.ExitDone})
}

// applyProgress records the state of a task that hasn't exited.
func (tracker *Tracker) applyProgress(placement *Placement, job *Job, taskReport *wire.TaskStatus, now clock.Micros) {
	machine := placement.Machine
	if placement.isStopping {
		tracker.queueDispatch(machine)
	}
	if placement.Phase == PhaseSent && !placement.mayStartArrive() {
		machine.UnreachableUntil = 0 // the worker has received the heartbeat reply that carried the start
	}
	placement.Phase = PhaseReported
	placement.ReportedState = taskReport.State
	if placement.RunningAt == 0 && taskReport.State == wire.TaskRunning {
		placement.RunningAt = now
		if job.IsGang() && !placement.Orphaned {
			job.GangStarted = true
		}
	}
	if placement.StartedAt == 0 && (taskReport.State == wire.TaskRunning || taskReport.State == wire.TaskWaitingForGang) {
		placement.StartedAt = now
		job.StartedCount++
		machine.adjustFetchCount(job.Spec.Image, -1)
		machine.ImageUsedAt[job.Spec.Image] = now
		tracker.Started = append(tracker.Started, placement)
	}
}

// markListed records that the current heartbeat lists the placement. It reports whether no earlier entry
// of the heartbeat's list was for the placement.
func (tracker *Tracker) markListed(placement *Placement) bool {
	tracker.recordListedIfCancelled(placement)
	isFirstTime := placement.lastSeenHeartbeat != tracker.heartbeatCount
	placement.lastSeenHeartbeat = tracker.heartbeatCount
	return isFirstTime
}

// recordExit ends a placement that the worker lists as exited, and counts an exit with an error as a
// failure unless the placement was being stopped.
func (tracker *Tracker) recordExit(placement *Placement, cause string, now clock.Micros) {
	job, machine := placement.Job, placement.Machine
	task := &job.Tasks[placement.TaskIndex]
	if cause == wire.ExitDone && job.IsService() {
		cause = wire.ExitStopped // a service's replica never completes
	}
	if cause == wire.ExitError && !placement.isStopping {
		job.FailureCount++
		if task.FailureCount < 255 {
			task.FailureCount++
		}
		if job.FailuresByMachine == nil {
			job.FailuresByMachine = map[string]int{}
		}
		job.FailuresByMachine[machine.Name]++
		machine.FailedJobs[job.Spec.ID] = true
	}
	tracker.endPlacement(placement, cause, now)
}

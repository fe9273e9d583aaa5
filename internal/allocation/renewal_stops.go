package allocation

import "firwood.dev/firwood/wire"

// RenewalStops returns the stops for a reply that renews the machine's lease and carries no other
// commands (invariant 7). There is a stop for every task that the worker lists and that has to end. The
// stops are right under any token, and in the reply to a late copy of a heartbeat, because a stop names
// one attempt and attempt numbers are never used again.
//
// It was added after several leaders in turn renewed the lease of one machine without sending stops. Each
// of them left the stops to its second reply, but ended within one heartbeat interval, before that reply
// (docs/incidents/renewed-without-stops.md).
func (tracker *Tracker) RenewalStops(machine *Machine) []wire.Command {
	var batch commandBatch
	for i := range machine.unplacedAttempts {
		if unplaced := &machine.unplacedAttempts[i]; unplaced.isRunning && !tracker.mayBeActive(unplaced.taskID) {
			batch.add(stopCommand(unplaced.taskID, unplaced.attempt, 0))
		}
	}
	for _, placement := range machine.placements {
		if placement.NeedsStop() {
			// stopSentAt is not set: if the heartbeat is a late copy, the reply reaches no worker.
			batch.add(stopCommand(placement.taskID, placement.Attempt, placement.stopGrace))
		}
	}
	return batch.commands
}

// mayBeActive reports whether the job of a task may be active although the tracker does not have it.
func (tracker *Tracker) mayBeActive(taskID string) bool {
	jobID, _, ok := wire.ParseTaskID(taskID)
	return ok && tracker.cfg.MayBeActive != nil && tracker.cfg.MayBeActive(jobID)
}

// NeedsStop reports whether the worker lists the task, the task has to be stopped, and it is not saving
// its progress within the grace of a stop.
func (placement *Placement) NeedsStop() bool {
	isSaving := placement.ReportedState == wire.TaskCheckpointing && placement.stopGrace != 0
	return placement.Phase == PhaseReported && placement.isStopping && !isSaving
}

// StopsOfListedTasks returns the stops for the reply to a heartbeat of a machine that the caller has in no
// Tracker: a leader that doesn't know the machine, or a delegate. The stops have no grace, and are for the
// listed tasks whose jobs have to end (invariant 7).
func StopsOfListedTasks(heartbeat *wire.Heartbeat, mustEnd func(jobID string) bool) []wire.Command {
	var batch commandBatch
	for i := range heartbeat.Tasks {
		task := &heartbeat.Tasks[i]
		if task.State == wire.TaskExited {
			continue
		}
		if jobID, _, ok := wire.ParseTaskID(task.TaskID); ok && mustEnd(jobID) {
			batch.add(stopCommand(task.TaskID, task.Attempt, 0))
		}
	}
	return batch.commands
}

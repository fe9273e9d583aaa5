package allocation

import "firwood.dev/firwood/wire"

// RenewalStops returns the stops that a reply has to carry which renews the machine's lease and gives
// no other commands (invariant 7): of every task that the worker lists and that has to end. They are
// right under any token, and in the reply to a late copy: a stop names one attempt, and attempts are
// never used again.
//
// Added after leaders that ended within one heartbeat interval renewed a lease in turn, and each left
// the stops to its second reply (docs/incidents/renewed-without-stops.md).
func (tracker *Tracker) RenewalStops(machine *Machine) []wire.Command {
	var commands []wire.Command
	for i := range machine.unplacedAttempts {
		if exited := &machine.unplacedAttempts[i]; exited.isRunning && !tracker.mayBeActive(exited.taskID) {
			commands = append(commands, stopCommand(exited.taskID, exited.attempt, 0))
		}
	}
	for _, placement := range machine.placements {
		if placement.NeedsStop() {
			// It doesn't count as sent: a late copy's reply reaches nobody.
			commands = append(commands, stopCommand(placement.taskID, placement.Attempt, placement.stopGrace))
		}
	}
	return commands
}

// mayBeActive tells whether the job of a task, which the tracker lacks, may be active all the same.
func (tracker *Tracker) mayBeActive(taskID string) bool {
	jobID, _, ok := wire.ParseTaskID(taskID)
	return ok && tracker.cfg.MayBeActive != nil && tracker.cfg.MayBeActive(jobID)
}

// NeedsStop tells whether the worker lists the task, which has to end, and doesn't save it at present.
func (placement *Placement) NeedsStop() bool {
	isSaving := placement.ReportedState == wire.TaskCheckpointing && placement.stopGrace != 0
	return placement.Phase == PhaseReported && placement.isStopping && !isSaving
}

// StopsOfListedTasks returns the stops for the reply to a heartbeat of a machine that no tracker
// knows: without grace, of the listed tasks whose job has to be gone (invariant 7).
func StopsOfListedTasks(heartbeat *wire.Heartbeat, mustEnd func(jobID string) bool) []wire.Command {
	var commands []wire.Command
	for i := range heartbeat.Tasks {
		task := &heartbeat.Tasks[i]
		if task.State == wire.TaskExited {
			continue
		}
		if jobID, _, ok := wire.ParseTaskID(task.TaskID); ok && mustEnd(jobID) {
			commands = append(commands, stopCommand(task.TaskID, task.Attempt, 0))
		}
	}
	return commands
}

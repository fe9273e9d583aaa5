package leader

import (
	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/health"
)

// recordTaskFailure records that a task has failed on a machine, and pauses or drains the machine if
// health.Faults decides so.
func (term *Term) recordTaskFailure(machine *allocation.Machine, now clock.Micros) {
	machineInfo := term.machines[machine.Name]
	if machineInfo == nil {
		return
	}
	action, pauseUntil := machineInfo.faults.RecordFailure(machine, func() bool { return term.isFailureWidespread(machine, now) }, now)
	switch action {
	case health.NoFaultAction:
	case health.PauseMachine:
		machine.BackoffUntil = pauseUntil
		term.environment.Log.Info("pausing machine: task failures are widespread", "machine", machine.Name, "pause_s", (pauseUntil - now).Seconds())
	case health.DrainMachine:
		term.environment.Log.Info("draining faulty machine", "machine", machine.Name, "retry_after_s", (machineInfo.faults.RetryAt() - now).Seconds())
		term.drainMachine(machine)
	}
}

// isFailureWidespread reports whether tasks have also failed recently on many of the other machines.
// Without this check, all machines of a small fleet were once drained because the tasks failed that had
// been started on them within five seconds.
func (term *Term) isFailureWidespread(machine *allocation.Machine, now clock.Micros) bool {
	failing, others := 0, 0
	for name, machineInfo := range term.machines {
		if other := term.tracker.Machines[name]; other == nil || other == machine || other.FirstHeartbeatAt == 0 || machineInfo.isDeleting {
			continue
		}
		others++
		if machineInfo.faults.HasRecentFailure(now) {
			failing++
		}
	}
	return health.IsWidespread(failing, others)
}

// retryFaultyMachine lets a drained faulty machine get tasks again once its retry is due, if the machine
// cannot be deleted yet since it still has tasks.
func (term *Term) retryFaultyMachine(machine *allocation.Machine, machineInfo *machineState, now clock.Micros) {
	if !machineInfo.faults.BeginRetry(machine, now) {
		return
	}
	term.environment.Log.Info("retrying faulty machine", "machine", machine.Name)
	clear(machine.FailedJobs)
	machine.Draining = false
}

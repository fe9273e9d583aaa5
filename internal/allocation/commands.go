package allocation

import (
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// HeartbeatCommands compiles the commands for the answer to the newest report of m.
func (tracker *Tracker) HeartbeatCommands(machine *Machine, now clock.Micros) []wire.Command {
	if !machine.TokenConfirmed {
		return nil
	}
	commands := tracker.exitCleanupCommands(machine)
	for _, placement := range machine.placements {
		if placement.Phase != PhaseReported || placement.isStopping {
			commands = tracker.appendCommands(commands, placement, now, false)
		}
	}
	return commands
}

// exitCleanupCommands forgets exits whose result is durable, and stops what has no job.
func (tracker *Tracker) exitCleanupCommands(machine *Machine) []wire.Command {
	var commands []wire.Command
	for i := range machine.exitedAttempts {
		exited := &machine.exitedAttempts[i]
		switch {
		case exited.job == nil && exited.completedOrAlive:
			zero := 0.0
			commands = append(commands, wire.Command{Action: wire.ActionStop, TaskID: exited.taskID, Attempt: exited.attempt, GracePeriodSeconds: &zero})
			continue
		case exited.job != nil && exited.completedOrAlive && !exited.job.IsService() && !exited.job.Tasks[exited.taskIndex].CompletionDurable:
			continue // invariant 5
		case machine.lateStarts[exited.key()]:
			continue // invariant 2
		case machine.startTokens[exited.key()] != 0:
			tracker.needsHigherToken = true
			continue // the same, of a copy
		}
		if placement := machine.placements[exited.taskID]; placement != nil && placement.Attempt == exited.attempt {
			continue
		}
		commands = append(commands, wire.Command{Action: wire.ActionReap, TaskID: exited.taskID, Attempt: exited.attempt})
	}
	return commands
}

// SetStartsPaused has no start put into any message, or ends that: while the leader may
// not know of withdrawals, what is placed waits. Stops go out all the same.
func (tracker *Tracker) SetStartsPaused(paused bool) { tracker.startsPaused = paused }

func (tracker *Tracker) appendCommands(commands []wire.Command, placement *Placement, now clock.Micros, isDirect bool) []wire.Command {
	start := wire.Command{Action: wire.ActionStart, TaskID: placement.taskID, Attempt: placement.Attempt}
	grace := placement.stopGrace.Seconds()
	stop := wire.Command{Action: wire.ActionStop, TaskID: placement.taskID, Attempt: placement.Attempt, GracePeriodSeconds: &grace}
	switch {
	case placement.Phase == PhaseReported && placement.isStopping:
		if placement.ReportedState != wire.TaskCheckpointing || placement.stopGrace == 0 {
			if isDirect && placement.stopSentAt != 0 {
				return commands
			}
			placement.stopSentAt = now
			commands = append(commands, stop)
		}
	case placement.Phase == PhaseReported:
	case placement.isStopping && placement.mayArriveLate && !isDirect:
		// A start that was sent directly may still arrive. Met by a start and a
		// stop in one message, its attempt is listed as exited, and the late
		// one has no effect. Too long after a withdrawal even that could count
		// as a start: then only the machine's end helps.
		if tracker.startsPaused || placement.Job.Cancelled && now-placement.Job.CancelledAt > tracker.cfg.CancelFenceWindow {
			return commands
		}
		zero := 0.0
		stop.GracePeriodSeconds = &zero
		commands = append(commands, start, stop)
	case placement.isStopping:
	case tracker.startsPaused:
	case placement.Phase == PhaseAssigned && !tracker.canStart(placement):
		tracker.endPlacement(placement, wire.ExitStopped, now)
	case placement.Phase == PhaseAssigned, placement.Phase == PhaseSent && !isDirect && (placement.startsInFlight > 0 || placement.mayArriveLate):
		if !tracker.canStart(placement) || !tracker.mayDispatch(placement) {
			return commands
		}
		placement.Phase = PhaseSent
		if isDirect {
			placement.startsInFlight++
			placement.Machine.startTokens[placement.key()] = tracker.currentToken
		} else {
			placement.sentInSequence = placement.Machine.HeartbeatSequence
		}
		commands = append(commands, start)
	}
	return commands
}

// IsCordoned tells that only the end of the machine resolves what may arrive.
func (tracker *Tracker) IsCordoned(machine *Machine, now clock.Micros) bool {
	for _, placement := range machine.placements {
		if placement.isStopping && placement.mayArriveLate && placement.Phase == PhaseSent && placement.Job.Cancelled && now-placement.Job.CancelledAt > tracker.cfg.CancelFenceWindow {
			return true
		}
	}
	return false
}

package allocation

import (
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// HeartbeatCommands returns the commands for the reply to the machine's newest heartbeat. Before the
// worker has confirmed the token, a heartbeat may be a late copy, so nothing is started or reaped.
func (tracker *Tracker) HeartbeatCommands(machine *Machine, now clock.Micros) []wire.Command {
	if !machine.TokenConfirmed {
		return tracker.RenewalStops(machine)
	}
	commands := tracker.exitCleanupCommands(machine)
	for _, placement := range machine.placements {
		if placement.Phase != PhaseReported || placement.isStopping {
			commands = tracker.appendCommands(commands, placement, now, channelHeartbeatReply)
		}
	}
	return commands
}

// exitCleanupCommands makes the worker forget (reap) exits, and stop tasks without a job. An exit
// that must not be reaped yet stays listed in its heartbeats.
func (tracker *Tracker) exitCleanupCommands(machine *Machine) []wire.Command {
	var commands []wire.Command
	for i := range machine.exitedAttempts {
		exited := &machine.exitedAttempts[i]
		switch {
		case exited.isRunning:
			commands = append(commands, stopCommand(exited.taskID, exited.attempt, 0))
		case exited.hasPendingResult(): // invariant 5
		case machine.lateStarts[exited.key()]: // invariant 2
		case machine.startTokens[exited.key()] != 0: // invariant 2, a copy of the start may arrive
			tracker.needsHigherToken = true
		case machine.hasPlacement(exited.key()):
		default:
			commands = append(commands, wire.Command{Action: wire.ActionReap, TaskID: exited.taskID, Attempt: exited.attempt})
		}
	}
	return commands
}

func startCommand(placement *Placement) wire.Command {
	return wire.Command{Action: wire.ActionStart, TaskID: placement.taskID, Attempt: placement.Attempt}
}

func stopCommand(taskID string, attempt uint64, grace clock.Micros) wire.Command {
	seconds := grace.Seconds()
	return wire.Command{Action: wire.ActionStop, TaskID: taskID, Attempt: attempt, GracePeriodSeconds: &seconds}
}

// SetStartsPaused stops or resumes the sending of starts. They are paused while there may be
// cancellations that the leader doesn't know of; stops still go out.
func (tracker *Tracker) SetStartsPaused(paused bool) { tracker.startsPaused = paused }

// commandChannel is the way that commands go to a worker.
type commandChannel uint8

const (
	// channelHeartbeatReply: in the reply to the worker's heartbeat.
	channelHeartbeatReply commandChannel = iota
	// channelCommandRequest: in a request that the leader makes to the worker.
	channelCommandRequest
)

// appendCommands appends the commands that a placement needs. It also ends a placement in
// PhaseAssigned whose start isn't allowed any more.
func (tracker *Tracker) appendCommands(commands []wire.Command, placement *Placement, now clock.Micros, channel commandChannel) []wire.Command {
	switch {
	case placement.Phase == PhaseReported && placement.isStopping:
		return appendStop(commands, placement, now, channel)
	case placement.Phase == PhaseReported:
		return commands
	case placement.isStopping && placement.mayArriveLate && channel == channelHeartbeatReply:
		return tracker.appendStartFence(commands, placement, now)
	case placement.isStopping, tracker.startsPaused:
		return commands
	case placement.Phase == PhaseAssigned && !tracker.canStart(placement):
		tracker.endPlacement(placement, wire.ExitStopped, now)
		return commands
	case placement.Phase == PhaseAssigned, placement.mayStartArrive() && channel == channelHeartbeatReply:
		// A start whose command request has no answer is sent again in the reply: the worker ignores
		// the second copy of an attempt.
		return tracker.appendStart(commands, placement, channel)
	}
	return commands
}

// appendStop appends the stop of a task that the worker has reported. A task that saves its
// progress is left to it, unless it has no time left; a command request repeats no stop.
func appendStop(commands []wire.Command, placement *Placement, now clock.Micros, channel commandChannel) []wire.Command {
	isRepeated := channel == channelCommandRequest && placement.stopSentAt != 0
	if !placement.NeedsStop() || isRepeated {
		return commands
	}
	placement.stopSentAt = now
	return append(commands, stopCommand(placement.taskID, placement.Attempt, placement.stopGrace))
}

// appendStartFence meets a start that may still arrive by a start and a stop in one message: the
// worker then lists the attempt as exited, and the late start has no effect.
func (tracker *Tracker) appendStartFence(commands []wire.Command, placement *Placement, now clock.Micros) []wire.Command {
	if tracker.startsPaused || tracker.isPastFenceWindow(placement.Job, now) {
		return commands
	}
	return append(commands, startCommand(placement), stopCommand(placement.taskID, placement.Attempt, 0))
}

// isPastFenceWindow tells whether a job was cancelled so long ago that a start of it, even one that
// is stopped in the same message, would count as a start after the cancellation.
func (tracker *Tracker) isPastFenceWindow(job *Job, now clock.Micros) bool {
	return job.Cancelled && now-job.CancelledAt > tracker.cfg.CancelFenceWindow
}

// appendStart appends the start of a placement, and records how it is sent.
func (tracker *Tracker) appendStart(commands []wire.Command, placement *Placement, channel commandChannel) []wire.Command {
	if !tracker.canStart(placement) || !tracker.mayDispatch(placement) {
		return commands
	}
	placement.Phase = PhaseSent
	switch channel {
	case channelCommandRequest:
		placement.startsInFlight++
		placement.Machine.startTokens[placement.key()] = tracker.currentToken
	case channelHeartbeatReply:
		placement.sentInSequence = placement.Machine.HeartbeatSequence
	}
	return append(commands, startCommand(placement))
}

// HasUnfenceableStart tells whether a start of a cancelled job may still arrive at the machine and can't be
// fenced any more, so that only deleting the machine resolves it.
func (tracker *Tracker) HasUnfenceableStart(machine *Machine, now clock.Micros) bool {
	for _, placement := range machine.placements {
		isUnfencedStart := placement.isStopping && placement.mayArriveLate && placement.Phase == PhaseSent
		if isUnfencedStart && tracker.isPastFenceWindow(placement.Job, now) {
			return true
		}
	}
	return false
}

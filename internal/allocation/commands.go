package allocation

import (
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// HeartbeatCommands returns the commands for the reply to the machine's latest heartbeat. Until the
// worker has confirmed the token, its heartbeats may be late copies, so nothing is started or reaped.
func (tracker *Tracker) HeartbeatCommands(machine *Machine, now clock.Micros) []wire.Command {
	if !machine.TokenConfirmed {
		return tracker.RenewalStops(machine)
	}
	commands := tracker.unplacedAttemptCommands(machine)
	for _, placement := range machine.placements {
		if placement.Phase != PhaseReported || placement.isStopping {
			commands = tracker.appendCommands(commands, placement, now, channelHeartbeatReply)
		}
	}
	return commands
}

// unplacedAttemptCommands returns the commands that make the worker forget (reap) exited attempts, and
// stop tasks whose job isn't in the tracker. The worker keeps listing an exited attempt that must not
// be reaped yet.
func (tracker *Tracker) unplacedAttemptCommands(machine *Machine) []wire.Command {
	var commands []wire.Command
	for i := range machine.unplacedAttempts {
		unplaced := &machine.unplacedAttempts[i]
		switch {
		case unplaced.isRunning:
			commands = append(commands, stopCommand(unplaced.taskID, unplaced.attempt, 0))
		case unplaced.needsDurableCompletion(): // invariant 5
		case machine.lateStarts[unplaced.key()]: // invariant 2
		case machine.startTokens[unplaced.key()] != 0: // invariant 2: a copy of the start may arrive
			tracker.needsHigherToken = true
		case machine.hasPlacement(unplaced.key()):
		default:
			commands = append(commands, wire.Command{Action: wire.ActionReap, TaskID: unplaced.taskID, Attempt: unplaced.attempt})
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

// SetStartsPaused pauses or resumes the sending of starts. The leader pauses them while there may be
// cancellations that it doesn't know of; stops are still sent.
func (tracker *Tracker) SetStartsPaused(paused bool) { tracker.startsPaused = paused }

// commandChannel is the kind of message that carries commands to a worker.
type commandChannel uint8

const (
	// channelHeartbeatReply is the reply to a heartbeat that the worker has sent.
	channelHeartbeatReply commandChannel = iota
	// channelCommandRequest is a request that the leader sends to the worker.
	channelCommandRequest
)

// appendCommands appends the commands that a placement needs. It ends a placement in PhaseAssigned
// whose start is no longer allowed.
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
		// A start whose command request got no response is sent again in the reply: the worker ignores
		// a second start of an attempt that it lists.
		return tracker.appendStart(commands, placement, channel)
	}
	return commands
}

// appendStop appends the stop of a task that the worker has reported. It appends none while the task
// saves its progress, unless the stop's grace is 0, and a command request doesn't repeat a stop that
// counts as sent.
func appendStop(commands []wire.Command, placement *Placement, now clock.Micros, channel commandChannel) []wire.Command {
	isRepeated := channel == channelCommandRequest && placement.stopSentAt != 0
	if !placement.NeedsStop() || isRepeated {
		return commands
	}
	placement.stopSentAt = now
	return append(commands, stopCommand(placement.taskID, placement.Attempt, placement.stopGrace))
}

// appendStartFence fences a start that may still arrive by sending a start and a stop in one message:
// the worker then lists the attempt as exited, and the late start has no effect.
func (tracker *Tracker) appendStartFence(commands []wire.Command, placement *Placement, now clock.Micros) []wire.Command {
	if tracker.startsPaused || tracker.isPastFenceWindow(placement.Job, now) {
		return commands
	}
	return append(commands, startCommand(placement), stopCommand(placement.taskID, placement.Attempt, 0))
}

// isPastFenceWindow reports whether a job was cancelled so long ago that a start of one of its tasks,
// even one that is stopped in the same message, would count as a start after the cancellation.
func (tracker *Tracker) isPastFenceWindow(job *Job, now clock.Micros) bool {
	return job.Cancelled && now-job.CancelledAt > tracker.cfg.CancelFenceWindow
}

// appendStart appends the start of a placement if it is allowed, and records how it is sent.
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

// HasUnfenceableStart reports whether a start of a cancelled job may still arrive at the machine and
// it is too late to fence it, so that only deleting the machine rules the start out.
func (tracker *Tracker) HasUnfenceableStart(machine *Machine, now clock.Micros) bool {
	for _, placement := range machine.placements {
		isUnfencedStart := placement.isStopping && placement.mayArriveLate && placement.Phase == PhaseSent
		if isUnfencedStart && tracker.isPastFenceWindow(placement.Job, now) {
			return true
		}
	}
	return false
}

package allocation

import (
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// HeartbeatCommands returns the commands for the reply to the machine's latest heartbeat, as many as one message may
// carry: stops first, then reaps, then starts. The rest follows with later messages. Until the worker has confirmed
// the token, its heartbeats may be late copies, so nothing is started or reaped.
func (tracker *Tracker) HeartbeatCommands(machine *Machine, now clock.Micros) []wire.Command {
	if !machine.TokenConfirmed {
		return tracker.RenewalStops(machine)
	}
	var batch commandBatch
	addUnknownJobStops(&batch, machine)
	addPlacementStops(&batch, machine, now, channelHeartbeatReply)
	tracker.addReaps(&batch, machine)
	tracker.addStarts(&batch, machine, now, channelHeartbeatReply)
	return batch.commands
}

// addUnknownJobStops adds the stops of tasks whose job isn't in the tracker.
func addUnknownJobStops(batch *commandBatch, machine *Machine) {
	for i := range machine.unplacedAttempts {
		if unplaced := &machine.unplacedAttempts[i]; unplaced.isRunning {
			batch.add(stopCommand(unplaced.taskID, unplaced.attempt, 0))
		}
	}
}

// addPlacementStops adds the stops that are due of tasks that the worker has reported.
func addPlacementStops(batch *commandBatch, machine *Machine, now clock.Micros, channel commandChannel) {
	for _, placement := range machine.placements {
		if placement.Phase == PhaseReported && placement.isStopping {
			addStop(batch, placement, now, channel)
		}
	}
}

// addReaps adds the commands that make the worker forget (reap) exited attempts. The worker keeps listing an exited
// attempt that must not be reaped yet.
func (tracker *Tracker) addReaps(batch *commandBatch, machine *Machine) {
	for i := range machine.unplacedAttempts {
		unplaced := &machine.unplacedAttempts[i]
		switch {
		case unplaced.isRunning:
		case unplaced.needsDurableCompletion(): // invariant 5
		case machine.lateStarts[unplaced.key()]: // invariant 2
		case machine.startTokens[unplaced.key()] != 0: // invariant 2: a copy of the start may arrive
			tracker.needsHigherToken = true
		case machine.hasPlacement(unplaced.key()):
		default:
			batch.add(wire.Command{Action: wire.ActionReap, TaskID: unplaced.taskID, Attempt: unplaced.attempt})
		}
	}
}

// addStarts adds the starts that are due, and returns the placements that it starts.
func (tracker *Tracker) addStarts(batch *commandBatch, machine *Machine, now clock.Micros, channel commandChannel) (started []*Placement) {
	for _, placement := range machine.placements {
		if placement.Phase != PhaseReported && tracker.addStartOrFence(batch, placement, now, channel) {
			started = append(started, placement)
		}
	}
	return started
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

// addStartOrFence adds the start of a placement that the worker has not reported, or the fence of one that may still
// arrive. It ends a placement in PhaseAssigned whose start is no longer allowed. It reports whether it added a start.
func (tracker *Tracker) addStartOrFence(batch *commandBatch, placement *Placement, now clock.Micros, channel commandChannel) (isStarted bool) {
	switch {
	case placement.isStopping && placement.mayArriveLate && channel == channelHeartbeatReply:
		tracker.addStartFence(batch, placement, now)
		return false
	case placement.isStopping, tracker.startsPaused:
		return false
	case placement.Phase == PhaseAssigned && !tracker.canStart(placement):
		tracker.endPlacement(placement, wire.ExitStopped, now)
		return false
	case placement.Phase == PhaseAssigned, placement.mayStartArrive() && channel == channelHeartbeatReply:
		// A start whose command request got no response is sent again in the reply: the worker ignores
		// a second start of an attempt that it lists.
		return tracker.addStart(batch, placement, channel)
	}
	return false
}

// addStop adds the stop of a task that the worker has reported. It adds none while the task saves its
// progress, unless the stop's grace is 0, and a command request doesn't repeat a stop that counts as sent.
func addStop(batch *commandBatch, placement *Placement, now clock.Micros, channel commandChannel) {
	isRepeated := channel == channelCommandRequest && placement.stopSentAt != 0
	if !placement.NeedsStop() || isRepeated {
		return
	}
	if batch.add(stopCommand(placement.taskID, placement.Attempt, placement.stopGrace)) {
		placement.stopSentAt = now
	}
}

// addStartFence fences a start that may still arrive by sending a start and a stop in one message:
// the worker then lists the attempt as exited, and the late start has no effect.
func (tracker *Tracker) addStartFence(batch *commandBatch, placement *Placement, now clock.Micros) {
	if !tracker.startsPaused && !tracker.isPastFenceWindow(placement.Job, now) {
		batch.add(startCommand(placement), stopCommand(placement.taskID, placement.Attempt, 0))
	}
}

// isPastFenceWindow reports whether a job was cancelled so long ago that a start of one of its tasks,
// even one that is stopped in the same message, would count as a start after the cancellation.
func (tracker *Tracker) isPastFenceWindow(job *Job, now clock.Micros) bool {
	return job.Cancelled && now-job.CancelledAt > tracker.cfg.CancelFenceWindow
}

// addStart adds the start of a placement if it is allowed and fits, records how it is sent, and reports whether it
// added the start.
func (tracker *Tracker) addStart(batch *commandBatch, placement *Placement, channel commandChannel) bool {
	if !tracker.canStart(placement) || !tracker.mayDispatch(placement) || !batch.add(startCommand(placement)) {
		return false
	}
	placement.Phase = PhaseSent
	switch channel {
	case channelCommandRequest:
		placement.startsInFlight++
		placement.Machine.startTokens[placement.key()] = tracker.currentToken
	case channelHeartbeatReply:
		placement.sentInSequence = placement.Machine.HeartbeatSequence
	}
	return true
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

package allocation

import (
	"slices"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// queueDispatch notes that a direct message to the machine may be due. What is sent
// then costs as much as changed, not as much as there are machines.
func (tracker *Tracker) queueDispatch(machine *Machine) {
	if !machine.isQueued {
		machine.isQueued = true
		tracker.dispatchQueue = append(tracker.dispatchQueue, machine)
	}
}

// ProcessDispatchQueue calls f for each machine that a direct message may be due to. One for
// which f returns true stays listed.
func (tracker *Tracker) ProcessDispatchQueue(dispatch func(*Machine) bool) {
	due := tracker.dispatchQueue
	tracker.dispatchQueue = nil
	for _, machine := range due {
		machine.isQueued = false
		if tracker.Machines[machine.Name] == machine && dispatch(machine) {
			tracker.queueDispatch(machine)
		}
	}
}

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
		case machine.lateStarts[attemptKey{exited.taskID, exited.attempt}]:
			continue // invariant 2
		case machine.startTokens[attemptKey{exited.taskID, exited.attempt}] != 0:
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

// canStart is invariant 6, for a placement already on the books.
func (tracker *Tracker) canStart(placement *Placement) bool {
	job, machine := placement.Job, placement.Machine
	spec := job.Spec
	if job.Cancelled || job.GangAborting || placement.isStopping || !job.StartsRecorded || !machine.RecordedInStore {
		return false
	}
	if machine.Spot && !spec.AllowsSpot || spec.Zone != "" && spec.Zone != machine.Zone || spec.MachineTypes != nil && !slices.Contains(spec.MachineTypes, machine.Type) {
		return false
	}
	if spec.SingleZone && (job.unconfirmedCount > 0 || job.placementsByZone[machine.Zone] != job.activeCount) {
		return false
	}
	if spec.SpreadZones && job.CountInZone(machine.Zone) > job.MaxTasksPerZone() {
		return false
	}
	return tracker.IsWithinQuota(spec.Team, Resources{})
}

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
			placement.Machine.startTokens[attemptKey{placement.taskID, placement.Attempt}] = tracker.currentToken
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

// BuildCommandRequest compiles a message to be sent straight to the worker: starts not yet
// sent, and stops; an empty one if it is not known whether it can be told. One message to a worker is out at a time.
func (tracker *Tracker) BuildCommandRequest(machine *Machine, now clock.Micros) (*wire.CommandRequest, []*Placement) {
	if machine.commandInFlight || !machine.TokenConfirmed || machine.Address == "" {
		return nil, nil
	}
	var commands []wire.Command
	var starts []*Placement
	for _, placement := range machine.placements {
		if placement.Phase == PhaseReported && !placement.isStopping {
			continue
		}
		before := len(commands)
		commands = tracker.appendCommands(commands, placement, now, true)
		if len(commands) > before && commands[before].Action == wire.ActionStart {
			starts = append(starts, placement)
		}
	}
	if len(commands) == 0 && now >= machine.UnreachableUntil {
		return nil, nil
	}
	// With nothing to say to a worker that may be deaf, an empty message asks.
	machine.commandInFlight = true
	return &wire.CommandRequest{FencingToken: tracker.currentToken, Incarnation: machine.Incarnation, Commands: commands}, starts
}

// CommandResult is how a direct message ended.
type CommandResult uint8

// FinishCommandRequest takes the end of a direct message; a report that came with it
// has to be given to Report afterwards.
func (tracker *Tracker) FinishCommandRequest(machine *Machine, starts []*Placement, result CommandResult, now clock.Micros) {
	machine.commandInFlight = false
	switch result {
	case CommandExecuted:
		machine.UnreachableUntil = 0
	case CommandOutcomeUnknown:
		// If it hears nothing at all, its lease and its session end by then.
		machine.UnreachableUntil = now + tracker.cfg.LeaseTTL
	}
	tracker.queueDispatch(machine)
	for _, placement := range starts {
		if result == CommandNotSent && !placement.mayArriveLate {
			delete(machine.startTokens, attemptKey{placement.taskID, placement.Attempt})
		}
		if machine.placements[placement.taskID] != placement {
			// Ended meanwhile, say by an exit that a report showed. The attempt
			// was held back from being forgotten while the message was out.
			if result != CommandOutcomeUnknown && !placement.mayArriveLate {
				delete(machine.lateStarts, attemptKey{placement.taskID, placement.Attempt})
			}
			continue
		}
		placement.startsInFlight = max(0, placement.startsInFlight-1)
		switch result {
		case CommandOutcomeUnknown:
			placement.mayArriveLate = true
		case CommandNotSent, CommandRejected:
			if placement.Phase == PhaseSent && placement.sentInSequence == 0 && !placement.mayArriveLate {
				placement.Phase = PhaseAssigned
			}
		case CommandExecuted:
			// The report in the answer shows it.
			if placement.Phase == PhaseSent {
				placement.sentInSequence = machine.HeartbeatSequence
			}
		}
	}
	if result != CommandExecuted {
		for _, placement := range machine.placements {
			placement.stopSentAt = 0
		}
	}
}

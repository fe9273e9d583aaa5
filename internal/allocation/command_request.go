package allocation

import (
	"fmt"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

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
		commands = tracker.appendCommands(commands, placement, now, commandRequest)
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

const (
	// CommandNotSent: it certainly did not and will not arrive.
	CommandNotSent CommandResult = iota
	// CommandExecuted: the worker has carried it out.
	CommandExecuted
	// CommandRejected: the worker has refused it whole.
	CommandRejected
	// CommandOutcomeUnknown: nothing is known, and it may arrive at any time.
	CommandOutcomeUnknown
)

// String returns the name that log lines and test messages use.
func (result CommandResult) String() string {
	switch result {
	case CommandNotSent:
		return "not sent"
	case CommandExecuted:
		return "executed"
	case CommandRejected:
		return "rejected"
	case CommandOutcomeUnknown:
		return "outcome unknown"
	}
	return fmt.Sprintf("CommandResult(%d)", uint8(result))
}

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
		finishStart(machine, placement, result)
	}
	if result != CommandExecuted {
		for _, placement := range machine.placements {
			placement.stopSentAt = 0
		}
	}
}

// finishStart records what the end of a command request means for a start in it.
func finishStart(machine *Machine, placement *Placement, result CommandResult) {
	if result == CommandNotSent && !placement.mayArriveLate {
		delete(machine.startTokens, placement.key())
	}
	if machine.placements[placement.taskID] != placement {
		// Ended meanwhile, say by an exit that a report showed. The attempt
		// was held back from being forgotten while the message was out.
		if result != CommandOutcomeUnknown && !placement.mayArriveLate {
			delete(machine.lateStarts, placement.key())
		}
		return
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

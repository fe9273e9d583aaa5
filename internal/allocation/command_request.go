package allocation

import (
	"fmt"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// BuildCommandRequest builds a request to the worker (POST /commands) of starts that were not sent
// yet and of stops, and returns it with the placements that it starts. It returns nil if there is
// nothing to send, if the worker's address is unknown or it hasn't confirmed the token, and if a
// request to it is in flight: there is one at a time.
func (tracker *Tracker) BuildCommandRequest(machine *Machine, now clock.Micros) (*wire.CommandRequest, []*Placement) {
	if machine.hasCommandInFlight || !machine.TokenConfirmed || machine.Address == "" {
		return nil, nil
	}
	var commands []wire.Command
	var starts []*Placement
	for _, placement := range machine.placements {
		if placement.Phase == PhaseReported && !placement.isStopping {
			continue
		}
		countBefore := len(commands)
		commands = tracker.appendCommands(commands, placement, now, channelCommandRequest)
		if len(commands) > countBefore && commands[countBefore].Action == wire.ActionStart {
			starts = append(starts, placement)
		}
	}
	if len(commands) == 0 && now >= machine.UnreachableUntil {
		return nil, nil
	}
	// Without commands it probes whether a worker that may be unreachable can be reached again.
	machine.hasCommandInFlight = true
	return &wire.CommandRequest{FencingToken: tracker.currentToken, Incarnation: machine.Incarnation, Commands: commands}, starts
}

// BuildConfirmationRequest builds a request to a worker that has not confirmed the token: its answer
// does. It has the stops that RenewalStops returns and nothing else. It returns nil if the token is
// confirmed, if no heartbeat has told the worker's address, and if a request to it is in flight.
func (tracker *Tracker) BuildConfirmationRequest(machine *Machine, now clock.Micros) *wire.CommandRequest {
	if machine.hasCommandInFlight || machine.TokenConfirmed || machine.Address == "" {
		return nil
	}
	machine.hasCommandInFlight, machine.isConfirmationRequest = true, true
	for _, placement := range machine.placements {
		if placement.NeedsStop() {
			placement.stopSentAt = now
		}
	}
	return &wire.CommandRequest{FencingToken: tracker.currentToken, Incarnation: machine.Incarnation, Commands: tracker.RenewalStops(machine)}
}

// CommandResult is the outcome of a command request.
type CommandResult uint8

const (
	// CommandNotSent means that the request certainly has not arrived and will not.
	CommandNotSent CommandResult = iota
	// CommandExecuted means that the worker has executed the commands.
	CommandExecuted
	// CommandRejected means that the worker has refused the whole request.
	CommandRejected
	// CommandOutcomeUnknown means that there was no answer; the request may arrive at any time.
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

// FinishCommandRequest records the outcome of a command request. A heartbeat in the answer has to be
// given to RecordCommandHeartbeat afterwards.
func (tracker *Tracker) FinishCommandRequest(machine *Machine, starts []*Placement, result CommandResult, now clock.Micros) {
	isConfirmation := machine.isConfirmationRequest
	machine.hasCommandInFlight, machine.isConfirmationRequest = false, false
	switch result {
	case CommandExecuted:
		machine.UnreachableUntil = 0
	case CommandOutcomeUnknown:
		if isConfirmation {
			// It gets no tasks before it confirms the token. Added after machines that lost answers for a
			// minute as the leader changed were left without tasks for a while after they were back.
			break
		}
		// If nothing at all reaches the worker, its lease and its incarnation end by then.
		machine.UnreachableUntil = now + tracker.cfg.LeaseTTL
	}
	tracker.queueDispatch(machine)
	for _, placement := range starts {
		recordStartOutcome(machine, placement, result)
	}
	if result != CommandExecuted {
		for _, placement := range machine.placements {
			placement.stopSentAt = 0 // stops may be lost too, so they are sent again
		}
	}
}

// recordStartOutcome records what the outcome of a command request means for a start in it.
func recordStartOutcome(machine *Machine, placement *Placement, result CommandResult) {
	if result == CommandNotSent && !placement.mayArriveLate {
		delete(machine.startTokens, placement.key())
	}
	if machine.placements[placement.taskID] != placement {
		// The placement has ended meanwhile, for example by an exit in a heartbeat. While the
		// request was in flight, lateStarts kept the attempt from being reaped.
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
		// This start has no effect. Unless a heartbeat's reply (sentInSequence) or an earlier request
		// (mayArriveLate) has carried another, the task isn't on the machine.
		if placement.Phase == PhaseSent && placement.sentInSequence == 0 && !placement.mayArriveLate {
			placement.Phase = PhaseAssigned
		}
	case CommandExecuted:
		// The heartbeat in the answer lists the task. The start is done with: if a later heartbeat of
		// the worker's own lacks it, handleMissingPlacement takes it for lost.
		if placement.Phase == PhaseSent {
			placement.sentInSequence = machine.HeartbeatSequence
		}
	}
}

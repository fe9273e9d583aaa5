package allocation

import (
	"fmt"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// maxUnplacedBytesForRequests is how much room in a machine's heartbeats exited attempts may take while command
// requests start tasks there. An attempt that a command request has started is reaped only after the token has risen
// (invariant 2), one that the reply to a heartbeat has started as soon as it has exited. So short tasks would fill the
// heartbeats; beyond this bound, only replies start tasks.
const maxUnplacedBytesForRequests = MachineReportBytes / 2

// BuildCommandRequest returns a request to the worker (POST /commands) with the starts that were not
// sent yet and the stops that are due, and the placements that it starts. A request without commands
// probes a worker that may be unreachable.
//
// It returns nil if there is nothing to send, if the worker's address is unknown, if the worker hasn't
// confirmed the token, or if another request to the worker is in flight.
func (tracker *Tracker) BuildCommandRequest(machine *Machine, now clock.Micros) (*wire.CommandRequest, []*Placement) {
	if machine.hasCommandInFlight || !machine.TokenConfirmed || machine.Address == "" {
		return nil, nil
	}
	var batch commandBatch
	var starts []*Placement
	addPlacementStops(&batch, machine, now, channelCommandRequest)
	if machine.unplacedBytes <= maxUnplacedBytesForRequests {
		starts = tracker.addStarts(&batch, machine, now, channelCommandRequest)
	}
	if len(batch.commands) == 0 && now >= machine.UnreachableUntil {
		return nil, nil
	}
	// The worker may be unreachable: a request without commands probes whether it is reachable again.
	machine.hasCommandInFlight = true
	return &wire.CommandRequest{FencingToken: tracker.currentToken, Incarnation: machine.Incarnation, Commands: batch.commands}, starts
}

// BuildConfirmationRequest returns a request to a worker that has not confirmed the token; the
// worker's response confirms it. The request carries the stops that RenewalStops returns and no other
// commands.
//
// It returns nil if the token is confirmed, if no heartbeat has named the worker's address, or if
// another request to the worker is in flight.
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
	// CommandNotSent means that the request certainly has not arrived and will not arrive.
	CommandNotSent CommandResult = iota
	// CommandExecuted means that the worker has executed the commands.
	CommandExecuted
	// CommandRejected means that the worker has rejected the whole request.
	CommandRejected
	// CommandOutcomeUnknown means that the request got no response. It may arrive at any time.
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

// FinishCommandRequest records the outcome of a command request. If the response has a heartbeat, the
// caller passes the heartbeat to RecordCommandHeartbeat afterwards.
func (tracker *Tracker) FinishCommandRequest(machine *Machine, starts []*Placement, result CommandResult, now clock.Micros) {
	isConfirmation := machine.isConfirmationRequest
	machine.hasCommandInFlight, machine.isConfirmationRequest = false, false
	switch result {
	case CommandExecuted:
		machine.UnreachableUntil = 0
	case CommandOutcomeUnknown:
		if isConfirmation {
			// The worker gets no tasks before it confirms the token, so the machine need not be marked
			// unreachable. When it was marked, machines whose responses were lost for a minute during a
			// leader change got no tasks for a while after they were reachable again.
			break
		}
		// If no message reaches the worker before UnreachableUntil, its lease and its incarnation have
		// ended by then.
		machine.UnreachableUntil = now + tracker.cfg.LeaseTTL
	}
	tracker.queueDispatch(machine)
	for _, placement := range starts {
		recordStartOutcome(machine, placement, result)
	}
	if result != CommandExecuted {
		for _, placement := range machine.placements {
			placement.stopSentAt = 0 // the stops may be lost too, so they have to be sent again
		}
	}
}

// recordStartOutcome records what the outcome of a command request means for one of its starts.
func recordStartOutcome(machine *Machine, placement *Placement, result CommandResult) {
	if result == CommandNotSent && !placement.mayArriveLate {
		delete(machine.startTokens, placement.key())
	}
	if machine.placements[placement.taskID] != placement {
		// The placement has ended meanwhile, for example by an exit in a heartbeat. Its entry in
		// lateStarts kept the attempt from being reaped while the request was in flight.
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
		// This start has no effect. The task isn't on the machine, unless another start of it was sent
		// in a heartbeat's reply (sentInSequence) or in an earlier request (mayArriveLate).
		if placement.Phase == PhaseSent && placement.sentInSequence == 0 && !placement.mayArriveLate {
			placement.Phase = PhaseAssigned
		}
	case CommandExecuted:
		// The heartbeat in the response lists the task, so the start has arrived. If a later heartbeat that
		// the worker sends on its own lacks the task, handleMissingPlacement treats the start as lost.
		if placement.Phase == PhaseSent {
			placement.sentInSequence = machine.HeartbeatSequence
		}
	}
}

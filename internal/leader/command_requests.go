package leader

import (
	"errors"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/client"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/http1"
	"firwood.dev/firwood/internal/metrics"
	"firwood.dev/firwood/wire"
)

const (
	// commandRequestTimeout bounds a command request. After a timeout it is unknown whether the
	// worker executed the commands, so a task may or may not have been started.
	commandRequestTimeout = 2 * clock.Second
	// commandBlockTime is how long a worker gets no command requests after one that wasn't executed.
	// Meanwhile its commands are sent in the replies to its heartbeats.
	commandBlockTime = 2 * clock.Second
)

// sendCommandRequests sends the starts and stops that are due directly to the workers, rather than
// waiting for their next heartbeats.
func (term *Term) sendCommandRequests(now clock.Micros) {
	term.tracker.ProcessDispatchQueue(func(machine *allocation.Machine) (isDeferred bool) {
		machineInfo := term.machines[machine.Name]
		if machineInfo == nil || machineInfo.isDeleting {
			return false
		}
		if term.isCommandBlocked(machine, machineInfo, now) {
			return true
		}
		term.sendCommandRequest(machine, machineInfo, now)
		return false
	})
}

// isCommandBlocked reports whether a machine's command requests have to wait: because one to it failed
// lately, because the machine is suspected, because too many requests are in flight, or because its zone
// may have a renewal constraint. Nothing is started in such a zone, since a later leader would assume
// that the leases there have ended.
func (term *Term) isCommandBlocked(machine *allocation.Machine, machineInfo *machineState, now clock.Micros) bool {
	isSuspected := now-machine.LastHeartbeatAt > term.environment.Timing.SuspectTimeout
	return term.renewals.constraints.MayConstrainZone(machine.Zone) || now < machineInfo.commandsBlockedUntil || isSuspected ||
		term.commandRequestsInFlight >= term.environment.WorkerRequests.MaxInFlight
}

// sendCommandRequest sends the commands that are due to one machine, if any.
func (term *Term) sendCommandRequest(machine *allocation.Machine, machineInfo *machineState, now clock.Micros) {
	if message, starts := term.tracker.BuildCommandRequest(machine, now); message != nil {
		term.postCommandRequest(machine, machineInfo, message, starts)
	}
}

// postCommandRequest sends a request that the tracker has built, and handles the outcome.
func (term *Term) postCommandRequest(machine *allocation.Machine, machineInfo *machineState, message *wire.CommandRequest, starts []*allocation.Placement) {
	body, err := message.MarshalJSON()
	if err != nil {
		term.tracker.FinishCommandRequest(machine, starts, allocation.CommandNotSent, clock.Now())
		return
	}
	name, host, deadline := machine.Name, term.workerHost(machine, machineInfo), term.sendDeadline
	if len(starts) > 0 {
		deadline = term.taskStartDeadline
	}
	term.commandRequestsInFlight++
	term.background(func() func() {
		response, err := host.Do(client.Request{Method: "POST", Target: "/commands", Body: body, Timeout: commandRequestTimeout, SendDeadline: deadline})
		result := classifyCommandResponse(response, err)
		var heartbeat *wire.Heartbeat
		if err == nil && (response.Status == 200 || response.Status == 409) {
			heartbeat = decodeHeartbeatOf(name, response.Body)
		}
		return func() {
			term.environment.Metrics.CountCommands(message.Commands, metrics.ChannelRequest, commandOutcome(result))
			term.commandRequestsInFlight--
			term.handleCommandResponse(machine, machineInfo, starts, result, heartbeat)
		}
	})
}

// classifyCommandResponse returns whether the worker executed the commands, as far as is known.
func classifyCommandResponse(response *http1.Message, err error) allocation.CommandResult {
	var notSent *client.NotSentError
	switch {
	case errors.As(err, &notSent), errors.Is(err, client.ErrSendDeadlinePassed):
		return allocation.CommandNotSent
	case err != nil:
		return allocation.CommandOutcomeUnknown
	case response.Status == 200:
		return allocation.CommandExecuted
	case response.Status == 409, response.Status == 400:
		return allocation.CommandRejected
	default:
		return allocation.CommandOutcomeUnknown
	}
}

// commandOutcome returns the outcome under which metrics count a result.
func commandOutcome(result allocation.CommandResult) metrics.CommandOutcome {
	switch result {
	case allocation.CommandNotSent:
		return metrics.OutcomeNotSent
	case allocation.CommandExecuted:
		return metrics.OutcomeExecuted
	case allocation.CommandRejected:
		return metrics.OutcomeRejected
	case allocation.CommandOutcomeUnknown:
	}
	return metrics.OutcomeUnknown
}

// handleCommandResponse records the result of a command request, and the heartbeat that the worker's
// response carried, or nil if there was none.
func (term *Term) handleCommandResponse(machine *allocation.Machine, machineInfo *machineState, starts []*allocation.Placement, result allocation.CommandResult, heartbeat *wire.Heartbeat) {
	now := clock.Now()
	if term.tracker.Machines[machine.Name] != machine {
		return
	}
	term.tracker.FinishCommandRequest(machine, starts, result, now)
	if result != allocation.CommandExecuted {
		machineInfo.commandsBlockedUntil = now + commandBlockTime
	}
	if heartbeat != nil && term.tracker.RecordCommandHeartbeat(machine, heartbeat, now) == allocation.HeartbeatFenced {
		term.host.HandleHigherToken(term.token)
		return
	}
	if heartbeat != nil {
		term.logUnexpectedTasks(machine, heartbeat, false, now)
	}
	term.processTaskEvents(now)
	term.requestPlan()
}

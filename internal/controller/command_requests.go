package controller

import (
	"errors"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/client"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// commandRequestTimeout bounds a direct message; past it the start stays possible.
const commandRequestTimeout = 2 * clock.Second

// sendCommandRequests sends starts and stops straight to the workers: a report's answer
// would wait for the next report.
func (term *leaderTerm) sendCommandRequests(now clock.Micros) {
	term.tracker.ProcessDispatchQueue(func(machine *allocation.Machine) bool {
		name := machine.Name
		machineInfo := term.machines[name]
		if machineInfo == nil || machineInfo.isDeleting {
			return false
		}
		// Nothing is started where a later leader would take the leases for over.
		if term.renewals.constraints.MayConstrainZone(machine.Zone) || now < machineInfo.commandsBlockedUntil || now-machine.LastHeartbeatAt > term.controller.suspectTimeout() || term.commandRequestsInFlight >= term.controller.workerRequests.maxInFlight {
			return true
		}
		message, starts := term.tracker.BuildCommandRequest(machine, now)
		if message == nil {
			return false
		}
		body, err := message.MarshalJSON()
		if err != nil {
			term.tracker.FinishCommandRequest(machine, starts, allocation.CommandNotSent, now)
			return false
		}
		if machineInfo.host == nil {
			machineInfo.host = term.controller.workerRequests.pool.NewHost(machine.Address, 1, 4*wire.MaxBodyBytes)
		}
		host, until := machineInfo.host, term.mayActUntil
		if len(starts) > 0 {
			until = term.mayStartUntil
		}
		term.commandRequestsInFlight++
		go func() {
			response, err := host.Do(client.Request{Method: "POST", Target: "/commands", Body: body, Timeout: commandRequestTimeout, SendDeadline: until})
			result := allocation.CommandOutcomeUnknown
			var heartbeat *wire.Heartbeat
			var sendError *client.NotSentError
			switch {
			case errors.As(err, &sendError), errors.Is(err, client.ErrSendDeadlinePassed):
				result = allocation.CommandNotSent
			case err != nil:
			case response.Status == 200:
				result = allocation.CommandExecuted
			case response.Status == 409, response.Status == 400:
				result = allocation.CommandRejected
			}
			if err == nil && (response.Status == 200 || response.Status == 409) {
				decoded := &wire.Heartbeat{}
				if decoded.UnmarshalJSON(response.Body) == nil && decoded.MachineID == name {
					heartbeat = decoded
				}
			}
			term.controller.postResult(func() {
				if !term.isClosed {
					term.commandRequestsInFlight--
					term.handleCommandResponse(machine, machineInfo, starts, result, heartbeat)
				}
			})
		}()
		return false
	})
}

func (term *leaderTerm) handleCommandResponse(machine *allocation.Machine, machineInfo *machineState, starts []*allocation.Placement, result allocation.CommandResult, heartbeat *wire.Heartbeat) {
	now := clock.Now()
	if term.tracker.Machines[machine.Name] != machine {
		return
	}
	term.tracker.FinishCommandRequest(machine, starts, result, now)
	if result != allocation.CommandExecuted {
		// The way to this worker is bad; its reports' answers will do.
		machineInfo.commandsBlockedUntil = now + 2*clock.Second
	}
	if heartbeat != nil && term.tracker.RecordCommandHeartbeat(machine, heartbeat, now) == allocation.HeartbeatFenced {
		term.controller.handleFenced(term.token)
		return
	}
	term.processTaskEvents(now)
	term.requestPlan()
}

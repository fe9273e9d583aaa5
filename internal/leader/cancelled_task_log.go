package leader

import (
	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// Values of the log field stop_channel: how the stop of a listed task reaches its worker next, or why no
// stop is sent.
const (
	stopInReply         = "heartbeat reply"
	stopInRequest       = "command request"
	stopNeedsAddress    = "none: the worker's address is unknown"
	stopNeedsToken      = "none before the worker confirms the token"
	stopRequestsBlocked = "none before the worker's next heartbeat: command requests are held back"
	stopNeedsHeartbeat  = "none before the worker's next heartbeat"
	stopTaskIsSaving    = "none: the task saves its progress"
	stopAlreadySent     = "command request, sent already"
)

// logUnexpectedTasks logs the tasks of cancelled and unknown jobs that a worker's message lists.
// canReply is whether the leader replies to the message; a reply can carry stops. A task of a cancelled
// job is logged once in a term. The number of lines is bounded for both kinds together.
func (term *Term) logUnexpectedTasks(machine *allocation.Machine, heartbeat *wire.Heartbeat, canReply bool, now clock.Micros) {
	for _, placement := range term.tracker.NewlyListedCancelled {
		cancelledFor := now - placement.Job.CancelledAt
		channel := term.stopChannel(machine, placement, canReply, now)
		term.logUnexpectedTask(heartbeat, "worker lists a cancelled task", now, "task", placement.TaskID(), "cancelled_s", cancelledFor.Seconds(), "stop_channel", channel)
	}
	for _, task := range term.tracker.TasksOfUnknownJobs {
		channel := stopNeedsHeartbeat
		if canReply {
			channel = stopInReply
		}
		term.logUnexpectedTask(heartbeat, "worker lists a task of an unknown job", now, "task", task, "stop_channel", channel)
	}
	term.tracker.NewlyListedCancelled, term.tracker.TasksOfUnknownJobs = nil, nil
}

// logUnexpectedTask logs a line about a task that a heartbeat lists, unless the limit of such lines is
// reached.
func (term *Term) logUnexpectedTask(heartbeat *wire.Heartbeat, message string, now clock.Micros, args ...any) {
	suppressed, isAllowed := term.logs.listedTasks.allow(now)
	if !isAllowed {
		return
	}
	args = append(args, "machine", heartbeat.MachineID, "worker_token", heartbeat.FencingToken, "token", term.tracker.FencingToken(), "suppressed", suppressed)
	term.environment.Log.Info(message, args...)
}

// stopChannel returns how the stop of a listed task is sent to its worker next, or why none is sent.
func (term *Term) stopChannel(machine *allocation.Machine, placement *allocation.Placement, canReply bool, now clock.Micros) string {
	machineInfo := term.machines[machine.Name]
	switch {
	case !placement.NeedsStop():
		return stopTaskIsSaving
	case canReply:
		return stopInReply
	case placement.IsStopSent():
		return stopAlreadySent
	case !machine.TokenConfirmed:
		return stopNeedsToken
	case machine.Address == "":
		return stopNeedsAddress
	case machineInfo == nil, machineInfo.isDeleting, term.isCommandBlocked(machine, machineInfo, now):
		return stopRequestsBlocked
	}
	return stopInRequest
}

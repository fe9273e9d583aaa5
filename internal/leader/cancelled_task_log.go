package leader

import (
	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// Ways in which the stop of a listed task goes to its worker, as the log names them.
const (
	stopInReply       = "heartbeat reply"
	stopInRequest     = "command request"
	stopNeedsAddress  = "none: the worker's address is unknown"
	stopNeedsToken    = "none before the worker confirms the token"
	stopNeedsRequest  = "none before the worker's next heartbeat: command requests are held back"
	stopNeedsReply    = "none before the worker's next heartbeat"
	stopTaskIsSaving  = "none: the task saves its progress"
	stopIsSentAlready = "command request, sent already"
)

// logListedCancelled logs the tasks of cancelled and unknown jobs that a worker's message lists. Those
// of cancelled jobs are logged once in a term, and all lines are bounded.
func (term *Term) logListedCancelled(machine *allocation.Machine, heartbeat *wire.Heartbeat, isReply bool, now clock.Micros) {
	for _, placement := range term.tracker.NewlyListedCancelled {
		since := now - placement.Job.CancelledAt
		channel := term.stopChannel(machine, placement, isReply, now)
		term.logListed(heartbeat, "worker lists a cancelled task", now, "task", placement.TaskID(), "cancelled_s", since.Seconds(), "stop_channel", channel)
	}
	for _, task := range term.tracker.TasksOfUnknownJobs {
		channel := stopNeedsReply
		if isReply {
			channel = stopInReply
		}
		term.logListed(heartbeat, "worker lists a task of an unknown job", now, "task", task, "stop_channel", channel)
	}
	term.tracker.NewlyListedCancelled, term.tracker.TasksOfUnknownJobs = nil, nil
}

// logListed logs a line about a task that a heartbeat lists, unless there were too many.
func (term *Term) logListed(heartbeat *wire.Heartbeat, message string, now clock.Micros, args ...any) {
	suppressed, isAllowed := term.logs.listedTasks.allow(now)
	if !isAllowed {
		return
	}
	args = append(args, "machine", heartbeat.MachineID, "worker_token", heartbeat.FencingToken, "token", term.tracker.FencingToken(), "suppressed", suppressed)
	term.environment.Log.Info(message, args...)
}

// stopChannel is the way in which the stop of a listed task goes to its worker next, or why none does.
func (term *Term) stopChannel(machine *allocation.Machine, placement *allocation.Placement, isReply bool, now clock.Micros) string {
	machineInfo := term.machines[machine.Name]
	switch {
	case !placement.NeedsStop():
		return stopTaskIsSaving
	case isReply:
		return stopInReply
	case placement.IsStopSent():
		return stopIsSentAlready
	case !machine.TokenConfirmed:
		return stopNeedsToken
	case machine.Address == "":
		return stopNeedsAddress
	case machineInfo == nil, machineInfo.isDeleting, term.isCommandBlocked(machine, machineInfo, now):
		return stopNeedsRequest
	}
	return stopInRequest
}

package leader

import (
	"slices"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/metrics"
	"firwood.dev/firwood/internal/server"
	"firwood.dev/firwood/wire"
)

// HandleHeartbeat handles a worker's heartbeat. The reply renews the worker's lease.
func (term *Term) HandleHeartbeat(heartbeat *wire.Heartbeat, reply *server.Reply) {
	now := clock.Now()
	if term.deferIfRenewalBlocked(heartbeat, reply, now) {
		return
	}
	machine := term.tracker.Machines[heartbeat.MachineID]
	if machine == nil {
		term.noteUnknownMachine(heartbeat.MachineID, now)
		term.renewLease(reply, allocation.StopsOfListedTasks(heartbeat, term.needsStop), metrics.ReplyUnknownMachine)
		return
	}
	result := term.recordHeartbeat(machine, heartbeat, now)
	if result == allocation.HeartbeatFenced {
		term.environment.Log.Info("deposed: a worker reported a higher fencing token", "machine", heartbeat.MachineID, "token", heartbeat.FencingToken, "own_token", term.tracker.FencingToken())
		term.environment.Metrics.CountReply(metrics.ReplyFenced)
		replyUnavailable(reply, "deposed")
		term.host.HandleHigherToken(term.token)
		return
	}
	commands := term.replyCommands(result, machine, now)
	term.logUnexpectedTasks(machine, heartbeat, true, now)
	if len(commands) > 0 {
		term.renewLease(reply, commands, metrics.ReplyRenewedWithCommands)
	} else {
		term.renewLease(reply, commands, metrics.ReplyRenewed)
	}
}

// renewLease sends the reply that renews a worker's lease. The commands have to include a stop of every
// task that the worker's heartbeat lists and that has to end (invariant 7 of package allocation).
func (term *Term) renewLease(reply *server.Reply, commands []wire.Command, result metrics.HeartbeatReply) {
	if commands == nil {
		commands = []wire.Command{} // the protocol requires a list
	}
	body, err := wire.HeartbeatResponse{FencingToken: term.tracker.FencingToken(), Commands: commands}.MarshalJSON()
	if err != nil {
		replyUnavailable(reply, "cannot be encoded")
		return
	}
	term.environment.Metrics.CountReply(result)
	term.environment.Metrics.CountCommands(commands, metrics.ChannelReply, metrics.OutcomeSent)
	reply.SendBefore(200, body, 0, term.replyDeadline(commands))
}

// needsStop reports whether the tasks of a job have to end: the job is cancelled, has ended or is unknown, or
// a dependency of it is unmet.
func (term *Term) needsStop(jobID string) bool {
	if job := term.tracker.Jobs[jobID]; job != nil {
		return job.Cancelled || job.Dependencies == allocation.DependenciesUnmet
	}
	return !term.environment.mayBeActive(jobID)
}

// replyUnavailable replies with status 503 and has the worker retry after one second.
func replyUnavailable(reply *server.Reply, reason string) {
	reply.Send(503, server.ErrorBody(reason), 1)
}

// noteUnknownMachine records when a machine that no record names was first shown to exist, unless this
// leader has deleted it.
func (term *Term) noteUnknownMachine(name string, now clock.Micros) {
	if _, isDeleted := term.deletions.deletedAt[name]; isDeleted {
		return
	}
	if _, isKnown := term.listing.unknownSince[name]; !isKnown {
		term.listing.unknownSince[name] = now
	}
}

// recordHeartbeat records a heartbeat in the allocation table. If a machine requested in this term sends
// its first heartbeat, the scheduler gets the machine's boot time.
func (term *Term) recordHeartbeat(machine *allocation.Machine, heartbeat *wire.Heartbeat, now clock.Micros) allocation.HeartbeatResult {
	term.tracker.RecordLeaseRenewal(machine, now)
	wasBooting := machine.FirstHeartbeatAt == 0
	result := term.tracker.RecordHeartbeat(machine, heartbeat, now)
	if result == allocation.HeartbeatAccepted && wasBooting && machine.CreatedAt > term.liveness.startedAt {
		term.scheduler.ObserveBoot(machine.Type, now-machine.CreatedAt)
	}
	return result
}

// replyCommands returns the commands in the reply to a heartbeat. A heartbeat may be repeated, or overtaken
// by the response to a command request or a probe. The reply to such a heartbeat contains only stops. It
// has to contain them, since it renews the lease too.
func (term *Term) replyCommands(result allocation.HeartbeatResult, machine *allocation.Machine, now clock.Micros) []wire.Command {
	if result != allocation.HeartbeatAccepted {
		return term.tracker.RenewalStops(machine)
	}
	term.processTaskEvents(now)
	term.queueConfirmationRequest(machine, now)
	commands := term.tracker.HeartbeatCommands(machine, now)
	term.requestPlan()
	return commands
}

// replyDeadline returns the latest instant at which the reply to a heartbeat may be sent, since the reply
// renews the worker's lease and may start tasks. It is never 0, which would mean no deadline; the deadlines
// of a closed term are 0.
func (term *Term) replyDeadline(commands []wire.Command) clock.Micros {
	until := min(term.sendDeadline(), term.entitlement.viewAge.RenewLeasesUntil())
	if slices.ContainsFunc(commands, func(command wire.Command) bool { return command.Action == wire.ActionStart }) {
		until = min(until, term.taskStartDeadline())
	}
	return max(until, 1)
}

// processTaskEvents handles the tasks that heartbeats have reported as started or exited.
func (term *Term) processTaskEvents(now clock.Micros) {
	for _, placement := range term.tracker.Started {
		term.handleTaskStart(placement, now)
	}
	term.tracker.Started = term.tracker.Started[:0]
	for _, exit := range term.tracker.Exited {
		term.handleTaskExit(exit, now)
	}
	term.tracker.Exited = term.tracker.Exited[:0]
}

func (term *Term) handleTaskStart(placement *allocation.Placement, now clock.Micros) {
	job := placement.Job
	term.environment.Log.Debug("task started", "job", job.Spec.ID, "task", placement.TaskIndex, "class", job.Spec.Class, "machine", placement.Machine.Name,
		"waited_s", (clock.WallTime() - job.ReleasedAt).Seconds(), "placed_s", (now - placement.CreatedAt).Seconds())
	if job.FirstStartAt != 0 {
		return
	}
	job.FirstStartAt = now
	if jobInfo := term.jobs[job.Spec.ID]; jobInfo != nil && jobInfo.firstStartAt == 0 {
		jobInfo.firstStartAt = int64(clock.WallTime())
	}
}

const (
	// maxFailureDoublings bounds the backoff of a failing task: 2 s after its first failure, doubled after
	// each further failure, at most 32 s. The backoff is twice as long while the job is considered to be
	// at fault.
	maxFailureDoublings = 5
	// minFailedMachines is the number of machines on which a job has to fail, with no task done, for the
	// job itself to be considered at fault.
	minFailedMachines = 3
	// rejectedRetryDelay is the time until a task that a worker refused to start is tried again.
	rejectedRetryDelay = clock.Second
)

func (term *Term) handleTaskExit(exit allocation.ExitEvent, now clock.Micros) {
	placement, job := exit.Placement, exit.Placement.Job
	if exit.Cause != wire.ExitDone && !job.Cancelled {
		term.environment.Log.Debug("task exited", "job", job.Spec.ID, "task", placement.TaskIndex, "class", job.Spec.Class, "machine", placement.Machine.Name, "reason", exit.Cause,
			"stop_requested", placement.IsStopping(), "saved", placement.ProgressSaved, "state", placement.ReportedState, "placed_s", (now - placement.CreatedAt).Seconds())
	}
	switch exit.Cause {
	case wire.ExitDone:
		term.observeCompletedRun(placement, now)
	case wire.ExitError:
		term.handleTaskFailure(placement, now)
	case allocation.CauseVanished:
		if !job.Cancelled {
			job.RestartCount++
		}
	case wire.ExitNoResources, wire.ExitAttemptConflict, wire.ExitUnknownTask:
		job.Tasks[placement.TaskIndex].RetryAt = now + rejectedRetryDelay
	}
	term.requestPlan()
}

// hasObservedFullRun reports whether this leader has observed a task's run from its beginning and not
// from a checkpoint, so that its duration is representative of the class.
func hasObservedFullRun(placement *allocation.Placement) bool {
	job := placement.Job
	wasSeen := placement.RunningAt != 0 && !placement.Adopted
	isResumedTask := job.Tasks[placement.TaskIndex].CheckpointedSeconds != 0
	isResumedGang := job.IsGang() && job.CheckpointedSeconds > 0
	return wasSeen && !job.IsService() && !isResumedTask && !isResumedGang
}

// observeCompletedRun passes the duration of a task's run to the scheduler, and the mean of the job's runs
// once all its tasks are done.
func (term *Term) observeCompletedRun(placement *allocation.Placement, now clock.Micros) {
	if !hasObservedFullRun(placement) {
		return
	}
	job := placement.Job
	runSeconds := (now - placement.RunningAt).Seconds()
	term.scheduler.ObserveTaskRun(job, runSeconds, now)
	if jobInfo := term.jobs[job.Spec.ID]; jobInfo != nil {
		jobInfo.observedRuns++
		jobInfo.observedRunSeconds += runSeconds
		if job.IsComplete() && !jobInfo.isJobRunObserved {
			jobInfo.isJobRunObserved = true
			term.scheduler.ObserveJobRun(job, jobInfo.observedRunSeconds/float64(jobInfo.observedRuns), now)
		}
	}
	term.environment.Log.Debug("task done", "job", job.Spec.ID, "task", placement.TaskIndex, "machine", placement.Machine.Name, "run_s", runSeconds, "estimate_s", job.Spec.EstimatedRunSeconds)
}

// handleTaskFailure delays the next attempt of a task that failed. A faulty machine fails many jobs, while
// a faulty job fails on every machine. So a job that fails on several machines with no task done is retried
// half as often, and its failures don't count against any machine.
func (term *Term) handleTaskFailure(placement *allocation.Placement, now clock.Micros) {
	job := placement.Job
	task := &job.Tasks[placement.TaskIndex]
	backoff := clock.Second << min(int(task.FailureCount), maxFailureDoublings)
	if len(job.FailuresByMachine) >= minFailedMachines && job.DoneCount() == 0 {
		backoff = 2 * backoff
		for _, machine := range term.tracker.Machines {
			delete(machine.FailedJobs, job.Spec.ID)
		}
	}
	task.RetryAt = now + backoff
	term.environment.Log.Info("task failed", "job", job.Spec.ID, "task", placement.TaskIndex, "machine", placement.Machine.Name, "failures", task.FailureCount, "backoff_s", backoff.Seconds())
	term.recordTaskFailure(placement.Machine, now)
}

package leader

import (
	"slices"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/metrics"
	"firwood.dev/firwood/internal/server"
	"firwood.dev/firwood/wire"
)

// HandleHeartbeat takes a worker's heartbeat and replies to it, which renews its lease.
func (term *Term) HandleHeartbeat(heartbeat *wire.Heartbeat, reply *server.Reply) {
	now := clock.Now()
	if term.deferIfConstrained(heartbeat, reply, now) {
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
	term.logListedCancelled(machine, heartbeat, true, now)
	if len(commands) > 0 {
		term.renewLease(reply, commands, metrics.ReplyRenewedWithCommands)
	} else {
		term.renewLease(reply, commands, metrics.ReplyRenewed)
	}
}

// renewLease sends the reply that renews a worker's lease. The commands have to include the stop of
// every task that its heartbeat lists and that has to end (invariant 7 of package allocation).
func (term *Term) renewLease(reply *server.Reply, commands []wire.Command, result metrics.HeartbeatReply) {
	if commands == nil {
		commands = []wire.Command{} // the protocol has a list
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

// needsStop tells whether tasks of a job have to end: it is cancelled, or over, or unknown.
func (term *Term) needsStop(jobID string) bool {
	if job := term.tracker.Jobs[jobID]; job != nil {
		return job.Cancelled
	}
	return !term.environment.mayBeActive(jobID)
}

// replyUnavailable replies 503, to be retried after a second.
func replyUnavailable(reply *server.Reply, reason string) {
	reply.Send(503, server.ErrorBody(reason), 1)
}

// noteUnknownMachine records that a machine exists that no record names, unless this leader
// has deleted it.
func (term *Term) noteUnknownMachine(name string, now clock.Micros) {
	if _, isDeleted := term.deletions.deletedAt[name]; isDeleted {
		return
	}
	if _, isKnown := term.listing.unknownSince[name]; !isKnown {
		term.listing.unknownSince[name] = now
	}
}

// recordHeartbeat has the allocation table take a heartbeat, and the scheduler the time
// that a machine of this term took to boot.
func (term *Term) recordHeartbeat(machine *allocation.Machine, heartbeat *wire.Heartbeat, now clock.Micros) allocation.HeartbeatResult {
	term.tracker.RecordLeaseRenewal(machine, now)
	wasBooting := machine.FirstHeartbeatAt == 0
	result := term.tracker.RecordHeartbeat(machine, heartbeat, now)
	if result == allocation.HeartbeatAccepted && wasBooting && machine.CreatedAt > term.liveness.startedAt {
		term.scheduler.ObserveBoot(machine.Type, now-machine.CreatedAt)
	}
	return result
}

// replyCommands is what the reply to a heartbeat commands. A repeated or older one, which an answer
// to a command request or a probe may have overtaken, gets stops alone: its reply renews the lease too.
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

// replyDeadline is the latest instant at which the reply to a heartbeat may be sent, since
// it renews the worker's lease and may start tasks. It is never 0, which would be no deadline: a
// closed term's deadlines are 0.
func (term *Term) replyDeadline(commands []wire.Command) clock.Micros {
	until := min(term.mayActUntil(), term.entitlement.viewAge.RenewLeasesUntil())
	if slices.ContainsFunc(commands, func(command wire.Command) bool { return command.Action == wire.ActionStart }) {
		until = min(until, term.mayStartUntil())
	}
	return max(until, 1)
}

// processTaskEvents takes the tasks that heartbeats have shown as started or exited.
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
	// maxFailureDoublings bounds the backoff of a task that fails: 2 s after its first failure, twice
	// as long after each further one, at most 32 s. Twice that applies while the job is taken to be
	// at fault.
	maxFailureDoublings = 5
	// minFailedMachines is on how many machines a job has to fail, with no task done, to be
	// taken to be at fault itself.
	minFailedMachines = 3
	// rejectedRetryDelay is how long a task waits that a worker would not start.
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

// hasObservedFullRun tells whether this leader has seen the whole run of a task, from its beginning
// and not from a checkpoint, so that its duration says something of the class.
func hasObservedFullRun(placement *allocation.Placement) bool {
	job := placement.Job
	wasSeen := placement.RunningAt != 0 && !placement.Adopted
	isResumedTask := job.Tasks[placement.TaskIndex].CheckpointedSeconds != 0
	isResumedGang := job.IsGang() && job.CheckpointedSeconds > 0
	return wasSeen && !job.IsService() && !isResumedTask && !isResumedGang
}

// observeCompletedRun has the scheduler learn from the duration of a task's run, and of the
// job's once all its tasks are done.
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

// handleTaskFailure delays the next attempt of a task that failed. A faulty machine fails
// many jobs, a faulty job fails everywhere: a job that fails on several machines without
// any task done is retried half as often, and no machine is blamed for it.
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

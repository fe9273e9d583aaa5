package controller

import (
	"slices"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/server"
	"firwood.dev/firwood/wire"
)

func (term *leaderTerm) handleHeartbeat(heartbeat *wire.Heartbeat, reply *server.Reply) {
	now := clock.Now()
	if term.deferIfConstrained(heartbeat, reply, now) {
		return
	}
	var response wire.HeartbeatResponse
	machine := term.tracker.Machines[heartbeat.MachineID]
	if machine == nil {
		if _, ok := term.deletions.deletedAt[heartbeat.MachineID]; !ok {
			if _, ok := term.listing.unknownSince[heartbeat.MachineID]; !ok {
				term.listing.unknownSince[heartbeat.MachineID] = now
			}
		}
	} else {
		term.tracker.RecordLeaseRenewal(machine, now)
		booting := machine.FirstHeartbeatAt == 0
		result := term.tracker.RecordHeartbeat(machine, heartbeat, now)
		if result == allocation.HeartbeatFenced {
			term.controller.log.Info("a worker has seen a higher token", "worker", heartbeat.MachineID, "token", heartbeat.FencingToken)
			replyUnavailable(reply, "deposed")
			term.controller.handleFenced(term.token)
			return
		}
		if result == allocation.HeartbeatAccepted {
			if booting && machine.CreatedAt > term.liveness.startedAt {
				term.scheduler.ObserveBoot(machine.Type, now-machine.CreatedAt)
			}
			term.processTaskEvents(now)
			response.Commands = term.tracker.HeartbeatCommands(machine, now)
			term.requestPlan()
		}
	}
	response.FencingToken = term.tracker.FencingToken()
	if response.Commands == nil {
		response.Commands = []wire.Command{}
	}
	body, err := response.MarshalJSON()
	if err != nil {
		replyUnavailable(reply, "cannot be encoded")
		return
	}
	reply.SendBefore(200, body, 0, term.replyDeadline(response.Commands))
}

// replyDeadline is the last instant at which an answer to a report may go out: it
// renews the worker's lease, and may start tasks.
func (term *leaderTerm) replyDeadline(commands []wire.Command) clock.Micros {
	until := min(term.mayActUntil(), term.entitlement.viewAge.RenewLeasesUntil())
	if slices.ContainsFunc(commands, func(command wire.Command) bool { return command.Action == wire.ActionStart }) {
		until = min(until, term.mayStartUntil())
	}
	return until
}

// processTaskEvents draws the conclusions from what reports showed.
func (term *leaderTerm) processTaskEvents(now clock.Micros) {
	for _, placement := range term.tracker.Started {
		job := placement.Job
		term.controller.log.Debug("task up", "job", job.Spec.ID, "task", placement.TaskIndex, "class", job.Spec.Class, "machine", placement.Machine.Name,
			"waited_s", (clock.WallTime() - job.ReleasedAt).Seconds(), "placed_s", (now - placement.CreatedAt).Seconds())
		if job.FirstStartAt == 0 {
			job.FirstStartAt = now
			if jobInfo := term.jobs[job.Spec.ID]; jobInfo != nil && jobInfo.firstStartAt == 0 {
				jobInfo.firstStartAt = int64(clock.WallTime())
			}
		}
	}
	term.tracker.Started = term.tracker.Started[:0]
	for _, exit := range term.tracker.Exited {
		term.handleTaskExit(exit, now)
	}
	term.tracker.Exited = term.tracker.Exited[:0]
}

func (term *leaderTerm) handleTaskExit(exit allocation.ExitEvent, now clock.Micros) {
	placement, job := exit.Placement, exit.Placement.Job
	task := &job.Tasks[placement.TaskIndex]
	if exit.Cause != wire.ExitDone && !job.Cancelled {
		term.controller.log.Debug("task ended", "job", job.Spec.ID, "task", placement.TaskIndex, "class", job.Spec.Class, "machine", placement.Machine.Name, "why", exit.Cause,
			"told", placement.IsStopping(), "saved", placement.ProgressSaved, "state", placement.ReportedState, "placed_s", (now - placement.CreatedAt).Seconds())
	}
	switch exit.Cause {
	case wire.ExitDone:
		if placement.RunningAt != 0 && !placement.Adopted && !job.IsService() && task.CheckpointedSeconds == 0 && !(job.IsGang() && job.CheckpointedSeconds > 0) {
			runSeconds := (now - placement.RunningAt).Seconds()
			term.scheduler.ObserveTaskRun(job, runSeconds, now)
			if jobInfo := term.jobs[job.Spec.ID]; jobInfo != nil {
				jobInfo.observedRuns, jobInfo.observedRunSeconds = jobInfo.observedRuns+1, jobInfo.observedRunSeconds+runSeconds
				if job.IsComplete() && !jobInfo.isJobRunObserved {
					jobInfo.isJobRunObserved = true
					term.scheduler.ObserveJobRun(job, jobInfo.observedRunSeconds/float64(jobInfo.observedRuns), now)
				}
			}
			term.controller.log.Debug("task done", "job", job.Spec.ID, "task", placement.TaskIndex, "machine", placement.Machine.Name, "took_s", runSeconds, "estimate_s", job.Spec.EstimatedRunSeconds)
		}
	case wire.ExitError:
		// A faulty machine fails many jobs, a faulty job fails everywhere. The
		// more often a job fails on different machines without any task done,
		// the more slowly it is tried again, and no machine is blamed for it.
		backoff := clock.Second << min(int(task.FailureCount), 5)
		if len(job.FailuresByMachine) >= 3 && job.DoneCount() == 0 {
			backoff = 2 * backoff
			for _, machine := range term.tracker.Machines {
				delete(machine.FailedJobs, job.Spec.ID)
			}
		}
		task.RetryAt = now + backoff
		term.controller.log.Info("task failed", "job", job.Spec.ID, "task", placement.TaskIndex, "machine", placement.Machine.Name, "fails", task.FailureCount)
		term.recordTaskFailure(placement.Machine, now)
	case allocation.CauseVanished:
		if !job.Cancelled {
			job.RestartCount++
		}
	case wire.ExitNoResources, wire.ExitAttemptConflict, wire.ExitUnknownTask:
		task.RetryAt = now + clock.Second
	}
	term.requestPlan()
}

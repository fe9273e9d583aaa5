package controller

import (
	"slices"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/jobhistory"
	"firwood.dev/firwood/internal/kvstore"
	"firwood.dev/firwood/internal/leader"
	"firwood.dev/firwood/internal/records"
	"firwood.dev/firwood/internal/server"
	"firwood.dev/firwood/internal/storeview"
	"firwood.dev/firwood/wire"
)

// The way of a submission: jobs that it names and that may have been evicted are looked up;
// then it is judged; then its record is written under the condition that there is none.
// A submission that is repeated, here or at another member, is answered with the status of
// the job that was accepted, and never refused.

// SubmitJob makes a job durable, and replies with its status. It may be called on any
// goroutine.
func (controller *Controller) SubmitJob(job *wire.Job, reply *server.Reply) {
	controller.postUserRequest(reply, func() { controller.submitJob(job, reply) })
}

func (controller *Controller) submitJob(job *wire.Job, reply *server.Reply) {
	switch {
	case controller.view.Jobs[job.ID] != nil:
		controller.showJob(job.ID, reply)
	case !controller.view.IsLoaded || len(controller.machineTypes.list) == 0:
		replyUnavailable(reply, reasonNotReady)
	default:
		controller.lookUpNamedJobs(job, reply, func(absent map[string]bool) { controller.judgeSubmission(job, reply, absent) })
	}
}

// lookUpNamedJobs looks up a submission's dependencies, and the job itself, where they may
// have been evicted. It proceeds with those that are proven absent.
func (controller *Controller) lookUpNamedJobs(job *wire.Job, reply *server.Reply, proceed func(absent map[string]bool)) {
	absent := map[string]bool{}
	var ids []string
	for _, id := range append(slices.Clone(job.DependsOn), job.ID) {
		if controller.mayBeEvicted(id) {
			ids = append(ids, id)
		}
	}
	remaining, isAnswered := len(ids), true
	if remaining == 0 {
		proceed(absent)
		return
	}
	for _, id := range ids {
		controller.lookUpJob(id, clock.Now()+syncTimeout, func(result jobhistory.LookupResult) {
			isAnswered = isAnswered && result != jobhistory.Unavailable
			absent[id] = result == jobhistory.Absent
			if remaining--; remaining > 0 {
				return
			}
			if !isAnswered {
				replyUnavailable(reply, reasonStoreUnavailable)
				return
			}
			proceed(absent)
		})
	}
}

// judgeSubmission decides on a submission once the jobs that it names are in the view or
// known to be absent.
func (controller *Controller) judgeSubmission(job *wire.Job, reply *server.Reply, absent map[string]bool) {
	isUnproven := func(id string) bool { return controller.mayBeEvicted(id) && !absent[id] }
	if controller.view.Jobs[job.ID] != nil || isUnproven(job.ID) {
		controller.showJob(job.ID, reply)
		return
	}
	if slices.ContainsFunc(job.DependsOn, isUnproven) {
		// The look-up brought it into the view, and it was evicted again for want of memory.
		replyUnavailable(reply, "what it awaits was forgotten again")
		return
	}
	if reason := controller.rejectionReason(job); reason != "" {
		controller.rejectAfterSync(job, reply, reason)
		return
	}
	if controller.invalidDependencyReason(job) != "" {
		controller.recheckDependencies(job, reply)
		return
	}
	if replies, ok := controller.users.pendingSubmissions[job.ID]; ok {
		controller.users.pendingSubmissions[job.ID] = append(replies, reply)
		return
	}
	controller.commitSubmission(job, reply)
}

// rejectionReason says why a job can never run, if so.
func (controller *Controller) rejectionReason(job *wire.Job) string {
	team, ok := controller.settings.Teams[job.Team]
	if !ok {
		return "unknown team"
	}
	taskNeed := allocation.NewResources(job.CPUs, job.GPUs, job.MemoryGB)
	if !slices.ContainsFunc(controller.machineTypes.list, func(machineType wire.MachineType) bool { return fitsMachineType(job, taskNeed, &machineType) }) {
		return "a task fits no allowed machine type"
	}
	// The tasks of an array need not run at the same time.
	tasksAtOnce := job.TaskCount
	if job.Kind == wire.KindArray {
		tasksAtOnce = 1
	}
	if exceedsTeamLimit(taskNeed.Times(tasksAtOnce), team) {
		return "the job needs more than its team's limit"
	}
	return ""
}

// fitsMachineType tells whether a job's tasks may run on machines of a type, and fit there.
func fitsMachineType(job *wire.Job, taskNeed allocation.Resources, machineType *wire.MachineType) bool {
	return (job.MachineTypes == nil || slices.Contains(job.MachineTypes, machineType.Name)) &&
		(job.Zone == "" || slices.Contains(machineType.Zones, job.Zone)) &&
		taskNeed.IsWithin(allocation.NewResources(machineType.CPUs, machineType.GPUs, machineType.MemoryGB))
}

// exceedsTeamLimit tells whether resources are more than a team may have; a limit of 0 is none.
func exceedsTeamLimit(need allocation.Resources, team allocation.TeamQuota) bool {
	return team.MaxMilliCPU > 0 && need.MilliCPU > team.MaxMilliCPU || team.MaxMilliGPU > 0 && need.MilliGPU > team.MaxMilliGPU
}

// invalidDependencyReason says why a job can never run for what it depends on, if so.
func (controller *Controller) invalidDependencyReason(job *wire.Job) string {
	for _, id := range job.DependsOn {
		record := controller.view.Jobs[id]
		switch {
		case id == job.ID || record == nil:
			return "it awaits a job that was never accepted: " + id
		case !record.HasEnded() && record.Spec != nil && record.Spec.Kind == wire.KindService:
			return "it awaits a service, which is never done: " + id
		}
	}
	return ""
}

// rejectAfterSync replies 422 once the view proves that no member has accepted the job.
func (controller *Controller) rejectAfterSync(job *wire.Job, reply *server.Reply, reason string) {
	controller.unlessAccepted(job, reply, func() { reply.Send(422, server.ErrorBody(reason), 0) })
}

// recheckDependencies judges a job's dependencies again once the view is new enough: another
// member may have accepted them a moment ago.
func (controller *Controller) recheckDependencies(job *wire.Job, reply *server.Reply) {
	controller.unlessAccepted(job, reply, func() {
		if reason := controller.invalidDependencyReason(job); reason != "" {
			reply.Send(422, server.ErrorBody(reason), 0)
			return
		}
		controller.submitJob(job, reply)
	})
}

// unlessAccepted proceeds once the view proves that no member has accepted the job; a job that
// was accepted is answered with its status.
func (controller *Controller) unlessAccepted(job *wire.Job, reply *server.Reply, proceed func()) {
	evictions := controller.history.evicted.evictions
	controller.view.RequestSync(func(err error) {
		switch record := controller.view.Jobs[job.ID]; {
		case err != nil:
			replyUnavailable(reply, err.Error())
		case record == nil && controller.history.evicted.evictions != evictions:
			replyUnavailable(reply, "it may have been forgotten meanwhile")
		case record != nil:
			reply.Send(200, controller.encodeJobStatus(job.ID, record), 0)
		default:
			proceed()
		}
	}, clock.Now()+syncTimeout)
}

// commitSubmission writes a new job's record. That there is none yet, in the archive
// neither, is the write's condition.
func (controller *Controller) commitSubmission(job *wire.Job, reply *server.Reply) {
	record := &storeview.Job{Job: records.Job{Spec: job, SubmittedAt: int64(clock.WallTime())}}
	changes, err := records.SubmissionChanges(&record.Job, leader.StoreLimits(controller.cfg))
	if err != nil {
		controller.rejectAfterSync(job, reply, "the job's description is too large")
		return
	}
	if controller.replyIfStoreFailing(reply) {
		return
	}
	controller.users.pendingSubmissions[job.ID] = []*server.Reply{reply}
	write := &kvstore.Write{
		Conditions: []wire.Condition{{Key: records.JobKey(job.ID)}, {Key: records.ArchiveKey(job.ID)}},
		Changes:    changes,
		Deadline:   clock.Now() + submitTimeout,
	}
	write.Done = func(outcome kvstore.Outcome, revision uint64) {
		controller.postResult(func() { controller.handleSubmissionResult(job, record, outcome, revision) })
	}
	if !controller.store.Commit(write) {
		delete(controller.users.pendingSubmissions, job.ID)
		controller.replyRateLimited(reply)
	}
}

// handleSubmissionResult takes an accepted job into the view, and replies to all who
// submitted it meanwhile: the first one created it.
func (controller *Controller) handleSubmissionResult(job *wire.Job, record *storeview.Job, outcome kvstore.Outcome, revision uint64) {
	replies := controller.users.pendingSubmissions[job.ID]
	delete(controller.users.pendingSubmissions, job.ID)
	if outcome == kvstore.Committed && controller.view.Jobs[job.ID] == nil {
		record.Version = revision
		controller.applySubmission(job, record)
	}
	for i, reply := range replies {
		switch outcome {
		case kvstore.Committed:
			status := 201
			if i > 0 {
				status = 200
			}
			reply.Send(status, encodeStatus(wire.JobStatus{ID: job.ID, State: controller.acceptedState(job.ID)}), 0)
		case kvstore.Conflict:
			controller.showJob(job.ID, reply)
		default:
			replyUnavailable(reply, reasonNotStored)
		}
	}
}

// applySubmission takes an accepted job into the view. The watch will bring it; a leader
// need not wait for that.
func (controller *Controller) applySubmission(job *wire.Job, record *storeview.Job) {
	if record.DependencyParts > 0 {
		for part, ids := range records.SplitDependencies(job.DependsOn, leader.StoreLimits(controller.cfg)) {
			controller.view.SetDependencies(job.ID, part, ids)
		}
	}
	controller.view.SetJob(job.ID, record)
}

// acceptedState is the state of a job that was just accepted: it may be cancelled already
// with a job that it depends on.
func (controller *Controller) acceptedState(id string) string {
	if record := controller.view.Jobs[id]; record.HasEnded() {
		return record.EffectiveState()
	}
	return wire.JobPending
}

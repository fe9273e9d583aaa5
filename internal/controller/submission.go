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

// A submission takes three steps. First, the jobs that it refers to and that may have been evicted are
// looked up in the store. Second, the submission is validated. Third, the job's record is written on the
// condition that no record exists.
//
// A repeated submission, at this member or another one, gets a reply with the status of the accepted
// job and never rejected.

// SubmitJob makes a job durable, and replies with its status. It may be called on any goroutine.
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
		controller.lookUpReferencedJobs(job, reply, func(absent map[string]bool) { controller.admitOrRejectSubmission(job, reply, absent) })
	}
}

// lookUpReferencedJobs looks up the submitted job and its dependencies in the store, except those that
// cannot have been evicted. It then calls proceed with the jobs that are proven to be absent, or replies
// 503 if the store gave no result for one of them.
func (controller *Controller) lookUpReferencedJobs(job *wire.Job, reply *server.Reply, proceed func(absent map[string]bool)) {
	absent := map[string]bool{}
	var ids []string
	for _, id := range job.DependsOn {
		if controller.mayBeEvicted(id) && !controller.history.found.has(id) {
			ids = append(ids, id)
		}
	}
	if controller.mayBeEvicted(job.ID) {
		ids = append(ids, job.ID)
	}
	controller.lookUpJobs(ids, func(results map[string]jobhistory.LookupResult) {
		for id, result := range results {
			absent[id] = result == jobhistory.Absent
			if result == jobhistory.Unavailable {
				replyUnavailable(reply, reasonStoreUnavailable)
				return
			}
		}
		proceed(absent)
	})
}

// admitOrRejectSubmission validates a submission, and writes it if it is valid. Each job that it refers
// to is in the view, was found by a look-up, or is known to be absent, unless it was evicted meanwhile.
func (controller *Controller) admitOrRejectSubmission(job *wire.Job, reply *server.Reply, absent map[string]bool) {
	mayExistOnlyInStore := func(id string) bool { return controller.mayBeEvicted(id) && !absent[id] }
	if controller.view.Jobs[job.ID] != nil || mayExistOnlyInStore(job.ID) {
		controller.showJob(job.ID, reply)
		return
	}
	isUnresolved := func(id string) bool { return mayExistOnlyInStore(id) && !controller.history.found.has(id) }
	if slices.ContainsFunc(job.DependsOn, isUnresolved) {
		// The dependency was in the view when the others were looked up, and was evicted to bound its memory.
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

// rejectionReason returns why a job can never run, or "" if it can. It does not check dependencies.
func (controller *Controller) rejectionReason(job *wire.Job) string {
	team, ok := controller.settings.Teams[job.Team]
	if !ok {
		return "unknown team"
	}
	taskNeed := allocation.NewRequest(job.CPUs, job.GPUs, job.MemoryGB)
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

// fitsMachineType reports whether a job's tasks may run on machines of a type and fit on one.
func fitsMachineType(job *wire.Job, taskNeed allocation.Resources, machineType *wire.MachineType) bool {
	return (job.MachineTypes == nil || slices.Contains(job.MachineTypes, machineType.Name)) &&
		(job.Zone == "" || slices.Contains(machineType.Zones, job.Zone)) &&
		taskNeed.IsWithin(allocation.NewCapacity(machineType.CPUs, machineType.GPUs, machineType.MemoryGB))
}

// exceedsTeamLimit reports whether a need exceeds a team's CPU or GPU limit. A limit of 0 means that
// there is none.
func exceedsTeamLimit(need allocation.Resources, team allocation.TeamQuota) bool {
	return team.MaxMicroCPU > 0 && need.MicroCPU > team.MaxMicroCPU || team.MaxMicroGPU > 0 && need.MicroGPU > team.MaxMicroGPU
}

// invalidDependencyReason returns why a job's dependencies prevent it from ever running, or "" if they
// don't.
func (controller *Controller) invalidDependencyReason(job *wire.Job) string {
	for _, id := range job.DependsOn {
		record := controller.view.Jobs[id]
		switch {
		case id != job.ID && record == nil && controller.history.found.has(id):
			// It was found and evicted again, so it has finished.
		case id == job.ID || record == nil:
			return "it awaits a job that was never accepted: " + id
		case !record.HasEnded() && record.Spec != nil && record.Spec.Kind == wire.KindService:
			return "it awaits a service, which is never done: " + id
		}
	}
	return ""
}

// rejectAfterSync replies 422 once a sync of the view proves that no member has accepted the job.
func (controller *Controller) rejectAfterSync(job *wire.Job, reply *server.Reply, reason string) {
	controller.proceedIfNotAccepted(job, reply, func() { reply.Send(422, server.ErrorBody(reason), 0) })
}

// recheckDependencies validates a job's dependencies again after a sync of the view, since another
// member may have accepted them a moment ago.
func (controller *Controller) recheckDependencies(job *wire.Job, reply *server.Reply) {
	controller.proceedIfNotAccepted(job, reply, func() {
		if reason := controller.invalidDependencyReason(job); reason != "" {
			reply.Send(422, server.ErrorBody(reason), 0)
			return
		}
		controller.submitJob(job, reply)
	})
}

// proceedIfNotAccepted calls proceed once a sync of the view proves that no member has accepted the job.
// If a member has accepted it, the reply is the job's status. If the sync fails, or the job may have been
// evicted from the view during the sync, the reply is a 503.
func (controller *Controller) proceedIfNotAccepted(job *wire.Job, reply *server.Reply, proceed func()) {
	evictions := controller.history.evicted.evictions
	controller.view.RequestSync(func(err error) {
		switch record := controller.view.Jobs[job.ID]; {
		case err != nil:
			replyUnavailable(reply, err.Error())
		case record == nil && controller.history.evicted.evictions != evictions:
			replyUnavailable(reply, "it may have been forgotten meanwhile")
		case record != nil:
			controller.replyOnceDependenciesKnown(job.ID, reply, maxStatusAttempts)
		default:
			proceed()
		}
	}, clock.Now()+syncTimeout)
}

// commitSubmission writes a new job's record. The write succeeds only if the job has no record yet,
// neither under its job key nor under its archive key.
func (controller *Controller) commitSubmission(job *wire.Job, reply *server.Reply) {
	record := &storeview.Job{Job: records.Job{Spec: job, SubmittedAt: int64(clock.WallTime())}}
	limits := leader.StoreLimits(controller.cfg)
	submission, err := records.NewSubmission(&record.Job, limits)
	if err != nil {
		controller.rejectAfterSync(job, reply, "the job's description is too large")
		return
	}
	if controller.replyIfStoreFailing(reply) {
		return
	}
	controller.users.pendingSubmissions[job.ID] = []*server.Reply{reply}
	changes, isOneTransaction := submission.Changes(limits)
	if !isOneTransaction {
		controller.commitInStages(&stagedSubmission{job: job, record: record, remaining: append(submission.PartBatches(limits), []wire.Change{submission.Record})})
		return
	}
	write := &kvstore.Write{Conditions: absenceConditions(job.ID), Changes: changes, Deadline: clock.Now() + submitTimeout}
	write.Done = func(outcome kvstore.Outcome, revision uint64) {
		controller.postResult(func() { controller.handleSubmissionResult(job, record, outcome, revision) })
	}
	if !controller.store.Commit(write) {
		delete(controller.users.pendingSubmissions, job.ID)
		controller.replyRateLimited(reply)
	}
}

// absenceConditions returns the conditions that a job has no record, neither under its job key nor under its archive key.
func absenceConditions(id string) []wire.Condition {
	return []wire.Condition{{Key: records.JobKey(id)}, {Key: records.ArchiveKey(id)}}
}

// handleSubmissionResult handles the outcome of a submission's write. It adds an accepted job to the view
// and replies to all requests that submitted the job while the write was in flight; the first of them
// created the job.
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
			controller.replyAccepted(job.ID, status, reply)
		case kvstore.Conflict:
			controller.showJob(job.ID, reply)
		default:
			replyUnavailable(reply, reasonNotStored)
		}
	}
}

// replyAccepted replies to the submission of a job that was just accepted. The job's dependencies were in the view
// when it was submitted, but may have been evicted while the job was being written; they are looked up again.
func (controller *Controller) replyAccepted(id string, status int, reply *server.Reply) {
	send := func() {
		if controller.view.Jobs[id] == nil {
			controller.showJob(id, reply) // the job has ended and was evicted
			return
		}
		reply.Send(status, encodeStatus(wire.JobStatus{ID: id, State: controller.acceptedState(id)}), 0)
	}
	if unknown := controller.unknownDependenciesOf(id); len(unknown) > 0 {
		controller.lookUpDependencies(unknown, reply, send)
		return
	}
	send()
}

// applySubmission adds an accepted job to the view. The watch would deliver it later, but a leader need
// not wait for that.
func (controller *Controller) applySubmission(job *wire.Job, record *storeview.Job) {
	if record.DependencyParts > 0 {
		for part, ids := range records.SplitDependencies(job.DependsOn, leader.StoreLimits(controller.cfg)) {
			controller.view.SetDependencies(job.ID, part, ids)
		}
	}
	controller.view.SetJob(job.ID, record)
}

// acceptedState returns the state of a job that was just accepted. The job may already be cancelled
// because a job that it depends on is.
func (controller *Controller) acceptedState(id string) string {
	if record := controller.view.Jobs[id]; record.HasEnded() {
		return record.EffectiveState()
	}
	return wire.JobPending
}

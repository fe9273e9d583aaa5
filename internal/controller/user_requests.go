package controller

import (
	"slices"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/commandqueue"
	"firwood.dev/firwood/internal/kvstore"
	"firwood.dev/firwood/internal/records"
	"firwood.dev/firwood/internal/server"
	"firwood.dev/firwood/internal/storeview"
	"firwood.dev/firwood/wire"
)

// userTimeout bounds how long a user's question waits for proof: users themselves
// wait 2 s for a poll.
const userTimeout = 1500 * clock.Millisecond

// submitTimeout bounds how long a submission waits to be durable.
const submitTimeout = 2500 * clock.Millisecond

// reasonNotEncodable is the body's reason when a reply or a record can't be encoded.
const reasonNotEncodable = "cannot be encoded"

func replyUnavailable(reply *server.Reply, reason string) {
	reply.Send(503, server.ErrorBody(reason), 1)
}

// replyRateLimited refuses what the rate of writes does not allow, and says when it will.
func (controller *Controller) replyRateLimited(reply *server.Reply) {
	delay := controller.store.InteractiveDelay()
	reply.Send(503, server.ErrorBody("the state service is asked for more than it takes"), int(min(delay/clock.Second+1, 30)))
}

// replyIfStoreFailing answers at once what cannot be made durable now, as far as is known.
func (controller *Controller) replyIfStoreFailing(reply *server.Reply) bool {
	if controller.store.IsFailing(clock.Now()) {
		replyUnavailable(reply, "the state service does not answer")
		return true
	}
	return false
}

// postUserRequest queues what a user asks, or refuses it at once.
func (controller *Controller) postUserRequest(reply *server.Reply, command func()) {
	if !controller.commands.Post(commandqueue.User, command) {
		replyUnavailable(reply, "overloaded")
	}
}

// SubmitJob implements server.App.
func (controller *Controller) SubmitJob(job *wire.Job, reply *server.Reply) {
	controller.postUserRequest(reply, func() { controller.submitJob(job, reply) })
}

// ShowJob implements server.App.
func (controller *Controller) ShowJob(id string, reply *server.Reply) {
	controller.postUserRequest(reply, func() { controller.showJob(id, reply) })
}

// CancelJob implements server.App.
func (controller *Controller) CancelJob(id string, reply *server.Reply) {
	controller.postUserRequest(reply, func() { controller.cancelJob(id, reply, 3) })
}

// rejectionReason says why a job can never run, if so.
func (controller *Controller) rejectionReason(job *wire.Job) string {
	team, ok := controller.teams[job.Team]
	if !ok {
		return "unknown team"
	}
	need := allocation.NewResources(job.CPUs, job.GPUs, job.MemoryGB)
	fits := slices.ContainsFunc(controller.machineTypes.list, func(machineType wire.MachineType) bool {
		return (job.MachineTypes == nil || slices.Contains(job.MachineTypes, machineType.Name)) &&
			(job.Zone == "" || slices.Contains(machineType.Zones, job.Zone)) &&
			need.IsWithin(allocation.NewResources(machineType.CPUs, machineType.GPUs, machineType.MemoryGB))
	})
	if !fits {
		return "a task fits no allowed machine type"
	}
	gangTasks := job.TaskCount
	if job.Kind == wire.KindArray {
		gangTasks = 1
	}
	total := need.Times(gangTasks)
	if team.MaxMilliCPU > 0 && total.MilliCPU > team.MaxMilliCPU || team.MaxMilliGPU > 0 && total.MilliGPU > team.MaxMilliGPU {
		return "the job needs more than its team's limit"
	}
	return ""
}

func (controller *Controller) submitJob(job *wire.Job, reply *server.Reply) {
	if record := controller.view.Jobs[job.ID]; record != nil {
		controller.showJob(job.ID, reply)
		return
	}
	if !controller.view.IsLoaded || len(controller.machineTypes.list) == 0 {
		replyUnavailable(reply, "not ready")
		return
	}
	controller.resolveDependencies(job, reply, func(absent map[string]bool) { controller.submitResolvedJob(job, reply, absent) })
}

// submitResolvedJob takes a submission once what it names is in the view or known to be absent.
func (controller *Controller) submitResolvedJob(job *wire.Job, reply *server.Reply, absent map[string]bool) {
	if controller.view.Jobs[job.ID] != nil || controller.mayBeEvicted(job.ID) && !absent[job.ID] {
		controller.showJob(job.ID, reply)
		return
	}
	for _, id := range job.DependsOn {
		if controller.mayBeEvicted(id) && !absent[id] {
			replyUnavailable(reply, "what it awaits was forgotten again") // for want of memory
			return
		}
	}
	if reason := controller.rejectionReason(job); reason != "" {
		controller.rejectAfterSync(job, reply, func() string { return reason }, nil)
		return
	}
	if controller.invalidDependencyReason(job) != "" {
		// Another controller may have accepted them a moment ago.
		controller.rejectAfterSync(job, reply, func() string { return controller.invalidDependencyReason(job) }, func() { controller.submitJob(job, reply) })
		return
	}
	if replies, ok := controller.users.pendingSubmissions[job.ID]; ok {
		controller.users.pendingSubmissions[job.ID] = append(replies, reply)
		return
	}
	record := &storeview.Job{Job: records.Job{Spec: job, SubmittedAt: int64(clock.WallTime())}}
	changes, err := records.SubmissionChanges(&record.Job, controller.storeLimits())
	if err != nil {
		controller.rejectAfterSync(job, reply, func() string { return "the job's description is too large" }, nil)
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

func (controller *Controller) handleSubmissionResult(job *wire.Job, record *storeview.Job, outcome kvstore.Outcome, revision uint64) {
	id := job.ID
	replies := controller.users.pendingSubmissions[id]
	delete(controller.users.pendingSubmissions, id)
	if outcome == kvstore.Committed && controller.view.Jobs[id] == nil {
		// The watch will bring it; a leader need not wait for that.
		record.Version = revision
		if record.DependencyParts > 0 {
			for part, ids := range records.SplitDependencies(job.DependsOn, controller.storeLimits()) {
				controller.view.SetDependencies(id, part, ids)
			}
		}
		controller.view.SetJob(id, record)
	}
	for i, reply := range replies {
		switch outcome {
		case kvstore.Committed:
			status := 201
			if i > 0 {
				status = 200
			}
			jobState := wire.JobPending
			if current := controller.view.Jobs[id]; current.HasEnded() {
				jobState = current.EffectiveState() // with a job that it awaits
			}
			reply.Send(status, encodeStatus(id, jobState, nil, nil), 0)
		case kvstore.Conflict:
			controller.showJob(id, reply)
		default:
			replyUnavailable(reply, "the state service did not take it")
		}
	}
}

func encodeStatus(id, state string, done, running *int) []byte {
	body, err := wire.JobStatus{ID: id, State: state, DoneTasks: done, RunningTasks: running}.MarshalJSON()
	if err != nil {
		return []byte("{}")
	}
	return body
}

// encodeJobStatus is what a user is told, from a view that is new enough.
func (controller *Controller) encodeJobStatus(id string, record *storeview.Job) []byte {
	if record.HasEnded() {
		return encodeStatus(id, record.EffectiveState(), nil, nil)
	}
	var done, running int
	if controller.term != nil {
		if job := controller.term.tracker.Jobs[id]; job != nil {
			done, running = job.DoneCount(), job.StartedCount
		}
	} else if count, ok := controller.users.progressCounts.countOf(id); ok {
		done, running = int(count.Done), int(count.Running)
	}
	status := wire.JobStatus{ID: id, State: wire.JobPending, DoneTasks: &done, RunningTasks: &running}
	if running > 0 {
		status.State = wire.JobRunning
	}
	dependencies := controller.dependencyGraph.PendingDependencies(id)
	status.DependsOn = dependencies[:min(len(dependencies), maxDependenciesShown)]
	body, err := status.MarshalJSON()
	if err != nil {
		return []byte("{}")
	}
	return body
}

// maxDependenciesShown bounds how many jobs a status lists that the job awaits.
const maxDependenciesShown = 50

func (controller *Controller) showJob(id string, reply *server.Reply) {
	if record := controller.view.Jobs[id]; record != nil && record.HasEnded() {
		if record.IsFinished() {
			controller.history.finished.Touch(id)
		}
		reply.Send(200, controller.encodeJobStatus(id, record), 0) // final, so it cannot be overtaken
		return
	}
	if !controller.view.IsLoaded {
		replyUnavailable(reply, "not ready")
		return
	}
	if controller.mayBeEvicted(id) {
		controller.showEvictedJob(id, reply)
		return
	}
	controller.view.RequestSync(func(err error) {
		record := controller.view.Jobs[id]
		// A process that stands still after this proof must not tell it as if it
		// were new: somebody may have been told of the job's end meanwhile.
		until := clock.Now() + userTimeout
		switch {
		case err != nil:
			replyUnavailable(reply, err.Error())
		case controller.mayBeEvicted(id):
			controller.showEvictedJob(id, reply) // meanwhile
		case record == nil:
			reply.SendBefore(404, server.ErrorBody("no such job"), 0, until)
		case record.HasEnded():
			reply.Send(200, controller.encodeJobStatus(id, record), 0)
		default:
			reply.SendBefore(200, controller.encodeJobStatus(id, record), 0, until)
		}
	}, clock.Now()+userTimeout)
}

func (controller *Controller) cancelJob(id string, reply *server.Reply, retries int) {
	if record := controller.view.Jobs[id]; record != nil && record.HasEnded() {
		reply.Send(200, controller.encodeJobStatus(id, record), 0)
		return
	}
	if !controller.view.IsLoaded || retries == 0 {
		replyUnavailable(reply, "not ready")
		return
	}
	record := controller.view.Jobs[id]
	if controller.mayBeEvicted(id) {
		controller.cancelEvictedJob(id, reply, retries)
		return
	}
	if record == nil {
		controller.view.RequestSync(func(err error) {
			switch {
			case err != nil:
				replyUnavailable(reply, err.Error())
			case controller.mayBeEvicted(id):
				controller.cancelEvictedJob(id, reply, retries-1) // meanwhile
			default:
				controller.cancelKnownJob(id, reply, retries-1)
			}
		}, clock.Now()+userTimeout)
		return
	}
	if controller.replyIfStoreFailing(reply) {
		return
	}
	// Whether the job is still what the view says is the write's condition.
	end := storeview.NewEndedJob(record, wire.JobCancelled, clock.WallTime())
	value, err := end.MarshalJSON()
	if err != nil {
		replyUnavailable(reply, reasonNotEncodable)
		return
	}
	write := &kvstore.Write{
		Conditions: []wire.Condition{{Key: records.JobKey(id), Version: record.Version}},
		Changes:    []wire.Change{{PutKey: records.JobKey(id), Value: value}},
		Deadline:   clock.Now() + submitTimeout,
	}
	write.Done = func(outcome kvstore.Outcome, revision uint64) {
		controller.postResult(func() {
			switch outcome {
			case kvstore.Committed:
				end.Version = revision
				if current := controller.view.Jobs[id]; current == nil || current.Version < revision {
					controller.view.SetJob(id, end)
				}
				reply.Send(200, encodeStatus(id, wire.JobCancelled, nil, nil), 0)
			case kvstore.Conflict:
				controller.view.RequestSync(func(err error) {
					if err != nil {
						replyUnavailable(reply, err.Error())
						return
					}
					controller.cancelJob(id, reply, retries-1)
				}, clock.Now()+userTimeout)
			default:
				replyUnavailable(reply, "the state service did not take it")
			}
		})
	}
	if !controller.store.Commit(write) {
		controller.replyRateLimited(reply)
	}
}

// cancelKnownJob takes a withdrawal of a job that the view has, if there is such a job at all.
func (controller *Controller) cancelKnownJob(id string, reply *server.Reply, retries int) {
	if controller.view.Jobs[id] == nil {
		reply.Send(404, server.ErrorBody("no such job"), 0)
		return
	}
	controller.cancelJob(id, reply, retries)
}

// IsHealthy implements server.App; it is called on the event loop and reads only
// what is safe to read there.
func (controller *Controller) IsHealthy() bool { return !controller.process.isUnavailable.Load() }

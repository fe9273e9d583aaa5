package controller

import (
	"cmp"
	"maps"
	"slices"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/scaleout"
	"firwood.dev/firwood/internal/storeview"
	"firwood.dev/firwood/wire"
)

// replayArrivals takes the arrivals that the records still tell of. A leader that knew of
// none held that no start was pressing, and gave back, within seconds of its
// take-over, every machine that the jobs of the one before were about to need again.
func (term *leaderTerm) replayArrivals(now, wall clock.Micros) {
	jobs := slices.Collect(maps.Values(term.tracker.Jobs))
	slices.SortFunc(jobs, func(a, b *allocation.Job) int {
		return cmp.Or(cmp.Compare(a.ReleasedAt, b.ReleasedAt), cmp.Compare(a.Spec.ID, b.Spec.ID))
	})
	for _, job := range jobs {
		term.scheduler.ObserveArrival(job, now-max(wall-job.ReleasedAt, 0))
	}
}

func (term *leaderTerm) addJob(id string, record *storeview.Job, startsRecorded bool) *allocation.Job {
	completed := term.controller.view.CompletedTasks(id, record, term.controller.tasksPerKey)
	released := term.controller.dependencyGraph.ReleasedAt(id, clock.Micros(record.SubmittedAt))
	job := term.tracker.AddJob(record.Spec, released, clock.Now(), startsRecorded, completed.IsSet)
	urgency := term.controller.dependencyGraph.UrgencyOf(id, urgencyOf(record))
	job.Priority, job.Deadline = urgency.Priority, urgency.Deadline
	jobInfo := &jobState{layout: term.controller.progressLayoutOf(record), firstStartAt: record.FirstStartAt}
	jobInfo.updateKeyVersions(term.controller.view.Progress[id])
	term.jobs[id] = jobInfo
	return job
}

func (term *leaderTerm) addMachine(request *scaleout.Request, name string) *allocation.Machine {
	now := clock.Now()
	pool := poolOf(request)
	machine := term.tracker.AddMachine(name, pool.Type, pool.Zone, pool.Spot, term.scheduler.MachineCapacity(pool.Type), now)
	machine.CreatedAt = request.RequestedAt()
	if term.machines[name] == nil {
		term.machines[name] = &machineState{scaleOut: request}
	}
	return machine
}

// applyJobRecord takes a job's record as the state service has it.
func (term *leaderTerm) applyJobRecord(id string, record *storeview.Job) {
	now := clock.Now()
	job := term.tracker.Jobs[id]
	term.requestPlan()
	switch {
	case record.IsCancelledByDependency:
	case !record.HasEnded() && job == nil && term.jobs[id] == nil:
		if term.controller.isBlocked(id, record) {
			return
		}
		term.scheduler.ObserveArrival(term.addJob(id, record, false), now)
	case record.State == wire.JobCancelled && job != nil:
		term.cancelJob(job, record, now)
	case record.HasEnded() && term.jobs[id] != nil:
		term.jobs[id].isEndDurable = true
	}
}

// cancelJob takes a durable withdrawal. The time that its tasks have runs from the
// confirmation, of which a leader that was refused by the state service may have
// learnt late.
func (term *leaderTerm) cancelJob(job *allocation.Job, record *storeview.Job, now clock.Micros) {
	term.tracker.Cancel(job, now)
	job.CancelledAt = now - max(clock.WallTime()-clock.Micros(record.EndedAt), 0)
	term.jobs[job.Spec.ID].isEndDurable = true
}

// unconfirmedCount counts tasks that may be anywhere.
func (term *leaderTerm) unconfirmedCount() int {
	count := 0
	for _, job := range term.tracker.Jobs {
		count += job.UnconfirmedCount()
	}
	return count
}

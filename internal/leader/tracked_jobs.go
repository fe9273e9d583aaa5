package leader

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

// replayArrivals passes the arrivals of the restored jobs to the scheduler's forecasts. Otherwise the
// forecasts of a new leader know of no arrivals: new leaders scaled in every idle machine within seconds
// of a failover although the classes of waiting jobs were about to need them.
func (term *Term) replayArrivals(now, wallTime clock.Micros) {
	jobs := slices.Collect(maps.Values(term.tracker.Jobs))
	slices.SortFunc(jobs, func(a, b *allocation.Job) int {
		return cmp.Or(cmp.Compare(a.ReleasedAt, b.ReleasedAt), cmp.Compare(a.Spec.ID, b.Spec.ID))
	})
	for _, job := range jobs {
		if job.Dependencies != allocation.DependenciesUnmet {
			term.scheduler.ObserveArrival(job, now-max(wallTime-job.ReleasedAt, 0))
		}
	}
}

// addJob starts tracking a job that is active or may have tasks left, with the completed tasks that its
// progress records name.
func (term *Term) addJob(id string, record *storeview.Job, startsRecorded bool) *allocation.Job {
	completed := term.environment.View.CompletedTasks(id, record, term.environment.TasksPerKey)
	releasedAt := term.environment.Graph.ReleasedAt(id, clock.Micros(record.SubmittedAt))
	job := term.tracker.AddJob(record.Spec, releasedAt, clock.Now(), startsRecorded, completed.IsSet)
	urgency := term.environment.Graph.UrgencyOf(id, UrgencyOf(record))
	job.Priority, job.Deadline = urgency.Priority, urgency.Deadline
	jobInfo := &jobState{layout: term.progressLayoutOf(record), firstStartAt: record.FirstStartAt}
	jobInfo.updateKeyVersions(term.environment.View.Progress[id])
	term.jobs[id] = jobInfo
	return job
}

// addMachine starts tracking a machine that was granted to a scale-out request.
func (term *Term) addMachine(request *scaleout.Request, name string) *allocation.Machine {
	now := clock.Now()
	pool := poolOf(request)
	machine := term.tracker.AddMachine(name, pool.Type, pool.Zone, pool.Spot, term.scheduler.MachineCapacity(pool.Type), now)
	machine.CreatedAt = request.RequestedAt()
	if term.machines[name] == nil {
		term.machines[name] = &machineState{scaleOut: request}
	}
	return machine
}

// ApplyJobRecord applies a job record that is new or changed in the view.
func (term *Term) ApplyJobRecord(id string, record *storeview.Job) {
	now := clock.Now()
	job := term.tracker.Jobs[id]
	term.requestPlan()
	switch {
	case record.IsCancelledByDependency:
		term.stopIfTracked(id)
	case !record.HasEnded() && job == nil && term.jobs[id] == nil:
		if DependencyState(term.environment.View, term.environment.Graph, id, record) != allocation.DependenciesDone {
			return
		}
		term.scheduler.ObserveArrival(term.addJob(id, record, false), now)
	case !record.HasEnded() && job != nil:
		term.releaseIfDependenciesDone(id, record, job, now)
	case record.State == wire.JobCancelled && job != nil:
		term.cancelJob(job, record, now)
	case record.HasEnded() && term.jobs[id] != nil:
		term.jobs[id].isEndDurable = true
	}
}

// releaseIfDependenciesDone lets a job start and end that the allocation table has since the beginning of the
// term because tasks of it may be on machines, once all of its dependencies are known to be done.
func (term *Term) releaseIfDependenciesDone(id string, record *storeview.Job, job *allocation.Job, now clock.Micros) {
	environment := term.environment
	if job.IsReleased() || DependencyState(environment.View, environment.Graph, id, record) != allocation.DependenciesDone {
		return
	}
	wasUnmet := job.Dependencies == allocation.DependenciesUnmet
	term.tracker.SetDependencyState(job, allocation.DependenciesDone)
	job.ReleasedAt = environment.Graph.ReleasedAt(id, clock.Micros(record.SubmittedAt))
	if wasUnmet { // otherwise replayArrivals has observed the arrival
		term.scheduler.ObserveArrival(job, now)
	}
}

// stopIfTracked stops the tasks of a job that is cancelled because a job that it depends on is. The allocation
// table has such a job only if a version that knows no dependencies may have started it.
func (term *Term) stopIfTracked(id string) {
	if job := term.tracker.Jobs[id]; job != nil {
		term.tracker.SetDependencyState(job, allocation.DependenciesUnmet)
	}
}

// cancelJob applies a durable cancellation. The grace period of the tasks starts at the end time in the
// record, since this leader may have read the record late, for instance while the key-value store refused
// its requests.
func (term *Term) cancelJob(job *allocation.Job, record *storeview.Job, now clock.Micros) {
	term.tracker.Cancel(job, now)
	job.CancelledAt = now - max(clock.WallTime()-clock.Micros(record.EndedAt), 0)
	term.jobs[job.Spec.ID].isEndDurable = true
}

// unreleasedCount returns the number of jobs in the allocation table whose dependencies are not known to be
// done.
func (term *Term) unreleasedCount() int {
	count := 0
	for _, job := range term.tracker.Jobs {
		if !job.IsReleased() {
			count++
		}
	}
	return count
}

// unconfirmedCount returns the number of tasks that may be running on any machine because an earlier
// leader may have started them.
func (term *Term) unconfirmedCount() int {
	count := 0
	for _, job := range term.tracker.Jobs {
		count += job.UnconfirmedCount()
	}
	return count
}

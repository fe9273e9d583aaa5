package controller

import (
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/dag"
	"firwood.dev/firwood/internal/leader"
	"firwood.dev/firwood/internal/storeview"
	"firwood.dev/firwood/wire"
)

// A job's state with respect to its dependencies (whether it may start, whether it is cancelled
// with one of them, how urgent it is) is not stored. Every controller derives it from the jobs'
// records alone. The leader's allocation table has only released jobs.

// startOverhead is about how long a job takes beside its run, to get a machine and an image.
const startOverhead = 5 * clock.Second

// updateDependencyGraph applies a job's record to the graph, and what follows for other jobs.
func (controller *Controller) updateDependencyGraph(id string, record *storeview.Job) {
	switch {
	case record.State == wire.JobDone:
		controller.applyGraphChange(controller.dependencyGraph.RecordCompletion(id, clock.Micros(record.EndedAt)))
	case record.State == wire.JobCancelled:
		controller.applyGraphChange(controller.dependencyGraph.RecordCancellation(id))
	case record.Spec != nil:
		dependencies, isComplete := controller.view.DependenciesOf(id, record)
		if !isComplete {
			return // the other parts were written in the same transaction
		}
		controller.lookUpEvictedDependencies(dependencies)
		controller.applyGraphChange(controller.dependencyGraph.AddJob(dag.Job{
			ID: id, DependsOn: dependencies, SubmittedAt: clock.Micros(record.SubmittedAt), Urgency: leader.UrgencyOf(record),
			EstimatedRunTime: clock.FromSeconds(record.Spec.EstimatedRunSeconds) + startOverhead,
		}))
	}
}

// lookUpEvictedDependencies looks up dependencies of a new job that may have been evicted. The
// job is blocked until they are known.
func (controller *Controller) lookUpEvictedDependencies(dependencies []string) {
	if !controller.view.IsLoaded {
		return // lookUpUnknownDependencies does it for all jobs after the load
	}
	for _, id := range dependencies {
		if controller.mayBeEvicted(id) {
			controller.lookUpUntilKnown(id)
		}
	}
}

// applyGraphChange applies the effects of one job's change on the others.
func (controller *Controller) applyGraphChange(change dag.Effects) {
	controller.applyImpliedCancellations(change.Cancelled)
	if controller.term == nil {
		return
	}
	for _, id := range change.Released {
		if record := controller.view.Jobs[id]; record != nil && !record.HasEnded() {
			controller.term.ApplyJobRecord(id, record)
		}
	}
	for _, id := range change.MoreUrgent {
		controller.term.UpdateUrgency(id)
	}
}

// applyImpliedCancellations marks jobs as cancelled with a dependency. The leader writes that to
// their own records in time.
func (controller *Controller) applyImpliedCancellations(ids []string) {
	for _, id := range ids {
		if record := controller.view.Jobs[id]; record != nil && record.State == "" {
			record.IsCancelledByDependency = true
			controller.users.progressCounts.Remove(id)
			if controller.term != nil {
				controller.term.AddImpliedCancellations(id)
			}
		}
	}
}

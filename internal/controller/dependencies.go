package controller

import (
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/dag"
	"firwood.dev/firwood/internal/leader"
	"firwood.dev/firwood/internal/storeview"
	"firwood.dev/firwood/wire"
)

// Three parts of a job's state follow from its dependencies: whether it may start, whether it is cancelled
// because a dependency was, and how urgent it is. They are not stored. Every controller derives them from the
// jobs' records alone. The leader's allocation table holds only released jobs.

// startOverhead is about how long a job takes in addition to its run, to get a machine and an image.
const startOverhead = 5 * clock.Second

// updateDependencyGraph applies a job's record to the dependency graph, and the effects to other jobs.
func (controller *Controller) updateDependencyGraph(id string, record *storeview.Job) {
	switch {
	case record.State == wire.JobDone:
		controller.applyGraphChange(controller.dependencyGraph.RecordCompletion(id, clock.Micros(record.EndedAt)))
	case record.State == wire.JobCancelled:
		controller.applyGraphChange(controller.dependencyGraph.RecordCancellation(id))
	case record.Spec != nil:
		dependencies, isComplete := controller.view.DependenciesOf(id, record)
		if !isComplete {
			return // the missing parts were written in the same transaction, so they are read too
		}
		controller.lookUpEvictedDependencies(dependencies)
		controller.applyGraphChange(controller.dependencyGraph.AddJob(dag.Job{
			ID: id, DependsOn: dependencies, SubmittedAt: clock.Micros(record.SubmittedAt), Urgency: leader.UrgencyOf(record),
			EstimatedRunTime: clock.FromSeconds(record.Spec.EstimatedRunSeconds) + startOverhead,
		}))
	}
}

// lookUpEvictedDependencies looks up those dependencies of a new job that may have been evicted. The job is
// blocked until they are known.
func (controller *Controller) lookUpEvictedDependencies(dependencies []string) {
	if !controller.view.IsLoaded {
		return // after the load, lookUpUnknownDependencies looks them up for all jobs
	}
	for _, id := range dependencies {
		if controller.mayBeEvicted(id) {
			controller.lookUpUntilKnown(id)
		}
	}
}

// applyGraphChange applies the effects that a change of one job has on others.
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

// applyImpliedCancellations marks jobs as cancelled because a job that they depend on was cancelled. The
// leader writes their own records later.
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

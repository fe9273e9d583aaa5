package controller

import (
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/dag"
	"firwood.dev/firwood/internal/leader"
	"firwood.dev/firwood/internal/storeview"
	"firwood.dev/firwood/wire"
)

// Whether a job may start, whether it is cancelled with a dependency, and how urgent it is follow from the
// dependencies between jobs. None of this is stored. Every controller derives it from the jobs' records alone.
// The leader's allocation table holds only released jobs, that is, jobs whose dependencies are all done.

// startOverhead is about how long a job takes in addition to its run, to get a machine and an image.
const startOverhead = 5 * clock.Second

// updateDependencyGraph applies a job's record to the dependency graph, and the effects to other jobs.
func (controller *Controller) updateDependencyGraph(id string, record *storeview.Job) {
	switch {
	case record.State == wire.JobDone:
		controller.applyGraphEffects(controller.dependencyGraph.RecordCompletion(id, clock.Micros(record.EndedAt)))
	case record.State == wire.JobCancelled:
		controller.applyGraphEffects(controller.dependencyGraph.RecordCancellation(id))
	case record.Spec != nil:
		dependencies, isComplete := controller.view.DependenciesOf(id, record)
		if !isComplete {
			return // the missing parts were written in the same transaction, so they are read too
		}
		controller.lookUpEvictedDependencies(dependencies)
		controller.applyGraphEffects(controller.dependencyGraph.AddJob(dag.Job{
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

// applyGraphEffects applies the effects that a change of one job has on others.
func (controller *Controller) applyGraphEffects(effects dag.Effects) {
	controller.applyImpliedCancellations(effects.Cancelled)
	if controller.term == nil {
		return
	}
	for _, id := range effects.Released {
		if record := controller.view.Jobs[id]; record != nil && !record.HasEnded() {
			controller.term.ApplyJobRecord(id, record)
		}
	}
	for _, id := range effects.MoreUrgent {
		controller.term.UpdateUrgency(id)
	}
}

// applyImpliedCancellations marks jobs as cancelled because a job that they depend on was cancelled. The
// leader later writes this to their own records.
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

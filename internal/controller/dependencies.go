package controller

import (
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/dag"
	"firwood.dev/firwood/internal/storeview"
	"firwood.dev/firwood/wire"
)

// Jobs that await others. A job's own record, and the records of the jobs that it
// names, are all there is: whether it may start, whether it is cancelled with one
// of them, and how urgent it is are derived from them by every controller alike.
// The leader's account has only jobs that may start.

// startOverhead is about how long a job takes beside its run: its machine and its image.
const startOverhead = 5 * clock.Second

// urgencyOf is what a job itself asks for.
func urgencyOf(record *storeview.Job) dag.Urgency {
	urgency := dag.Urgency{Priority: wire.PriorityIndex(record.Spec.Priority)}
	if record.Spec.DeadlineSeconds > 0 && record.Spec.Kind != wire.KindService {
		urgency.Deadline = clock.Micros(record.SubmittedAt) + clock.FromSeconds(record.Spec.DeadlineSeconds)
	}
	return urgency
}

// updateDependencyGraph draws the conclusions from a job's record for those that need it.
func (controller *Controller) updateDependencyGraph(id string, record *storeview.Job) {
	switch {
	case record.State == wire.JobDone:
		controller.applyGraphChange(controller.dependencyGraph.RecordCompletion(id, clock.Micros(record.EndedAt)))
	case record.State == wire.JobCancelled:
		controller.applyGraphChange(controller.dependencyGraph.RecordCancellation(id))
	case record.Spec != nil:
		dependencies, isComplete := controller.view.DependenciesOf(id, record)
		if !isComplete {
			return // the rest comes with the same transaction
		}
		controller.lookUpEvictedDependencies(dependencies)
		controller.applyGraphChange(controller.dependencyGraph.AddJob(dag.Job{
			ID: id, DependsOn: dependencies, SubmittedAt: clock.Micros(record.SubmittedAt), Urgency: urgencyOf(record),
			EstimatedRunTime: clock.FromSeconds(record.Spec.EstimatedRunSeconds) + startOverhead,
		}))
	}
}

// lookUpEvictedDependencies looks up jobs that a new job awaits and that were forgotten. It waits for
// them until they are known.
func (controller *Controller) lookUpEvictedDependencies(dependencies []string) {
	if !controller.view.IsLoaded {
		return // lookUpUnknownDependencies looks at all
	}
	for _, id := range dependencies {
		if controller.mayBeEvicted(id) {
			controller.lookUpUntilKnown(id)
		}
	}
}

// isBlocked tells whether a job that is not over must not start yet.
func (controller *Controller) isBlocked(id string, record *storeview.Job) bool {
	_, isComplete := controller.view.DependenciesOf(id, record)
	return !isComplete || controller.dependencyGraph.IsBlocked(id)
}

func (controller *Controller) applyGraphChange(change dag.Effects) {
	for _, id := range change.Cancelled {
		if record := controller.view.Jobs[id]; record != nil && record.State == "" {
			record.IsCancelledByDependency = true
			controller.users.progressCounts.Remove(id)
			if controller.term != nil {
				controller.term.persistence.cleanup.addImpliedCancellations(id)
			}
		}
	}
	if controller.term == nil {
		return
	}
	for _, id := range change.Released {
		if record := controller.view.Jobs[id]; record != nil && !record.HasEnded() {
			controller.term.applyJobRecord(id, record)
		}
	}
	for _, id := range change.MoreUrgent {
		controller.term.updateUrgency(id)
	}
}

// updateUrgency takes over what has come to be demanded of a job.
func (term *leaderTerm) updateUrgency(id string) {
	job, record := term.tracker.Jobs[id], term.controller.view.Jobs[id]
	if job == nil || record == nil || record.Spec == nil {
		return
	}
	urgency := term.controller.dependencyGraph.UrgencyOf(id, urgencyOf(record))
	job.Priority, job.Deadline = urgency.Priority, urgency.Deadline
	term.requestPlan()
}

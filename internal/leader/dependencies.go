package leader

import (
	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/dag"
	"firwood.dev/firwood/internal/storeview"
	"firwood.dev/firwood/wire"
)

// UrgencyOf returns the urgency of a job itself, without that of its dependents. A service has no
// deadline.
func UrgencyOf(record *storeview.Job) dag.Urgency {
	urgency := dag.Urgency{Priority: wire.PriorityIndex(record.Spec.Priority)}
	if record.Spec.DeadlineSeconds > 0 && record.Spec.Kind != wire.KindService {
		urgency.Deadline = clock.Micros(record.SubmittedAt) + clock.FromSeconds(record.Spec.DeadlineSeconds)
	}
	return urgency
}

// DependencyState returns what is known of the jobs that a job depends on. The job's record has no end of its
// own. While the view doesn't have all parts of the job's dependencies, their state is unknown.
func DependencyState(view *storeview.View, graph *dag.Graph, id string, record *storeview.Job) allocation.DependencyState {
	_, isComplete := view.DependenciesOf(id, record)
	switch {
	case record.IsCancelledByDependency:
		return allocation.DependenciesUnmet
	case isComplete && !graph.IsBlocked(id):
		return allocation.DependenciesDone
	case graph.HasUnmetDependency(id):
		return allocation.DependenciesUnmet
	}
	return allocation.DependenciesUnknown
}

// UpdateUrgency sets the urgency of a tracked job from its record and from the jobs that depend on it.
func (term *Term) UpdateUrgency(id string) {
	job, record := term.tracker.Jobs[id], term.environment.View.Jobs[id]
	if job == nil || record == nil || record.Spec == nil {
		return
	}
	urgency := term.environment.Graph.UrgencyOf(id, UrgencyOf(record))
	job.Priority, job.Deadline = urgency.Priority, urgency.Deadline
	term.requestPlan()
}

package leader

import (
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/dag"
	"firwood.dev/firwood/internal/storeview"
	"firwood.dev/firwood/wire"
)

// UrgencyOf is the urgency that a job has by itself. A service has no deadline.
func UrgencyOf(record *storeview.Job) dag.Urgency {
	urgency := dag.Urgency{Priority: wire.PriorityIndex(record.Spec.Priority)}
	if record.Spec.DeadlineSeconds > 0 && record.Spec.Kind != wire.KindService {
		urgency.Deadline = clock.Micros(record.SubmittedAt) + clock.FromSeconds(record.Spec.DeadlineSeconds)
	}
	return urgency
}

// IsBlocked tells whether a job that has not ended must not start yet.
func IsBlocked(view *storeview.View, graph *dag.Graph, id string, record *storeview.Job) bool {
	_, isComplete := view.DependenciesOf(id, record)
	return !isComplete || graph.IsBlocked(id)
}

// UpdateUrgency gives a job the urgency that it has by itself and by the jobs that depend on it.
func (term *Term) UpdateUrgency(id string) {
	job, record := term.tracker.Jobs[id], term.environment.View.Jobs[id]
	if job == nil || record == nil || record.Spec == nil {
		return
	}
	urgency := term.environment.Graph.UrgencyOf(id, UrgencyOf(record))
	job.Priority, job.Deadline = urgency.Priority, urgency.Deadline
	term.requestPlan()
}

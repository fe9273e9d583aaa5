package controller

import (
	"firwood.dev/firwood/internal/delegation"
	"firwood.dev/firwood/internal/records"
	"firwood.dev/firwood/internal/standby"
	"firwood.dev/firwood/internal/storeview"
	"firwood.dev/firwood/wire"
)

// viewObserver implements storeview.Observer. It updates the rest of the controller when the view
// changes.
type viewObserver struct{ controller *Controller }

// JobChanged implements storeview.Observer. The order of the updates matters: whether the job is
// cancelled with a dependency has to be known before the dependency graph and the leader's term see
// the record.
func (observer viewObserver) JobChanged(id string, job *storeview.Job) {
	controller := observer.controller
	if job.HasEnded() {
		controller.users.progressCounts.Remove(id)
	}
	if job.IsFinished() {
		controller.history.finished.Touch(id)
	}
	controller.addToCancellationLog(id, job)
	job.IsCancelledByDependency = job.State == "" && controller.dependencyGraph.IsCancelled(id)
	controller.updateDependencyGraph(id, job)
	if controller.term != nil {
		controller.term.ApplyJobRecord(id, job)
	}
}

// TermObserved implements storeview.Observer.
func (observer viewObserver) TermObserved(token uint64) {
	observer.controller.traceObservedFailover(token)
}

// MachineTypesRead implements storeview.Observer. It ignores the stored types once any are known, since
// the cloud's own response is newer.
func (observer viewObserver) MachineTypesRead(types []wire.MachineType) {
	if len(observer.controller.machineTypes.list) == 0 {
		observer.controller.setMachineTypes(types)
	}
}

// ConstraintsChanged implements storeview.Observer.
func (observer viewObserver) ConstraintsChanged(constraints delegation.Constraints, version uint64) {
	observer.controller.applyConstraints(constraints, version)
}

// StandbyChanged implements storeview.Observer.
func (observer viewObserver) StandbyChanged(record standby.InSyncRecord, version uint64) {
	observer.controller.applyStandbyRecord(record, version)
}

// WorkerContactRead implements storeview.Observer.
func (observer viewObserver) WorkerContactRead(member string, record records.WorkerContact) {
	observer.controller.applyWorkerContact(member, record)
}

// ArchiveMarkerRead implements storeview.Observer. From now on, a job that is not in the view may be in
// the archive.
func (observer viewObserver) ArchiveMarkerRead() { observer.controller.recordEviction() }

// RecordRejected implements storeview.Observer.
func (observer viewObserver) RecordRejected(key string, err error) {
	controller := observer.controller
	malformed := controller.store.MalformedResponses.Add(1)
	controller.storeUse.reportedDrops++ // keeps logMalformedResponses from logging it as a response as well
	controller.logDropped("malformed record in the store", "key", key, "error", err, "dropped_so_far", malformed)
}

// Package storeview holds a process's copy of what firwood keeps in the key-value store. The
// controller reads the store and passes what it reads to a View, which decodes it and reports changes
// to an Observer. The package does no I/O and reads no clock.
package storeview

import (
	"maps"
	"slices"

	"firwood.dev/firwood/internal/delegation"
	"firwood.dev/firwood/internal/election"
	"firwood.dev/firwood/internal/records"
	"firwood.dev/firwood/internal/standby"
	"firwood.dev/firwood/wire"
)

// Observer is notified of the changes in a View. Each method is called while changes are being applied,
// right after the change that it reports and before the next one. It may read the view; the only part
// of the view that it may change is Job.IsCancelledByDependency.
type Observer interface {
	// JobChanged reports a newer record of a job, or that all dependencies of a job have become known.
	// The method sets IsCancelledByDependency of this job and of those that depend on it.
	JobChanged(id string, job *Job)
	// TermObserved reports a leader lock whose fencing token differs from the last observed one. It is
	// called after View.Terms and before View.Lock is updated.
	TermObserved(token uint64)
	// MachineTypesRead reports the stored machine types.
	MachineTypesRead(types []wire.MachineType)
	// ConstraintsChanged reports newer renewal constraints.
	ConstraintsChanged(constraints delegation.Constraints, version uint64)
	// StandbyChanged reports the record of in-sync members, which is empty if it cannot be read.
	StandbyChanged(record standby.InSyncRecord, version uint64)
	// WorkerContactRead reports the record of how many workers contact a member.
	WorkerContactRead(member string, record records.WorkerContact)
	// ArchiveMarkerRead reports that finished jobs may be in the archive.
	ArchiveMarkerRead()
	// RecordRejected reports a key or value that cannot be decoded. The view keeps its previous
	// contents, except for the record of in-sync members (see StandbyChanged).
	RecordRejected(key string, err error)
}

// View is a process's copy of the store's contents. It is never assumed to be recent: if an answer to
// a user could be stale, the answer waits for a watch that was opened after the request arrived and
// that thus proves the view's revision (see RequestSync). Other packages only read the exported
// fields; the methods change them. A View belongs to the controller's goroutine.
type View struct {
	// IsLoaded is whether all keys have been read once. Revision is the revision of the store that
	// the view has reached.
	IsLoaded bool
	Revision uint64
	// Jobs holds the jobs by id, without the finished jobs that were evicted.
	Jobs map[string]*Job
	// Progress holds the values of the jobs' progress keys, by job id and key number.
	Progress map[string]map[int]ProgressPart
	// Dependencies holds the parts of the jobs' lists of dependencies, by job id and part number. Only
	// lists that have keys of their own are here; other lists are in the job's record.
	Dependencies map[string]map[int][]string
	// ScaleOuts holds the scale-out requests by name.
	ScaleOuts map[string]*ScaleOut
	Lock      election.Lock
	// Constraints holds the leaders' renewal constraints; ConstraintsVersion is the revision of their record.
	Constraints        delegation.Constraints
	ConstraintsVersion uint64
	// Standby is the record of the members in sync with a leader; StandbyVersion is its revision.
	Standby        standby.InSyncRecord
	StandbyVersion uint64
	// HasArchive is whether there may be finished jobs in the archive.
	HasArchive bool
	// Terms holds the leadership terms that were observed since all keys were last read.
	Terms standby.TermHistory

	observer Observer
	waiters  []*syncWaiter
}

// New returns an empty view that reports to observer.
func New(observer Observer) *View {
	return &View{
		observer: observer, Jobs: map[string]*Job{}, Progress: map[string]map[int]ProgressPart{},
		Dependencies: map[string]map[int][]string{}, ScaleOuts: map[string]*ScaleOut{},
	}
}

// SetJob stores a newer record of a job: one that was read, or one that this process or another member
// has written and that no watch has returned yet.
func (view *View) SetJob(id string, job *Job) {
	view.Jobs[id] = job
	view.observer.JobChanged(id, job)
}

// EvictJob removes a finished job from the view. The job's record stays in the store.
func (view *View) EvictJob(id string) { delete(view.Jobs, id) }

// SetConstraints stores the renewal constraints written at revision version, unless the view already
// has these or newer ones.
func (view *View) SetConstraints(constraints delegation.Constraints, version uint64) {
	if version <= view.ConstraintsVersion {
		return
	}
	view.Constraints, view.ConstraintsVersion = constraints, version
	view.observer.ConstraintsChanged(constraints, version)
}

// SetDependencies stores one part of a job's list of dependencies, whether or not the view already has
// the job's record. If it has, and no part is missing any longer, the Observer is notified of the job
// again.
func (view *View) SetDependencies(id string, part int, ids []string) {
	parts := view.Dependencies[id]
	if parts == nil {
		parts = map[int][]string{}
		view.Dependencies[id] = parts
	}
	parts[part] = ids
	if job := view.Jobs[id]; job != nil && !job.HasEnded() && part < job.DependencyParts && view.hasAllParts(id, job) {
		view.SetJob(id, job)
	}
}

// hasAllParts reports whether the view has all parts of a job's list of dependencies. It may have others with higher numbers,
// of an attempt to submit the job under other limits.
func (view *View) hasAllParts(id string, job *Job) bool {
	parts := view.Dependencies[id]
	for part := range job.DependencyParts {
		if _, ok := parts[part]; !ok {
			return false
		}
	}
	return true
}

// DependenciesOf returns the ids of the jobs that an active job depends on. isComplete is whether all
// parts of the list are known; if not, ids is nil.
func (view *View) DependenciesOf(id string, job *Job) (ids []string, isComplete bool) {
	if job.DependencyParts == 0 {
		return job.Spec.DependsOn, true
	}
	if !view.hasAllParts(id, job) {
		return nil, false
	}
	for part := range job.DependencyParts {
		ids = append(ids, view.Dependencies[id][part]...)
	}
	return ids, true
}

// CompletedTasks returns the set of an active job's completed tasks, from all of its progress keys.
// nominalTasksPerKey is the same as for records.NewProgressLayout.
func (view *View) CompletedTasks(id string, job *Job, nominalTasksPerKey int) records.Bitmap {
	var completed records.Bitmap
	tasksPerKey := job.TasksPerProgressKey(nominalTasksPerKey)
	for number, part := range view.Progress[id] {
		part.AddTo(&completed, number, tasksPerKey, job.Spec.TaskCount)
	}
	return completed
}

// ProgressKeys returns the numbers of a job's progress keys in ascending order.
func (view *View) ProgressKeys(id string) []int {
	return slices.Sorted(maps.Keys(view.Progress[id]))
}

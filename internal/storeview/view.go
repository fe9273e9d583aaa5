// Package storeview is a process's copy of what firwood keeps in the key-value store. The
// controller reads the store and hands what it reads to a View, which decodes it and reports to an
// Observer what has changed. The package does no I/O and reads no clock.
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

// Observer learns what changes in a View. A method is called in the middle of an apply, right after
// the change that it reports and before the next one. It may read the view; of what the view holds
// it changes Job.IsCancelledByDependency alone.
type Observer interface {
	// JobChanged reports a newer record of a job, or that what the job depends on has come to be
	// known. It sets IsCancelledByDependency of this job, and of those that depend on it.
	JobChanged(id string, job *Job)
	// TermObserved reports a lock of another token than the last, before Lock is changed.
	TermObserved(token uint64)
	// MachineTypesRead reports the stored machine types.
	MachineTypesRead(types []wire.MachineType)
	// ConstraintsChanged reports newer renewal constraints.
	ConstraintsChanged(constraints delegation.Constraints, version uint64)
	// StandbyChanged reports the record of in-sync members, which is empty if it cannot be read.
	StandbyChanged(record standby.InSyncRecord, version uint64)
	// WorkerContactRead reports how many workers contact a member.
	WorkerContactRead(member string, record records.WorkerContact)
	// ArchiveMarkerRead reports that there may be an archive.
	ArchiveMarkerRead()
	// RecordRejected reports a key or value that cannot be read. The view keeps what it had, except
	// for the record of in-sync members, of which see StandbyChanged.
	RecordRejected(key string, err error)
}

// View is the copy. It is never assumed to be recent: an answer to a user that could be stale waits
// for a watch that was opened after the question came and so proves the view's revision, see
// RequestSync. Its exported fields are for reading; methods change them. A View belongs to the
// controller's goroutine.
type View struct {
	// IsLoaded: all keys have been read once. Revision is the store's revision that the view has
	// reached.
	IsLoaded bool
	Revision uint64
	// Jobs are the jobs by id, without finished ones that were evicted.
	Jobs map[string]*Job
	// Progress is what the progress keys of jobs hold, by job and number.
	Progress map[string]map[int]ProgressPart
	// Dependencies are the parts of what jobs depend on, by job and number, where they have keys
	// of their own.
	Dependencies map[string]map[int][]string
	// ScaleOuts are the scale-out requests by name.
	ScaleOuts map[string]*ScaleOut
	Lock      election.Lock
	// Constraints are the leaders' renewal constraints, with the revision of their record.
	Constraints        delegation.Constraints
	ConstraintsVersion uint64
	// Standby is the record of the members in sync with a leader, with its revision.
	Standby        standby.InSyncRecord
	StandbyVersion uint64
	// HasArchive: there may be finished jobs in the archive.
	HasArchive bool
	// Terms are the leadership terms that were seen since all keys were last read.
	Terms standby.TermHistory

	observer Observer
	waiters  []*syncWaiter
}

// New makes an empty view.
func New(observer Observer) *View {
	return &View{
		observer: observer, Jobs: map[string]*Job{}, Progress: map[string]map[int]ProgressPart{},
		Dependencies: map[string]map[int][]string{}, ScaleOuts: map[string]*ScaleOut{},
	}
}

// SetJob sets a newer record of a job, as it was read or, before the watch brings it, as this
// process has written it.
func (view *View) SetJob(id string, job *Job) {
	view.Jobs[id] = job
	view.observer.JobChanged(id, job)
}

// EvictJob removes a finished job, whose record stays in the store.
func (view *View) EvictJob(id string) { delete(view.Jobs, id) }

// SetConstraints sets the renewal constraints of some revision, unless they are known by then.
func (view *View) SetConstraints(constraints delegation.Constraints, version uint64) {
	if version <= view.ConstraintsVersion {
		return
	}
	view.Constraints, view.ConstraintsVersion = constraints, version
	view.observer.ConstraintsChanged(constraints, version)
}

// SetDependencies sets one part of what a job depends on; the job's record may have come before.
func (view *View) SetDependencies(id string, part int, ids []string) {
	parts := view.Dependencies[id]
	if parts == nil {
		parts = map[int][]string{}
		view.Dependencies[id] = parts
	}
	parts[part] = ids
	if job := view.Jobs[id]; job != nil && !job.HasEnded() && len(parts) == job.DependencyParts {
		view.SetJob(id, job)
	}
}

// DependenciesOf is what an active job depends on, and whether all parts of that are known.
func (view *View) DependenciesOf(id string, job *Job) (ids []string, isComplete bool) {
	if job.DependencyParts == 0 {
		return job.Spec.DependsOn, true
	}
	parts := view.Dependencies[id]
	if len(parts) < job.DependencyParts {
		return nil, false
	}
	for part := range job.DependencyParts {
		ids = append(ids, parts[part]...)
	}
	return ids, true
}

// CompletedTasks is the set of an active job's completed tasks, by all of its progress keys;
// nominalTasksPerKey is that of records.NewProgressLayout.
func (view *View) CompletedTasks(id string, job *Job, nominalTasksPerKey int) records.Bitmap {
	var completed records.Bitmap
	tasksPerKey := job.TasksPerProgressKey(nominalTasksPerKey)
	for number, part := range view.Progress[id] {
		part.AddTo(&completed, number, tasksPerKey, job.Spec.TaskCount)
	}
	return completed
}

// ProgressKeys are the numbers of a job's progress keys, in order.
func (view *View) ProgressKeys(id string) []int {
	return slices.Sorted(maps.Keys(view.Progress[id]))
}

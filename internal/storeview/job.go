package storeview

import (
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/records"
	"firwood.dev/firwood/wire"
)

// Job is a job's record with what this process knows of it besides the stored value.
type Job struct {
	records.Job
	// Version is the revision of the record.
	Version uint64
	// IsArchived is whether the record is in the archive.
	IsArchived bool
	// IsCancelledByDependency is whether a job that this one depends on is durably cancelled. This
	// job is then cancelled too, whether or not its own record says so yet. The Observer sets the
	// field, since it follows from the dependency graph.
	IsCancelledByDependency bool
}

// HasEnded reports whether the job has ended, by its own record or because a job that it depends on
// was cancelled.
func (job *Job) HasEnded() bool { return job.State != "" || job.IsCancelledByDependency }

// Key returns the key of the job's record, which is in the archive if IsArchived is set.
func (job *Job) Key(id string) string {
	if job.IsArchived {
		return records.ArchiveKey(id)
	}
	return records.JobKey(id)
}

// EffectiveState returns the state that users are shown for a job that has ended.
func (job *Job) EffectiveState() string {
	if job.IsCancelledByDependency {
		return wire.JobCancelled
	}
	return job.State
}

// NewEndedJob returns a job that ends now in state. The caller sets its Version once the record is
// written.
func NewEndedJob(job *Job, state string, now clock.Micros) *Job {
	return &Job{Job: *records.NewEndedRecord(&job.Job, state, now)}
}

// ScaleOut is a scale-out request's record with its revision.
type ScaleOut struct {
	records.ScaleOut
	Version uint64
}

// ProgressPart is the value of one progress key of a job, with the revision of the value.
type ProgressPart struct {
	records.ProgressPart
	Version uint64
}

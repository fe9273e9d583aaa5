package storeview

import (
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/records"
	"firwood.dev/firwood/wire"
)

// Job is a job's record with what is known of it beside the stored value.
type Job struct {
	records.Job
	// Version is the revision of the record.
	Version uint64
	// IsArchived: the record lies in the archive.
	IsArchived bool
	// IsCancelledByDependency: a job that this one depends on is durably cancelled, so this one
	// is too, whether or not its own record says so yet. The observer sets it, since it follows
	// from the dependency graph.
	IsCancelledByDependency bool
}

// HasEnded tells whether the job has ended, by its own record or with a job that it depends on.
func (job *Job) HasEnded() bool { return job.State != "" || job.IsCancelledByDependency }

// Key is the key that the job's record lies below.
func (job *Job) Key(id string) string {
	if job.IsArchived {
		return records.ArchiveKey(id)
	}
	return records.JobKey(id)
}

// EffectiveState is the state that users are told of a job that has ended.
func (job *Job) EffectiveState() string {
	if job.IsCancelledByDependency {
		return wire.JobCancelled
	}
	return job.State
}

// NewEndedJob is a job that ends now in a state. Its Version is set once the record is written.
func NewEndedJob(job *Job, state string, now clock.Micros) *Job {
	return &Job{Job: *records.NewEndedRecord(&job.Job, state, now)}
}

// ScaleOut is a scale-out request's record with its revision.
type ScaleOut struct {
	records.ScaleOut
	Version uint64
}

// ProgressPart is what one progress key of a job holds, with the revision of its value.
type ProgressPart struct {
	records.ProgressPart
	Version uint64
}

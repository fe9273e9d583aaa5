package controller

import (
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/records"
	"firwood.dev/firwood/wire"
)

// Job is a job's record as the view has it, with what is not part of the stored value.
type Job struct {
	records.Job
	// Version is the revision of the record.
	Version uint64
	// IsArchived: the record lies in the archive.
	IsArchived bool
	// IsCancelledByDependency: a job that this one depends on is durably cancelled, so this one
	// is too, whether or not its own record says so yet.
	IsCancelledByDependency bool
}

// HasEnded tells whether the job has ended, by its own record or with a job that it depends on.
func (record *Job) HasEnded() bool { return record.State != "" || record.IsCancelledByDependency }

// Key is the key that the job's record lies below.
func (record *Job) Key(id string) string {
	if record.IsArchived {
		return records.ArchiveKey(id)
	}
	return records.JobKey(id)
}

// EffectiveState is the state that users are told of a job that has ended.
func (record *Job) EffectiveState() string {
	if record.IsCancelledByDependency {
		return wire.JobCancelled
	}
	return record.State
}

// NewEndedJob is the view's record of a job that ends now in a state; its version is not known.
func NewEndedJob(record *Job, state string, now clock.Micros) *Job {
	return &Job{Job: *records.NewEndRecord(&record.Job, state, now)}
}

// ScaleOut is a scale-out request's record as the view has it.
type ScaleOut struct {
	records.ScaleOut
	// Version is the revision of the record.
	Version uint64
}

// ProgressPart is what one progress key of a job holds, as the view has it.
type ProgressPart struct {
	records.ProgressPart
	// Version is the revision of the key's value.
	Version uint64
}

// storeLimits are the limits that what is written to the store keeps to.
func (controller *Controller) storeLimits() records.Limits {
	limits := controller.cfg.Deployment.Store.Effective()
	return records.Limits{MaxValueKB: limits.MaxValueKB, MaxTransactionOps: limits.MaxTransactionOps}
}

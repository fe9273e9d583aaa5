package controller

import (
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/records"
	"firwood.dev/firwood/wire"
)

// jobRecord is a job's record as the view has it, with what is not part of the stored value.
type jobRecord struct {
	records.Job
	// version is the revision of the record.
	version uint64
	// isArchived: the record lies in the archive.
	isArchived bool
	// isCancelledByDependency: a job that this one depends on is durably cancelled, so this one
	// is too, whether or not its own record says so yet.
	isCancelledByDependency bool
}

// hasEnded tells whether the job has ended, by its own record or with a job that it depends on.
func (record *jobRecord) hasEnded() bool { return record.State != "" || record.isCancelledByDependency }

// key is the key that the job's record lies below.
func (record *jobRecord) key(id string) string {
	if record.isArchived {
		return records.ArchiveKey(id)
	}
	return records.JobKey(id)
}

// effectiveState is the state that users are told of a job that has ended.
func (record *jobRecord) effectiveState() string {
	if record.isCancelledByDependency {
		return wire.JobCancelled
	}
	return record.State
}

// newEndRecord is the view's record of a job that ends now in a state; its version is not known.
func newEndRecord(record *jobRecord, state string, now clock.Micros) *jobRecord {
	return &jobRecord{Job: *records.NewEndRecord(&record.Job, state, now)}
}

// scaleOutRecord is a scale-out request's record as the view has it.
type scaleOutRecord struct {
	records.ScaleOut
	// version is the revision of the record.
	version uint64
}

// progressPart is what one progress key of a job holds, as the view has it.
type progressPart struct {
	records.ProgressPart
	// version is the revision of the key's value.
	version uint64
}

// storeLimits are the limits that what is written to the store keeps to.
func (controller *Controller) storeLimits() records.Limits {
	limits := controller.cfg.Deployment.Store.Effective()
	return records.Limits{MaxValueKB: limits.MaxValueKB, MaxTransactionOps: limits.MaxTransactionOps}
}

package controller

import (
	"firwood.dev/firwood/internal/records"
	"firwood.dev/firwood/internal/storeview"
)

// storeLimits are the limits that what is written to the store keeps to: those in force, and those
// that are announced.
func (controller *Controller) storeLimits() records.Limits {
	limits := controller.cfg.Deployment.Store.Effective()
	return records.Limits{MaxValueKB: limits.MaxValueKB, MaxTransactionOps: limits.MaxTransactionOps}
}

// progressLayoutOf is where an active job's progress is written under these limits.
func (controller *Controller) progressLayoutOf(job *storeview.Job) records.ProgressLayout {
	return records.NewProgressLayout(&job.Job, controller.tasksPerKey, controller.storeLimits())
}

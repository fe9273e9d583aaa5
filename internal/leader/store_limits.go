package leader

import (
	"firwood.dev/firwood/internal/config"
	"firwood.dev/firwood/internal/records"
	"firwood.dev/firwood/internal/storeview"
)

// StoreLimits are the limits that what is written to the store keeps to: those in force, and those
// that are announced.
func StoreLimits(cfg *config.Platform) records.Limits {
	limits := cfg.Deployment.Store.Effective()
	return records.Limits{MaxValueKB: limits.MaxValueKB, MaxTransactionOps: limits.MaxTransactionOps}
}

// progressLayoutOf is where an active job's progress is written under these limits.
func (term *Term) progressLayoutOf(job *storeview.Job) records.ProgressLayout {
	return records.NewProgressLayout(&job.Job, term.environment.TasksPerKey, StoreLimits(term.environment.Config))
}

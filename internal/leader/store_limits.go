package leader

import (
	"firwood.dev/firwood/internal/config"
	"firwood.dev/firwood/internal/records"
	"firwood.dev/firwood/internal/storeview"
)

// StoreLimits returns the limits that all records written to the store keep: the stricter of the limits in
// force and those announced.
func StoreLimits(cfg *config.Platform) records.Limits {
	limits := cfg.Deployment.Store.Effective()
	return records.Limits{MaxValueKB: limits.MaxValueKB, MaxTransactionOps: limits.MaxTransactionOps}
}

// progressLayoutOf returns in which keys an active job's progress is written under the store limits.
func (term *Term) progressLayoutOf(job *storeview.Job) records.ProgressLayout {
	return records.NewProgressLayout(&job.Job, term.environment.TasksPerKey, StoreLimits(term.environment.Config))
}

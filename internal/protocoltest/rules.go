package protocoltest

import "time"

// Rule names a way in which a history can violate PROTOCOL. Its values appear in test output only.
type Rule string

const (
	// DuplicateExecution reports a task that starts on a machine while it is on another one.
	DuplicateExecution Rule = "ran_twice"
	// QuotaExceeded reports a team whose running tasks use more than its quota.
	QuotaExceeded Rule = "quota"
	// PlacementViolated reports a task on a machine that its job does not allow: a machine of
	// another type, zone or market, or one that breaks SingleZone or SpreadZones.
	PlacementViolated Rule = "wrong_place"
	// CancelledTaskRan reports a task that is on a machine more than Config.CancellationGrace after the
	// cancellation of its job was confirmed.
	CancelledTaskRan Rule = "ran_cancelled"
	// AcceptedJobLost reports a reply that denies a job that was accepted before.
	AcceptedJobLost Rule = "forgotten"
	// UnknownJob reports a reply about a job that was never submitted, or a task of such a job.
	UnknownJob Rule = "invented"
	// IncompleteJobDone reports a reply that shows a job as done before all its tasks are done.
	IncompleteJobDone Rule = "not_done"
	// StateRegressed reports a reply that shows a job in another state after a final one, or a
	// cancellation that no user requested.
	StateRegressed Rule = "went_back"
	// DependencyNotDone reports a task that starts before all dependencies of its job are
	// done.
	DependencyNotDone Rule = "too_early"
	// DependentNotCancelled reports a reply that shows a job as pending or running although the
	// cancellation of one of its dependencies was confirmed more than Config.CancellationGrace before
	// the request was sent.
	DependentNotCancelled Rule = "orphaned"
)

// Violation describes one violation of a rule.
type Violation struct {
	Rule Rule
	// Detail names the job, task or team, and what was observed.
	Detail string
}

// TeamQuota bounds what the running tasks of a team may use; 0 means no limit.
type TeamQuota struct{ CPUs, GPUs float64 }

// Config holds the deployment's settings that rules depend on.
type Config struct {
	// CancellationGrace is how long tasks of a job may stay on machines after the cancellation of
	// the job was confirmed.
	CancellationGrace time.Duration
	// QuotaByTeam maps each team to its quota. A team that is not in the map has no limit.
	QuotaByTeam map[string]TeamQuota
}

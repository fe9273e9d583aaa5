package protocoltest

import "time"

// Rule names a way in which a history can violate PROTOCOL. Its values appear in test output only.
type Rule string

const (
	// DuplicateExecution is the violation by a task that starts while it is on another machine.
	DuplicateExecution Rule = "ran_twice"
	// QuotaExceeded is the violation by a team whose tasks on machines use more than its quota.
	QuotaExceeded Rule = "quota"
	// PlacementViolated is the violation by a task on a machine that its job does not allow: of
	// another type, zone or market, or against SingleZone or SpreadZones.
	PlacementViolated Rule = "wrong_place"
	// CancelledTaskRan is the violation by a task on a machine later than Config.CancellationGrace
	// after the cancellation of its job was confirmed.
	CancelledTaskRan Rule = "ran_cancelled"
	// AcceptedJobLost is the violation by a reply that denies a job after it was accepted.
	AcceptedJobLost Rule = "forgotten"
	// UnknownJob is the violation by a state or a task of a job that nobody submitted.
	UnknownJob Rule = "invented"
	// IncompleteJobDone is the violation by a job that is called done before its last task is.
	IncompleteJobDone Rule = "not_done"
	// StateRegressed is the violation by a final state that is followed by another one, and by a
	// cancellation that no user requested.
	StateRegressed Rule = "went_back"
	// DependencyNotDone is the violation by a task that starts before all dependencies of its job
	// are done.
	DependencyNotDone Rule = "too_early"
	// DependentNotCancelled is the violation by a job that is still called pending or running when
	// the cancellation of one of its dependencies was confirmed more than Config.CancellationGrace
	// before the request.
	DependentNotCancelled Rule = "orphaned"
)

// Violation is a violated rule.
type Violation struct {
	Rule Rule
	// Detail says which job or task, and where.
	Detail string
}

// TeamQuota is what a team's tasks may use at a time; 0 is no limit.
type TeamQuota struct{ CPUs, GPUs float64 }

// Config holds the deployment's settings that rules depend on.
type Config struct {
	// CancellationGrace is how long tasks of a job may stay after its cancellation was
	// confirmed.
	CancellationGrace time.Duration
	// QuotaByTeam is the quota of each team; a team that is missing has none.
	QuotaByTeam map[string]TeamQuota
}

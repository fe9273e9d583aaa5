// Package protocoltest checks histories of users' answers and workers' tasks
// against the rules of the protocol. It is for tests: it sees what users and
// workers see, and nothing of the service itself.
package protocoltest

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"firwood.dev/firwood/wire"
)

// Rule names a rule of the protocol.
type Rule string

// The rules that a history can break.
const (
	DuplicateExecution    Rule = "ran_twice"
	QuotaExceeded         Rule = "quota"
	PlacementViolated     Rule = "wrong_place"
	CancelledTaskRan      Rule = "ran_cancelled"
	AcceptedJobLost       Rule = "forgotten"
	UnknownJob            Rule = "invented"
	IncompleteJobDone     Rule = "not_done"
	StateRegressed        Rule = "went_back"
	DependencyNotDone     Rule = "too_early"
	DependentNotCancelled Rule = "orphaned"
)

// Violation is a broken rule.
type Violation struct {
	Rule Rule
	// Detail says which job or task, and where.
	Detail string
}

// TeamQuota is what a team's tasks may use at a time; 0 is no limit.
type TeamQuota struct{ CPUs, GPUs float64 }

// Config says what the rules rest on.
type Config struct {
	// CancellationGrace is how long a cancelled job's tasks may stay.
	CancellationGrace time.Duration
	QuotaByTeam       map[string]TeamQuota
}

// jobRecord is what is known of a job.
type jobRecord struct {
	spec            *wire.Job
	accepted        bool
	acceptedAt      time.Time
	cancelRequested bool
	finalState      string // "done" or "aborted" once told
	finalStateAt    time.Time
	doneTasks       map[int]bool
	machineByTask   map[int]wire.ListedMachine // by task
	overdueReported bool                       // its overdue tasks have been counted
}

// Checker takes a history as it happens. It is safe for concurrent use.
type Checker struct {
	cfg Config

	mu         sync.Mutex
	jobs       map[string]*jobRecord
	violations []Violation
	// lateStarts counts starts after a confirmed cancellation, which are no broken
	// rule within the cancellation time.
	lateStarts []string
	// reruns lists starts of tasks that had been done, which are no broken rule.
	reruns []string
}

// New makes a checker of an empty history.
func New(cfg Config) *Checker { return &Checker{cfg: cfg, jobs: map[string]*jobRecord{}} }

// Violations are the rules broken so far.
func (checker *Checker) Violations() []Violation {
	checker.mu.Lock()
	defer checker.mu.Unlock()
	checker.checkOverdueCancellations()
	return append([]Violation(nil), checker.violations...)
}

// LateStarts lists starts of tasks whose job was confirmed as cancelled.
func (checker *Checker) LateStarts() []string {
	checker.mu.Lock()
	defer checker.mu.Unlock()
	return slices.Clone(checker.lateStarts)
}

// Reruns lists starts of tasks that had been done before.
func (checker *Checker) Reruns() []string {
	checker.mu.Lock()
	defer checker.mu.Unlock()
	return slices.Clone(checker.reruns)
}

// IsService tells whether a submitted job is a service.
func (checker *Checker) IsService(id string) bool {
	checker.mu.Lock()
	defer checker.mu.Unlock()
	job := checker.jobs[id]
	return job != nil && job.spec.Kind == wire.KindService
}

func (checker *Checker) addViolation(rule Rule, format string, args ...any) {
	checker.violations = append(checker.violations, Violation{rule, fmt.Sprintf(format, args...)})
}

// RecordSubmission notes that a user submits a job, at first or again.
func (checker *Checker) RecordSubmission(spec *wire.Job) {
	checker.mu.Lock()
	defer checker.mu.Unlock()
	if checker.jobs[spec.ID] == nil {
		checker.jobs[spec.ID] = &jobRecord{spec: spec, doneTasks: map[int]bool{}, machineByTask: map[int]wire.ListedMachine{}}
	}
}

// RecordCancelRequest notes that a user asks for a job to be cancelled.
func (checker *Checker) RecordCancelRequest(id string) {
	checker.mu.Lock()
	defer checker.mu.Unlock()
	if job := checker.jobs[id]; job != nil {
		job.cancelRequested = true
	}
}

// RecordJobState notes what a user is told of a job, in answer to a request sent at an
// instant.
func (checker *Checker) RecordJobState(id, state string, sentAt time.Time) {
	checker.mu.Lock()
	defer checker.mu.Unlock()
	job := checker.jobs[id]
	if job == nil {
		checker.addViolation(UnknownJob, "%s is called %s", id, state)
		return
	}
	if !job.accepted {
		job.accepted, job.acceptedAt = true, time.Now()
	}
	if job.finalState != "" {
		if state != job.finalState && sentAt.After(job.finalStateAt) {
			checker.addViolation(StateRegressed, "%s is called %s after %s", id, state, job.finalState)
		}
		return
	}
	switch state {
	case wire.JobDone:
		if len(job.doneTasks) < job.spec.TaskCount {
			checker.addViolation(IncompleteJobDone, "%s: %d of %d tasks are done", id, len(job.doneTasks), job.spec.TaskCount)
		}
	case wire.JobCancelled:
		if !checker.isCancellationExpected(job) {
			checker.addViolation(StateRegressed, "%s is called cancelled, which its user did not ask for", id)
		}
	default:
		if at, cancelled := checker.dependencyCancelledAt(job); cancelled && sentAt.Sub(at) > checker.cfg.CancellationGrace {
			checker.addViolation(DependentNotCancelled, "%s is called %s %v after a job that it needs was cancelled", id, state, sentAt.Sub(at))
		}
		return
	}
	job.finalState, job.finalStateAt = state, time.Now()
}

// anyDependency calls f for every job that a job needs, directly or through others, until
// it returns true.
func (checker *Checker) anyDependency(job *jobRecord, matches func(*jobRecord) bool) bool {
	seen := map[*jobRecord]bool{job: true}
	queue := []*jobRecord{job}
	for len(queue) > 0 {
		next := queue[len(queue)-1]
		queue = queue[:len(queue)-1]
		for _, id := range next.spec.DependsOn {
			dependency := checker.jobs[id]
			if dependency == nil || seen[dependency] {
				continue
			}
			if matches(dependency) {
				return true
			}
			seen[dependency] = true
			queue = append(queue, dependency)
		}
	}
	return false
}

// isCancellationExpected tells whether a user asked for a job, or one that it needs, to be
// cancelled.
func (checker *Checker) isCancellationExpected(job *jobRecord) bool {
	return job.cancelRequested || checker.anyDependency(job, func(dependency *jobRecord) bool { return dependency.cancelRequested })
}

// dependencyCancelledAt tells when a user was told that a job which this one needs is
// cancelled.
func (checker *Checker) dependencyCancelledAt(job *jobRecord) (at time.Time, cancelled bool) {
	cancelled = checker.anyDependency(job, func(dependency *jobRecord) bool {
		at = dependency.finalStateAt
		return dependency.finalState == wire.JobCancelled
	})
	return at, cancelled
}

// AcceptedJobs lists the jobs that users were told to be accepted.
func (checker *Checker) AcceptedJobs() []string {
	checker.mu.Lock()
	defer checker.mu.Unlock()
	var ids []string
	for id, job := range checker.jobs {
		if job.accepted {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// RecordRejection notes that a request sent at an instant was answered as if the job could
// not be: 404 to a question, 400 or 422 to a submission.
func (checker *Checker) RecordRejection(id string, status int, sentAt time.Time) {
	checker.mu.Lock()
	defer checker.mu.Unlock()
	if job := checker.jobs[id]; job != nil && job.accepted && sentAt.After(job.acceptedAt) {
		checker.addViolation(AcceptedJobLost, "%s gets %d", id, status)
	}
}

// RecordTaskStart notes that a task is on a machine.
func (checker *Checker) RecordTaskStart(machine wire.ListedMachine, task string) {
	checker.mu.Lock()
	defer checker.mu.Unlock()
	checker.checkOverdueCancellations()
	id, index, ok := wire.ParseTaskID(task)
	job := checker.jobs[id]
	if !ok || job == nil {
		checker.addViolation(UnknownJob, "%s starts", task)
		return
	}
	if other, on := job.machineByTask[index]; on {
		checker.addViolation(DuplicateExecution, "%s starts on %s while on %s", task, machine.ID, other.ID)
	}
	checker.checkPlacement(job, machine, task)
	for _, dependencyID := range job.spec.DependsOn {
		if dependency := checker.jobs[dependencyID]; dependency == nil || len(dependency.doneTasks) < dependency.spec.TaskCount {
			checker.addViolation(DependencyNotDone, "%s starts before %s is done", task, dependencyID)
		}
	}
	job.machineByTask[index] = machine
	if job.doneTasks[index] {
		checker.reruns = append(checker.reruns, task+" on "+machine.ID)
	}
	checker.checkQuota(job.spec.Team)
	if job.finalState == wire.JobCancelled {
		checker.lateStarts = append(checker.lateStarts, fmt.Sprintf("%s on %s, %v after its job was cancelled", task, machine.ID, time.Since(job.finalStateAt)))
		if time.Since(job.finalStateAt) > checker.cfg.CancellationGrace {
			checker.addViolation(CancelledTaskRan, "%s starts %v after its job was cancelled", task, time.Since(job.finalStateAt))
		}
	}
}

// RecordTaskEnd notes that a task is not on a machine any more.
func (checker *Checker) RecordTaskEnd(machine, task, cause string) {
	checker.mu.Lock()
	defer checker.mu.Unlock()
	checker.checkOverdueCancellations()
	id, index, ok := wire.ParseTaskID(task)
	job := checker.jobs[id]
	if !ok || job == nil {
		return
	}
	if job.machineByTask[index].ID == machine {
		delete(job.machineByTask, index)
	}
	if cause == wire.ExitDone {
		job.doneTasks[index] = true
	}
}

// checkPlacement checks the job's own wishes, given its other tasks.
func (checker *Checker) checkPlacement(job *jobRecord, machine wire.ListedMachine, task string) {
	spec := job.spec
	allowed := !machine.Spot || spec.AllowsSpot
	allowed = allowed && (spec.Zone == "" || spec.Zone == machine.Zone)
	if spec.MachineTypes != nil {
		found := false
		for _, t := range spec.MachineTypes {
			found = found || t == machine.MachineType
		}
		allowed = allowed && found
	}
	inZone := 1
	for _, other := range job.machineByTask {
		if other.Zone == machine.Zone {
			inZone++
		} else if spec.SingleZone {
			allowed = false
		}
	}
	if spec.SpreadZones && inZone > (spec.TaskCount+1)/2 {
		allowed = false
	}
	if !allowed {
		checker.addViolation(PlacementViolated, "%s starts on %s (%s, %s, spot %v)", task, machine.ID, machine.MachineType, machine.Zone, machine.Spot)
	}
}

func (checker *Checker) checkQuota(team string) {
	limit := checker.cfg.QuotaByTeam[team]
	var cpus, gpus float64
	for _, job := range checker.jobs {
		if job.spec.Team == team {
			cpus += float64(len(job.machineByTask)) * job.spec.CPUs
			gpus += float64(len(job.machineByTask)) * job.spec.GPUs
		}
	}
	if limit.CPUs > 0 && cpus > limit.CPUs || limit.GPUs > 0 && gpus > limit.GPUs {
		checker.addViolation(QuotaExceeded, "%s uses %g CPUs and %g GPUs", team, cpus, gpus)
	}
}

// checkOverdueCancellations finds cancelled jobs whose tasks have stayed for too long.
func (checker *Checker) checkOverdueCancellations() {
	for id, job := range checker.jobs {
		if job.overdueReported || job.finalState != wire.JobCancelled || time.Since(job.finalStateAt) <= checker.cfg.CancellationGrace {
			continue
		}
		job.overdueReported = true
		for index, machine := range job.machineByTask {
			checker.addViolation(CancelledTaskRan, "%s/%d is on %s %v after its job was cancelled", id, index, machine.ID, time.Since(job.finalStateAt))
		}
	}
}

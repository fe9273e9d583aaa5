// Package protocoltest checks histories of users' requests and workers' tasks against the rules
// of PROTOCOL. It is for tests. A checker sees what users and workers see, and nothing of the
// controllers' internal state.
package protocoltest

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"firwood.dev/firwood/wire"
)

// jobRecord holds what users and workers have seen of a job.
type jobRecord struct {
	spec            *wire.Job
	accepted        bool // whether a user got a reply with a state of the job
	acceptedAt      time.Time
	cancelRequested bool
	finalState      string // wire.JobDone or wire.JobCancelled, or empty until a user gets one of them
	finalStateAt    time.Time
	doneTasks       map[int]bool               // by task index
	machineByTask   map[int]wire.ListedMachine // machines of the tasks that run, by task index
	overdueChecked  bool                       // whether checkOverdueCancellations has checked the job
}

// Checker records a history while it happens and finds the violations in it. A Checker is safe for
// concurrent use.
type Checker struct {
	cfg Config

	mu         sync.Mutex
	jobs       map[string]*jobRecord
	violations []Violation
	// lateStarts describes the starts of tasks after the cancellation of their job was confirmed.
	// Within Config.CancellationGrace such a start violates no rule.
	lateStarts []string
	// reruns describes the starts of tasks that were already done. They violate no rule.
	reruns []string
}

// New returns a checker with an empty history.
func New(cfg Config) *Checker { return &Checker{cfg: cfg, jobs: map[string]*jobRecord{}} }

// Violations returns the violations found so far.
func (checker *Checker) Violations() []Violation {
	checker.mu.Lock()
	defer checker.mu.Unlock()
	checker.checkOverdueCancellations()
	return slices.Clone(checker.violations)
}

// LateStarts describes the starts of tasks after the cancellation of their job was confirmed.
func (checker *Checker) LateStarts() []string {
	checker.mu.Lock()
	defer checker.mu.Unlock()
	return slices.Clone(checker.lateStarts)
}

// Reruns describes the starts of tasks that were already done.
func (checker *Checker) Reruns() []string {
	checker.mu.Lock()
	defer checker.mu.Unlock()
	return slices.Clone(checker.reruns)
}

// IsService reports whether a job was submitted and is a service.
func (checker *Checker) IsService(id string) bool {
	checker.mu.Lock()
	defer checker.mu.Unlock()
	job := checker.jobs[id]
	return job != nil && job.spec.Kind == wire.KindService
}

func (checker *Checker) addViolation(rule Rule, format string, args ...any) {
	checker.violations = append(checker.violations, Violation{rule, fmt.Sprintf(format, args...)})
}

// RecordSubmission records that a user submits a job. A repeated submission changes nothing.
func (checker *Checker) RecordSubmission(spec *wire.Job) {
	checker.mu.Lock()
	defer checker.mu.Unlock()
	if checker.jobs[spec.ID] == nil {
		checker.jobs[spec.ID] = &jobRecord{spec: spec, doneTasks: map[int]bool{}, machineByTask: map[int]wire.ListedMachine{}}
	}
}

// RecordCancelRequest records that a user requests the cancellation of a job.
func (checker *Checker) RecordCancelRequest(id string) {
	checker.mu.Lock()
	defer checker.mu.Unlock()
	if job := checker.jobs[id]; job != nil {
		job.cancelRequested = true
	}
}

// RecordJobState records the state of a job that a user got in reply to a request. The request was
// sent at sentAt.
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

// AcceptedJobs returns the IDs of the jobs whose acceptance a user has seen, sorted.
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

// RecordRejection records a reply that denies that a job exists or was accepted: status 404 to a
// read, 400 or 422 to a submission. The request was sent at sentAt.
func (checker *Checker) RecordRejection(id string, status int, sentAt time.Time) {
	checker.mu.Lock()
	defer checker.mu.Unlock()
	if job := checker.jobs[id]; job != nil && job.accepted && sentAt.After(job.acceptedAt) {
		checker.addViolation(AcceptedJobLost, "%s gets %d", id, status)
	}
}

// RecordTaskStart records that a task starts on a machine.
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
	if other, isRunning := job.machineByTask[index]; isRunning {
		checker.addViolation(DuplicateExecution, "%s starts on %s while on %s", task, machine.ID, other.ID)
	}
	checker.checkPlacement(job, machine, task)
	checker.checkDependencies(job, task)
	job.machineByTask[index] = machine
	if job.doneTasks[index] {
		checker.reruns = append(checker.reruns, task+" on "+machine.ID)
	}
	checker.checkQuota(job.spec.Team)
	checker.checkLateStart(job, machine.ID, task)
}

// RecordTaskEnd records that a task is no longer on a machine. The cause is one of package wire's.
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

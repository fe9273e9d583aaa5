package health

import (
	"fmt"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
)

const (
	// minFaultyJobs is how many jobs have to fail on a machine for it to be faulty.
	minFaultyJobs = 2
	// SharedFaultWindow is for how long a failure on a machine counts as recent. Failures are
	// widespread if more than one in sharedFaultDivisor of the other machines have a recent one.
	// A machine whose own first failure is longer ago than this is drained all the same.
	SharedFaultWindow  = 60 * clock.Second
	sharedFaultDivisor = 10
	// RetryBackoff is for how long a drained machine gets no tasks the first time, pauseBackoff
	// for how long a paused one. Both double each time, maxBackoffDoublings times at most.
	RetryBackoff        = 15 * clock.Second
	pauseBackoff        = 2 * clock.Second
	maxBackoffDoublings = 4
	// faultTTL is after how long without a failure a machine's earlier ones no longer count, and
	// its backoffs begin anew.
	faultTTL = 300 * clock.Second
)

// FaultAction is what to do about a machine on which a task has failed.
type FaultAction uint8

const (
	// NoFaultAction is the zero value: nothing.
	NoFaultAction FaultAction = iota
	// PauseMachine gives it no tasks for a moment: failures are widespread, so the machine
	// itself is probably not at fault.
	PauseMachine
	// DrainMachine gives it no tasks, and deletes it once it is empty; see BeginRetry for one
	// that does not become empty.
	DrainMachine
)

// String is the action as logged.
func (action FaultAction) String() string {
	switch action {
	case NoFaultAction:
		return "none"
	case PauseMachine:
		return "pause"
	case DrainMachine:
		return "drain"
	default:
		return fmt.Sprintf("FaultAction(%d)", uint8(action))
	}
}

// Faults is the record of failed tasks of one machine.
type Faults struct {
	// firstAt and lastAt are the instants of the first and the last failure that count; 0: none.
	firstAt, lastAt clock.Micros
	// retryAt is when a faulty machine that still has tasks gets new ones again; 0: it is not
	// drained for faults.
	retryAt clock.Micros
	// drainCount and pauseCount are how often it was drained and paused.
	drainCount, pauseCount int
}

// RecordFailure records a failed task, whose job machine.FailedJobs has to have by then, and decides
// what the caller has to do. A machine on which tasks of minFaultyJobs jobs have failed is drained;
// while failures are widespread it is paused instead. Nothing is done about one that is drained or
// paused already. isWidespread, which looks at the other machines, is called only if the decision
// depends on it. The instant is the end of the pause; 0 for the other actions.
func (faults *Faults) RecordFailure(machine *allocation.Machine, isWidespread func() bool, now clock.Micros) (FaultAction, clock.Micros) {
	if faults.firstAt == 0 || now-faults.lastAt > faultTTL {
		*faults = Faults{firstAt: now, retryAt: faults.retryAt}
	}
	faults.lastAt = now
	isDrainedOrPaused := machine.Draining || now < machine.BackoffUntil
	if isDrainedOrPaused || len(machine.FailedJobs) < minFaultyJobs {
		return NoFaultAction, 0
	}
	if now-faults.firstAt < SharedFaultWindow && isWidespread() {
		until := now + pauseBackoff<<min(faults.pauseCount, maxBackoffDoublings)
		faults.pauseCount++
		return PauseMachine, until
	}
	faults.retryAt = now + RetryBackoff<<min(faults.drainCount, maxBackoffDoublings)
	faults.drainCount++
	return DrainMachine, 0
}

// HasRecentFailure reports whether a task failed on the machine within SharedFaultWindow.
func (faults *Faults) HasRecentFailure(now clock.Micros) bool {
	return faults.lastAt != 0 && now-faults.lastAt < SharedFaultWindow
}

// IsWidespread reports whether failures are so common that their cause is shared: failing is the
// number of machines with a recent failure, of others, all that are up beside the one in question.
func IsWidespread(failing, others int) bool { return sharedFaultDivisor*failing > others }

// RetryAt is when the machine gets tasks again if it still has some by then; 0 if it is not
// drained for faults.
func (faults *Faults) RetryAt() clock.Micros { return faults.retryAt }

// BeginRetry reports whether a faulty machine that can't be deleted, since it still has tasks, is
// to get new ones again. It reports that once per drain, and failures count anew from then on, for
// which the caller has to clear machine.FailedJobs and machine.Draining. Added after two of a
// fleet's three machines, for which the cloud had no replacement, got no tasks for eight minutes
// because replicas went on running on them without a fault (docs/incidents/all-faulty.md).
func (faults *Faults) BeginRetry(machine *allocation.Machine, now clock.Micros) bool {
	if faults.retryAt == 0 || now < faults.retryAt || machine.IsIdle() {
		return false
	}
	faults.retryAt, faults.firstAt = 0, now
	return true
}

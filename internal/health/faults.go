package health

import (
	"fmt"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
)

const (
	// minFaultyJobs is the number of different jobs whose tasks have to fail on a machine for the
	// machine to be faulty.
	minFaultyJobs = 2
	// SharedFaultWindow is how long a failure on a machine counts as recent. Failures are widespread
	// if more than one in sharedFaultDivisor of the other machines have a recent failure. A machine
	// whose own first failure is at least SharedFaultWindow ago is drained even so.
	SharedFaultWindow  = 60 * clock.Second
	sharedFaultDivisor = 10
	// RetryBackoff and pauseBackoff are how long a machine gets no tasks when it is drained or paused,
	// respectively, for the first time. Both double each time, but at most maxBackoffDoublings times.
	RetryBackoff        = 15 * clock.Second
	pauseBackoff        = 2 * clock.Second
	maxBackoffDoublings = 4
	// faultTTL is the time without a failure after which a machine's earlier failures no longer count
	// and its backoffs start again from their initial values.
	faultTTL = 300 * clock.Second
)

// FaultAction is what to do about a machine on which a task has failed.
type FaultAction uint8

const (
	// NoFaultAction is the zero value: there is nothing to do.
	NoFaultAction FaultAction = iota
	// PauseMachine means that the machine gets no tasks for a short time: failures are widespread, so
	// the machine itself is probably not the cause.
	PauseMachine
	// DrainMachine means that the machine gets no tasks and is deleted once it is idle. If it does not
	// become idle, BeginRetry ends the drain.
	DrainMachine
)

// String returns the action's name in logs.
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

// Faults records the failed tasks of one machine.
type Faults struct {
	// firstAt and lastAt are the times of the first and the last failure that count, or 0 if there is
	// none.
	firstAt, lastAt clock.Micros
	// retryAt is when a faulty machine that still has tasks may get new ones again, or 0 if the machine
	// is not drained for faults.
	retryAt clock.Micros
	// drainCount and pauseCount are how often the machine was drained and paused.
	drainCount, pauseCount int
}

// RecordFailure records a failed task and decides what the caller has to do about the machine. The
// caller has to add the task's job to machine.FailedJobs before the call. A machine on which tasks of
// minFaultyJobs jobs have failed is drained, or only paused while failures are widespread. A machine that
// is already drained or paused needs no action. isWidespread, which examines the other machines, is called
// only if the decision depends on it. The returned time is the end of the pause, or 0 for other actions.
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

// IsWidespread reports whether failures are so common that they probably have a shared cause. others is
// the number of all booted machines except the one in question, and failing is how many of them have a
// recent failure.
func IsWidespread(failing, others int) bool { return sharedFaultDivisor*failing > others }

// RetryAt returns when the machine may get tasks again if it still has some by then, or 0 if it is not
// drained for faults.
func (faults *Faults) RetryAt() clock.Micros { return faults.retryAt }

// BeginRetry ends the drain of a faulty machine that can't be deleted, because it still has tasks, once
// its retry is due. It reports whether it did so, which happens once per drain. The caller then has to
// clear machine.FailedJobs and machine.Draining, so that the count of failures starts again. Without such
// retries, two of a fleet's three machines once got no tasks for eight minutes: replicas kept running on
// them without a fault, and the cloud had no machines to replace them (docs/incidents/all-faulty.md).
func (faults *Faults) BeginRetry(machine *allocation.Machine, now clock.Micros) bool {
	if faults.retryAt == 0 || now < faults.retryAt || machine.IsIdle() {
		return false
	}
	faults.retryAt, faults.firstAt = 0, now
	return true
}

package health

import (
	"fmt"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
)

const (
	// minFaultyJobs is how many jobs have to fail on a machine for it to be faulty.
	minFaultyJobs = 2
	// SharedFaultWindow is how long failures count as one incident of many machines, if
	// more than one in sharedFaultDivisor have any.
	SharedFaultWindow  = 60 * clock.Second
	sharedFaultDivisor = 10
	// RetryBackoff is how long a machine that is faulty alone gets no tasks at first, and
	// pauseBackoff how long while others fail too: twice as long each time it fails again,
	// maxBackoffDoublings times.
	RetryBackoff        = 15 * clock.Second
	pauseBackoff        = 2 * clock.Second
	maxBackoffDoublings = 4
	// faultTTL is how long a machine has to go without a failure for its earlier ones not
	// to count.
	faultTTL = 300 * clock.Second
)

// FaultAction is what to do about a machine on which a task has failed.
type FaultAction uint8

const (
	// NoFaultAction is the zero value: nothing.
	NoFaultAction FaultAction = iota
	// PauseMachine gives it no tasks for a moment: something else is at fault.
	PauseMachine
	// DrainMachine gives it no tasks, and deletes it once it is empty.
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
	firstAt, lastAt clock.Micros // of the failures counted so far; 0: none
	// retryAt is when a faulty machine that still exists gets tasks again; 0: it is not
	// drained for faults.
	retryAt clock.Micros
	// drainCount and pauseCount are how often it was drained and paused.
	drainCount, pauseCount int
}

// RecordFailure counts a failed task and decides what to do. A machine on which several
// jobs fail is drained; if many machines have failures, all of them pause. isWidespread
// is called only if that matters. The instant is the end of a pause.
func (faults *Faults) RecordFailure(machine *allocation.Machine, isWidespread func() bool, now clock.Micros) (FaultAction, clock.Micros) {
	if faults.firstAt == 0 || now-faults.lastAt > faultTTL {
		*faults = Faults{firstAt: now, retryAt: faults.retryAt}
	}
	faults.lastAt = now
	isHeldBack := machine.Draining || now < machine.BackoffUntil
	if isHeldBack || len(machine.FailedJobs) < minFaultyJobs {
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

// HasRecentFailure tells whether a task failed within the window of shared faults.
func (faults *Faults) HasRecentFailure(now clock.Micros) bool {
	return faults.lastAt != 0 && now-faults.lastAt < SharedFaultWindow
}

// IsWidespread tells whether that many failing machines, among others that are up, point
// to a cause that they share.
func IsWidespread(failing, others int) bool { return sharedFaultDivisor*failing > others }

// RetryAt is when the machine gets tasks again, 0 if it is not drained for faults.
func (faults *Faults) RetryAt() clock.Micros { return faults.retryAt }

// TakeRetry tells whether a faulty machine that cannot be deleted, since it has tasks, is
// to get new ones again, and counts from there. Added after two of a fleet's three
// machines, for which the cloud had no replacement, got no tasks for eight minutes
// because of replicas that ran on them without a fault.
func (faults *Faults) TakeRetry(machine *allocation.Machine, now clock.Micros) bool {
	if faults.retryAt == 0 || now < faults.retryAt || machine.IsIdle() {
		return false
	}
	faults.retryAt, faults.firstAt = 0, now
	return true
}

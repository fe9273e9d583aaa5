package controller

import (
	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
)

// faultState is what failed tasks tell of a machine.
type faultState struct {
	firstAt, lastAt clock.Micros // of the failures counted so far; 0: none
	// retryAt is when a machine that was found faulty, and is still there, gets work
	// again; 0: it is not held back for faults.
	retryAt clock.Micros
	// drainCount and holds count how often it was held back, alone and with others.
	drainCount, pauseCount int
}

const (
	// minFaultyJobs is how many jobs have to fail on a machine for it to be blamed.
	minFaultyJobs = 2
	// sharedFaultWindow is for how long failures count as one trouble of many machines, of
	// more than one in sharedFaultDivisor.
	sharedFaultWindow  = 60 * clock.Second
	sharedFaultDivisor = 10
	// pauseBackoff is how long a machine gets nothing at first while others fail too,
	// retryBackoff while it is blamed alone: twice as long each time it fails again,
	// maxBackoffDoublings times.
	pauseBackoff        = 2 * clock.Second
	retryBackoff        = 15 * clock.Second
	maxBackoffDoublings = 4
	// faultTTL is how long a machine has to go without a failure for its earlier
	// ones not to count.
	faultTTL = 300 * clock.Second
)

// recordTaskFailure draws the conclusion from a task that failed on a machine. One that fails
// several jobs gets no more, and is given back when it is empty; when others fail
// too, something else is at fault, and all of them get nothing for a moment.
func (term *leaderTerm) recordTaskFailure(machine *allocation.Machine, now clock.Micros) {
	machineInfo := term.machines[machine.Name]
	if machineInfo == nil {
		return
	}
	faults := &machineInfo.faults
	if faults.firstAt == 0 || now-faults.lastAt > faultTTL {
		*faults = faultState{firstAt: now, retryAt: faults.retryAt}
	}
	faults.lastAt = now
	if machine.Draining || now < machine.BackoffUntil || len(machine.FailedJobs) < minFaultyJobs {
		return
	}
	if now-faults.firstAt < sharedFaultWindow && term.isFailureWidespread(machine, now) {
		machine.BackoffUntil = now + pauseBackoff<<min(faults.pauseCount, maxBackoffDoublings)
		faults.pauseCount++
		term.controller.log.Info("tasks fail on many machines", "machine", machine.Name)
		return
	}
	term.controller.log.Info("machine is faulty", "machine", machine.Name)
	faults.retryAt = now + retryBackoff<<min(faults.drainCount, maxBackoffDoublings)
	faults.drainCount++
	term.drainMachine(machine)
}

// isFailureWidespread tells whether many of the other machines have failed tasks lately too.
// All machines of a small fleet once failed what was started on them in the same
// five seconds, and all were drained.
func (term *leaderTerm) isFailureWidespread(machine *allocation.Machine, now clock.Micros) bool {
	failed, others := 0, 0
	for name, machineInfo := range term.machines {
		if other := term.tracker.Machines[name]; other == nil || other == machine || other.FirstHeartbeatAt == 0 || machineInfo.isDeleting {
			continue
		}
		others++
		if machineInfo.faults.lastAt != 0 && now-machineInfo.faults.lastAt < sharedFaultWindow {
			failed++
		}
	}
	return sharedFaultDivisor*failed > others
}

// retryFaultyMachine gives work to a faulty machine again that has been held back for long
// enough and cannot be given back, since work goes on there. Once two of a fleet's
// three machines, which the cloud had no others for, got nothing for eight minutes
// because of replicas that ran on them without a fault.
func (term *leaderTerm) retryFaultyMachine(machine *allocation.Machine, machineInfo *machineState, now clock.Micros) {
	faults := &machineInfo.faults
	if faults.retryAt == 0 || now < faults.retryAt || machine.IsIdle() {
		return
	}
	term.controller.log.Info("faulty machine is tried again", "machine", machine.Name)
	faults.retryAt, faults.firstAt = 0, now
	clear(machine.FailedJobs)
	machine.Draining = false
}

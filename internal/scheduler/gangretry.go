package scheduler

import (
	"maps"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
)

const (
	// gangRetryInterval is how long a gang waits, for each machine that it needs, after all its pools have refused,
	// before its machines are requested again. The wait doubles with each attempt that fails, at most
	// maxGangRetryShift times, and is at most maxGangRetryWait.
	gangRetryInterval  = clock.Second
	maxGangRetryShift  = 3
	maxGangRetryWait   = 600 * clock.Second
	maxRetriedMachines = int(maxGangRetryWait / gangRetryInterval) // from this many machines on the first wait is the longest

	// gangHoldBoots is how many boots, each of the time by which a machine is no longer expected, a gang's idle machines are kept
	// for it: one that doesn't come up is replaced, and so may be its replacement.
	gangHoldBoots = 3
)

// gangAttempt is an attempt to get the machines of a gang from the cloud. It fails when each pool that the gang may use
// has refused since it began and the existing machines can't hold the gang, or when machines have been kept idle for
// the gang for too long. What the pools refused before it began doesn't count, since the cloud may have machines again.
type gangAttempt struct {
	startedAt     clock.Micros
	retryAt       clock.Micros // when the next attempt begins, or 0 while this one has not failed
	failures      int          // consecutive attempts that failed
	holdsSince    clock.Micros // since when idle machines have been kept for the gang, or 0 if there are none
	isHoldExpired bool         // whether the attempt has failed because machines were kept idle for too long
}

// attemptStart returns when the current attempt to get a gang's machines began, or 0 if there was no other before.
func (scheduler *Scheduler) attemptStart(job *allocation.Job) clock.Micros {
	if attempt := scheduler.gangAttempts[job]; attempt != nil {
		return attempt.startedAt
	}
	return 0
}

// mayRetryGang records that the attempt to get a gang's machines has failed, and reports whether the next one begins
// now. A part of a gang's machines is of no use and is paid for until it is deleted, so the wait grows with the
// machines that the gang needs and with the attempts that failed.
func (scheduler *Scheduler) mayRetryGang(queued *queuedJob, now clock.Micros) bool {
	attempt := scheduler.gangAttempt(queued.job)
	if attempt.retryAt == 0 {
		attempt.fail(now, gangRetryWait(queued.machinesNeeded, attempt.failures))
	}
	if now < attempt.retryAt {
		return false
	}
	attempt.startedAt, attempt.retryAt = now, 0
	if attempt.isHoldExpired {
		attempt.holdsSince, attempt.isHoldExpired = 0, false
	}
	return true
}

// fail records that the attempt has failed, and when the next one begins.
func (attempt *gangAttempt) fail(now, wait clock.Micros) {
	attempt.retryAt = now + wait
	attempt.failures++
}

// gangAttempt returns the attempt to get a gang's machines, and begins the first one if there is none.
func (scheduler *Scheduler) gangAttempt(job *allocation.Job) *gangAttempt {
	attempt := scheduler.gangAttempts[job]
	if attempt == nil {
		attempt = &gangAttempt{}
		scheduler.gangAttempts[job] = attempt
	}
	return attempt
}

// holdIdleMachines keeps the idle machines on which a gang's tasks have room from being deleted, while the gang waits for
// further machines. Without that, machines that came up at different times were returned one after the other, each
// before the last one was up (docs/incidents/returned-before-the-last.md). After holdTimeout the attempt to get the
// gang's machines has failed, and the next one begins after that time at the earliest, so that idle machines are paid for
// about half of the time at most. It reports whether the attempt goes on, or the next one begins.
func (cycle *schedulingCycle) holdIdleMachines(shortfall *jobShortfall) (isAttemptOpen bool) {
	queued := shortfall.queued
	attempt := cycle.scheduler.gangAttempt(queued.job)
	if attempt.isHoldExpired && !cycle.scheduler.mayRetryGang(queued, cycle.now) {
		return false
	}
	if len(shortfall.idleMachines) == 0 {
		attempt.holdsSince = 0
		return true
	}
	if attempt.holdsSince == 0 {
		attempt.holdsSince = cycle.now
	}
	for _, machine := range shortfall.idleMachines {
		if holdTimeout := cycle.holdTimeout(queued.job, machine.Type); cycle.now-attempt.holdsSince > holdTimeout {
			attempt.isHoldExpired = true
			attempt.fail(cycle.now, max(gangRetryWait(queued.machinesNeeded, attempt.failures), holdTimeout))
			return false
		}
		cycle.heldForGang[machine.SortIndex] = true
	}
	return true
}

// holdTimeout is how long idle machines of a type are kept for a gang.
func (cycle *schedulingCycle) holdTimeout(job *allocation.Job, typeName string) clock.Micros {
	return gangHoldBoots*cycle.scheduler.BootTime(typeName, latestBootPercentile) + clock.FromSeconds(cycle.scheduler.imageFetchSeconds(job, typeName))
}

func gangRetryWait(machinesNeeded, failures int) clock.Micros {
	wait := clock.Micros(min(machinesNeeded, maxRetriedMachines)) * gangRetryInterval
	return min(wait<<min(failures, maxGangRetryShift), maxGangRetryWait)
}

// forgetGangAttempts removes the attempts of gangs that have been placed or are over.
func (scheduler *Scheduler) forgetGangAttempts(tracker *allocation.Tracker) {
	maps.DeleteFunc(scheduler.gangAttempts, func(job *allocation.Job, _ *gangAttempt) bool {
		return tracker.Jobs[job.Spec.ID] != job || job.ActiveCount() > 0
	})
}

// mayRequestMachines reports whether machines may be requested for a job now. It is false for a gang whose current attempt
// has failed, until the next one begins.
func (cycle *schedulingCycle) mayRequestMachines(queued *queuedJob, requiredZone string) bool {
	if !queued.job.IsGang() || !cycle.isInfeasible(queued.job, requiredZone) {
		return true
	}
	return cycle.scheduler.mayRetryGang(queued, cycle.now)
}

// isInfeasible reports whether a gang needs more machines than the cloud has: each pool that it may use has refused
// since the current attempt to get its machines began, and the existing machines of these pools together can't hold
// the gang. Machines requested for a part of the gang would idle, be deleted, and be requested again.
func (cycle *schedulingCycle) isInfeasible(job *allocation.Job, requiredZone string) bool {
	attemptStart := cycle.scheduler.attemptStart(job)
	taskCapacity := 0
	for typeName, machineType := range cycle.scheduler.MachineTypes {
		tasksPerMachine := cycle.scheduler.tasksPerMachine(job.Request, typeName)
		for _, zone := range machineType.Zones {
			for _, spot := range []bool{true, false} {
				pool := Pool{typeName, zone, spot}
				if tasksPerMachine == 0 || !isPoolAllowed(job, pool) || requiredZone != "" && zone != requiredZone {
					continue
				}
				if !cycle.scheduler.backoffFor(pool).hasRefusedSince(attemptStart) {
					return false
				}
				taskCapacity += tasksPerMachine * cycle.machineCount(pool)
			}
		}
	}
	return taskCapacity < len(job.Tasks)
}

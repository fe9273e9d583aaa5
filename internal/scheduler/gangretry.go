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
)

// gangAttempt is an attempt to get the machines of a gang from the cloud. It fails when each pool that the gang may use
// has refused since it began and the existing machines can't hold the gang. What the pools refused before it
// began doesn't count, since the cloud may have machines again.
type gangAttempt struct {
	startedAt clock.Micros
	retryAt   clock.Micros // when the next attempt begins, or 0 while this one has not failed
	failures  int          // consecutive attempts that failed
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
	attempt := scheduler.gangAttempts[queued.job]
	if attempt == nil {
		attempt = &gangAttempt{}
		scheduler.gangAttempts[queued.job] = attempt
	}
	if attempt.retryAt == 0 {
		attempt.retryAt = now + gangRetryWait(queued.machinesNeeded, attempt.failures)
		attempt.failures++
	}
	if now < attempt.retryAt {
		return false
	}
	attempt.startedAt, attempt.retryAt = now, 0
	return true
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

// mayRequestMachines reports whether machines may be requested for a job now. It is false for a gang that the cloud
// could not hold in the current attempt, until the next one begins.
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

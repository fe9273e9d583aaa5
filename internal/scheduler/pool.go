package scheduler

import (
	"cmp"
	"slices"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
)

// Pool identifies a set of machines that can be requested from the cloud: those of one type, in
// one zone, and either spot or on-demand.
type Pool struct {
	Type, Zone string
	Spot       bool
}

func poolOf(machine *allocation.Machine) Pool {
	return Pool{machine.Type, machine.Zone, machine.Spot}
}

// machineKind distinguishes spot machines, which the cloud may reclaim, from on-demand machines.
// It is true for spot, like the Spot fields of Pool and allocation.Machine.
type machineKind bool

const (
	onDemandMachines machineKind = false
	spotMachines     machineKind = true
)

// poolBackoff is the backoff of a pool that did not supply all the machines requested from it.
type poolBackoff struct {
	backoffUntil     clock.Micros
	refusedAt        clock.Micros // when the pool last did not fill a request
	unfilledRequests int          // consecutive requests that the pool did not fill
}

const (
	maxBackoffShift = 5
	maxPoolBackoff  = 20 * clock.Second
)

// ObserveEmptyPool records that a pool had no machine to give. The pool is not asked again for
// 2 s; the time doubles with each consecutive call, up to maxPoolBackoff.
func (scheduler *Scheduler) ObserveEmptyPool(pool Pool, now clock.Micros) {
	backoff := scheduler.backoffFor(pool)
	backoff.unfilledRequests++
	backoff.refusedAt = now
	backoff.backoffUntil = now + min(clock.Second<<min(backoff.unfilledRequests, maxBackoffShift), maxPoolBackoff)
}

// ObserveScaleOutResult records how many of the requested machines a pool granted. A complete
// grant ends the pool's backoff; a partial one counts as an empty pool.
func (scheduler *Scheduler) ObserveScaleOutResult(pool Pool, requested, granted int, now clock.Micros) {
	backoff := scheduler.backoffFor(pool)
	if granted >= requested {
		backoff.unfilledRequests, backoff.backoffUntil = 0, 0
		return
	}
	scheduler.ObserveEmptyPool(pool, now)
}

// hasRefusedSince reports whether the pool did not fill its last request, and that was not before the given time.
func (backoff *poolBackoff) hasRefusedSince(since clock.Micros) bool {
	return backoff.unfilledRequests > 0 && backoff.refusedAt >= since
}

// isBackingOff reports whether a pool is not to be asked now because it recently had too few machines.
func (cycle *schedulingCycle) isBackingOff(pool Pool) bool {
	return cycle.now < cycle.scheduler.backoffFor(pool).backoffUntil
}

func (scheduler *Scheduler) backoffFor(pool Pool) *poolBackoff {
	backoff := scheduler.poolBackoffs[pool]
	if backoff == nil {
		backoff = &poolBackoff{}
		scheduler.poolBackoffs[pool] = backoff
	}
	return backoff
}

// isPoolAllowed reports whether a job may use machines of a pool. A job with SingleZone is bound to
// the zone of its existing placements, if there are any. allocation.IsEligible is stricter: it
// decides whether a task may be placed now.
func isPoolAllowed(job *allocation.Job, pool Pool) bool {
	spec := job.Spec
	if pool.Spot && !spec.AllowsSpot || spec.Zone != "" && spec.Zone != pool.Zone || spec.MachineTypes != nil && !slices.Contains(spec.MachineTypes, pool.Type) {
		return false
	}
	if spec.SingleZone {
		if zone, ok := job.OccupiedZone(); ok && zone != pool.Zone {
			return false
		}
	}
	return true
}

// isPoolBefore orders pools by zone and then by type, to break ties between pools of one kind.
func isPoolBefore(a, b Pool) bool {
	return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Type, b.Type)) < 0
}

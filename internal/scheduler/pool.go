package scheduler

import (
	"cmp"
	"slices"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
)

// Pool is what machines are requested from: a type, a zone, spot or not.
type Pool struct {
	Type, Zone string
	Spot       bool
}

func poolOf(machine *allocation.Machine) Pool {
	return Pool{machine.Type, machine.Zone, machine.Spot}
}

// machineKind tells spot machines, which the cloud may reclaim, from ordinary ones. Its
// value is that of the Spot fields.
type machineKind bool

const (
	onDemandMachines machineKind = false
	spotMachines     machineKind = true
)

// poolBackoff is the backoff of a pool after empty or partly filled requests.
type poolBackoff struct {
	backoffUntil   clock.Micros
	emptyResponses int // in a row
}

const (
	maxBackoffShift = 5
	maxPoolBackoff  = 20 * clock.Second
)

// ObserveEmptyPool records that a pool was empty: it is not asked for 2 s, then for twice as
// long each time, up to maxPoolBackoff.
func (scheduler *Scheduler) ObserveEmptyPool(pool Pool, now clock.Micros) {
	backoff := scheduler.backoffFor(pool)
	backoff.emptyResponses++
	backoff.backoffUntil = now + min(clock.Second<<min(backoff.emptyResponses, maxBackoffShift), maxPoolBackoff)
}

// ObserveScaleOutResult records how many of the requested machines a pool gave: all end its backoff,
// fewer count as an empty pool.
func (scheduler *Scheduler) ObserveScaleOutResult(pool Pool, requested, granted int, now clock.Micros) {
	backoff := scheduler.backoffFor(pool)
	if granted >= requested {
		backoff.emptyResponses, backoff.backoffUntil = 0, 0
		return
	}
	scheduler.ObserveEmptyPool(pool, now)
}

// isBackingOff tells whether a pool is not asked now, since it was found empty.
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

// isPoolAllowed tells whether a job allows machines of a pool. Its other tasks count for a
// job of one zone; allocation.IsEligible is stricter, for a placement now.
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

// isPoolBefore breaks ties between pools of one kind.
func isPoolBefore(a, b Pool) bool {
	return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Type, b.Type)) < 0
}

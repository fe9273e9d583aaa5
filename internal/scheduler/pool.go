package scheduler

import (
	"cmp"
	"slices"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
)

// Pool is what the cloud rents from: a type, a zone, a kind.
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
	ordinaryMachines machineKind = false
	spotMachines     machineKind = true
)

// poolBackoff is what refusals have taught of a pool.
type poolBackoff struct {
	backoffUntil   clock.Micros
	emptyResponses int
}

// ObserveEmptyPool takes an empty pool; it is left alone for a growing while.
func (scheduler *Scheduler) ObserveEmptyPool(pool Pool, now clock.Micros) {
	backoff := scheduler.backoffFor(pool)
	backoff.emptyResponses++
	backoffDuration := min(clock.Second<<min(backoff.emptyResponses, 5), 20*clock.Second)
	backoff.backoffUntil = now + backoffDuration
}

// ObserveFilled takes how much of a rental was filled.
func (scheduler *Scheduler) ObserveFilled(pool Pool, requested, filled int, now clock.Micros) {
	backoff := scheduler.backoffFor(pool)
	if filled >= requested {
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

func isPoolBefore(a, b Pool) bool {
	return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Type, b.Type)) < 0
}

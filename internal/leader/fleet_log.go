package leader

import (
	"log/slog"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
)

// fleetLogInterval is the time between two logs of the fleet.
const fleetLogInterval = 5 * clock.Second

// fleetUse counts the machines of one kind and sums up the use of their CPUs, in whole CPUs.
type fleetUse struct {
	machines, booting, idle     int
	cpus, replicaCPUs, taskCPUs int64
}

func (use *fleetUse) add(machine *allocation.Machine) {
	use.machines++
	if machine.FirstHeartbeatAt == 0 {
		use.booting++
		return
	}
	if machine.IsIdle() {
		use.idle++
	}
	use.cpus += machine.Capacity.MicroCPU / allocation.Unit
	machine.ForEachPlacement(func(placement *allocation.Placement) {
		cpus := placement.Job.Request.MicroCPU / allocation.Unit
		if placement.Job.IsService() {
			use.replicaCPUs += cpus
		} else {
			use.taskCPUs += cpus
		}
	})
}

// logFleet logs, at debug level, the number of machines and how they are used, and the number of waiting
// tasks.
func (term *Term) logFleet(now clock.Micros) {
	if now < term.periodic.nextFleetLogAt {
		return
	}
	term.periodic.nextFleetLogAt = now + fleetLogInterval
	var onDemand, spot fleetUse
	for _, machine := range term.tracker.Machines {
		if machine.Spot {
			spot.add(machine)
		} else {
			onDemand.add(machine)
		}
	}
	waiting := 0
	for _, job := range term.tracker.Jobs {
		if !job.Cancelled {
			waiting += job.WaitingCount()
		}
	}
	onDemand.log(term.environment.Log, "on_demand")
	spot.log(term.environment.Log, "spot")
	term.environment.Log.Debug("waiting tasks", "tasks", waiting)
}

func (use *fleetUse) log(log *slog.Logger, kind string) {
	log.Debug("fleet", "kind", kind, "machines", use.machines, "booting", use.booting, "idle", use.idle, "cpus", use.cpus, "replica_cpus", use.replicaCPUs, "task_cpus", use.taskCPUs)
}

package controller

import (
	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
)

// logFleet sums up, at debug level, what is rented and what it does.
func (term *leaderTerm) logFleet(now clock.Micros) {
	if now < term.pace.nextFleetLogAt {
		return
	}
	term.pace.nextFleetLogAt = now + 5*clock.Second
	var machines, booting, idle [2]int
	var capacity, replicas, tasks [2]int64
	for _, machine := range term.tracker.Machines {
		kind := 0
		if machine.Spot {
			kind = 1
		}
		machines[kind]++
		if machine.FirstHeartbeatAt == 0 {
			booting[kind]++
			continue
		}
		if machine.IsIdle() {
			idle[kind]++
		}
		capacity[kind] += machine.Capacity.MilliCPU / 1000
		machine.ForEachPlacement(func(placement *allocation.Placement) {
			if placement.Job.IsService() {
				replicas[kind] += placement.Job.Request.MilliCPU / 1000
			} else {
				tasks[kind] += placement.Job.Request.MilliCPU / 1000
			}
		})
	}
	waiting := 0
	for _, job := range term.tracker.Jobs {
		if !job.Cancelled {
			waiting += job.WaitingCount()
		}
	}
	term.controller.log.Debug("fleet", "ordinary", machines[0], "booting", booting[0], "idle", idle[0], "cpus", capacity[0], "replicas", replicas[0], "tasks", tasks[0],
		"spot", machines[1], "spot_booting", booting[1], "spot_idle", idle[1], "spot_cpus", capacity[1], "spot_tasks", tasks[1], "waiting", waiting)
}

package scheduler

import (
	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
)

// expectedMachine describes the resources expected to be free on a machine one boot time from now.
type expectedMachine struct {
	free    allocation.Resources
	machine *allocation.Machine // nil if the machine is only requested so far
}

// capacityForecast holds the expected machines of each pool. A machine that has too little room
// for any waiting task is left out, or removed when allocate next comes across it.
type capacityForecast struct {
	pools   []*poolForecast
	minNeed allocation.Resources // component-wise minimum of the waiting tasks' requests
}

// poolForecast describes the machines expected in a pool one boot time from now.
type poolForecast struct {
	pool         Pool
	expected     []expectedMachine
	machineCount int // machines that are up, booting or requested
	requested    int // machines requested by this plan
}

func (forecast *capacityForecast) findOrAddPool(pool Pool) *poolForecast {
	for _, capacity := range forecast.pools {
		if capacity.pool == pool {
			return capacity
		}
	}
	capacity := &poolForecast{pool: pool}
	forecast.pools = append(forecast.pools, capacity)
	return capacity
}

func (forecast *capacityForecast) addExpectedMachine(capacity *poolForecast, expected expectedMachine) {
	capacity.machineCount++
	if forecast.minNeed.IsWithin(expected.free) {
		capacity.expected = append(capacity.expected, expected)
	}
}

// allocate allocates resources for up to limit tasks in a pool and returns the number of tasks
// that fit. It calls visit for each machine that exists and takes some of them.
func (forecast *capacityForecast) allocate(capacity *poolForecast, need allocation.Resources, limit int, visit func(*allocation.Machine)) int {
	allocated := 0
	remaining := capacity.expected[:0]
	for i := range capacity.expected {
		expected := capacity.expected[i]
		before := allocated
		for allocated < limit && need.IsWithin(expected.free) {
			expected.free = expected.free.Sub(need)
			allocated++
		}
		if allocated > before && expected.machine != nil {
			visit(expected.machine)
		}
		if allocated == limit && len(remaining) == i {
			capacity.expected[i] = expected // no earlier machine was removed, so the list stays as it is
			return allocated
		}
		if forecast.minNeed.IsWithin(expected.free) {
			remaining = append(remaining, expected)
		}
	}
	capacity.expected = remaining
	return allocated
}

// countFitting returns how many tasks of a job fit into a zone, at most all of its tasks.
func (forecast *capacityForecast) countFitting(job *allocation.Job, zone string) int {
	fitCount := 0
	for _, capacity := range forecast.pools {
		if capacity.pool.Zone != zone || !isPoolAllowed(job, capacity.pool) {
			continue
		}
		for _, expected := range capacity.expected {
			for free := expected.free; fitCount < len(job.Tasks) && job.Request.IsWithin(free); fitCount++ {
				free = free.Sub(job.Request)
			}
		}
	}
	return fitCount
}

// bootQuantiles holds two quantiles of a machine type's boot time: half of its machines are up
// after median, and a machine that is not up after latest is no longer expected.
type bootQuantiles struct{ median, latest clock.Micros }

// forecastCapacity predicts which resources are free one boot time from now.
func (cycle *schedulingCycle) forecastCapacity(wanted []*queuedJob, pendingScaleOuts []PendingScaleOut) *capacityForecast {
	forecast := &capacityForecast{minNeed: minNeed(wanted)}
	bootTimes := map[string]bootQuantiles{}
	for _, machine := range cycle.machines {
		if cycle.isUnavailable(machine) {
			continue
		}
		quantiles, ok := bootTimes[machine.Type]
		if !ok {
			quantiles = bootQuantiles{cycle.scheduler.BootTime(machine.Type, medianBootPercentile), cycle.scheduler.BootTime(machine.Type, latestBootPercentile)}
			bootTimes[machine.Type] = quantiles
		}
		if cycle.isExpected(machine, quantiles.latest) {
			forecast.addExpectedMachine(forecast.findOrAddPool(poolOf(machine)), expectedMachine{free: cycle.freeWithin(machine, quantiles.median.Seconds()), machine: machine})
		}
	}
	for _, pending := range pendingScaleOuts {
		for range pending.Count {
			forecast.addExpectedMachine(forecast.findOrAddPool(pending.Pool), expectedMachine{free: cycle.scheduler.MachineCapacity(pending.Pool.Type)})
		}
	}
	return forecast
}

// isUnavailable reports whether a machine takes no tasks: it is draining, is about to be reclaimed,
// is reserved for a gang, or is suspected.
func (cycle *schedulingCycle) isUnavailable(machine *allocation.Machine) bool {
	return machine.Draining || machine.ReclaimAt != 0 || cycle.gangReserved[machine.SortIndex] ||
		machine.FirstHeartbeatAt != 0 && !cycle.scheduler.hasRecentHeartbeat(machine, cycle.now)
}

// freeWithin predicts the resources that are free on a machine after the given number of seconds.
func (cycle *schedulingCycle) freeWithin(machine *allocation.Machine, seconds float64) allocation.Resources {
	free := cycle.freeResources(machine)
	machine.ForEachPlacement(func(placement *allocation.Placement) {
		if !placement.Job.IsService() && cycle.scheduler.remainingSeconds(placement, cycle.now) <= seconds {
			free = free.Add(placement.Job.Request)
		}
	})
	return free
}

// isExpected reports whether a machine will soon take tasks; the caller has to exclude machines that
// are unavailable. The result is true in three cases: the machine's worker has confirmed the fencing
// token; or the machine's first heartbeat arrived less than a heartbeat window ago, so that its next
// heartbeat is due to confirm the token; or the machine has sent no heartbeat and is still within the
// boot time of its type. The second case was added after machines that had just booted were not
// counted and another machine was requested for each of them. A worker that has sent heartbeats for
// longer without confirming the token gets no commands.
func (cycle *schedulingCycle) isExpected(machine *allocation.Machine, latestBootTime clock.Micros) bool {
	switch {
	case machine.TokenConfirmed:
		return true
	case machine.FirstHeartbeatAt != 0:
		return cycle.now-machine.FirstHeartbeatAt <= cycle.scheduler.HeartbeatWindow
	default:
		return cycle.now-machine.CreatedAt <= latestBootTime
	}
}

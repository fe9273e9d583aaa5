package scheduler

import (
	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
)

// expectedMachine is what will be free on a machine one boot time from now.
type expectedMachine struct {
	free    allocation.Resources
	machine *allocation.Machine // nil if not there yet
}

// capacityForecast holds the expected machines, pool by pool. A machine with no room left
// for anything that waits is dropped when it is first found too small.
type capacityForecast struct {
	pools   []*poolForecast
	minNeed allocation.Resources // the component-wise minimum of what waits
}

// poolForecast is what will be free in a pool.
type poolForecast struct {
	pool         Pool
	expected     []expectedMachine
	machineCount int // machines that exist or boot, and those requested
	requested    int // machines requested by this plan
}

func (forecast *capacityForecast) forPool(pool Pool) *poolForecast {
	for _, capacity := range forecast.pools {
		if capacity.pool == pool {
			return capacity
		}
	}
	capacity := &poolForecast{pool: pool}
	forecast.pools = append(forecast.pools, capacity)
	return capacity
}

func (forecast *capacityForecast) addMachine(capacity *poolForecast, expected expectedMachine) {
	capacity.machineCount++
	if forecast.minNeed.IsWithin(expected.free) {
		capacity.expected = append(capacity.expected, expected)
	}
}

// allocate takes room for up to limit tasks in a pool; it returns for how many there was.
func (forecast *capacityForecast) allocate(capacity *poolForecast, need allocation.Resources, limit int) int {
	allocated := 0
	remaining := capacity.expected[:0]
	for i := range capacity.expected {
		expected := capacity.expected[i]
		for allocated < limit && need.IsWithin(expected.free) {
			expected.free = expected.free.Sub(need)
			allocated++
		}
		if allocated == limit && len(remaining) == i {
			capacity.expected[i] = expected // nothing was taken out before it
			return allocated
		}
		if forecast.minNeed.IsWithin(expected.free) {
			remaining = append(remaining, expected)
		}
	}
	capacity.expected = remaining
	return allocated
}

// countFitting counts the tasks of a job that will find room in a zone, up to all of them.
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

// bootQuantiles are the boot times of a type by which half of its machines are up, and
// after which one is not counted on any more.
type bootQuantiles struct{ median, latest clock.Micros }

// forecastCapacity works out what will be free one boot time from now.
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
			forecast.addMachine(forecast.forPool(poolOf(machine)), expectedMachine{free: cycle.freeWithin(machine, quantiles.median.Seconds()), machine: machine})
		}
	}
	for _, pending := range pendingScaleOuts {
		for range pending.Count {
			forecast.addMachine(forecast.forPool(pending.Pool), expectedMachine{free: cycle.scheduler.MachineCapacity(pending.Pool.Type)})
		}
	}
	return forecast
}

// isUnavailable tells whether a machine will take no tasks: it is drained or reclaimed, kept for
// a gang, or suspected.
func (cycle *schedulingCycle) isUnavailable(machine *allocation.Machine) bool {
	return machine.Draining || machine.ReclaimAt != 0 || cycle.gangReserved[machine.SortIndex] ||
		machine.FirstHeartbeatAt != 0 && !cycle.scheduler.hasRecentHeartbeat(machine, cycle.now)
}

// freeWithin is what will be free on a machine in so many seconds.
func (cycle *schedulingCycle) freeWithin(machine *allocation.Machine, seconds float64) allocation.Resources {
	free := cycle.freeResources(machine)
	machine.ForEachPlacement(func(placement *allocation.Placement) {
		if !placement.Job.IsService() && cycle.scheduler.remainingSeconds(placement, cycle.now) <= seconds {
			free = free.Add(placement.Job.Request)
		}
	})
	return free
}

// isExpected tells whether a machine that is not unavailable will take tasks soon: it has seen
// the token; or has come up less than a heartbeat window ago, and shows with its next
// heartbeat that it has; or is still within the boot time of its type. Added after machines
// that had just come up were not counted, and each was requested once more. One that sends
// heartbeats for longer without having seen the token gets no commands.
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

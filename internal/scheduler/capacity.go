package scheduler

import (
	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
)

// expectedMachine is a machine of the future: what will be free on it one boot time on.
type expectedMachine struct {
	free    allocation.Resources
	machine *allocation.Machine // nil if not there yet
}

// capacityForecast holds the slots, pool by pool. Slots with no room left for anything
// that waits are taken out as they are met.
type capacityForecast struct {
	pools   []*poolForecast
	minNeed allocation.Resources
}

type poolForecast struct {
	pool         Pool
	expected     []expectedMachine
	machineCount int // machines that are, boot, or are to be rented
	requested    int // by this plan
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

// allocate uses up to n places of a pool; it returns how many it found.
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

// forecastCapacity works out what will be free one boot time on.
func (cycle *schedulingCycle) forecastCapacity(wanted []*queuedJob, pendingScaleOuts []PendingScaleOut) *capacityForecast {
	forecast := &capacityForecast{minNeed: wanted[0].job.Request}
	for _, queued := range wanted {
		need := queued.job.Request
		forecast.minNeed = allocation.Resources{MilliCPU: min(forecast.minNeed.MilliCPU, need.MilliCPU), MilliGPU: min(forecast.minNeed.MilliGPU, need.MilliGPU), MemoryMB: min(forecast.minNeed.MemoryMB, need.MemoryMB)}
	}
	bootTimes := map[string][2]clock.Micros{}
	for _, machine := range cycle.machines {
		if machine.Draining || machine.ReclaimAt != 0 || cycle.gangReserved[machine.SortIndex] || machine.FirstHeartbeatAt != 0 && !cycle.scheduler.hasRecentHeartbeat(machine, cycle.now) {
			continue
		}
		bootQuantiles, ok := bootTimes[machine.Type]
		if !ok {
			bootQuantiles = [2]clock.Micros{cycle.scheduler.BootTime(machine.Type, medianBoot), cycle.scheduler.BootTime(machine.Type, latestBoot)}
			bootTimes[machine.Type] = bootQuantiles
		}
		if !cycle.isExpected(machine, bootQuantiles[1]) {
			continue
		}
		expected := expectedMachine{free: cycle.freeResources(machine), machine: machine}
		machine.ForEachPlacement(func(placement *allocation.Placement) {
			if !placement.Job.IsService() && cycle.scheduler.remainingSeconds(placement, cycle.now) <= bootQuantiles[0].Seconds() {
				expected.free = expected.free.Add(placement.Job.Request)
			}
		})
		forecast.addMachine(forecast.forPool(Pool{machine.Type, machine.Zone, machine.Spot}), expected)
	}
	for _, pending := range pendingScaleOuts {
		for i := 0; i < pending.Count; i++ {
			forecast.addMachine(forecast.forPool(pending.Pool), expectedMachine{free: cycle.scheduler.MachineCapacity(pending.Pool.Type)})
		}
	}
	return forecast
}

// isExpected tells whether a machine that is not silent can be counted on to take tasks
// soon. One that has just come up can: it has yet to see the token, which its next report
// shows. When it was not counted on, every machine that came up was rented once more.
func (cycle *schedulingCycle) isExpected(machine *allocation.Machine, bootTimeout clock.Micros) bool {
	switch {
	case machine.TokenConfirmed:
		return true
	case machine.FirstHeartbeatAt != 0:
		return cycle.now-machine.FirstHeartbeatAt <= cycle.scheduler.HeartbeatWindow // else it is heard, but can't be told anything
	default:
		return cycle.now-machine.CreatedAt <= bootTimeout
	}
}

// Package hints handles the advisory data that a leader sends in heartbeats: hints for the next leader, and
// counts of the jobs' progress, which other members show to users.
//
// The hints are the images that machines have cached, how run times compare with estimates, and how long
// machines took to boot. Without them, task starts waited at each change of the leader for fetches of
// images that the machines already had. A wrong hint costs a fetch or a poor forecast, and is corrected
// by what the new leader observes itself.
package hints

import (
	"maps"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/peer"
	"firwood.dev/firwood/internal/scheduler"
)

// imageHintTTL is how long a machine's cached images are kept after its last hint. It applies only once
// there are hints for more machines than Store's maxMachines.
const imageHintTTL = 600 * clock.Second

// Hints holds the hints that this member has received from leaders, in case it is the next leader.
type Hints struct {
	cachedImages map[string]receivedImages         // by machine
	runTimes     map[string]peer.RunTimeStatistics // by class
	bootTimes    map[string][]clock.Micros         // by machine type
}

type receivedImages struct {
	peer.CachedImages
	receivedAt clock.Micros
}

// New returns empty hints.
func New() *Hints {
	return &Hints{cachedImages: map[string]receivedImages{}, runTimes: map[string]peer.RunTimeStatistics{}, bootTimes: map[string][]clock.Micros{}}
}

// Store stores the hints in a leader's heartbeat. Once there are images of more than maxMachines
// machines, those older than imageHintTTL are dropped.
func (hints *Hints) Store(heartbeat *peer.Heartbeat, maxMachines int, now clock.Micros) {
	for _, images := range heartbeat.CachedImages {
		hints.cachedImages[images.Machine] = receivedImages{images, now}
	}
	if len(hints.cachedImages) > maxMachines {
		maps.DeleteFunc(hints.cachedImages, func(_ string, images receivedImages) bool { return now-images.receivedAt > imageHintTTL })
	}
	if len(heartbeat.RunTimes) > 0 {
		clear(hints.runTimes)
		for _, runTimes := range heartbeat.RunTimes {
			hints.runTimes[runTimes.Class] = runTimes
		}
	}
	for _, bootTimes := range heartbeat.BootTimes {
		if len(hints.bootTimes) < peer.MaxBootTimeTypes || hints.bootTimes[bootTimes.MachineType] != nil {
			hints.bootTimes[bootTimes.MachineType] = bootTimes.Durations
		}
	}
}

// Restore applies the hints to a new leader's machines and forecasts.
func (hints *Hints) Restore(machines map[string]*allocation.Machine, forecasts *scheduler.Scheduler, now clock.Micros) {
	for name, machine := range machines {
		if images, ok := hints.cachedImages[name]; ok {
			machine.SetCachedImages(images.Incarnation, images.Images, now)
		}
	}
	for class, runTimes := range hints.runTimes {
		forecasts.RunTimeModel(class).Restore(int(runTimes.Count), runTimes.Mean, runTimes.MeanSquare)
	}
	for machineType, bootTimes := range hints.bootTimes {
		forecasts.RestoreBootTimes(machineType, bootTimes)
	}
}

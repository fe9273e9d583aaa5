// Package hints has what a leader sends in heartbeats and what is advisory alone: hints for
// the next leader, and counts of the jobs' progress, which other members show to users.
//
// Hints are which images machines have cached, how run times compare with estimates, and how
// long machines took to boot. Added after starts waited, at each change of the leader, for
// fetches of images that were there. A wrong hint costs a fetch or a poor forecast, and what
// the new leader sees itself corrects it.
package hints

import (
	"maps"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/peer"
	"firwood.dev/firwood/internal/scheduler"
)

// imageHintTTL is for how long after its last hint a machine's images are kept, once there are hints
// of more machines than Store's maxMachines.
const imageHintTTL = 600 * clock.Second

// Hints is what a leader has sent, for the case that this member leads next.
type Hints struct {
	cachedImages map[string]receivedImages         // by machine
	runTimes     map[string]peer.RunTimeStatistics // by class
	bootTimes    map[string][]clock.Micros         // by machine type
}

type receivedImages struct {
	peer.CachedImages
	receivedAt clock.Micros
}

// New makes hints that hold nothing.
func New() *Hints {
	return &Hints{cachedImages: map[string]receivedImages{}, runTimes: map[string]peer.RunTimeStatistics{}, bootTimes: map[string][]clock.Micros{}}
}

// Store takes the hints of a leader's heartbeat. Images of more than maxMachines machines are
// kept only while they are recent.
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

// Restore gives a new leader's machines and forecasts what the last leader knew.
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

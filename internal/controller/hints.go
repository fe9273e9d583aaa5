package controller

import (
	"maps"
	"slices"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/peer"
)

// leaderHints is what a leader has told of its fleet, for whoever leads next: which images
// machines hold, how run times compare with estimates, and how long machines took to boot. After each change of the
// lead starts used to wait for fetches of images that were there. It is advice: a wrong
// word costs a fetch or a poor forecast, and is put right by what is seen.
type leaderHints struct {
	cachedImages map[string]receivedImages
	runTimes     map[string]peer.RunTimeStatistics
	bootTimes    map[string][]clock.Micros
}

type receivedImages struct {
	peer.CachedImages
	receivedAt clock.Micros
}

// imageHintTTL is for how long a machine's images are kept that is not told of any more.
const imageHintTTL = 600 * clock.Second

// storeHints takes what a leader tells.
func (controller *Controller) storeHints(heartbeat *peer.Heartbeat, now clock.Micros) {
	if controller.hints.cachedImages == nil {
		controller.hints = leaderHints{map[string]receivedImages{}, map[string]peer.RunTimeStatistics{}, map[string][]clock.Micros{}}
	}
	for _, images := range heartbeat.CachedImages {
		controller.hints.cachedImages[images.Machine] = receivedImages{images, now}
	}
	if len(controller.hints.cachedImages) > 2*len(controller.view.ScaleOuts)*peer.MaxCachedImageMachines {
		maps.DeleteFunc(controller.hints.cachedImages, func(_ string, images receivedImages) bool { return now-images.receivedAt > imageHintTTL })
	}
	if len(heartbeat.RunTimes) > 0 {
		clear(controller.hints.runTimes)
		for _, runTimes := range heartbeat.RunTimes {
			controller.hints.runTimes[runTimes.Class] = runTimes
		}
	}
	for _, bootTimes := range heartbeat.BootTimes {
		if len(controller.hints.bootTimes) < peer.MaxBootTimeTypes || controller.hints.bootTimes[bootTimes.MachineType] != nil {
			controller.hints.bootTimes[bootTimes.MachineType] = bootTimes.Durations
		}
	}
}

// restoreHints has a new leader go on with what the last one told.
func (term *leaderTerm) restoreHints(now clock.Micros) {
	for name, machine := range term.tracker.Machines {
		if images, ok := term.controller.hints.cachedImages[name]; ok {
			machine.SetCachedImages(images.Incarnation, images.Images, now)
		}
	}
	for class, runTimes := range term.controller.hints.runTimes {
		term.scheduler.RunTimeModel(class).Restore(int(runTimes.Count), runTimes.Mean, runTimes.MeanSquare)
	}
	for machineType, bootTimes := range term.controller.hints.bootTimes {
		term.scheduler.RestoreBootTimes(machineType, bootTimes)
	}
}

// sentHint is what the others were last told of a machine.
type sentHint struct {
	incarnation uint64
	images      int
	sentAt      clock.Micros
}

const (
	// hintScanRounds is in how many messages the leader goes through all machines for
	// images that are news to the others.
	hintScanRounds = 10
	// hintResendInterval is after how long a machine is told of though nothing has changed: a
	// member may have come back meanwhile.
	hintResendInterval = imageHintTTL / 2
)

// resendHints has all machines told of again, for a member that may not have heard it.
func (term *leaderTerm) resendHints(now clock.Micros) { term.hints.resendBefore = now }

// addHints adds what the next leader would have to learn anew to a beat: a few machines
// each time, those first of which something has changed, so that a beat costs the same
// in any fleet.
func (term *leaderTerm) addHints(heartbeat *peer.Heartbeat) {
	now := clock.Now()
	machines := term.tracker.SortedMachines()
	scanned := max((len(machines)+hintScanRounds-1)/hintScanRounds, peer.MaxCachedImageMachines)
	for range min(scanned, len(machines)) {
		if len(heartbeat.CachedImages) >= peer.MaxCachedImageMachines {
			break
		}
		term.hints.nextMachineIndex %= len(machines)
		machine := machines[term.hints.nextMachineIndex]
		term.hints.nextMachineIndex++
		hint := sentHint{machine.Incarnation, len(machine.ImageUsedAt), now}
		machineInfo := term.machines[machine.Name]
		if machineInfo == nil || len(machine.ImageUsedAt) == 0 || machine.Incarnation == 0 {
			continue
		}
		hasChanged := machineInfo.sentHint.incarnation != hint.incarnation || machineInfo.sentHint.images != hint.images
		if !hasChanged && now-machineInfo.sentHint.sentAt < hintResendInterval && machineInfo.sentHint.sentAt >= term.hints.resendBefore {
			continue
		}
		machineInfo.sentHint = hint
		images := slices.Sorted(maps.Keys(machine.ImageUsedAt))
		heartbeat.CachedImages = append(heartbeat.CachedImages, peer.CachedImages{Machine: machine.Name, Incarnation: machine.Incarnation, Images: images[:min(len(images), peer.MaxImagesPerMachine)]})
	}
	for _, class := range term.scheduler.RunTimeClasses() {
		if count, mean, square := term.scheduler.RunTimeModel(class).Hint(); count > 0 && len(heartbeat.RunTimes) < peer.MaxRunTimeClasses {
			heartbeat.RunTimes = append(heartbeat.RunTimes, peer.RunTimeStatistics{Class: class, Count: uint32(count), Mean: mean, MeanSquare: square})
		}
	}
	for _, machineType := range term.controller.machineTypes.list {
		if boots := term.scheduler.RecentBootTimes(machineType.Name); len(boots) > 0 && len(heartbeat.BootTimes) < peer.MaxBootTimeTypes {
			heartbeat.BootTimes = append(heartbeat.BootTimes, peer.BootTimes{MachineType: machineType.Name, Durations: boots})
		}
	}
}

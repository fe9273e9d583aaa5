package hints

import (
	"maps"
	"slices"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/peer"
	"firwood.dev/firwood/internal/scheduler"
	"firwood.dev/firwood/wire"
)

const (
	// heartbeatsPerScan is in how many heartbeats the leader looks at all machines for hints that are
	// due. In a small fleet it takes fewer: each heartbeat looks at as many as it has room for.
	heartbeatsPerScan = 10
	// resendInterval is after how long a machine's hint is repeated though nothing has
	// changed: a member may have come back meanwhile.
	resendInterval = imageHintTTL / 2
)

// SentImages is the hint of a machine that was last sent. The zero value is for a machine of which
// none was.
type SentImages struct {
	incarnation uint64
	imageCount  int
	sentAt      clock.Micros
}

// ImageSender is how far a leader has sent hints to the other members. The zero value has sent
// nothing.
type ImageSender struct {
	nextMachineIndex int // the machine that the next heartbeat begins with
	// resendBefore: hints sent before this instant are repeated.
	resendBefore clock.Micros
}

// ResendAll has the hints of all machines repeated, for a member that may have missed them.
func (sender *ImageSender) ResendAll(now clock.Micros) { sender.resendBefore = now }

// AddImages adds the cached images of machines to a heartbeat. Each call looks at some of the
// machines, in turn, and adds those whose hint is due, peer.MaxCachedImageMachines at most, so that
// the size of a heartbeat does not grow with the fleet. sentOf returns what was last sent of a
// machine, nil if it gets no hint.
func (sender *ImageSender) AddImages(heartbeat *peer.Heartbeat, machines []*allocation.Machine, sentOf func(machine string) *SentImages, now clock.Micros) {
	scanned := max((len(machines)+heartbeatsPerScan-1)/heartbeatsPerScan, peer.MaxCachedImageMachines)
	for range min(scanned, len(machines)) {
		if len(heartbeat.CachedImages) >= peer.MaxCachedImageMachines {
			break
		}
		sender.nextMachineIndex %= len(machines)
		machine := machines[sender.nextMachineIndex]
		sender.nextMachineIndex++
		if len(machine.ImageUsedAt) == 0 || machine.Incarnation == 0 {
			continue
		}
		sent := sentOf(machine.Name)
		current := SentImages{machine.Incarnation, len(machine.ImageUsedAt), now}
		if sent == nil || !sender.isDue(*sent, current) {
			continue
		}
		*sent = current
		images := slices.Sorted(maps.Keys(machine.ImageUsedAt))
		images = images[:min(len(images), peer.MaxImagesPerMachine)]
		heartbeat.CachedImages = append(heartbeat.CachedImages, peer.CachedImages{Machine: machine.Name, Incarnation: machine.Incarnation, Images: images})
	}
}

// isDue reports whether a machine's hint has changed since it was sent, or has to be repeated. Of
// the images only their number is compared: if one has replaced another, the hint is due only when
// it is repeated.
func (sender *ImageSender) isDue(sent, current SentImages) bool {
	hasChanged := sent.incarnation != current.incarnation || sent.imageCount != current.imageCount
	return hasChanged || current.sentAt-sent.sentAt >= resendInterval || sent.sentAt < sender.resendBefore
}

// AddForecasts adds what the scheduler has observed of classes' run times and machine types'
// boot times to a heartbeat, as far as there is room.
func AddForecasts(heartbeat *peer.Heartbeat, forecasts *scheduler.Scheduler, machineTypes []wire.MachineType) {
	for _, class := range forecasts.RunTimeClasses() {
		count, mean, meanSquare := forecasts.RunTimeModel(class).Hint()
		if count > 0 && len(heartbeat.RunTimes) < peer.MaxRunTimeClasses {
			heartbeat.RunTimes = append(heartbeat.RunTimes, peer.RunTimeStatistics{Class: class, Count: uint32(count), Mean: mean, MeanSquare: meanSquare})
		}
	}
	for _, machineType := range machineTypes {
		bootTimes := forecasts.RecentBootTimes(machineType.Name)
		if len(bootTimes) > 0 && len(heartbeat.BootTimes) < peer.MaxBootTimeTypes {
			heartbeat.BootTimes = append(heartbeat.BootTimes, peer.BootTimes{MachineType: machineType.Name, Durations: bootTimes})
		}
	}
}

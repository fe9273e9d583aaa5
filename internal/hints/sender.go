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
	// heartbeatsPerScan is the greatest number of heartbeats in which the leader checks all machines
	// for due hints. A small fleet takes fewer, since each heartbeat checks at least as many machines as
	// it has room for.
	heartbeatsPerScan = 10
	// resendInterval is the time after which the leader repeats an unchanged hint, since a member may
	// have restarted or become reachable again.
	resendInterval = imageHintTTL / 2
)

// SentImages describes the hint that was last sent for a machine. Its zero value means that none was
// sent.
type SentImages struct {
	incarnation uint64
	imageCount  int
	sentAt      clock.Micros
}

// ImageSender adds hints of machines' cached images to a leader's heartbeats, and tracks which machine
// is next. Its zero value has sent none.
type ImageSender struct {
	nextMachineIndex int // index of the machine that the next heartbeat checks first
	// resendBefore is the instant before which sent hints have to be repeated.
	resendBefore clock.Micros
}

// ResendAll makes the hints of all machines due again, for a member that may have missed them.
func (sender *ImageSender) ResendAll(now clock.Micros) { sender.resendBefore = now }

// AddImages adds the cached images of machines to a heartbeat. Each call checks the next part of the
// machines in turn, and adds those whose hint is due, at most peer.MaxCachedImageMachines, so that the
// size of a heartbeat does not grow with the fleet. sentOf returns the hint last sent for a machine, or
// nil if the machine gets no hint.
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

// isDue reports whether a machine's hint has changed since it was sent or has to be repeated. It compares
// only the number of images: if one image has replaced another, the hint is not sent before the next
// repetition.
func (sender *ImageSender) isDue(sent, current SentImages) bool {
	hasChanged := sent.incarnation != current.incarnation || sent.imageCount != current.imageCount
	return hasChanged || current.sentAt-sent.sentAt >= resendInterval || sent.sentAt < sender.resendBefore
}

// AddForecasts adds to a heartbeat the observed run times of classes and boot times of machine types, as
// far as there is room.
func AddForecasts(heartbeat *peer.Heartbeat, forecasts *scheduler.Scheduler, machineTypes []wire.MachineType) {
	for _, class := range forecasts.RunTimeClasses() {
		count, mean, meanSquare := forecasts.RunTimeModel(class).Statistics()
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

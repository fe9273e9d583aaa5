package peer

import (
	"slices"

	flatbuffers "github.com/google/flatbuffers/go"

	"firwood.dev/firwood/internal/peer/fb"
)

// initialBuilderSize is the initial capacity in bytes of a frame's buffer, which grows as needed.
const initialBuilderSize = 256

// Encode returns a frame with its size prefix. Because a receiver closes the link on a frame larger than
// MaxFrame, Encode leaves hints out of such a frame: first the cached images and, if that is not enough,
// also the job progress. Standby frames have no hints. The bounds in package standby keep them small
// enough (TestLargestStandbyMessageFitsFrame).
func Encode(heartbeat *Heartbeat) []byte {
	frame := encodeFrame(heartbeat)
	if len(frame) <= MaxFrame {
		return frame
	}
	smaller := *heartbeat
	smaller.CachedImages = nil
	if frame = encodeFrame(&smaller); len(frame) > MaxFrame {
		smaller.JobProgress = nil
		frame = encodeFrame(&smaller)
	}
	return frame
}

func encodeFrame(heartbeat *Heartbeat) []byte {
	builder := flatbuffers.NewBuilder(initialBuilderSize)
	progress := encodeJobProgress(builder, heartbeat.JobProgress)
	cancellations := encodeCancellations(builder, heartbeat.Cancellations)
	cachedImages, runTimes := encodeCachedImages(builder, heartbeat.CachedImages), encodeRunTimes(builder, heartbeat.RunTimes)
	bootTimes := encodeBootTimes(builder, heartbeat.BootTimes)
	member, leader := builder.CreateString(heartbeat.Member), builder.CreateString(heartbeat.Leader)
	message, position := encodeStandbyFrame(builder, heartbeat)
	fb.HeartbeatStart(builder)
	fb.HeartbeatAddMember(builder, member)
	fb.HeartbeatAddIsStoreReachable(builder, heartbeat.IsStoreReachable)
	fb.HeartbeatAddLeader(builder, leader)
	fb.HeartbeatAddToken(builder, heartbeat.Token)
	fb.HeartbeatAddWorkerCount(builder, heartbeat.WorkerCount)
	fb.HeartbeatAddJobProgress(builder, progress)
	fb.HeartbeatAddIncarnation(builder, heartbeat.Incarnation)
	fb.HeartbeatAddTimestamp(builder, int64(heartbeat.Timestamp))
	fb.HeartbeatAddAckIncarnation(builder, heartbeat.AckIncarnation)
	fb.HeartbeatAddAckTimestamp(builder, int64(heartbeat.AckTimestamp))
	fb.HeartbeatAddSilentFor(builder, int64(heartbeat.SilentFor))
	fb.HeartbeatAddCachedImages(builder, cachedImages)
	fb.HeartbeatAddRunTimes(builder, runTimes)
	fb.HeartbeatAddStoreRevision(builder, heartbeat.StoreRevision)
	fb.HeartbeatAddCancellations(builder, cancellations)
	fb.HeartbeatAddStandbyProtocolVersion(builder, heartbeat.StandbyProtocolVersion)
	fb.HeartbeatAddStandbyMessage(builder, message)
	fb.HeartbeatAddStandbyPosition(builder, position)
	fb.HeartbeatAddProgressPageCount(builder, heartbeat.ProgressPageCount)
	fb.HeartbeatAddBootTimes(builder, bootTimes)
	builder.FinishSizePrefixed(fb.HeartbeatEnd(builder))
	return builder.FinishedBytes()
}

// encodeTables writes a vector of tables, one for each of the first limit items. It leaves out the
// other items.
func encodeTables[T any](builder *flatbuffers.Builder, items []T, limit int, encode func(T) flatbuffers.UOffsetT) flatbuffers.UOffsetT {
	var offsets []flatbuffers.UOffsetT
	for _, item := range items[:min(len(items), limit)] {
		offsets = append(offsets, encode(item))
	}
	return encodeOffsets(builder, offsets)
}

func encodeJobProgress(builder *flatbuffers.Builder, jobs []JobProgress) flatbuffers.UOffsetT {
	return encodeTables(builder, jobs, MaxJobProgress, func(progress JobProgress) flatbuffers.UOffsetT {
		job := builder.CreateString(progress.Job)
		fb.JobProgressStart(builder)
		fb.JobProgressAddJob(builder, job)
		fb.JobProgressAddDone(builder, progress.Done)
		fb.JobProgressAddRunning(builder, progress.Running)
		return fb.JobProgressEnd(builder)
	})
}

// encodeBootTimes leaves the field out, instead of writing an empty vector, if there are no boot times.
// The frame recorded from an earlier version, which had no such field, must encode to the same bytes
// (TestProductionHeartbeatCompatibility).
func encodeBootTimes(builder *flatbuffers.Builder, times []BootTimes) flatbuffers.UOffsetT {
	if len(times) == 0 {
		return 0
	}
	return encodeTables(builder, times, MaxBootTimeTypes, func(bootTimes BootTimes) flatbuffers.UOffsetT {
		durations := bootTimes.Durations[:min(len(bootTimes.Durations), MaxBootTimesPerType)]
		fb.BootTimesStartDurationsVector(builder, len(durations))
		for _, duration := range slices.Backward(durations) {
			builder.PrependInt64(int64(duration))
		}
		durationVector := builder.EndVector(len(durations))
		machineType := builder.CreateString(bootTimes.MachineType)
		fb.BootTimesStart(builder)
		fb.BootTimesAddMachineType(builder, machineType)
		fb.BootTimesAddDurations(builder, durationVector)
		return fb.BootTimesEnd(builder)
	})
}

// encodeOffsets writes a vector of offsets to tables or strings.
func encodeOffsets(builder *flatbuffers.Builder, offsets []flatbuffers.UOffsetT) flatbuffers.UOffsetT {
	builder.StartVector(flatbuffers.SizeUOffsetT, len(offsets), flatbuffers.SizeUOffsetT)
	for _, offset := range slices.Backward(offsets) {
		builder.PrependUOffsetT(offset)
	}
	return builder.EndVector(len(offsets))
}

func encodeCachedImages(builder *flatbuffers.Builder, machines []CachedImages) flatbuffers.UOffsetT {
	return encodeTables(builder, machines, MaxCachedImageMachines, func(machineImages CachedImages) flatbuffers.UOffsetT {
		var images []flatbuffers.UOffsetT
		for _, image := range machineImages.Images[:min(len(machineImages.Images), MaxImagesPerMachine)] {
			images = append(images, builder.CreateString(image))
		}
		imageVector, machine := encodeOffsets(builder, images), builder.CreateString(machineImages.Machine)
		fb.CachedImagesStart(builder)
		fb.CachedImagesAddMachine(builder, machine)
		fb.CachedImagesAddIncarnation(builder, machineImages.Incarnation)
		fb.CachedImagesAddImages(builder, imageVector)
		return fb.CachedImagesEnd(builder)
	})
}

func encodeRunTimes(builder *flatbuffers.Builder, times []RunTimeStatistics) flatbuffers.UOffsetT {
	return encodeTables(builder, times, MaxRunTimeClasses, func(statistics RunTimeStatistics) flatbuffers.UOffsetT {
		class := builder.CreateString(statistics.Class)
		fb.RunTimeStatisticsStart(builder)
		fb.RunTimeStatisticsAddClass(builder, class)
		fb.RunTimeStatisticsAddCount(builder, statistics.Count)
		fb.RunTimeStatisticsAddMean(builder, statistics.Mean)
		fb.RunTimeStatisticsAddMeanSquare(builder, statistics.MeanSquare)
		return fb.RunTimeStatisticsEnd(builder)
	})
}

func encodeCancellations(builder *flatbuffers.Builder, cancellations []Cancellation) flatbuffers.UOffsetT {
	return encodeTables(builder, cancellations, MaxCancellations, func(cancellation Cancellation) flatbuffers.UOffsetT {
		job := builder.CreateString(cancellation.Job)
		fb.CancellationStart(builder)
		fb.CancellationAddJob(builder, job)
		fb.CancellationAddRevision(builder, cancellation.Revision)
		fb.CancellationAddCancelledAt(builder, int64(cancellation.CancelledAt))
		return fb.CancellationEnd(builder)
	})
}

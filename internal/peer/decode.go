package peer

import (
	"errors"
	"fmt"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/peer/fb"
)

// ErrMalformed reports a frame that can't be decoded or exceeds a bound.
var ErrMalformed = errors.New("peer: malformed frame")

// Decode decodes one frame without its size prefix. FlatBuffers for Go has no verifier, so its
// accessors panic on malformed input. Decode recovers from the panic and returns an error that wraps
// ErrMalformed.
func Decode(content []byte) (heartbeat *Heartbeat, err error) {
	defer func() {
		if fault := recover(); fault != nil {
			heartbeat, err = nil, fmt.Errorf("%w: %v", ErrMalformed, fault)
		}
	}()
	if len(content) < minFrameLength {
		return nil, fmt.Errorf("%w: content of only %d bytes", ErrMalformed, len(content))
	}
	table := fb.GetRootAsHeartbeat(content, 0)
	heartbeat = &Heartbeat{
		Member: string(table.Member()), IsStoreReachable: table.IsStoreReachable(), Leader: string(table.Leader()),
		Token: table.Token(), WorkerCount: table.WorkerCount(),
		Incarnation: table.Incarnation(), Timestamp: clock.Micros(table.Timestamp()),
		AckIncarnation: table.AckIncarnation(), AckTimestamp: clock.Micros(table.AckTimestamp()),
		SilentFor: clock.Micros(table.SilentFor()), StoreRevision: table.StoreRevision(),
		StandbyProtocolVersion: table.StandbyProtocolVersion(),
	}
	if heartbeat.Member == "" {
		return nil, fmt.Errorf("%w: the sender's name is missing", ErrMalformed)
	}
	if err := decodeLeaderHints(table, heartbeat); err != nil {
		return nil, err
	}
	if heartbeat.Cancellations, err = decodeCancellations(table); err != nil {
		return nil, err
	}
	if err := decodeStandbyFrame(table, heartbeat); err != nil {
		return nil, err
	}
	return heartbeat, nil
}

// decodeLeaderHints reads the fields that only a leader sends.
func decodeLeaderHints(table *fb.Heartbeat, heartbeat *Heartbeat) (err error) {
	heartbeat.ProgressPageCount = table.ProgressPageCount()
	if heartbeat.JobProgress, err = decodeJobProgress(table); err != nil {
		return err
	}
	if heartbeat.CachedImages, err = decodeCachedImages(table); err != nil {
		return err
	}
	if heartbeat.RunTimes, err = decodeRunTimes(table); err != nil {
		return err
	}
	heartbeat.BootTimes, err = decodeBootTimes(table)
	return err
}

// decodeTables reads a vector of tables, which may have at most limit entries. read returns the entry at
// an index, or false if the entry is missing or exceeds a bound of its own.
func decodeTables[T any](length, limit int, read func(i int) (T, bool)) ([]T, error) {
	if length > limit {
		return nil, fmt.Errorf("%w: %d entries, at most %d are allowed", ErrMalformed, length, limit)
	}
	var items []T
	for i := range length {
		item, ok := read(i)
		if !ok {
			return nil, fmt.Errorf("%w: entry %d of %d is missing or exceeds a bound", ErrMalformed, i, length)
		}
		items = append(items, item)
	}
	return items, nil
}

func decodeJobProgress(table *fb.Heartbeat) ([]JobProgress, error) {
	var entry fb.JobProgress
	return decodeTables(table.JobProgressLength(), MaxJobProgress, func(i int) (JobProgress, bool) {
		ok := table.JobProgress(&entry, i)
		return JobProgress{Job: string(entry.Job()), Done: entry.Done(), Running: entry.Running()}, ok
	})
}

func decodeCachedImages(table *fb.Heartbeat) ([]CachedImages, error) {
	var entry fb.CachedImages
	return decodeTables(table.CachedImagesLength(), MaxCachedImageMachines, func(i int) (CachedImages, bool) {
		if !table.CachedImages(&entry, i) || entry.ImagesLength() > MaxImagesPerMachine {
			return CachedImages{}, false
		}
		machineImages := CachedImages{Machine: string(entry.Machine()), Incarnation: entry.Incarnation()}
		for k := range entry.ImagesLength() {
			machineImages.Images = append(machineImages.Images, string(entry.Images(k)))
		}
		return machineImages, true
	})
}

func decodeRunTimes(table *fb.Heartbeat) ([]RunTimeStatistics, error) {
	var entry fb.RunTimeStatistics
	return decodeTables(table.RunTimesLength(), MaxRunTimeClasses, func(i int) (RunTimeStatistics, bool) {
		ok := table.RunTimes(&entry, i)
		return RunTimeStatistics{Class: string(entry.Class()), Count: entry.Count(), Mean: entry.Mean(), MeanSquare: entry.MeanSquare()}, ok
	})
}

func decodeBootTimes(table *fb.Heartbeat) ([]BootTimes, error) {
	var entry fb.BootTimes
	return decodeTables(table.BootTimesLength(), MaxBootTimeTypes, func(i int) (BootTimes, bool) {
		if !table.BootTimes(&entry, i) || entry.DurationsLength() > MaxBootTimesPerType {
			return BootTimes{}, false
		}
		bootTimes := BootTimes{MachineType: string(entry.MachineType())}
		for k := range entry.DurationsLength() {
			bootTimes.Durations = append(bootTimes.Durations, clock.Micros(entry.Durations(k)))
		}
		return bootTimes, true
	})
}

func decodeCancellations(table *fb.Heartbeat) ([]Cancellation, error) {
	var entry fb.Cancellation
	return decodeTables(table.CancellationsLength(), MaxCancellations, func(i int) (Cancellation, bool) {
		ok := table.Cancellations(&entry, i)
		return Cancellation{Job: string(entry.Job()), Revision: entry.Revision(), CancelledAt: clock.Micros(entry.CancelledAt())}, ok
	})
}

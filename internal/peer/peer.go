// Package peer implements the links between controllers: heartbeats, standby messages and
// standby positions, one way, as FlatBuffers frames over TCP. Frames may be lost, delayed or
// repeated, so what a heartbeat says is only a hint, except its timestamps and their
// acknowledgements, which package delegation explains.
package peer

import (
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/standby"
)

//go:generate flatc --go peer.fbs

// MaxFrame bounds the size of a frame in bytes, without its size prefix. A receiver closes the
// link on a larger one.
const MaxFrame = 1 << 18

// Bounds of the content of one heartbeat. Encode leaves out entries beyond them, and a receiver takes
// a frame over them as malformed. With names of usual length they keep a heartbeat under MaxFrame;
// Encode sees to the others.
const (
	// MaxJobProgress bounds the jobs with their progress.
	MaxJobProgress = 2000
	// MaxCachedImageMachines bounds the machines with their cached images.
	MaxCachedImageMachines = 16
	// MaxImagesPerMachine bounds the cached images of one machine.
	MaxImagesPerMachine = 64
	// MaxRunTimeClasses bounds the classes with run-time statistics.
	MaxRunTimeClasses = 64
	// MaxBootTimeTypes bounds the machine types with boot times.
	MaxBootTimeTypes = 32
	// MaxBootTimesPerType bounds the boot times of one machine type.
	MaxBootTimesPerType = 32
	// MaxCancellations bounds the cancellations.
	MaxCancellations = 512
)

// JobProgress is the progress of a job in tasks, for display.
type JobProgress struct {
	Job           string
	Done, Running uint32
}

// CachedImages lists the images that a machine has cached, in one incarnation of its worker.
type CachedImages struct {
	Machine     string
	Incarnation uint64
	Images      []string
}

// RunTimeStatistics are the run times of a class: their number, and the mean and the mean
// square of log(actual/estimated).
type RunTimeStatistics struct {
	Class            string
	Count            uint32
	Mean, MeanSquare float64
}

// BootTimes are the latest durations from the creation of a machine of a type to its first
// heartbeat.
type BootTimes struct {
	MachineType string
	Durations   []clock.Micros
}

// Cancellation is a durable cancellation of a job.
type Cancellation struct {
	Job string
	// Revision is that of the transaction which made it durable.
	Revision uint64
	// CancelledAt is the time of day in the job's record.
	CancelledAt clock.Micros
}

// LeaderHints is what only a leader sends; none of it is needed for correctness. Followers show
// JobProgress to users. The next leader starts from the other hints, so that it need not collect
// them again.
type LeaderHints struct {
	JobProgress []JobProgress
	// ProgressPageCount is the number of heartbeats over which the progress of all jobs is
	// spread; 0 or 1: JobProgress has all of it.
	ProgressPageCount uint32
	CachedImages      []CachedImages
	RunTimes          []RunTimeStatistics
	BootTimes         []BootTimes
}

// StandbyFrame is the content of a frame of package standby: one of the two is set. Such a
// frame has only the sender's name besides.
type StandbyFrame struct {
	StandbyMessage  *standby.Message
	StandbyPosition *standby.Position
}

// Heartbeat is one frame between controllers: a heartbeat, or a StandbyFrame.
type Heartbeat struct {
	// Member is the sender's name.
	Member string
	// IsStoreReachable tells that the key-value store answers the sender.
	IsStoreReachable bool
	// Leader and Token are the leader's name and fencing token as the sender knows them.
	Leader string
	Token  uint64
	// WorkerCount is the number of workers that have lately sent heartbeats to the sender.
	WorkerCount uint32

	// Incarnation and Timestamp identify this heartbeat by the sender's process and its
	// steady clock; AckIncarnation and AckTimestamp acknowledge one of the receiver's.
	Incarnation    uint64
	Timestamp      clock.Micros
	AckIncarnation uint64
	AckTimestamp   clock.Micros
	// SilentFor is for how long the sender has answered no worker as a delegate.
	SilentFor clock.Micros

	LeaderHints

	// StoreRevision is the revision of the sender's view of the store.
	StoreRevision uint64
	// Cancellations are recent ones that the receiver's view may lack.
	Cancellations []Cancellation

	// StandbyProtocolVersion is the version of standby messages that the sender reads, 0 if
	// it reads none.
	StandbyProtocolVersion uint8
	StandbyFrame
}

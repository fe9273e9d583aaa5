// Package peer implements the links between controllers. A link carries heartbeats, standby messages and
// standby positions in one direction, as FlatBuffers frames over TCP. Frames may be lost, delayed or
// repeated, so receivers treat the content of a heartbeat only as a hint. The exceptions are timestamps
// and their acknowledgements, which package delegation explains.
package peer

import (
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/standby"
)

//go:generate flatc --go peer.fbs

// MaxFrame is the maximum size of a frame in bytes, without its size prefix. A receiver closes the link
// on a larger frame.
const MaxFrame = 1 << 18

// Bounds of the content of one heartbeat. Encode leaves out entries beyond them, and a receiver rejects
// a frame that exceeds them as malformed. With names of usual length the bounds keep a heartbeat
// smaller than MaxFrame. If longer names make it larger, Encode leaves out hints.
const (
	// MaxJobProgress is the maximum number of jobs with their progress.
	MaxJobProgress = 2000
	// MaxCachedImageMachines is the maximum number of machines with their cached images.
	MaxCachedImageMachines = 16
	// MaxImagesPerMachine is the maximum number of cached images of one machine.
	MaxImagesPerMachine = 64
	// MaxRunTimeClasses is the maximum number of classes with run-time statistics.
	MaxRunTimeClasses = 64
	// MaxBootTimeTypes is the maximum number of machine types with boot times.
	MaxBootTimeTypes = 32
	// MaxBootTimesPerType is the maximum number of boot times of one machine type.
	MaxBootTimesPerType = 32
	// MaxCancellations is the maximum number of cancellations.
	MaxCancellations = 512
)

// JobProgress is the number of done and of running tasks of a job, for display.
type JobProgress struct {
	Job           string
	Done, Running uint32
}

// CachedImages lists the images that a machine has cached, as reported by one incarnation of its worker.
type CachedImages struct {
	Machine     string
	Incarnation uint64
	Images      []string
}

// RunTimeStatistics describes the run times of a class: how many there are, and the mean and the mean
// square of log(actual/estimated).
type RunTimeStatistics struct {
	Class            string
	Count            uint32
	Mean, MeanSquare float64
}

// BootTimes lists the latest boot times of a machine type. A boot time lasts from the creation of a
// machine to its first heartbeat.
type BootTimes struct {
	MachineType string
	Durations   []clock.Micros
}

// Cancellation is a durable cancellation of a job.
type Cancellation struct {
	Job string
	// Revision is the store revision of the transaction that made the cancellation durable.
	Revision uint64
	// CancelledAt is the wall-clock time of the cancellation, from the job's record.
	CancelledAt clock.Micros
}

// LeaderHints are the fields that only a leader sends. None of them is needed for correctness. Followers
// show JobProgress to users. The next leader starts from the other hints, so that it need not collect
// that information again.
type LeaderHints struct {
	JobProgress []JobProgress
	// ProgressPageCount is the number of heartbeats that together have the progress of all jobs. If
	// it is 0 or 1, JobProgress has the progress of all jobs.
	ProgressPageCount uint32
	CachedImages      []CachedImages
	RunTimes          []RunTimeStatistics
	BootTimes         []BootTimes
}

// StandbyFrame is the content of a frame for package standby. One of its fields is set. Of the other
// fields of Heartbeat, such a frame has only Member.
type StandbyFrame struct {
	StandbyMessage  *standby.Message
	StandbyPosition *standby.Position
}

// Heartbeat is the content of one frame between controllers: a heartbeat, or a StandbyFrame.
type Heartbeat struct {
	// Member is the name of the sender.
	Member string
	// IsStoreReachable is true if the key-value store answers the sender.
	IsStoreReachable bool
	// Leader and Token are the name and the fencing token of the leader that the sender knows.
	Leader string
	Token  uint64
	// WorkerCount is the number of workers that have recently sent heartbeats to the sender.
	WorkerCount uint32

	// Incarnation identifies the sender's process, and Timestamp is the time on its monotonic clock.
	// Together they identify this heartbeat. AckIncarnation and AckTimestamp acknowledge a heartbeat
	// of the receiver.
	Incarnation    uint64
	Timestamp      clock.Micros
	AckIncarnation uint64
	AckTimestamp   clock.Micros
	// SilentFor is how long the sender has certainly not replied to any worker as delegate.
	SilentFor clock.Micros

	LeaderHints

	// StoreRevision is the revision that the sender's view of the store had reached when the
	// heartbeat was made.
	StoreRevision uint64
	// Cancellations are recent cancellations that the receiver's view of the store may lack.
	Cancellations []Cancellation

	// StandbyProtocolVersion is the version of the standby messages that the sender reads, or 0 if it
	// reads none.
	StandbyProtocolVersion uint8
	StandbyFrame
}

// Package peer owns the links between controllers: one-way beats in
// FlatBuffers over TCP. Beats may be lost, late or repeated: what is learnt from
// them is advice, but for the stamps and their echoes, which package delegation
// explains.
package peer

import (
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/standby"
)

//go:generate flatc --go peer.fbs

// MaxFrame bounds a frame.
const MaxFrame = 1 << 18

// Bounds of what one beat tells, so that it stays under MaxFrame.
const (
	// MaxJobProgress bounds the jobs whose progress one beat tells.
	MaxJobProgress         = 2000
	MaxCachedImageMachines = 16
	MaxImagesPerMachine    = 64 // of one machine
	MaxRunTimeClasses      = 64
	// MaxBootTimeTypes and MaxBootTimesPerType bound the machine types whose boot times one beat tells, and
	// the boots of each.
	MaxBootTimeTypes    = 32
	MaxBootTimesPerType = 32
	// MaxCancellations bounds the withdrawals that one message tells.
	MaxCancellations = 512
)

// JobProgress is a job's progress, for display.
type JobProgress struct {
	Job           string
	Done, Running uint32
}

// CachedImages is what images a machine holds in one of its sessions.
type CachedImages struct {
	Machine     string
	Incarnation uint64
	Images      []string
}

// RunTimeStatistics is what is learnt of a class.
type RunTimeStatistics struct {
	Class            string
	Count            uint32
	Mean, MeanSquare float64
}

// BootTimes are how long machines of a type took lately to report for the first time.
type BootTimes struct {
	MachineType string
	Durations   []clock.Micros
}

// Cancellation is a durable withdrawal of a job.
type Cancellation struct {
	Job string
	// Revision is that of the transaction which made it durable.
	Revision uint64
	// CancelledAt is the time of day in the job's record.
	CancelledAt clock.Micros
}

// Heartbeat is one message.
type Heartbeat struct {
	Member           string
	IsStoreReachable bool
	Leader           string
	Token            uint64
	WorkerCount      uint32
	JobProgress      []JobProgress
	// ProgressPageCount is in how many beats the progress of all jobs is told; up to 1: Counts has
	// all of it.
	ProgressPageCount uint32

	// Incarnation and Stamp are the speaker's, AckIncarnation and AckTimestamp a stamp of the
	// receiver's that it echoes; see package delegation.
	Incarnation    uint64
	Timestamp      clock.Micros
	AckIncarnation uint64
	AckTimestamp   clock.Micros
	SilentFor      clock.Micros

	// CachedImages, RunTimeStatistics and BootTimes are what the next leader would have to learn anew.
	CachedImages []CachedImages
	RunTimes     []RunTimeStatistics
	BootTimes    []BootTimes

	// StoreRevision tells how new the speaker's view of the state service is.
	StoreRevision uint64
	// Cancellations are those that the receiver's view may lack.
	Cancellations []Cancellation

	// StandbyProtocolVersion is that of the standby messages which the speaker takes, 0 if none.
	StandbyProtocolVersion uint8
	// StandbyMessage and Position, of which a frame that is no beat holds one, are of package
	// standby.
	StandbyMessage  *standby.Message
	StandbyPosition *standby.Position
}

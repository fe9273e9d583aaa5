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
	// MaxCounts bounds the jobs whose progress one beat tells.
	MaxCounts   = 2000
	MaxHoldings = 16
	MaxImages   = 64 // of one machine
	MaxRunTimes = 64
	// MaxBootTypes and MaxBoots bound the machine types whose boot times one beat tells, and
	// the boots of each.
	MaxBootTypes = 32
	MaxBoots     = 32
	// MaxWithdrawals bounds the withdrawals that one message tells.
	MaxWithdrawals = 512
)

// Count is a job's progress, for display.
type Count struct {
	Job           string
	Done, Running uint32
}

// Holding is what images a machine holds in one of its sessions.
type Holding struct {
	Machine string
	Session uint64
	Images  []string
}

// RunTimes is what is learnt of a class.
type RunTimes struct {
	Class        string
	Count        uint32
	Mean, Square float64
}

// BootTimes are how long machines of a type took lately to report for the first time.
type BootTimes struct {
	Type  string
	Boots []clock.Micros
}

// Withdrawal is a durable withdrawal of a job.
type Withdrawal struct {
	Job string
	// Revision is that of the transaction which made it durable.
	Revision uint64
	// At is the time of day in the job's record.
	At clock.Micros
}

// Beat is one message.
type Beat struct {
	Member  string
	Served  bool
	Leader  string
	Token   uint64
	Workers uint32
	Counts  []Count
	// CountsOf is in how many beats the progress of all jobs is told; up to 1: Counts has
	// all of it.
	CountsOf uint32

	// Life and Stamp are the speaker's, EchoLife and EchoStamp a stamp of the
	// receiver's that it echoes; see package delegation.
	Life      uint64
	Stamp     clock.Micros
	EchoLife  uint64
	EchoStamp clock.Micros
	QuietFor  clock.Micros

	// Holdings, RunTimes and BootTimes are what the next leader would have to learn anew.
	Holdings  []Holding
	RunTimes  []RunTimes
	BootTimes []BootTimes

	// Revision tells how new the speaker's view of the state service is.
	Revision uint64
	// Withdrawals are those that the receiver's view may lack.
	Withdrawals []Withdrawal

	// StandbyVersion is that of the standby messages which the speaker takes, 0 if none.
	StandbyVersion uint8
	// Message and Position, of which a frame that is no beat holds one, are of package
	// standby.
	Message  *standby.Message
	Position *standby.Position
}

package wire

// States of a task on a worker, in TaskStatus.State.
const (
	TaskFetching       = "fetching" // waits for its image
	TaskWaitingForGang = "waiting"  // waits for the other tasks of its attempt
	TaskRunning        = "running"  // also of a gang that lost a task or is being stopped
	TaskCheckpointing  = "flushing" // was told to stop and is saving; not a periodic checkpoint
	TaskExited         = "exited"
)

// Causes of an exit, in TaskStatus.ExitCause. The last three refuse a start.
const (
	ExitDone            = "done"       // completed; if started again, it exits so once it has its image
	ExitStopped         = "stopped"    // by a command
	ExitPeerLost        = "peers"      // another task of its gang is gone
	ExitGangIncomplete  = "incomplete" // the gang was not complete in time
	ExitError           = "error"      // failed: mostly the machine's fault, or a mistake in the job
	ExitNoResources     = "no_room"    // the machine has too little free
	ExitAttemptConflict = "in_use"     // the task is on this machine with another attempt
	ExitUnknownTask     = "no_such"    // there is no such job or task
)

// Actions of commands to workers, in Command.Action. A start of an attempt that the worker knows
// has no effect, in whatever state it is. A reap removes an exited task from the worker's
// heartbeats; from then on the worker doesn't know the attempt, and a start of it that is repeated
// or arrives late would run it again.
const (
	ActionStart = "run"
	ActionStop  = "halt"
	ActionReap  = "reap"
)

// Heartbeat is a worker's periodic report of its machine and tasks (PROTOCOL, POST /checkin).
// It is also the body of responses to GET /status and POST /commands.
type Heartbeat struct {
	MachineID   string `json:"box"`
	Address     string `json:"endpoint"`
	MachineType string `json:"rig"`
	Zone        string `json:"yard"`
	Spot        bool   `json:"loaners"`
	// Incarnation starts at 1 and increases each time the worker's lease expires.
	Incarnation uint64 `json:"shift"`
	// Sequence increases with every heartbeat, also with those in responses to GET /status and
	// POST /commands. Over incarnations the pair of both orders the messages; see IsNewerThan.
	Sequence uint64 `json:"tick"`
	// FencingToken is the highest that the worker has seen, 0 if none.
	FencingToken uint64 `json:"baton"`
	// ReclaimInSeconds, if not nil, is the time until the cloud takes the spot machine away.
	ReclaimInSeconds *float64 `json:"recallS"`
	// Tasks are all on the machine, exited ones included until they are reaped.
	Tasks []TaskStatus `json:"pieces"`
}

// TaskStatus is one task in a heartbeat. ExitCause is set once it has exited, and Saved if it
// was stopped with its progress saved.
type TaskStatus struct {
	TaskID    string `json:"piece"`
	Attempt   uint64 `json:"try"`
	State     string `json:"stage"`
	ExitCause string `json:"cause,omitempty"`
	Saved     bool   `json:"saved,omitempty"`
}

// Command is one instruction to a worker. GracePeriodSeconds is for stops: with less than the job's
// CheckpointSaveSeconds the task exits at once and doesn't save.
type Command struct {
	Action             string   `json:"verb"`
	TaskID             string   `json:"piece"`
	Attempt            uint64   `json:"try"`
	GracePeriodSeconds *float64 `json:"windS,omitempty"`
}

// HeartbeatResponse answers a heartbeat with commands, to be executed in order, and renews the
// worker's lease from the time at which the heartbeat was sent. The worker drops it, without a
// renewal, if its fencing token is lower than the highest that the worker has seen.
type HeartbeatResponse struct {
	FencingToken uint64    `json:"baton"`
	Commands     []Command `json:"orders"`
}

// CommandRequest sends commands to a worker outside its heartbeats (PROTOCOL, POST /commands).
// The worker executes none of them if the token is lower than the highest that it has seen or the
// incarnation is not its own. It does not renew the worker's lease.
type CommandRequest struct {
	FencingToken uint64    `json:"baton"`
	Incarnation  uint64    `json:"shift"`
	Commands     []Command `json:"orders"`
}

// Redirect is the body of a 421: the member to send heartbeats to, empty if not known.
type Redirect struct {
	Member string `json:"foreman,omitempty"`
}

// IsNewerThan reports that the heartbeat was made after the one with an incarnation and a
// sequence number of the same worker.
func (heartbeat *Heartbeat) IsNewerThan(incarnation, sequence uint64) bool {
	return heartbeat.Incarnation > incarnation || heartbeat.Incarnation == incarnation && heartbeat.Sequence > sequence
}

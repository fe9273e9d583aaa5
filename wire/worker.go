package wire

// States of a task on a worker, in TaskStatus.State.
const (
	TaskFetching       = "fetching" // waiting for its image
	TaskWaitingForGang = "waiting"  // waiting for the other tasks of its attempt
	TaskRunning        = "running"  // running, even if its gang has lost a task or is being stopped
	TaskCheckpointing  = "flushing" // saving its progress after a stop; not set for periodic checkpoints
	TaskExited         = "exited"
)

// Causes of a task's exit, in TaskStatus.ExitCause. The last three mean that the worker refused to start
// the task.
const (
	ExitDone            = "done"       // completed; if started again, the task exits as done once it has its image
	ExitStopped         = "stopped"    // stopped by a command
	ExitPeerLost        = "peers"      // another task of its gang is gone
	ExitGangIncomplete  = "incomplete" // its gang was not complete in time
	ExitError           = "error"      // failed, mostly through a fault of the machine or a mistake in the job
	ExitNoResources     = "no_room"    // the machine has too few free resources
	ExitAttemptConflict = "in_use"     // the machine has another attempt at the task
	ExitUnknownTask     = "no_such"    // the job or the task does not exist
)

// Actions of commands to workers, in Command.Action. A start has no effect if the worker knows the
// attempt, whatever the attempt's state. A reap removes an exited task from the worker's heartbeats.
// After the reap the worker no longer knows the attempt, so a repeated or delayed start of it would
// run it again.
const (
	ActionStart = "run"
	ActionStop  = "halt"
	ActionReap  = "reap"
)

// Heartbeat is a worker's periodic report on its machine and tasks (PROTOCOL, POST /checkin). It is also
// the body of the responses to GET /status and POST /commands.
type Heartbeat struct {
	MachineID   string `json:"box"`
	Address     string `json:"endpoint"`
	MachineType string `json:"rig"`
	Zone        string `json:"yard"`
	Spot        bool   `json:"loaners"`
	// Incarnation starts at 1 and increases each time that the worker's lease expires.
	Incarnation uint64 `json:"shift"`
	// Sequence increases with every heartbeat, including those in responses to GET /status and
	// POST /commands. Incarnation and Sequence together order a worker's heartbeats; see IsNewerThan.
	Sequence uint64 `json:"tick"`
	// FencingToken is the highest fencing token that the worker has seen, or 0 if it has seen none.
	FencingToken uint64 `json:"baton"`
	// ReclaimInSeconds is the time until the cloud takes the spot machine away, or nil if the cloud has
	// not announced that.
	ReclaimInSeconds *float64 `json:"recallS"`
	// Tasks lists all tasks on the machine, including exited tasks until they are reaped.
	Tasks []TaskStatus `json:"pieces"`
}

// TaskStatus is the state of one task in a heartbeat. ExitCause is set once the task has exited. Saved is
// set if the task was stopped and its progress was saved.
type TaskStatus struct {
	TaskID    string `json:"piece"`
	Attempt   uint64 `json:"try"`
	State     string `json:"stage"`
	ExitCause string `json:"cause,omitempty"`
	Saved     bool   `json:"saved,omitempty"`
}

// Command is one instruction to a worker. GracePeriodSeconds applies to stops: if it is less than the
// job's CheckpointSaveSeconds, the task exits at once without saving a checkpoint.
type Command struct {
	Action             string   `json:"verb"`
	TaskID             string   `json:"piece"`
	Attempt            uint64   `json:"try"`
	GracePeriodSeconds *float64 `json:"windS,omitempty"`
}

// HeartbeatResponse is the response to a heartbeat. Its commands are executed in order. It renews the
// worker's lease, counted from the time at which the heartbeat was sent. If its fencing token is lower
// than the highest that the worker has seen, the worker ignores the response and doesn't renew its
// lease.
type HeartbeatResponse struct {
	FencingToken uint64    `json:"baton"`
	Commands     []Command `json:"orders"`
}

// CommandRequest sends commands to a worker outside the responses to its heartbeats (PROTOCOL,
// POST /commands). The worker executes none of them if the fencing token is lower than the highest that
// it has seen, or if the incarnation is not its own. The request does not renew the worker's lease.
type CommandRequest struct {
	FencingToken uint64    `json:"baton"`
	Incarnation  uint64    `json:"shift"`
	Commands     []Command `json:"orders"`
}

// Redirect is the body of a response with status 421. Member is the controller that the worker should
// send its heartbeats to, or empty if it is unknown.
type Redirect struct {
	Member string `json:"foreman,omitempty"`
}

// IsNewerThan reports whether the worker made this heartbeat after its heartbeat with the given
// incarnation and sequence number.
func (heartbeat *Heartbeat) IsNewerThan(incarnation, sequence uint64) bool {
	return heartbeat.Incarnation > incarnation || heartbeat.Incarnation == incarnation && heartbeat.Sequence > sequence
}

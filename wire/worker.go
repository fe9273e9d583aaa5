package wire

// States of a task on a worker, in TaskStatus.State.
const (
	TaskFetching       = "fetching"
	TaskWaitingForGang = "waiting"
	TaskRunning        = "running"
	TaskCheckpointing  = "flushing"
	TaskExited         = "exited"
)

// Causes of an exit, in TaskStatus.ExitCause. The last three refuse a start.
const (
	ExitDone            = "done"
	ExitStopped         = "stopped"
	ExitPeerLost        = "peers"
	ExitGangIncomplete  = "incomplete"
	ExitError           = "error"
	ExitNoResources     = "no_room"
	ExitAttemptConflict = "in_use"
	ExitUnknownTask     = "no_such"
)

// Actions of commands to workers, in Command.Action. A reap removes an exited task from the
// worker's heartbeats, after which the worker no longer knows the attempt.
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
	// Sequence increases with every heartbeat.
	Sequence uint64 `json:"tick"`
	// FencingToken is the highest that the worker has seen.
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

// Command is one instruction to a worker. GracePeriodSeconds is for stops: how long the task
// may take to save a checkpoint.
type Command struct {
	Action             string   `json:"verb"`
	TaskID             string   `json:"piece"`
	Attempt            uint64   `json:"try"`
	GracePeriodSeconds *float64 `json:"windS,omitempty"`
}

// HeartbeatResponse answers a heartbeat with commands, to be executed in order. The worker
// drops it if its fencing token is lower than the highest that it has seen.
type HeartbeatResponse struct {
	FencingToken uint64    `json:"baton"`
	Commands     []Command `json:"orders"`
}

// CommandRequest sends commands to a worker outside its heartbeats (PROTOCOL, POST /commands).
// It does not renew the worker's lease.
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

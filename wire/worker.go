package wire

// States of a task on a worker.
const (
	TaskFetching       = "fetching"
	TaskWaitingForGang = "waiting"
	TaskRunning        = "running"
	TaskCheckpointing  = "flushing"
	TaskExited         = "exited"
)

// Causes of an exit.
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

// Commands to workers.
const (
	ActionStart = "run"
	ActionStop  = "halt"
	ActionReap  = "reap"
)

// Heartbeat is a worker's account of itself.
type Heartbeat struct {
	MachineID        string       `json:"box"`
	Address          string       `json:"endpoint"`
	MachineType      string       `json:"rig"`
	Zone             string       `json:"yard"`
	Spot             bool         `json:"loaners"`
	Incarnation      uint64       `json:"shift"`
	Sequence         uint64       `json:"tick"`
	FencingToken     uint64       `json:"baton"`
	ReclaimInSeconds *float64     `json:"recallS"`
	Tasks            []TaskStatus `json:"pieces"`
}

// TaskStatus is one task in a report.
type TaskStatus struct {
	TaskID    string `json:"piece"`
	Attempt   uint64 `json:"try"`
	State     string `json:"stage"`
	ExitCause string `json:"cause,omitempty"`
	Saved     bool   `json:"saved,omitempty"`
}

// Command is one order to a worker.
type Command struct {
	Action             string   `json:"verb"`
	TaskID             string   `json:"piece"`
	Attempt            uint64   `json:"try"`
	GracePeriodSeconds *float64 `json:"windS,omitempty"`
}

// HeartbeatResponse answers a report.
type HeartbeatResponse struct {
	FencingToken uint64    `json:"baton"`
	Commands     []Command `json:"orders"`
}

// CommandRequest is a command message sent straight to a worker.
type CommandRequest struct {
	FencingToken uint64    `json:"baton"`
	Incarnation  uint64    `json:"shift"`
	Commands     []Command `json:"orders"`
}

// Redirect tells a worker whom to report to.
type Redirect struct {
	Member string `json:"foreman,omitempty"`
}

// IsNewerThan tells whether the report was made after (session, seq).
func (heartbeat *Heartbeat) IsNewerThan(incarnation, sequence uint64) bool {
	return heartbeat.Incarnation > incarnation || heartbeat.Incarnation == incarnation && heartbeat.Sequence > sequence
}

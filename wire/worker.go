package wire

// States of a task on a worker.
const (
	TaskFetching = "fetching"
	TaskWaiting  = "waiting"
	TaskRunning  = "running"
	TaskSaving   = "flushing"
	TaskExited   = "exited"
)

// Causes of an exit.
const (
	WhyDone    = "done"
	WhyStopped = "stopped"
	WhyPeers   = "peers"
	WhyAlone   = "incomplete"
	WhyError   = "error"
	WhyNoRoom  = "no_room"
	WhyBusy    = "in_use"
	WhyUnknown = "no_such"
)

// Commands to workers.
const (
	OpStart  = "run"
	OpStop   = "halt"
	OpForget = "reap"
)

// Report is a worker's account of itself.
type Report struct {
	Machine string       `json:"box"`
	Addr    string       `json:"endpoint"`
	Type    string       `json:"rig"`
	Zone    string       `json:"yard"`
	Spot    bool         `json:"loaners"`
	Session uint64       `json:"shift"`
	Seq     uint64       `json:"tick"`
	Token   uint64       `json:"baton"`
	NoticeS *float64     `json:"recallS"`
	Tasks   []TaskReport `json:"pieces"`
}

// TaskReport is one task in a report.
type TaskReport struct {
	Task    string `json:"piece"`
	Attempt uint64 `json:"try"`
	State   string `json:"stage"`
	Why     string `json:"cause,omitempty"`
	Saved   bool   `json:"saved,omitempty"`
}

// Command is one order to a worker.
type Command struct {
	Op      string   `json:"verb"`
	Task    string   `json:"piece"`
	Attempt uint64   `json:"try"`
	GraceS  *float64 `json:"windS,omitempty"`
}

// Reply answers a report.
type Reply struct {
	Token    uint64    `json:"baton"`
	Commands []Command `json:"orders"`
}

// Direct is a command message sent straight to a worker.
type Direct struct {
	Token    uint64    `json:"baton"`
	Session  uint64    `json:"shift"`
	Commands []Command `json:"orders"`
}

// Elsewhere tells a worker whom to report to.
type Elsewhere struct {
	ReportTo string `json:"foreman,omitempty"`
}

// Newer tells whether the report was made after (session, seq).
func (r *Report) Newer(session, seq uint64) bool {
	return r.Session > session || r.Session == session && r.Seq > seq
}

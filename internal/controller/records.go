package controller

import (
	"strconv"
	"strings"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/delegation"
	"firwood.dev/firwood/wire"
)

//go:generate easyjson -all records.go

// The layout of the state service. Everything lies under one prefix, so that
// one watch sees every change in the order of revisions.
const (
	WatchedPrefix   = "firwood/"
	LockKey         = WatchedPrefix + "lead"
	MachineTypesKey = WatchedPrefix + "types"
	ConstraintsKey  = WatchedPrefix + "word"
	TokenKey        = WatchedPrefix + "token"
	StandbyKey      = WatchedPrefix + "standby"
	// ArchiveMarkerKey exists while there may be an archive.
	ArchiveMarkerKey = WatchedPrefix + "archive"
	JobPrefix        = WatchedPrefix + "job/"
	ProgressPrefix   = WatchedPrefix + "done/"
	// DependenciesPrefix is followed by a job and a number.
	DependenciesPrefix = WatchedPrefix + "needs/"
	ScaleOutPrefix     = WatchedPrefix + "hire/"
	// WorkerContactPrefix is followed by a member.
	WorkerContactPrefix = WatchedPrefix + "asked/"
	// ArchivePrefix is followed by a finished job. It is not below the common prefix, so
	// it is neither loaded nor watched.
	ArchivePrefix = "firwood.finished/"
)

// Lock is the value of the lock key.
type Lock struct {
	Member string `json:"m"`
	Lease  uint64 `json:"l"`
	// NeedsStandbyRecord: the leader sends no start before a record of those in step with it, of its
	// own, is in force.
	NeedsStandbyRecord bool `json:"s,omitempty"`
}

// jobRecord is the value of a job's key: the submission while tasks of the job
// may be anywhere, only what has to be remembered after that.
type jobRecord struct {
	Spec *wire.Job `json:"j,omitempty"`
	// SubmittedAt is the time of day of the submission.
	SubmittedAt int64 `json:"at"`
	// State is empty while the job is active.
	State   string `json:"s,omitempty"`
	Class   string `json:"c,omitempty"`
	EndedAt int64  `json:"e,omitempty"`
	// DeadlineAt is the deadline as a time of day, First the first start.
	DeadlineAt   int64 `json:"d,omitempty"`
	FirstStartAt int64 `json:"f,omitempty"`
	Tasks        int   `json:"n,omitempty"`
	Errors       int   `json:"x,omitempty"`
	Restarts     int   `json:"r,omitempty"`
	// DependencyParts is how many keys beside this one hold what the job awaits: a list that
	// does not fit into one value.
	DependencyParts int `json:"p,omitempty"`
	// TasksPerKey is how many tasks one progress key of the job holds that doesn't say where
	// it begins; 0: see TasksPerProgressKey. It is read, and not written any more.
	TasksPerKey int `json:"k,omitempty"`
	// ReleasedAt is the time of day of the end of the last job that it awaited.
	ReleasedAt int64 `json:"w,omitempty"`

	version uint64
	// isArchived: the record lies in the archive.
	isArchived bool
	// isCancelledByDependency: a job that this one needs is durably cancelled, so this one is
	// too, whether or not its own record says so yet.
	isCancelledByDependency bool
}

// hasEnded tells whether the job has come to its end, in its own record or with a job
// that it needs.
func (record *jobRecord) hasEnded() bool { return record.State != "" || record.isCancelledByDependency }

// key is where the job's record lies.
func (record *jobRecord) key(id string) string {
	if record.isArchived {
		return ArchivePrefix + id
	}
	return JobPrefix + id
}

// isFinished tells whether the job is over by its own record, and no task of it may be
// anywhere: the record is its last one.
func (record *jobRecord) isFinished() bool { return record.State != "" && record.Spec == nil }

// effectiveState is what users are told of a job that is over.
func (record *jobRecord) effectiveState() string {
	if record.isCancelledByDependency {
		return wire.JobCancelled
	}
	return record.State
}

// Dependencies is the value of a key that holds a part of what a job awaits.
type Dependencies struct {
	DependsOn []string `json:"a"`
}

// ScaleOut is the value of a rental's key. It is written before the request
// goes out, and again with the names that came back.
type ScaleOut struct {
	Type        string   `json:"t"`
	Zone        string   `json:"z"`
	Spot        bool     `json:"s,omitempty"`
	Count       int      `json:"n"`
	RequestedAt int64    `json:"at"`
	IsResolved  bool     `json:"ok,omitempty"`
	Machines    []string `json:"m,omitempty"`

	version uint64
}

// Constraints is the value of the key for what a leader promises to those after it.
type Constraints struct {
	Constraints delegation.Constraints `json:"w"`
}

// WorkerContact is how many workers ask a member.
type WorkerContact struct {
	Workers    uint32 `json:"n"`
	ReportedAt int64  `json:"at"`
}

// Progress is the value of a progress key. That it exists says that tasks of
// the job may have been started.
type Progress struct {
	Bits string `json:"b"`
	// FirstTask is the task of the first bit. A value without it has a place that follows
	// from the key's number.
	FirstTask *int `json:"f,omitempty"`
}

func ProgressKey(id string, number int) string {
	return ProgressPrefix + id + "/" + strconv.Itoa(number)
}

func DependenciesKey(id string, part int) string {
	return DependenciesPrefix + id + "/" + strconv.Itoa(part)
}

func ParseDependenciesKey(key string) (id string, part int, ok bool) {
	return parseNumberedKey(strings.TrimPrefix(key, DependenciesPrefix))
}

// parseNumberedKey cuts "ID/N".
func parseNumberedKey(suffix string) (id string, number int, ok bool) {
	id, digits, found := strings.Cut(suffix, "/")
	if !found {
		return "", 0, false
	}
	number, err := strconv.Atoi(digits)
	if err != nil || number < 0 || number >= wire.MaxTasks {
		return "", 0, false
	}
	return id, number, true
}

// newEndRecord is what remains of a job.
func newEndRecord(record *jobRecord, state string, now clock.Micros) *jobRecord {
	end := &jobRecord{SubmittedAt: record.SubmittedAt, State: state, EndedAt: int64(now)}
	if state == wire.JobCancelled {
		// A later leader has to know what the tasks that may still run take.
		end.Spec = record.Spec
	}
	end.TasksPerKey = record.TasksPerKey
	if record.Spec != nil {
		end.Class = record.Spec.Class
		end.Tasks = record.Spec.TaskCount
		if record.Spec.DeadlineSeconds > 0 {
			end.DeadlineAt = record.SubmittedAt + int64(clock.FromSeconds(record.Spec.DeadlineSeconds))
		}
	}
	return end
}

// Package records defines what firwood keeps in the key-value store: the layout of the keys, the
// records that are their values, and the codecs. It does no I/O and reads no clock.
//
// Earlier and later versions of firwood read these records. A JSON name therefore never changes its
// meaning, and a version ignores the names that it does not know.
package records

import (
	"firwood.dev/firwood/internal/delegation"
	"firwood.dev/firwood/wire"
)

//go:generate easyjson -all records.go

// Lock is the value of LockKey.
type Lock struct {
	// Member is the leader, and Lease is the lease of the key-value store that the lock is bound to.
	Member string `json:"m"`
	Lease  uint64 `json:"l"`
	// NeedsStandbyRecord is whether the leader is record-first: it sends no worker a task start
	// before a record that it has written itself is durable under StandbyKey (docs/standby.md, "The
	// argument").
	NeedsStandbyRecord bool `json:"s,omitempty"`
}

// Job is the value of a job's key. It has the whole submission as long as tasks of the job may be on
// machines. After that it has only what users and operators may ask for. Its times are wall-clock
// times, in microseconds since the Unix epoch.
type Job struct {
	// Spec is the submission, or nil once no task of the job can still be on a machine. Its list of
	// dependencies is empty if the list has keys of its own; see DependencyParts.
	Spec *wire.Job `json:"j,omitempty"`
	// SubmittedAt is the time at which the submission was accepted.
	SubmittedAt int64 `json:"at"`
	// State is empty while the job is active, and wire.JobDone or wire.JobCancelled afterwards.
	State string `json:"s,omitempty"`
	// Class is the class of an ended job. It is stored here because Spec may be nil.
	Class string `json:"c,omitempty"`
	// EndedAt is the time at which the job was completed or cancelled.
	EndedAt int64 `json:"e,omitempty"`
	// DeadlineAt is the deadline, or 0 if the job has none; it is set when the job ends. FirstStartAt
	// is the time at which the first task started, or 0 if none is known; it is set when the job completes.
	DeadlineAt   int64 `json:"d,omitempty"`
	FirstStartAt int64 `json:"f,omitempty"`
	// Tasks is the number of tasks of an ended job. It is stored here because Spec may be nil.
	Tasks int `json:"n,omitempty"`
	// Errors counts the failures of tasks. Restarts counts the tasks that were started again because
	// their machines were lost. Both are set when the job completes.
	Errors   int `json:"x,omitempty"`
	Restarts int `json:"r,omitempty"`
	// DependencyParts is the number of the job's Dependencies records, or 0 if Spec has the list.
	DependencyParts int `json:"p,omitempty"`
	// TasksPerKey is the number of tasks in each progress key whose value has no FirstTask, or 0 if
	// Job.TasksPerProgressKey has to assume the number. Earlier versions wrote this field; this version
	// only reads it and copies it to new records of the job.
	TasksPerKey int `json:"k,omitempty"`
	// ReleasedAt is the time at which the last job that this one depended on ended, or 0 if the job did
	// not wait for any. It is set when the job completes.
	ReleasedAt int64 `json:"w,omitempty"`
}

// IsFinished reports whether this is the last record that the job gets: the job has ended, and none of
// its tasks can be on a machine.
func (record *Job) IsFinished() bool { return record.State != "" && record.Spec == nil }

// Dependencies is the value of a dependencies key: one part of the list of jobs that a job depends on.
type Dependencies struct {
	// DependsOn lists ids of jobs. All parts, joined in the order of their numbers, are the submitted
	// list.
	DependsOn []string `json:"a"`
}

// ScaleOut is the value of a scale-out request's key.
type ScaleOut struct {
	// Type and Zone are the type and zone of the requested machines, Spot is whether they are spot
	// machines, and Count is the number of machines requested.
	Type  string `json:"t"`
	Zone  string `json:"z"`
	Spot  bool   `json:"s,omitempty"`
	Count int    `json:"n"`
	// RequestedAt is the wall-clock time of the request, in microseconds since the Unix epoch.
	RequestedAt int64 `json:"at"`
	// IsResolved is whether the cloud has answered. Machines are then the names of the machines
	// that the cloud provided and that have not been deleted.
	IsResolved bool     `json:"ok,omitempty"`
	Machines   []string `json:"m,omitempty"`
}

// Constraints is the value of ConstraintsKey.
type Constraints struct {
	// Constraints are the renewal constraints. From them, a leader's successors know the latest time at
	// which leases may still be valid.
	Constraints delegation.Constraints `json:"w"`
}

// WorkerContact is the value of a worker contact key: a member's report of the workers that contact it.
type WorkerContact struct {
	// Workers is the number of workers that have contacted the member recently.
	Workers uint32 `json:"n"`
	// ReportedAt is the wall-clock time of the report, in microseconds since the Unix epoch.
	ReportedAt int64 `json:"at"`
}

// Progress is the value of a progress key. The existence of such a key tells a new leader that tasks of
// the job may have been started.
type Progress struct {
	// Bits is the text form of a Bitmap of completed tasks; see Bitmap.Encode.
	Bits string `json:"b"`
	// FirstTask is the number of the task that the first bit stands for. If it is nil, that number is
	// the key's number times the number of tasks per key; see ProgressLayout.
	FirstTask *int `json:"f,omitempty"`
}

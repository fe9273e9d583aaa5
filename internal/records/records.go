// Package records has what firwood keeps in the key-value store: the layout of the keys, the
// records that are their values, and the codecs. It does no I/O and reads no clock.
//
// The records are read by later and earlier versions of firwood. JSON names never change their
// meaning, and a version ignores names that it does not know.
package records

import (
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/delegation"
	"firwood.dev/firwood/wire"
)

//go:generate easyjson -all records.go

// Lock is the value of LockKey.
type Lock struct {
	// Member is the leader, Lease the lease of the key-value store that the lock is bound to.
	Member string `json:"m"`
	Lease  uint64 `json:"l"`
	// NeedsStandbyRecord: the leader is record-first, that is, it sends no start before a record
	// of its own is durable under StandbyKey (docs/standby.md, "The argument").
	NeedsStandbyRecord bool `json:"s,omitempty"`
}

// Job is the value of a job's key: the whole submission while tasks of the job may be on machines,
// and after that only what users and operators ask for. Its instants are times of day, in
// microseconds since the Unix epoch.
type Job struct {
	// Spec is the submission, nil once no task of the job can be on a machine any more. Its
	// dependencies are left out if they have keys of their own.
	Spec *wire.Job `json:"j,omitempty"`
	// SubmittedAt is when the submission was accepted.
	SubmittedAt int64 `json:"at"`
	// State is empty while the job is active, then wire.JobDone or wire.JobCancelled.
	State string `json:"s,omitempty"`
	// Class is the job's class, kept without the submission.
	Class string `json:"c,omitempty"`
	// EndedAt is when the job was completed or cancelled.
	EndedAt int64 `json:"e,omitempty"`
	// DeadlineAt is the deadline, FirstStartAt the start of the first task; 0: none. Both are
	// set when the job ends.
	DeadlineAt   int64 `json:"d,omitempty"`
	FirstStartAt int64 `json:"f,omitempty"`
	// Tasks is the number of tasks, kept without the submission.
	Tasks int `json:"n,omitempty"`
	// Errors counts the failures of tasks, Restarts the tasks that were started again because
	// their machines were lost. Both are set when the job ends.
	Errors   int `json:"x,omitempty"`
	Restarts int `json:"r,omitempty"`
	// DependencyParts is the number of the job's Dependencies records; 0: the list is in Spec.
	DependencyParts int `json:"p,omitempty"`
	// TasksPerKey is the number of tasks in one progress key whose value does not say where it
	// begins; 0: see TasksPerProgressKey. Earlier versions wrote it; it is only read and kept.
	TasksPerKey int `json:"k,omitempty"`
	// ReleasedAt is the end of the last job that this one depended on; 0: none. It is set when
	// the job ends.
	ReleasedAt int64 `json:"w,omitempty"`
}

// IsFinished tells whether the record is the job's last one: the job has ended, and no task of it
// can be on a machine.
func (record *Job) IsFinished() bool { return record.State != "" && record.Spec == nil }

// NewEndedJob makes the record of a job that ends now in a state, from the one that it had.
func NewEndedJob(record *Job, state string, now clock.Micros) *Job {
	end := &Job{SubmittedAt: record.SubmittedAt, State: state, EndedAt: int64(now)}
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

// Dependencies is the value of a key with one part of the jobs that a job depends on.
type Dependencies struct {
	// DependsOn are ids of jobs. The parts together, in the order of their numbers, are the list
	// that was submitted.
	DependsOn []string `json:"a"`
}

// ScaleOut is the value of a scale-out request's key.
type ScaleOut struct {
	// Type and Zone are those of the machines, Spot whether they are spot machines, Count how many
	// were requested.
	Type  string `json:"t"`
	Zone  string `json:"z"`
	Spot  bool   `json:"s,omitempty"`
	Count int    `json:"n"`
	// RequestedAt is the time of day of the request, in microseconds since the Unix epoch.
	RequestedAt int64 `json:"at"`
	// IsResolved: the cloud has answered, and Machines are the names of the machines that it
	// gave and that have not been deleted.
	IsResolved bool     `json:"ok,omitempty"`
	Machines   []string `json:"m,omitempty"`
}

// Constraints is the value of ConstraintsKey.
type Constraints struct {
	// Constraints are the renewal constraints by which a leader bounds until when its successors
	// have to reckon with leases.
	Constraints delegation.Constraints `json:"w"`
}

// WorkerContact is the value of a worker contact report.
type WorkerContact struct {
	// Workers is how many workers contacted the member lately.
	Workers uint32 `json:"n"`
	// ReportedAt is the time of day of the report, in microseconds since the Unix epoch.
	ReportedAt int64 `json:"at"`
}

// Progress is the value of a progress key. That a job has one tells a new leader that tasks of the
// job may have been started.
type Progress struct {
	// Bits is a Bitmap of completed tasks in its text form.
	Bits string `json:"b"`
	// FirstTask is the task of the first bit. A value without it begins at the key's number times
	// the tasks of one key; see ProgressLayout.
	FirstTask *int `json:"f,omitempty"`
}

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
	prefix      = "firwood/"
	keyLock     = prefix + "lead"
	keyTypes    = prefix + "types"
	keyPromises = prefix + "word"
	keyToken    = prefix + "token"
	keyStandby  = prefix + "standby"
	// keyArchive exists while there may be an archive.
	keyArchive = prefix + "archive"
	prefixJob  = prefix + "job/"
	prefixDone = prefix + "done/"
	// prefixAwaits is followed by a job and a number.
	prefixAwaits = prefix + "needs/"
	prefixRental = prefix + "hire/"
	// prefixAsked is followed by a member.
	prefixAsked = prefix + "asked/"
	// prefixArchive is followed by a finished job. It is not below the common prefix, so
	// it is neither loaded nor watched.
	prefixArchive = "firwood.finished/"
)

// lockRecord is the value of the lock key.
type lockRecord struct {
	Member string `json:"m"`
	Lease  uint64 `json:"l"`
	// Standby: the leader sends no start before a record of those in step with it, of its
	// own, is in force.
	Standby bool `json:"s,omitempty"`
}

// jobRecord is the value of a job's key: the submission while tasks of the job
// may be anywhere, only what has to be remembered after that.
type jobRecord struct {
	Job *wire.Job `json:"j,omitempty"`
	// At is the time of day of the submission.
	At int64 `json:"at"`
	// State is empty while the job is active.
	State string `json:"s,omitempty"`
	Class string `json:"c,omitempty"`
	End   int64  `json:"e,omitempty"`
	// Due is the deadline as a time of day, First the first start.
	Due      int64 `json:"d,omitempty"`
	First    int64 `json:"f,omitempty"`
	Tasks    int   `json:"n,omitempty"`
	Errors   int   `json:"x,omitempty"`
	Restarts int   `json:"r,omitempty"`
	// Parts is how many keys beside this one hold what the job awaits: a list that
	// does not fit into one value.
	Parts int `json:"p,omitempty"`
	// Chunk is how many tasks one progress key of the job holds that doesn't say where
	// it begins; 0: see chunkOf. It is read, and not written any more.
	Chunk int `json:"k,omitempty"`
	// Released is the time of day of the end of the last job that it awaited.
	Released int64 `json:"w,omitempty"`

	version uint64
	// isArchived: the record lies in the archive.
	isArchived bool
	// cancelledWith: a job that this one needs is durably cancelled, so this one is
	// too, whether or not its own record says so yet.
	cancelledWith bool
}

// over tells whether the job has come to its end, in its own record or with a job
// that it needs.
func (r *jobRecord) over() bool { return r.State != "" || r.cancelledWith }

// key is where the job's record lies.
func (r *jobRecord) key(id string) string {
	if r.isArchived {
		return prefixArchive + id
	}
	return prefixJob + id
}

// isFinished tells whether the job is over by its own record, and no task of it may be
// anywhere: the record is its last one.
func (r *jobRecord) isFinished() bool { return r.State != "" && r.Job == nil }

// state is what users are told of a job that is over.
func (r *jobRecord) state() string {
	if r.cancelledWith {
		return wire.JobCancelled
	}
	return r.State
}

// awaitsRecord is the value of a key that holds a part of what a job awaits.
type awaitsRecord struct {
	Awaits []string `json:"a"`
}

// rentalRecord is the value of a rental's key. It is written before the request
// goes out, and again with the names that came back.
type rentalRecord struct {
	Type     string   `json:"t"`
	Zone     string   `json:"z"`
	Spot     bool     `json:"s,omitempty"`
	Count    int      `json:"n"`
	At       int64    `json:"at"`
	Resolved bool     `json:"ok,omitempty"`
	Machines []string `json:"m,omitempty"`

	version uint64
}

// promisesRecord is the value of the key for what a leader promises to those after it.
type promisesRecord struct {
	Promises delegation.Constraints `json:"w"`
}

// askedRecord is how many workers ask a member.
type askedRecord struct {
	Workers uint32 `json:"n"`
	At      int64  `json:"at"`
}

// doneRecord is the value of a progress key. That it exists says that tasks of
// the job may have been started.
type doneRecord struct {
	Bits string `json:"b"`
	// First is the task of the first bit. A value without it has a place that follows
	// from the key's number.
	First *int `json:"f,omitempty"`
}

func doneKey(id string, chunk int) string { return prefixDone + id + "/" + strconv.Itoa(chunk) }

func awaitsKey(id string, part int) string { return prefixAwaits + id + "/" + strconv.Itoa(part) }

func parseAwaitsKey(key string) (id string, part int, ok bool) {
	return parseNumbered(strings.TrimPrefix(key, prefixAwaits))
}

// parseNumbered cuts "ID/N".
func parseNumbered(s string) (id string, chunk int, ok bool) {
	id, c, found := strings.Cut(s, "/")
	if !found {
		return "", 0, false
	}
	chunk, err := strconv.Atoi(c)
	if err != nil || chunk < 0 || chunk >= wire.MaxTasks {
		return "", 0, false
	}
	return id, chunk, true
}

// overRecord is what remains of a job.
func overRecord(r *jobRecord, state string, now clock.Micros) *jobRecord {
	o := &jobRecord{At: r.At, State: state, End: int64(now)}
	if state == wire.JobCancelled {
		// A later leader has to know what the tasks that may still run take.
		o.Job = r.Job
	}
	o.Chunk = r.Chunk
	if r.Job != nil {
		o.Class = r.Job.Class
		o.Tasks = r.Job.TaskCount
		if r.Job.DeadlineSeconds > 0 {
			o.Due = r.At + int64(clock.FromSeconds(r.Job.DeadlineSeconds))
		}
	}
	return o
}

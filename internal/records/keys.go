package records

import (
	"strconv"
	"strings"

	"firwood.dev/firwood/wire"
)

// WatchedPrefix is common to all keys that a controller loads and watches. They lie below one
// prefix so that one watch brings every change in the order of revisions.
const WatchedPrefix = "firwood/"

// The keys of which there is one each.
const (
	// LockKey holds the leader lock, a Lock record. The member that is elected creates it on its
	// lease; it goes away with that lease. The revision of its creation is the leader's first
	// fencing token.
	LockKey = WatchedPrefix + "lead"
	// MachineTypesKey holds the cloud's machine types, a wire.MachineTypeList, so that a member
	// can start while the cloud does not answer. A leader writes it; it stays.
	MachineTypesKey = WatchedPrefix + "types"
	// ConstraintsKey holds the renewal constraints of this leader and those before it, a
	// Constraints record. Leaders rewrite it; it stays.
	ConstraintsKey = WatchedPrefix + "word"
	// TokenKey is written by a leader for its revision, which is the leader's next fencing token.
	// Its value `{}` is never read. It stays.
	TokenKey = WatchedPrefix + "token"
	// StandbyKey holds which members have an in-sync replica of the leader's decisions, a
	// standby.InSyncRecord. Leaders rewrite it; it stays.
	StandbyKey = WatchedPrefix + "standby"
	// ArchiveMarkerKey exists, with the value `{}`, while there may be records below
	// ArchivePrefix. A leader writes it before it moves the first record there, and deletes it
	// once the archive is switched off and empty.
	ArchiveMarkerKey = WatchedPrefix + "archive"
)

// The prefixes of keys of which there are many.
const (
	// JobPrefix is followed by a job's id; the value is a Job record. Any member creates it when
	// it accepts the job, and it is rewritten at the job's end. It stays, or is moved to
	// ArchivePrefix.
	JobPrefix = WatchedPrefix + "job/"
	// ProgressPrefix is followed by a job's id, a slash and a number; the value is a Progress
	// record. The leader writes the key of number 0 before it first starts a task of the job, and
	// the others as tasks complete; they are deleted when the job ends.
	ProgressPrefix = WatchedPrefix + "done/"
	// DependenciesPrefix is followed by a job's id, a slash and a number; the value is a
	// Dependencies record. It is created together with a Job record into which the list does not
	// fit, and deleted when the job has ended.
	DependenciesPrefix = WatchedPrefix + "needs/"
	// ScaleOutPrefix is followed by the name of a scale-out request; the value is a ScaleOut
	// record. The leader writes it before it sends the request, and again with the machines that
	// it got; it is deleted with the last of them.
	ScaleOutPrefix = WatchedPrefix + "hire/"
	// WorkerContactPrefix is followed by a member; the value is a WorkerContact record. That
	// member rewrites it while the leader sends it no heartbeats. It stays.
	WorkerContactPrefix = WatchedPrefix + "asked/"
	// ArchivePrefix is followed by the id of a job that finished long ago; the value is its Job
	// record. It is not below WatchedPrefix, so it is neither loaded nor watched. The leader moves
	// records there and, with the archive switched off, back below JobPrefix.
	ArchivePrefix = "firwood.finished/"
)

// JobKey is the key of a job's record outside of the archive.
func JobKey(id string) string { return JobPrefix + id }

// ArchiveKey is the key of a job's record in the archive.
func ArchiveKey(id string) string { return ArchivePrefix + id }

// ScaleOutKey is the key of a scale-out request's record.
func ScaleOutKey(name string) string { return ScaleOutPrefix + name }

// WorkerContactKey is the key of a member's worker contact report.
func WorkerContactKey(member string) string { return WorkerContactPrefix + member }

// ProgressKey is a job's progress key of some number.
func ProgressKey(id string, number int) string {
	return ProgressPrefix + id + "/" + strconv.Itoa(number)
}

// DependenciesKey is the key of one part of what a job depends on.
func DependenciesKey(id string, part int) string {
	return DependenciesPrefix + id + "/" + strconv.Itoa(part)
}

// ParseProgressKey is the inverse of ProgressKey.
func ParseProgressKey(key string) (id string, number int, ok bool) {
	return parseNumberedKey(strings.TrimPrefix(key, ProgressPrefix))
}

// ParseDependenciesKey is the inverse of DependenciesKey.
func ParseDependenciesKey(key string) (id string, part int, ok bool) {
	return parseNumberedKey(strings.TrimPrefix(key, DependenciesPrefix))
}

// parseNumberedKey splits "ID/N".
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

package records

import (
	"strconv"
	"strings"

	"firwood.dev/firwood/wire"
)

// WatchedPrefix is the prefix of all keys that a controller loads and watches. The keys share one prefix
// so that a single watch delivers all changes in the order of their revisions.
const WatchedPrefix = "firwood/"

// Keys that exist at most once.
const (
	// LockKey holds the leader lock, a Lock record. The member that is elected creates the key on its
	// lease, and the store deletes the key with that lease. The revision of the key's creation is the
	// leader's first fencing token.
	LockKey = WatchedPrefix + "lead"
	// MachineTypesKey holds the cloud's machine types, a wire.MachineTypeList, so that a member can
	// start while the cloud does not answer. A leader writes the key; it is never deleted.
	MachineTypesKey = WatchedPrefix + "types"
	// ConstraintsKey holds the renewal constraints of this leader and of earlier ones, a Constraints
	// record. Leaders rewrite the key; it is never deleted.
	ConstraintsKey = WatchedPrefix + "word"
	// TokenKey is written by a leader only to get a new revision, which becomes the fencing token in
	// later messages to workers. Writes to the store stay conditional on the version of LockKey.
	// The value is always `{}` and never read. The key is never deleted.
	TokenKey = WatchedPrefix + "token"
	// StandbyKey holds the list of members whose replica of the leader's decisions is in sync, a
	// standby.InSyncRecord. Leaders rewrite the key; it is never deleted.
	StandbyKey = WatchedPrefix + "standby"
	// ArchiveMarkerKey exists, with the value `{}`, as long as there may be records below
	// ArchivePrefix. A leader writes the key before it moves the first record there, and deletes the
	// key once the archive is disabled and empty.
	ArchiveMarkerKey = WatchedPrefix + "archive"
)

// Prefixes of keys.
const (
	// JobPrefix is followed by a job's id; the value is a Job record. The member that accepts the job
	// creates the key, and the key is rewritten when the job ends. The record is never deleted, but may
	// be moved to ArchivePrefix.
	JobPrefix = WatchedPrefix + "job/"
	// ProgressPrefix is followed by a job's id, a slash and a number; the value is a Progress record.
	// The leader writes the key with number 0 before it starts the job's first task, and the other keys
	// as tasks complete. The keys are deleted when the job ends.
	ProgressPrefix = WatchedPrefix + "done/"
	// DependenciesPrefix is followed by a job's id, a slash and a number; the value is a Dependencies
	// record. The key is created together with a Job record that cannot hold the list of
	// dependencies, and deleted after the job has ended.
	DependenciesPrefix = WatchedPrefix + "needs/"
	// ScaleOutPrefix is followed by the name of a scale-out request; the value is a ScaleOut record. The
	// leader writes the key before it sends the request, and again with the machines that the cloud
	// provided. The key is deleted with the last of these machines.
	ScaleOutPrefix = WatchedPrefix + "hire/"
	// WorkerContactPrefix is followed by a member's name; the value is a WorkerContact record. That
	// member rewrites the key while it receives no heartbeats from the leader. The key is never deleted.
	WorkerContactPrefix = WatchedPrefix + "asked/"
	// ArchivePrefix is followed by the id of a job that finished long ago; the value is the job's Job
	// record. The prefix is not below WatchedPrefix, so these keys are neither loaded nor watched. The
	// leader moves records there and, while the archive is disabled, back below JobPrefix.
	ArchivePrefix = "firwood.finished/"
)

// JobKey returns the key of a job's record that is not in the archive.
func JobKey(id string) string { return JobPrefix + id }

// ArchiveKey returns the key of a job's record in the archive.
func ArchiveKey(id string) string { return ArchivePrefix + id }

// ScaleOutKey returns the key of a scale-out request's record.
func ScaleOutKey(name string) string { return ScaleOutPrefix + name }

// WorkerContactKey returns the key of a member's worker contact report.
func WorkerContactKey(member string) string { return WorkerContactPrefix + member }

// ProgressKey returns a job's progress key with the given number.
func ProgressKey(id string, number int) string {
	return ProgressPrefix + id + "/" + strconv.Itoa(number)
}

// DependenciesKey returns the key of one part of a job's list of dependencies.
func DependenciesKey(id string, part int) string {
	return DependenciesPrefix + id + "/" + strconv.Itoa(part)
}

// ParseProgressKey is the inverse of ProgressKey. ok is false if key is malformed.
func ParseProgressKey(key string) (id string, number int, ok bool) {
	return parseNumberedKey(strings.TrimPrefix(key, ProgressPrefix))
}

// ParseDependenciesKey is the inverse of DependenciesKey. ok is false if key is malformed.
func ParseDependenciesKey(key string) (id string, part int, ok bool) {
	return parseNumberedKey(strings.TrimPrefix(key, DependenciesPrefix))
}

// parseNumberedKey splits a suffix of the form "ID/N". N has to be from 0 to below wire.MaxTasks.
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

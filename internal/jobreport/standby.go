package jobreport

import "firwood.dev/firwood/internal/standby"

// StandbyStatus describes what one controller knows about the replicas of the leader's allocation table.
type StandbyStatus struct {
	// Member is the controller that sends the status. Leader is the leader that this controller knows,
	// or "" if it knows none.
	Member string `json:"member"`
	Leader string `json:"leader"`
	// Enabled is true if the controller keeps a replica as a follower and streams its table to
	// replicas as leader.
	Enabled bool `json:"enabled"`
	// Replica describes this controller's copy of the leader's allocation table, or is nil if the
	// controller leads or keeps no replica.
	Replica *ReplicaStatus `json:"replica,omitempty"`
	// Followers describes the other members' replicas, if this controller leads.
	Followers []FollowerStatus `json:"followers,omitempty"`
	// Failover describes this controller's last failover, or is nil if there was none.
	Failover *FailoverStatus `json:"take_over,omitempty"`
}

// ReplicaStatus describes how up to date a replica is.
type ReplicaStatus struct {
	// Token is the fencing token of the leader that the replica follows.
	Token uint64 `json:"token"`
	// IsComplete is true if the replica has the leader's whole table.
	IsComplete bool `json:"complete"`
	// Decisions is the number of the leader's decisions that the replica has. Placements is the number
	// of placements in its table, including unconfirmed entries.
	Decisions  uint64 `json:"decisions"`
	Placements int    `json:"placements"`
	// Unconfirmed counts the unconfirmed entries: tasks, or whole jobs, for which the leader does not
	// know yet whether and where they run.
	Unconfirmed int `json:"doubts"`
	// Digest is the table's digest in hexadecimal. Equal tables have equal digests.
	Digest string `json:"digest"`
	// Dropped counts the rejected messages, by reason.
	Dropped standby.DropCounts `json:"dropped"`
}

// FollowerStatus describes how far a follower's replica lags behind the leader.
type FollowerStatus struct {
	// Member is the follower's name.
	Member string `json:"member"`
	// IsInSync is true if the follower is recorded as in sync with the leader.
	IsInSync bool `json:"in_step"`
	// LagDecisions is how many decisions the replica lacks. For an incomplete replica it is one more
	// than the number of the leader's decisions.
	LagDecisions uint64 `json:"lacks_decisions"`
	// LagMs is how long the replica has been incomplete or behind, in milliseconds.
	LagMs int64 `json:"lacks_ms"`
}

// FailoverStatus describes a failover and how long its parts took.
type FailoverStatus struct {
	// Token is the new leader's fencing token.
	Token uint64 `json:"token"`
	// IsReplicaUsed is true if the new leader started from a replica of the allocation table.
	IsReplicaUsed bool `json:"replica_used"`
	// Unconfirmed is the number of tasks that were unconfirmed when the allocation table was rebuilt.
	Unconfirmed int `json:"in_doubt"`
	// LockMs is the time from the previous leader's last heartbeat until the new leader had the lock,
	// or 0 if no heartbeat of the previous leader was received.
	LockMs int64 `json:"lock_ms"`
	// RebuildMs is the time from the lock until the allocation table was rebuilt.
	RebuildMs int64 `json:"rebuild_ms"`
	// FirstDecisionMs is the time from the rebuilt table until the first task was placed, or 0 if
	// none has been placed yet.
	FirstDecisionMs int64 `json:"first_decision_ms"`
}

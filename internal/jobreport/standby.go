package jobreport

import "firwood.dev/firwood/internal/standby"

// StandbyStatus says who stands by for the leader, as one controller knows it.
type StandbyStatus struct {
	// Member is the controller that answers, Leader the one that it takes for the leader.
	Member string `json:"member"`
	Leader string `json:"leader"`
	// Enabled tells whether the controller keeps a replica or streams to replicas.
	Enabled bool `json:"enabled"`
	// Replica is this controller's copy of the leader's allocation table, if it follows one.
	Replica *ReplicaStatus `json:"replica,omitempty"`
	// Followers are the others, if this controller leads.
	Followers []FollowerStatus `json:"followers,omitempty"`
	// Failover is the last one of this controller.
	Failover *FailoverStatus `json:"take_over,omitempty"`
}

// ReplicaStatus is how far a replica has come.
type ReplicaStatus struct {
	// Token is the fencing token of the leader that it follows.
	Token uint64 `json:"token"`
	// IsComplete tells whether the replica has the leader's whole table.
	IsComplete bool `json:"complete"`
	// Decisions is how many decisions of that leader it has, Placements how many placements
	// its table has, unconfirmed entries included.
	Decisions  uint64 `json:"decisions"`
	Placements int    `json:"placements"`
	// Unconfirmed counts the unconfirmed entries: tasks, or whole jobs, of which the leader
	// doesn't know yet whether and where they run.
	Unconfirmed int `json:"doubts"`
	// Digest is the table's, in hexadecimal; equal tables have equal digests.
	Digest string `json:"digest"`
	// Dropped are messages that were refused, by reason.
	Dropped standby.DropCounts `json:"dropped"`
}

// FollowerStatus is how far a follower is behind the leader.
type FollowerStatus struct {
	// Member is the follower's name.
	Member string `json:"member"`
	// IsInSync tells whether it is recorded as in sync with the leader.
	IsInSync bool `json:"in_step"`
	// LagDecisions is how many decisions it lacks; if its replica is not complete, one more
	// than there are.
	LagDecisions uint64 `json:"lacks_decisions"`
	// LagMs is for how long its replica has been incomplete or behind, in milliseconds.
	LagMs int64 `json:"lacks_ms"`
}

// FailoverStatus says how a failover went, and how long its parts took.
type FailoverStatus struct {
	// Token is the new leader's fencing token.
	Token uint64 `json:"token"`
	// IsReplicaUsed tells whether it started from a replica of the allocation table.
	IsReplicaUsed bool `json:"replica_used"`
	// Unconfirmed is how many tasks were unconfirmed when it began.
	Unconfirmed int `json:"in_doubt"`
	// LockMs is from the last heartbeat of the leader before to the lock, 0 if none was seen.
	LockMs int64 `json:"lock_ms"`
	// RebuildMs is from the lock to the rebuilt allocation table.
	RebuildMs int64 `json:"rebuild_ms"`
	// FirstDecisionMs is from there to the first task placed, 0 while there is none.
	FirstDecisionMs int64 `json:"first_decision_ms"`
}

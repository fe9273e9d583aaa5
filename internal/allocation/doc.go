// Package allocation tracks which task may be running on which machine. It does no I/O: callers
// pass in times, the workers' heartbeats and the outcomes of command requests, and get events and
// commands. It isn't safe for concurrent use; a leader's term owns one Tracker.
//
// Terms: an attempt is one start of a task (a gang's tasks share it). A worker's incarnation grows
// when its lease runs out and it kills all its tasks (PROTOCOL, Leases). A placement is a task that
// is, or may be, on a machine. A task is unconfirmed if an earlier leader may have started it and
// this leader doesn't know where it is. A start goes to a worker in the reply to its heartbeat, or
// in a command request that the leader makes.
//
// The invariants below are cited in the code by number. TestRandomHistories checks them on random
// histories; that a start is checked again (6) is checked by TestStartIsCheckedAgainWhenSent.
//
//  1. A placement whose start was sent ends only on proof. Proof is one of: a newer heartbeat
//     (by incarnation and sequence), made when the worker could no longer accept the start, lacks
//     the attempt or lists it as exited; the incarnation has grown; the cloud has confirmed that
//     the machine is deleted; the machine's lease has certainly run out.
//  2. A start that may still arrive is never overlooked, and the worker isn't told to forget
//     (reap) its attempt before: it would run again.
//     A start in a heartbeat's reply can't arrive any more once the worker has sent its next own
//     heartbeat. What the worker answers to a command request meanwhile proves nothing about it.
//     A start in a command request without an answer may arrive until the incarnation grows, the
//     machine is gone, or the worker has seen a higher token.
//     A command request that was answered may arrive again as a copy. Its attempts are reaped
//     only after the worker has seen a higher token than that of the request; the token is raised
//     now and then for this reason (see token.go).
//  3. The attempts of a task only grow, over all leaders: the fencing token is their upper part.
//  4. A task that an earlier leader may have started stays unconfirmed until every machine that
//     may have existed then is reconciled, or a heartbeat made under our token lists it (an
//     earlier heartbeat may be a late copy). Unconfirmed tasks count as running: they aren't
//     started, and quotas, zones and spread include them.
//  5. A completion is durable in the key-value store before the worker is told to forget it.
//  6. Machine type, zone, spot, quota and the places of the job's other tasks are checked again
//     when a start is put into a message.
//  7. A reply that renews a worker's lease carries the stop of every task that the heartbeat lists
//     and that has to end, whatever token the worker has seen. So the lease of such a task is
//     renewed only by repliers that don't know yet that it has to end, however many leaders there
//     are; package staleness bounds for how long that may be.
package allocation

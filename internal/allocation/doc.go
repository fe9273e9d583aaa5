// Package allocation tracks which task may be running on which machine. It does no I/O: callers
// pass in times, the workers' heartbeats and the outcomes of command requests, and get events and
// commands. It isn't safe for concurrent use; a leader's term owns one Tracker.
//
// An attempt is one start of a task; the tasks of a gang share one attempt. A worker's incarnation
// increases when its lease runs out and it kills all its tasks (PROTOCOL, Leases). A placement is a
// task that is, or may be, on a machine. A task is unconfirmed if an earlier leader may have started
// it and this leader doesn't know where it is. The leader sends a start to a worker in the reply to
// the worker's heartbeat or in a command request.
//
// Comments cite the invariants below by number. TestRandomHistories checks them on random
// histories; TestStartIsCheckedAgainWhenSent tests invariant 6.
//
//  1. A placement whose start was sent ends only on proof. Each of these is proof: a newer heartbeat
//     (by incarnation and sequence), made when the worker could no longer accept the start, lacks
//     the attempt or lists it as exited; the incarnation has increased; the cloud has confirmed that
//     the machine is deleted; the machine's lease has certainly run out.
//  2. The tracker keeps a record of each start that may still arrive. Until that start can no longer
//     arrive, the worker isn't told to forget (reap) its attempt: otherwise the start would run the
//     task again.
//     A start in a heartbeat's reply can no longer arrive once the worker has sent its next own
//     heartbeat. A heartbeat in the response to a command request proves nothing about it.
//     A start in a command request that got no response may arrive until the incarnation increases,
//     the machine is gone, or the worker has seen a higher token.
//     A command request that got a response may arrive again as a copy. Its attempts are reaped
//     only after the worker has seen a higher token than that of the request. The leader raises
//     its token from time to time for this reason (see token.go).
//  3. The attempt numbers of a task only increase, also from one leader to the next: their upper bits
//     are the fencing token.
//  4. A task that an earlier leader may have started stays unconfirmed until every machine that
//     may have existed then is reconciled, or a heartbeat made under this leader's token lists the
//     task (an earlier heartbeat may be a late copy). Unconfirmed tasks count as running: they
//     aren't started, and the checks of quotas, zones and spread include them. This holds for every job
//     with recorded starts, also while it isn't known whether the job's dependencies are done.
//  5. A completion is durable in the key-value store before the worker is told to forget the task.
//  6. Machine type, zone, spot, quota and the places of the job's other tasks are checked again
//     when a start is put into a message.
//  7. A reply that renews a worker's lease carries the stop of every task that the heartbeat lists
//     and that has to end, whatever token the worker has seen. So a reply renews the lease of a worker
//     without stopping such a task only if the controller that sends it doesn't know yet that the task
//     has to end, however many leaders there are. Package staleness bounds how long a controller may
//     not know. A machine gets no more tasks than a heartbeat can list and one message can stop (MachineReportBytes); of
//     more tasks, which another version may have placed, each reply stops as many as it can carry.
package allocation

// Package allocation owns the answer to one question: which task may be on which
// machine. It is pure: time and messages come in, facts and commands go out.
//
// The invariants, which the generated histories of the tests hold it to:
//
//  1. A (task, attempt) that was sent to a machine may be there until: a newer
//     report by (session, seq), which the machine made after it could no longer
//     take the command, lacks it or shows it exited; or the session has grown;
//     or the cloud has answered the machine's deletion; or the machine's lease
//     has provably run out.
//  2. A start in a report's answer is dead once the worker sends another
//     report; what it answers to a direct message meanwhile proves nothing of
//     it. A start sent straight to the worker, whose answer is missing,
//     stays possible until the session grows, the machine is gone, or the
//     worker has seen a higher token. An attempt is never forgotten while such
//     a start may be on its way: it would run again.
//     A start that was sent straight and answered may come again, as a copy: its
//     attempt is not forgotten before the worker has seen a higher token than
//     that of the start. For that the token rises now and then.
//  3. Attempts of a task only grow, over all leaders: the token is their upper
//     part.
//  4. What an earlier leader started is in doubt until every machine that may
//     have existed then is accounted for, or until a report made under our token
//     has the task: one from before may be a late copy. Doubt counts as running for
//     tasks, team limits, zones and spread.
//  5. A result is durable before its task is forgotten.
//  6. Type, zone, kind, team limit and the job's other tasks are checked again
//     when a start is put into a message.
package allocation

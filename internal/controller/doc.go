// Package controller runs one member of the cluster's control plane. A single goroutine owns all state and
// runs a queue of commands in batches. I/O runs on other goroutines, whose results come back as commands.
// This package carries out what the pure packages decide (election, delegation, storeview, ...). Package
// leader implements what only a leader does.
//
// Read controller.go first (Run, and tick, which lists all recurring work), then controller_state.go and
// controller_setup.go, watch.go and view_observer.go (how the view follows the store and what changes in the
// view cause), election_actions.go and leadership.go (how a term begins and ends), and term_host.go (what a
// term uses of the controller).
//
//   - A submission: submission.go validates it, with job_lookup.go for jobs that were evicted from
//     memory (eviction.go), and writes its record. JobChanged (view_observer.go) then informs
//     dependencies.go and the leader's term.
//   - A cancellation: job_cancellation.go writes the job's end; forwarded_cancellations.go tells
//     the other members at once, and the leader's term sees it as a change of the job's record.
//   - A request for a job's status: job_status.go. The job report: job_report.go.
//   - A worker's heartbeat: worker_heartbeats.go passes it to the term if this member leads,
//     replies under a grant (delegate_replies.go), or redirects the worker.
//   - A member's heartbeat: peer_heartbeats.go; replica.go takes the leader's standby stream.
package controller

// Package controller runs one member of the cluster's control plane. A single goroutine owns
// all state and works through a queue of commands in batches; I/O runs on other goroutines,
// whose results come back as commands. What the pure packages decide (election, delegation,
// storeview, ...) is carried out here; what a leader does is package leader's.
//
// Read controller.go first (Run, and tick as the list of what is done), then controller_state.go
// and controller_setup.go, watch.go and view_observer.go (how the view follows the store and what
// its changes mean), election_actions.go and leadership.go (how a term begins and ends), and
// term_host.go (what a term sees of the controller).
//
//   - A submission: submission.go judges it, with job_lookup.go for jobs that were evicted from
//     memory (eviction.go), and writes its record; JobChanged (view_observer.go) tells
//     dependencies.go and the leader's term of it.
//   - A cancellation: job_cancellation.go writes the job's end; forwarded_cancellations.go tells
//     the other members at once, and the leader's term sees it as a record that has changed.
//   - A poll: job_status.go. The job report: job_report.go.
//   - A worker's heartbeat: worker_heartbeats.go passes it to the term if this member leads,
//     answers it under a grant (delegate_replies.go), or redirects the worker.
//   - A member's heartbeat: peer_heartbeats.go; replica.go takes the leader's standby stream.
package controller

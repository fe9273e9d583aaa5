// Package leader does the work of one leadership term: it places tasks on machines, requests and deletes
// machines, renews workers' leases, and makes the results durable. A Term is created when the leader lock
// is acquired and closed when it is lost. It runs on the controller's goroutine, which ticks it and passes
// heartbeats and records to it. Calls over the network run on goroutines of their own (background.go).
// The package knows the controller only through Host and the objects in Environment.
//
// Read term.go first (Tick lists what a leader does), then environment.go and host.go (the objects and
// the controller's functions that a term uses), recovery.go (how a term begins) and controller_calls.go
// (what the controller calls).
//
//   - A job: the view has its record, and ApplyJobRecord tracks it (tracked_jobs.go). Before Plan
//     places its tasks (scheduling.go), recordStarts records that they may start (job_persistence.go). Plan
//     requests machines if there are too few (scale_out.go). Starts are sent in command requests
//     (command_requests.go) or in replies to heartbeats. progress_writer.go writes the job's progress
//     and job_end_writer.go its end. Later, cleanup.go deletes obsolete keys and archive.go moves the
//     record to the archive.
//   - A cancellation: ApplyJobRecord has the job's tasks stopped. Once no task of it can be on a machine,
//     cancelled_jobs.go removes the submission from its record.
//   - A worker's heartbeat: HandleHeartbeat (worker_heartbeats.go) updates the allocation table, records
//     the tasks that ended, and replies with commands, which renews the worker's lease. constraints.go
//     defers a heartbeat from a zone in which, by a recorded constraint, no leases are renewed.
//   - A machine without heartbeats: machine_health.go, probes.go, faulty_machines.go and
//     machine_listing.go decide on its state, and machine_deletion.go has it deleted. If it is this
//     member that is cut off, handover.go gives up leadership instead.
//   - Replicas of the allocation table: standby_stream.go and standby_record.go.
package leader

// Package leader does what one leadership term is for: it has tasks run on machines, machines
// requested and deleted, workers' leases renewed, and what has happened made durable. A Term is
// made when the lock is won and closed when it is lost. All of it runs on the goroutine of the
// controller, which ticks it and passes on heartbeats and records; calls outside run on goroutines
// of their own (background.go). Of the controller it knows Host alone, and what Environment has.
//
// Read term.go first (Tick is the list of what a leader does), then environment.go and host.go
// (what it works with), recovery.go (how a term begins) and controller_calls.go (what it is asked).
//
//   - A job: the view has its record, ApplyJobRecord tracks it (tracked_jobs.go), Plan places its
//     tasks (scheduling.go) and has it recorded first that they may start (job_persistence.go);
//     what is missing of machines is requested (scale_out.go). Starts go out by command_requests.go
//     or in replies to heartbeats. Its progress and end are written by progress_writer.go and
//     job_end_writer.go, and cleanup.go and archive.go tidy up later.
//   - A cancellation: ApplyJobRecord has the tasks stopped; once none can be on a machine,
//     cancelled_jobs.go shrinks the record.
//   - A worker's heartbeat: HandleHeartbeat (worker_heartbeats.go) updates the allocation table,
//     takes the tasks that ended, and replies with commands, which renews the worker's lease.
//     constraints.go holds it back in a zone whose leases were recorded as not renewed any more.
//   - A machine without heartbeats: machine_health.go, probes.go, faulty_machines.go and
//     machine_listing.go judge it, machine_deletion.go has it deleted; handover.go gives up
//     leadership instead if this member is the one that is cut off.
//   - Replicas of the allocation table: standby_stream.go and standby_record.go.
package leader

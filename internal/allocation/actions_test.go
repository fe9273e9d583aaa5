package allocation

import (
	"slices"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

func (sim *simulation) pickJobID() string { return sim.jobIDs[len(sim.jobIDs)-1-sim.rng.IntN(4)] }

func (sim *simulation) pickWorker() *fakeWorker {
	return sim.workers[len(sim.workers)-1-sim.rng.IntN(3)]
}

func (sim *simulation) exchangeSomeHeartbeat() {
	sim.exchangeHeartbeat(sim.pickWorker(), sim.rng.IntN(heartbeatOutcomeCount))
}

// placeSomeJob tries to place the tasks of a job.
func (sim *simulation) placeSomeJob() {
	job := sim.tracker.Jobs[sim.pickJobID()]
	machine := sim.machine(sim.pickWorker())
	if job == nil || machine == nil {
		return
	}
	sim.startsRecorded[job.Spec.ID] = true
	job.StartsRecorded = true
	attempt := job.GangAttempt
	for i := range job.Tasks {
		if !job.IsGang() || attempt == 0 || sim.rng.IntN(20) == 0 {
			attempt = sim.tracker.NextAttempt()
		}
		_ = sim.tracker.PlaceTask(job, i, machine, attempt, sim.now) // often returns an error
		if other := sim.machine(sim.pickWorker()); job.IsGang() && other != nil {
			machine, attempt = other, max(job.GangAttempt, attempt)
		}
	}
}

// deliverHeartbeatCopy delivers a late copy of a heartbeat, perhaps to a later leader.
func (sim *simulation) deliverHeartbeatCopy() {
	if len(sim.heartbeatCopies) == 0 {
		return
	}
	heartbeat := sim.heartbeatCopies[len(sim.heartbeatCopies)-1-sim.rng.IntN(min(len(sim.heartbeatCopies), 5))]
	if machine := sim.tracker.Machines[heartbeat.MachineID]; machine != nil && heartbeat.FencingToken <= sim.token {
		sim.tracker.RecordLeaseRenewal(machine, sim.now)
		sim.tracker.RecordHeartbeat(machine, heartbeat, sim.now)
		sim.persistCompletions()
		sim.tracker.HeartbeatCommands(machine, sim.now) // the worker drops the reply
	}
}

// stopSomeTask stops the placement of a task, if it has one.
func (sim *simulation) stopSomeTask() {
	if job := sim.tracker.Jobs[sim.pickJobID()]; job != nil {
		if placement := job.Tasks[sim.rng.IntN(len(job.Tasks))].Placement; placement != nil {
			sim.tracker.StopPlacement(placement, 0)
		}
	}
}

// sendCommandRequest builds a command request to a worker, if one is due, and loses, delays or delivers it.
func (sim *simulation) sendCommandRequest() {
	worker := sim.pickWorker()
	machine := sim.machine(worker)
	if machine == nil {
		return
	}
	request, starts := sim.tracker.BuildCommandRequest(machine, sim.now)
	if request == nil {
		request = sim.tracker.BuildConfirmationRequest(machine, sim.now)
	}
	if request == nil {
		return
	}
	// The controller removes a machine from the queue while a request to it is in flight.
	sim.tracker.ProcessDispatchQueue(func(queued *Machine) bool { return queued != machine })
	command := delayedCommand{worker, request, sim.tracker, machine, starts}
	switch sim.rng.IntN(4) {
	case 0: // the request is not sent
		sim.tracker.FinishCommandRequest(machine, starts, CommandNotSent, sim.now)
	case 1: // the leader gives up waiting for the response, and the request may arrive later
		sim.tracker.FinishCommandRequest(machine, starts, CommandOutcomeUnknown, sim.now)
		command.machine = nil
		sim.delayed = append(sim.delayed, command)
	default:
		sim.deliverCommand(command)
	}
	sim.persistCompletions()
}

// renewLeaseAsDelegate has another controller renew a worker's lease, for this or an earlier leader.
func (sim *simulation) renewLeaseAsDelegate() {
	if sim.rng.IntN(4) == 0 {
		sim.delegatedUntil = sim.now + 20*clock.Second
		sim.tracker.SetDelegatedUntil(sim.delegatedUntil, nil)
	}
	if worker := sim.pickWorker(); !worker.deleted && !worker.hung && sim.now < sim.delegatedUntil {
		sim.expireLease(worker)
		sim.heartbeat(worker)
		worker.hasPendingReply = false
		worker.leaseRenewedAt = sim.now
	}
}

// probeSomeWorker delivers a worker's heartbeat in the response to a request without commands.
func (sim *simulation) probeSomeWorker() {
	worker := sim.pickWorker()
	if machine := sim.machine(worker); machine != nil && !worker.deleted && !worker.hung {
		sim.expireLease(worker)
		sim.tracker.RecordCommandHeartbeat(machine, sim.heartbeat(worker), sim.now)
	}
}

// processDispatchQueue removes some machines without due commands from the queue. They have to be
// queued again once a command is due.
func (sim *simulation) processDispatchQueue() {
	sim.tracker.ProcessDispatchQueue(func(machine *Machine) bool { return sim.rng.IntN(2) == 0 || hasCommandDue(machine) })
}

// deliverCommandRequestCopy delivers a copy of a command request that was already executed.
func (sim *simulation) deliverCommandRequestCopy() {
	if len(sim.executed) > 0 {
		i := len(sim.executed) - 1 - sim.rng.IntN(min(len(sim.executed), 8))
		sim.deliverCommand(delayedCommand{worker: sim.executed[i].worker, request: sim.executed[i].request})
	}
}

// raiseToken issues a higher token, or uses the highest issued token.
func (sim *simulation) raiseToken() {
	if sim.rng.IntN(4) == 0 {
		sim.token++
		sim.tracker.IssueToken(sim.token)
	} else if sim.rng.IntN(2) == 0 {
		sim.tracker.RaiseToken()
	}
}

// deliverDelayedCommand delivers a command request after the leader has given up waiting.
func (sim *simulation) deliverDelayedCommand() {
	if len(sim.delayed) == 0 {
		return
	}
	i := sim.rng.IntN(len(sim.delayed))
	command := sim.delayed[i]
	sim.delayed = slices.Delete(sim.delayed, i, i+1)
	sim.deliverCommand(command)
}

// completeSomeTask completes a worker's first running task that belongs to an array job.
func (sim *simulation) completeSomeTask() {
	worker := sim.pickWorker()
	ids := make([]string, 0, len(worker.tasks))
	for id := range worker.tasks {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		jobID, _, _ := wire.ParseTaskID(id)
		if task := worker.tasks[id]; task.state == wire.TaskRunning && sim.specs[jobID].Kind == wire.KindArray {
			task.state, task.cause = wire.TaskExited, wire.ExitDone
			return
		}
	}
}

// advanceClock advances the simulated time, sometimes beyond the end of leases.
func (sim *simulation) advanceClock() {
	sim.now += clock.Micros(1+sim.rng.IntN(2000)) * clock.Millisecond
	if sim.rng.IntN(25) == 0 {
		sim.now += clock.Micros(10+sim.rng.IntN(26)) * clock.Second
	}
	for _, worker := range sim.workers {
		sim.expireLease(worker)
		if machine := sim.machine(worker); machine != nil {
			sim.tracker.ExpireLease(machine, sim.now)
		}
	}
	sim.persistCompletions()
}

// toggleHang ends a worker's hang, or sometimes begins one.
func (sim *simulation) toggleHang() {
	worker := sim.pickWorker()
	worker.hung = !worker.hung && sim.rng.IntN(8) == 0
}

// replaceSomeMachine sometimes deletes a worker's machine and adds a new one in its place.
func (sim *simulation) replaceSomeMachine() {
	if sim.rng.IntN(20) > 0 {
		return
	}
	worker := sim.pickWorker()
	if machine := sim.machine(worker); machine != nil {
		worker.deleted = true
		sim.tracker.RemoveMachine(machine, sim.now)
		replacement := sim.newWorker()
		sim.tracker.AddMachine(replacement.name, "t", replacement.zone, false, Resources{MicroCPU: 4 * Unit, MicroGB: 1 << 50}, sim.now).RecordedInStore = true
	}
}

func (sim *simulation) stepSomeGang() { sim.stepGang(sim.pickJobID()) }

// maybeFailOver sometimes starts a new leader, and has it place tasks at once.
func (sim *simulation) maybeFailOver() {
	if sim.rng.IntN(12) == 0 {
		sim.failOver()
		// The first heartbeats that a new leader gets may be late copies, the next ones are current.
		for range sim.rng.IntN(4) {
			sim.deliverHeartbeatCopy()
		}
		worker := sim.pickWorker()
		sim.exchangeHeartbeat(worker, replyArrivesAtOnce)
		sim.exchangeHeartbeat(worker, replyArrivesAtOnce)
		sim.placeSomeJob()
	}
}

// cancelSomeJob cancels a job, usually only if it is complete, and adds a new job.
func (sim *simulation) cancelSomeJob() {
	id := sim.pickJobID()
	job := sim.tracker.Jobs[id]
	if !job.IsComplete() && sim.rng.IntN(20) > 0 {
		return
	}
	sim.cancelled[id] = true
	sim.tracker.Cancel(job, sim.now)
	sim.tracker.AddJob(sim.newJob(), 0, sim.now, false, nil)
}

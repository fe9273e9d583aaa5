package allocation

import (
	"math/rand/v2"
	"slices"
	"testing"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

func TestRandomHistories(t *testing.T) {
	total, gangs, replicaFailovers := 0, 0, 0
	for seed := uint64(1); seed <= 4000; seed++ {
		sim := &simulation{t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 1)), now: clock.Second, specs: map[string]*wire.Job{}, startsRecorded: map[string]bool{},
			doneTasks: map[string]map[int]bool{}, cancelled: map[string]bool{}, cpuLimit: 5000}
		for i := 0; i < 3; i++ {
			sim.newWorker()
		}
		for i := 0; i < 4; i++ {
			sim.newJob()
		}
		sim.failOver()
		pickJobID := func() string { return sim.jobIDs[len(sim.jobIDs)-1-sim.rng.IntN(4)] }
		pickWorker := func() *fakeWorker { return sim.workers[len(sim.workers)-1-sim.rng.IntN(3)] }
		exchange := func() { sim.exchangeHeartbeat(pickWorker(), sim.rng.IntN(6)) }
		place := func() {
			job := sim.tracker.Jobs[pickJobID()]
			machine := sim.machine(pickWorker())
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
				_ = sim.tracker.PlaceTask(job, i, machine, attempt, sim.now) // refusals are the point
				if other := sim.machine(pickWorker()); job.IsGang() && other != nil {
					machine, attempt = other, max(job.GangAttempt, attempt)
				}
			}
		}
		lateCopy := func() {
			// A copy of a report comes late, perhaps to another leader.
			if len(sim.heartbeatCopies) == 0 {
				return
			}
			heartbeat := sim.heartbeatCopies[len(sim.heartbeatCopies)-1-sim.rng.IntN(min(len(sim.heartbeatCopies), 5))]
			if machine := sim.tracker.Machines[heartbeat.MachineID]; machine != nil && heartbeat.FencingToken <= sim.token {
				sim.tracker.RecordLeaseRenewal(machine, sim.now)
				sim.tracker.RecordHeartbeat(machine, heartbeat, sim.now)
				sim.persistCompletions()
				sim.tracker.HeartbeatCommands(machine, sim.now) // nobody waits for the answer any more
			}
		}
		actions := map[string]func(){
			"report":  exchange,
			"answer":  func() { sim.deliverReply(pickWorker()) },
			"report2": exchange,
			"report3": exchange,
			"place":   place,
			"place2":  place,
			"stop": func() {
				if job := sim.tracker.Jobs[pickJobID()]; job != nil {
					if placement := job.Tasks[sim.rng.IntN(len(job.Tasks))].Placement; placement != nil {
						sim.tracker.StopPlacement(placement, 0)
					}
				}
			},
			"direct": func() {
				worker := pickWorker()
				machine := sim.machine(worker)
				if machine == nil {
					return
				}
				request, starts := sim.tracker.BuildCommandRequest(machine, sim.now)
				if request == nil {
					return
				}
				// As the owner does: it goes off the list while a message is out.
				sim.tracker.ProcessDispatchQueue(func(o *Machine) bool { return o != machine })
				command := delayedCommand{worker, request, sim.tracker, machine, starts}
				switch sim.rng.IntN(4) {
				case 0: // never leaves
					sim.tracker.FinishCommandRequest(machine, starts, CommandNotSent, sim.now)
				case 1: // held back, given up, perhaps delivered later
					sim.tracker.FinishCommandRequest(machine, starts, CommandOutcomeUnknown, sim.now)
					command.machine = nil
					sim.delayed = append(sim.delayed, command)
				default:
					sim.deliverCommand(command)
				}
				sim.persistCompletions()
			},
			"delegated answer": func() {
				// Another controller keeps a lease alive, in this leader's name or
				// an earlier one's.
				if sim.rng.IntN(4) == 0 {
					sim.delegatedUntil = sim.now + 20*clock.Second
					sim.tracker.SetDelegatedUntil(sim.delegatedUntil, nil)
				}
				if worker := pickWorker(); !worker.deleted && !worker.hung && sim.now < sim.delegatedUntil {
					sim.expireLease(worker)
					sim.heartbeat(worker)
					worker.hasPendingReply = false
					worker.leaseRenewedAt = sim.now
				}
			},
			"probe": func() {
				// The worker is asked for its state, and says nothing else.
				worker := pickWorker()
				if machine := sim.machine(worker); machine != nil && !worker.deleted && !worker.hung {
					sim.expireLease(worker)
					sim.tracker.RecordCommandHeartbeat(machine, sim.heartbeat(worker), sim.now)
				}
			},
			"outbox": func() {
				// What has nothing due goes off the list; it must come back.
				sim.tracker.ProcessDispatchQueue(func(machine *Machine) bool { return sim.rng.IntN(2) == 0 || hasCommandDue(machine) })
			},
			"copy": lateCopy,
			"again": func() {
				// A copy of a direct message that was carried out comes again.
				if len(sim.executed) > 0 {
					i := len(sim.executed) - 1 - sim.rng.IntN(min(len(sim.executed), 8))
					sim.deliverCommand(delayedCommand{worker: sim.executed[i].worker, request: sim.executed[i].request})
				}
			},
			"issue": func() {
				// The token rises, or one that was issued is used.
				if sim.rng.IntN(4) == 0 {
					sim.token++
					sim.tracker.IssueToken(sim.token)
				} else if sim.rng.IntN(2) == 0 {
					sim.tracker.RaiseToken()
				}
			},
			"late": func() {
				if len(sim.delayed) == 0 {
					return
				}
				i := sim.rng.IntN(len(sim.delayed))
				command := sim.delayed[i]
				sim.delayed = slices.Delete(sim.delayed, i, i+1)
				sim.deliverCommand(command)
			},
			"finish": func() {
				worker := pickWorker()
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
			},
			"time": func() {
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
			},
			"hang": func() {
				worker := pickWorker()
				worker.hung = !worker.hung && sim.rng.IntN(8) == 0
			},
			"delete": func() {
				if sim.rng.IntN(20) > 0 {
					return
				}
				worker := pickWorker()
				if machine := sim.machine(worker); machine != nil {
					worker.deleted = true
					sim.tracker.RemoveMachine(machine, sim.now)
					replacement := sim.newWorker()
					sim.tracker.AddMachine(replacement.name, "t", replacement.zone, false, Resources{4000, 0, 1 << 40}, sim.now).RecordedInStore = true
				}
			},
			"gang":  func() { sim.stepGang(pickJobID()) },
			"gang2": func() { sim.stepGang(pickJobID()) },
			"takeOver": func() {
				if sim.rng.IntN(12) == 0 {
					sim.failOver()
					// What a new leader hears first of a machine may be a copy of what
					// was, and the next what is.
					for range sim.rng.IntN(4) {
						lateCopy()
					}
					worker := pickWorker()
					sim.exchangeHeartbeat(worker, 5)
					sim.exchangeHeartbeat(worker, 5)
					place()
				}
			},
			"withdraw": func() {
				id := pickJobID()
				job := sim.tracker.Jobs[id]
				if !job.IsComplete() && sim.rng.IntN(20) > 0 {
					return
				}
				sim.cancelled[id] = true
				sim.tracker.Cancel(job, sim.now)
				sim.tracker.AddJob(sim.newJob(), 0, sim.now, false, nil)
			},
		}
		names := make([]string, 0, len(actions))
		for n := range actions {
			names = append(names, n)
		}
		slices.Sort(names)
		for step := 0; step < 300; step++ {
			actions[names[sim.rng.IntN(len(names))]]()
			sim.checkFollower()
			for _, machine := range sim.tracker.Machines {
				if hasCommandDue(machine) && !machine.isQueued {
					sim.fatal("%s has a message due and is not in the outbox", machine.Name)
				}
				var sum Resources
				machine.ForEachPlacement(func(placement *Placement) { sum = sum.Add(placement.Job.Request) })
				if sum != machine.Used() {
					sim.fatal("books of %s: %v, placements %v", machine.Name, machine.Used(), sum)
				}
			}
			unconfirmedByTeam := map[string]int64{} // what teams may use, in doubt and without a place
			for id, job := range sim.tracker.Jobs {
				waiting, unconfirmed := 0, 0
				for i := range job.Tasks {
					if job.Tasks[i].State == TaskWaiting {
						waiting++
					}
					if job.Tasks[i].Unconfirmed && job.Tasks[i].Placement == nil {
						unconfirmedByTeam[job.Spec.Team] += job.Request.MilliCPU
					}
					if job.Tasks[i].Unconfirmed {
						unconfirmed++
					}
				}
				if waiting != job.WaitingCount() || unconfirmed != job.UnconfirmedCount() {
					sim.fatal("books of %s: %d waiting of %d, %d in doubt of %d", id, job.WaitingCount(), waiting, job.UnconfirmedCount(), unconfirmed)
				}
			}
			for team, usage := range sim.tracker.unconfirmedUsage {
				if usage.MilliCPU != unconfirmedByTeam[team] {
					sim.fatal("books of team %s: %d in doubt of %d", team, usage.MilliCPU, unconfirmedByTeam[team])
				}
			}
		}
		total += sim.startCount
		gangs += sim.completeGangCount
		replicaFailovers += sim.replicaFailoverCount
	}
	t.Logf("%d starts, %d gangs complete, %d take-overs with what a follower knew", total, gangs, replicaFailovers)
	if total == 0 || gangs < 200 || replicaFailovers < 1000 {
		t.Fatal("the histories show too little")
	}
}

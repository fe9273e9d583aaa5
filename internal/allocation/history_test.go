package allocation

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/standby"
	"firwood.dev/firwood/wire"
)

// The history test plays workers as the protocol describes them against
// ledgers of successive leaders: messages are lost, held back and delivered
// late, machines die, leaders change. What a worker does is checked against
// the rules, not against the ledger.

const testLeaseTTL = 30 * clock.Second

type fakeTask struct {
	attempt uint64
	state   string
	cause   string
}

type fakeWorker struct {
	name, zone      string
	incarnation     uint64
	sequence        uint64
	token           uint64
	leaseRenewedAt  clock.Micros
	tasks           map[string]*fakeTask
	deleted         bool
	hung            bool
	replyCommands   []wire.Command // on its way to the worker
	replyToken      uint64
	heartbeatSentAt clock.Micros // when its report was sent
	hasPendingReply bool
}

type delayedCommand struct {
	worker  *fakeWorker
	request *wire.CommandRequest
	tracker *Tracker // that sent it and still waits for the answer
	machine *Machine
	starts  []*Placement
}

type simulation struct {
	t                    *testing.T
	seed                 uint64
	rng                  *rand.Rand
	now                  clock.Micros
	workers              []*fakeWorker
	tracker              *Tracker
	token                uint64
	jobIDs               []string
	specs                map[string]*wire.Job
	startsRecorded       map[string]bool
	doneTasks            map[string]map[int]bool
	cancelled            map[string]bool
	delayed              []delayedCommand
	executed             []delayedCommand // carried out before; copies of them may come
	cpuLimit             int64
	startCount           int
	completeGangCount    int // that were complete
	heartbeatCopies      []*wire.Heartbeat
	delegatedUntil       clock.Micros // others may answer workers until then
	follower             *follower    // of the present ledger
	replicaFailoverCount int          // take-overs that began with what a follower knew
}

// follower is the account of another controller that is told of each decision at once.
type follower struct{ table *standby.Table }

func (f *follower) apply(kind standby.DecisionKind, p standby.Placement) {
	f.table.Apply(standby.Decision{Kind: kind, Placement: p})
}

func (f *follower) RecordStarted(task string, attempt uint64, machine string) uint64 {
	f.apply(standby.Started, standby.Placement{Task: task, Attempt: attempt, Machine: machine})
	return 0
}

func (f *follower) RecordEnded(task string, attempt uint64, machine string) {
	f.apply(standby.Ended, standby.Placement{Task: task, Attempt: attempt, Machine: machine})
}

func (f *follower) RecordUnconfirmed(id string) {
	f.apply(standby.Started, standby.UnconfirmedPlacement(id))
}
func (f *follower) RecordResolved(id string) {
	f.apply(standby.Ended, standby.UnconfirmedPlacement(id))
}
func (f *follower) MaySendStart(uint64) bool { return true }

// checkFollower holds what the follower knows to what is on machines.
func (sim *simulation) checkFollower() {
	for _, worker := range sim.workers {
		for id, task := range worker.tasks {
			if !worker.deleted && task.state != wire.TaskExited && !sim.follower.table.MayBeRunning(id) {
				sim.fatal("a follower would start %s, which is on %s", id, worker.name)
			}
		}
	}
}

func (sim *simulation) fatal(format string, args ...any) {
	sim.t.Helper()
	sim.t.Fatalf("history %d: "+format, append([]any{sim.seed}, args...)...)
}

func (sim *simulation) newWorker() *fakeWorker {
	i := len(sim.workers)
	worker := &fakeWorker{name: fmt.Sprintf("i-%d", i), zone: []string{"x", "y"}[i%2], incarnation: 1, leaseRenewedAt: sim.now, tasks: map[string]*fakeTask{}}
	sim.workers = append(sim.workers, worker)
	return worker
}

func (sim *simulation) newJob() *wire.Job {
	i := len(sim.jobIDs)
	id := fmt.Sprintf("req-%06d", i)
	spec := &wire.Job{
		ID: id, Class: "c", Team: []string{"a", "b"}[i%2], Priority: wire.PriorityNormal, TaskCount: 2 + i%2, CPUs: 1, Image: "i",
		Kind: []string{wire.KindArray, wire.KindService, wire.KindGang}[i%3],
	}
	switch i % 4 {
	case 0:
		spec.SpreadZones = true
	case 1:
		spec.SingleZone = true
	case 2:
		spec.Zone = "y"
	}
	if i%7 == 6 {
		spec.TaskCount = maxUnconfirmedTasksPublished + 2
	}
	sim.jobIDs = append(sim.jobIDs, id)
	sim.specs[id] = spec
	sim.doneTasks[id] = map[int]bool{}
	return spec
}

func (sim *simulation) workerRunning(id string) *fakeWorker {
	for _, worker := range sim.workers {
		if task := worker.tasks[id]; task != nil && task.state != wire.TaskExited && !worker.deleted {
			return worker
		}
	}
	return nil
}

// gangTasks lists the tasks of a gang that are on machines.
func (sim *simulation) gangTasks(job string) (out []*fakeTask) {
	for n := range sim.specs[job].TaskCount {
		id := wire.TaskID(job, n)
		if worker := sim.workerRunning(id); worker != nil {
			out = append(out, worker.tasks[id])
		}
	}
	return out
}

// stepGang has a gang's tasks do what the workers would: start together, notice
// that one is missing, give up waiting, or complete together.
func (sim *simulation) stepGang(job string) {
	spec := sim.specs[job]
	tasks := sim.gangTasks(job)
	if spec.Kind != wire.KindGang || len(tasks) == 0 {
		return
	}
	all := func(state string) bool {
		return len(tasks) == spec.TaskCount && !slices.ContainsFunc(tasks, func(task *fakeTask) bool { return task.state != state })
	}
	exit := func(task *fakeTask, cause string) { task.state, task.cause = wire.TaskExited, cause }
	switch {
	case all(wire.TaskWaitingForGang):
		for _, task := range tasks {
			task.state = wire.TaskRunning
		}
		sim.completeGangCount++
	case all(wire.TaskRunning):
		if sim.rng.IntN(3) == 0 {
			for _, task := range tasks {
				exit(task, wire.ExitDone)
			}
		}
	default:
		task := tasks[sim.rng.IntN(len(tasks))]
		if task.state == wire.TaskRunning {
			exit(task, wire.ExitPeerLost)
		} else if sim.rng.IntN(6) == 0 {
			exit(task, wire.ExitGangIncomplete)
		}
	}
}

func (sim *simulation) expireLease(worker *fakeWorker) {
	if !worker.deleted && sim.now-worker.leaseRenewedAt > testLeaseTTL {
		worker.incarnation++
		worker.leaseRenewedAt = sim.now
		worker.tasks = map[string]*fakeTask{}
		worker.hasPendingReply = false // answers to reports of an earlier session are dropped
	}
}

func (sim *simulation) execute(worker *fakeWorker, commands []wire.Command) {
	for _, command := range commands {
		job, i, ok := wire.ParseTaskID(command.TaskID)
		if !ok {
			sim.fatal("bad task id %q", command.TaskID)
		}
		task := worker.tasks[command.TaskID]
		switch command.Action {
		case wire.ActionStart:
			switch {
			case task == nil:
				if other := sim.workerRunning(command.TaskID); other != nil {
					sim.fatal("ran twice: %s starts on %s while on %s", command.TaskID, worker.name, other.name)
				}
				spec := sim.specs[job]
				if spec.Zone != "" && spec.Zone != worker.zone {
					sim.fatal("wrong place: %s in %s", command.TaskID, worker.zone)
				}
				inZone, elsewhere := 0, 0
				for n := 0; n < spec.TaskCount; n++ {
					if host := sim.workerRunning(wire.TaskID(job, n)); host != nil {
						if host.zone == worker.zone {
							inZone++
						} else {
							elsewhere++
						}
					}
				}
				if spec.SingleZone && elsewhere > 0 {
					sim.fatal("one zone: %s", command.TaskID)
				}
				if spec.SpreadZones && inZone+1 > (spec.TaskCount+1)/2 {
					sim.fatal("spread: %s", command.TaskID)
				}
				worker.tasks[command.TaskID] = &fakeTask{attempt: command.Attempt, state: wire.TaskRunning}
				if spec.Kind == wire.KindGang {
					worker.tasks[command.TaskID].state = wire.TaskWaitingForGang
					for _, task := range sim.gangTasks(job) {
						if task.attempt != command.Attempt {
							sim.fatal("two attempts of a gang: %s starts as %d beside %d", command.TaskID, command.Attempt, task.attempt)
						}
					}
				}
				if sim.doneTasks[job][i] {
					worker.tasks[command.TaskID].state, worker.tasks[command.TaskID].cause = wire.TaskExited, wire.ExitDone
				}
				sim.startCount++
				sim.checkQuotas()
			case task.attempt == command.Attempt:
			case task.state == wire.TaskExited:
				sim.fatal("started beside a listed attempt: %s", command.TaskID)
			}
		case wire.ActionStop:
			if task != nil && task.attempt == command.Attempt && task.state != wire.TaskExited {
				task.state, task.cause = wire.TaskExited, wire.ExitStopped
			}
		case wire.ActionReap:
			if task != nil && task.attempt == command.Attempt && task.state == wire.TaskExited {
				if task.cause == wire.ExitDone && !sim.doneTasks[job][i] && !sim.cancelled[job] {
					sim.fatal("forgot a result that is not durable: %s", command.TaskID)
				}
				delete(worker.tasks, command.TaskID)
			}
		}
	}
}

func (sim *simulation) checkQuotas() {
	use := map[string]int64{}
	for _, worker := range sim.workers {
		if worker.deleted {
			continue
		}
		for id, task := range worker.tasks {
			if task.state != wire.TaskExited {
				job, _, _ := wire.ParseTaskID(id)
				spec := sim.specs[job]
				use[spec.Team] += NewResources(spec.CPUs, 0, 0).MilliCPU
			}
		}
	}
	for team, used := range use {
		if used > sim.cpuLimit {
			sim.fatal("quota: %s uses %d of %d", team, used, sim.cpuLimit)
		}
	}
}

func (sim *simulation) heartbeat(worker *fakeWorker) *wire.Heartbeat {
	worker.sequence++
	heartbeat := &wire.Heartbeat{MachineID: worker.name, Address: "127.0.0.1:1", Zone: worker.zone, Incarnation: worker.incarnation, Sequence: worker.sequence, FencingToken: worker.token}
	ids := make([]string, 0, len(worker.tasks))
	for id := range worker.tasks {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		task := worker.tasks[id]
		heartbeat.Tasks = append(heartbeat.Tasks, wire.TaskStatus{TaskID: id, Attempt: task.attempt, State: task.state, ExitCause: task.cause})
	}
	return heartbeat
}

func (sim *simulation) deliverCommand(command delayedCommand) {
	worker := command.worker
	if worker.deleted {
		return
	}
	sim.expireLease(worker)
	ok := command.request.FencingToken >= worker.token && command.request.Incarnation == worker.incarnation
	if ok {
		worker.token = command.request.FencingToken
		sim.execute(worker, command.request.Commands)
		sim.executed = append(sim.executed, delayedCommand{worker: worker, request: command.request})
	}
	heartbeat := sim.heartbeat(worker)
	if command.tracker != sim.tracker || command.machine == nil {
		return
	}
	result := CommandRejected
	if ok {
		result = CommandExecuted
	}
	sim.tracker.FinishCommandRequest(command.machine, command.starts, result, sim.now)
	if sim.tracker.Machines[worker.name] == command.machine {
		sim.tracker.RecordCommandHeartbeat(command.machine, heartbeat, sim.now)
	}
}

// exchangeHeartbeat plays one report and its answer; fate 0 loses the report, 1 the
// answer.
func (sim *simulation) exchangeHeartbeat(worker *fakeWorker, fate int) {
	if worker.deleted || worker.hung {
		return
	}
	sim.expireLease(worker)
	worker.hasPendingReply = false // a new report: the answer to the last one is dead
	heartbeat := sim.heartbeat(worker)
	machine := sim.machine(worker)
	if fate == 0 || machine == nil {
		return
	}
	if sim.rng.IntN(4) == 0 {
		sim.heartbeatCopies = append(sim.heartbeatCopies, heartbeat)
	}
	sim.tracker.RecordLeaseRenewal(machine, sim.now)
	if result := sim.tracker.RecordHeartbeat(machine, heartbeat, sim.now); result == HeartbeatFenced {
		sim.fatal("deposed by %d under %d", heartbeat.FencingToken, sim.token)
	}
	sim.persistCompletions()
	commands := sim.tracker.HeartbeatCommands(machine, sim.now)
	if fate == 1 {
		return
	}
	worker.replyCommands, worker.replyToken, worker.heartbeatSentAt, worker.hasPendingReply = commands, sim.tracker.FencingToken(), sim.now, true
	if fate > 3 {
		sim.deliverReply(worker)
	}
}

// deliverReply delivers the answer to a worker's last report, unless it is too late.
func (sim *simulation) deliverReply(worker *fakeWorker) {
	session := worker.incarnation
	sim.expireLease(worker)
	if !worker.hasPendingReply || worker.deleted || worker.hung || worker.incarnation != session || sim.now-worker.heartbeatSentAt > 4*clock.Second || worker.replyToken < worker.token {
		worker.hasPendingReply = false
		return
	}
	worker.hasPendingReply = false
	worker.token = worker.replyToken
	worker.leaseRenewedAt = worker.heartbeatSentAt
	sim.execute(worker, worker.replyCommands)
}

func (sim *simulation) failOver() {
	sim.token += 1 + sim.rng.Uint64N(4)
	cfg := Config{
		FencingToken: sim.token, LeaseTTL: testLeaseTTL, CancelFenceWindow: 10 * clock.Second,
		Quotas: map[string]TeamQuota{"a": {MaxMilliCPU: sim.cpuLimit}, "b": {MaxMilliCPU: sim.cpuLimit}},
	}
	if sim.follower != nil && sim.rng.IntN(4) > 0 {
		// The follower of the last leader, which may have been one itself.
		cfg.MayHaveStarted = sim.follower.table.MayBeRunning
		sim.replicaFailoverCount++
	}
	sim.follower = &follower{standby.NewTable()}
	cfg.Replicator = sim.follower
	sim.tracker = New(cfg)
	for _, worker := range sim.workers {
		if !worker.deleted {
			sim.tracker.AddMachine(worker.name, "t", worker.zone, false, Resources{4000, 0, 1 << 40}, sim.now).RecordedInStore = true
		}
	}
	ids := make([]string, 0, len(sim.specs))
	for id := range sim.specs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		job := sim.tracker.AddJob(sim.specs[id], 0, sim.now, sim.startsRecorded[id], func(i int) bool { return sim.doneTasks[id][i] })
		if sim.cancelled[id] {
			sim.tracker.Cancel(job, sim.now)
		}
	}
	// Somebody may still hold a right of the leader before.
	sim.delegatedUntil = sim.now + 20*clock.Second
	sim.tracker.SetDelegatedUntil(sim.delegatedUntil, nil)
	sim.tracker.FinishRecovery()
}

func (sim *simulation) machine(worker *fakeWorker) *Machine { return sim.tracker.Machines[worker.name] }

// persistCompletions is what the owner does with completions.
func (sim *simulation) persistCompletions() {
	if sim.rng.IntN(3) > 0 {
		return
	}
	for _, id := range sim.jobIDs {
		job := sim.tracker.Jobs[id]
		if job == nil {
			continue
		}
		unpersisted := job.UnpersistedCompletions()
		for _, i := range unpersisted {
			sim.doneTasks[id][i] = true
		}
		sim.tracker.MarkDurable(job, unpersisted)
	}
	sim.tracker.Exited, sim.tracker.Started = nil, nil
}

// hasCommandDue tells whether a direct message would be sent now: the plain look at all
// that is on the machine, which the outbox saves.
func hasCommandDue(machine *Machine) bool {
	if machine.commandInFlight || !machine.TokenConfirmed {
		return false
	}
	for _, placement := range machine.placements {
		if placement.Phase == PhaseAssigned || placement.Phase == PhaseReported && placement.isStopping && placement.stopSentAt == 0 {
			return true
		}
	}
	return false
}

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

func newHeartbeat(machine *Machine, session, seq, token uint64, tasks ...wire.TaskStatus) *wire.Heartbeat {
	return &wire.Heartbeat{MachineID: machine.Name, Address: "127.0.0.1:1", Zone: machine.Zone, Incarnation: session, Sequence: seq, FencingToken: token, Tasks: tasks}
}

func newSmallTracker(t *testing.T, kind string, tasks int) (*Tracker, *Job, *Machine) {
	t.Helper()
	tracker := New(Config{FencingToken: 7, LeaseTTL: testLeaseTTL, CancelFenceWindow: 20 * clock.Second})
	tracker.FinishRecovery()
	machine := tracker.AddMachine("i-1", "t", "x", false, Resources{8000, 0, 8000}, 1)
	machine.RecordedInStore = true
	job := tracker.AddJob(&wire.Job{ID: "req-000001", Kind: kind, Priority: wire.PriorityNormal, TaskCount: tasks, CPUs: 1, Team: "a"}, 0, 1, true, nil)
	if tracker.RecordHeartbeat(machine, newHeartbeat(machine, 1, 1, 7), 1) != HeartbeatAccepted {
		t.Fatal("first report not taken")
	}
	return tracker, job, machine
}

// A start that was sent directly and not answered may arrive after the worker
// was told to forget the attempt: it would run again.
func TestAttemptIsKeptWhileStartMayArrive(t *testing.T) {
	tracker, job, machine := newSmallTracker(t, wire.KindArray, 1)
	if err := tracker.PlaceTask(job, 0, machine, tracker.NextAttempt(), 2); err != nil {
		t.Fatal(err)
	}
	request, starts := tracker.BuildCommandRequest(machine, 2)
	if request == nil || len(starts) != 1 {
		t.Fatal("no direct start")
	}
	tracker.FinishCommandRequest(machine, starts, CommandOutcomeUnknown, 2)
	attempt := request.Commands[0].Attempt
	tracker.RecordHeartbeat(machine, newHeartbeat(machine, 1, 2, 7, wire.TaskStatus{TaskID: "req-000001/0", Attempt: attempt, State: wire.TaskExited, ExitCause: wire.ExitError}), 3)
	for _, command := range tracker.HeartbeatCommands(machine, 3) {
		if command.Action == wire.ActionReap {
			t.Fatal("told to forget an attempt whose start may still arrive")
		}
	}
	// A new session refuses commands of the old one.
	tracker.RecordHeartbeat(machine, newHeartbeat(machine, 2, 3, 7, wire.TaskStatus{TaskID: "req-000001/0", Attempt: attempt, State: wire.TaskExited, ExitCause: wire.ExitError}), 4)
	if commands := tracker.HeartbeatCommands(machine, 4); len(commands) != 1 || commands[0].Action != wire.ActionReap {
		t.Fatalf("not forgotten in the new session: %v", commands)
	}
}

// A start in a report's answer may still be on its way when the worker answers a
// direct message. That answer lacks the task and proves nothing; only the
// worker's next report does.
func TestCommandResponseDoesNotDisproveHeartbeatReply(t *testing.T) {
	tracker, job, machine := newSmallTracker(t, wire.KindArray, 1)
	if err := tracker.PlaceTask(job, 0, machine, tracker.NextAttempt(), 2); err != nil {
		t.Fatal(err)
	}
	if commands := tracker.HeartbeatCommands(machine, 2); len(commands) != 1 {
		t.Fatalf("orders %v", commands)
	}
	tracker.RecordCommandHeartbeat(machine, newHeartbeat(machine, 1, 2, 7), 3)
	tracker.StopPlacement(job.Tasks[0].Placement, 0)
	if tracker.IsVacated(job) || job.WaitingCount() != 0 {
		t.Fatal("a task whose start is on its way is free to start elsewhere")
	}
	tracker.RecordHeartbeat(machine, newHeartbeat(machine, 1, 3, 7), 4)
	if !tracker.IsVacated(job) {
		t.Fatal("the next report is proof")
	}
}

// A withdrawn job's start that may still arrive is met by a start and a stop
// in one message, so that the late one finds its attempt listed as exited.
func TestFenceStartOfCancelledJob(t *testing.T) {
	tracker, job, machine := newSmallTracker(t, wire.KindArray, 1)
	if err := tracker.PlaceTask(job, 0, machine, tracker.NextAttempt(), 2); err != nil {
		t.Fatal(err)
	}
	_, starts := tracker.BuildCommandRequest(machine, 2)
	tracker.FinishCommandRequest(machine, starts, CommandOutcomeUnknown, 2)
	tracker.Cancel(job, 3)
	tracker.RecordHeartbeat(machine, newHeartbeat(machine, 1, 2, 7), 4)
	commands := tracker.HeartbeatCommands(machine, 4)
	if len(commands) != 2 || commands[0].Action != wire.ActionStart || commands[1].Action != wire.ActionStop {
		t.Fatalf("not fenced: %v", commands)
	}
	if tracker.IsVacated(job) {
		t.Fatal("a task that may start is counted as gone")
	}
	if commands = tracker.HeartbeatCommands(machine, 4+30*clock.Second); len(commands) != 0 {
		t.Fatalf("fenced too long after the withdrawal: %v", commands)
	}
	if !tracker.IsCordoned(machine, 4+30*clock.Second) {
		t.Fatal("the machine has to go")
	}
}

// A report of a session that was given up for over may come out of the network
// late; it must not bring its tasks back.
func TestHeartbeatOfExpiredIncarnationIsStale(t *testing.T) {
	tracker, job, machine := newSmallTracker(t, wire.KindArray, 1)
	if err := tracker.PlaceTask(job, 0, machine, tracker.NextAttempt(), 2); err != nil {
		t.Fatal(err)
	}
	tracker.HeartbeatCommands(machine, 2)
	if !tracker.ExpireLease(machine, tracker.LeaseEndsAt(machine)) || job.ActiveCount() != 0 {
		t.Fatal("not expired")
	}
	late := newHeartbeat(machine, 1, 9, 7, wire.TaskStatus{TaskID: "req-000001/0", Attempt: 1, State: wire.TaskRunning})
	if tracker.RecordHeartbeat(machine, late, tracker.LeaseEndsAt(machine)) != HeartbeatStale {
		t.Fatal("a report of the expired session was taken")
	}
}

// One lost task ends a gang's attempt, and the next attempt waits until every
// task of the old one is over.
func TestGangRestartsTogether(t *testing.T) {
	tracker, job, machine := newSmallTracker(t, wire.KindGang, 2)
	firstAttempt := tracker.NextAttempt()
	for i := range job.Tasks {
		if err := tracker.PlaceTask(job, i, machine, firstAttempt, 2); err != nil {
			t.Fatal(err)
		}
	}
	tracker.HeartbeatCommands(machine, 2)
	reportTask := func(i int, state, cause string) wire.TaskStatus {
		return wire.TaskStatus{TaskID: wire.TaskID("req-000001", i), Attempt: firstAttempt, State: state, ExitCause: cause}
	}
	tracker.RecordHeartbeat(machine, newHeartbeat(machine, 1, 2, 7, reportTask(0, wire.TaskRunning, ""), reportTask(1, wire.TaskRunning, "")), 3)
	tracker.RecordHeartbeat(machine, newHeartbeat(machine, 1, 3, 7, reportTask(0, wire.TaskExited, wire.ExitError), reportTask(1, wire.TaskRunning, "")), 4)
	if err := tracker.PlaceTask(job, 0, machine, tracker.NextAttempt(), 5); err == nil {
		t.Fatal("a new attempt beside the old one")
	}
	stops := 0
	for _, command := range tracker.HeartbeatCommands(machine, 5) {
		if command.Action == wire.ActionStop {
			stops++
		}
	}
	if stops != 1 {
		t.Fatalf("%d stops for the rest of the gang", stops)
	}
	tracker.RecordHeartbeat(machine, newHeartbeat(machine, 1, 4, 7, reportTask(1, wire.TaskExited, wire.ExitPeerLost)), 6)
	if job.GangAttempt != 0 || job.GangAborting {
		t.Fatal("the old attempt is not over")
	}
	tracker.RecordHeartbeat(machine, newHeartbeat(machine, 1, 5, 7), 7)
	secondAttempt := tracker.NextAttempt()
	for i := range job.Tasks {
		if err := tracker.PlaceTask(job, i, machine, secondAttempt, 8); err != nil {
			t.Fatal(err)
		}
	}
}

// A worker whose lease ran out begins a new session, with a lease of its own that
// nobody has to have answered. When that is first seen in the answer to a probe,
// and tasks are started in it, the old session's lease proves nothing of them.
func TestNewIncarnationHasOwnLease(t *testing.T) {
	tracker, job, machine := newSmallTracker(t, wire.KindArray, 1)
	tracker.RecordLeaseRenewal(machine, 1)
	now := testLeaseTTL - clock.Second
	if tracker.RecordCommandHeartbeat(machine, newHeartbeat(machine, 2, 2, 7), now) != HeartbeatAccepted {
		t.Fatal("the probe's report is not taken")
	}
	if err := tracker.PlaceTask(job, 0, machine, tracker.NextAttempt(), now); err != nil {
		t.Fatal(err)
	}
	if request, _ := tracker.BuildCommandRequest(machine, now); request == nil || request.Incarnation != 2 {
		t.Fatal("no start in the new session")
	}
	if tracker.ExpireLease(machine, now+3*clock.Second) || job.Tasks[0].Placement == nil {
		t.Fatal("the new session's task is taken for over with the old lease")
	}
}

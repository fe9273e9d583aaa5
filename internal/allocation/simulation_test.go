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

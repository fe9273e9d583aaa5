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

// The simulation runs workers that behave as PROTOCOL describes against the trackers of successive leaders.
// Messages are lost, delayed and delivered again, machines are deleted, and leaders change. The workers'
// behaviour is checked against the rules of PROTOCOL and not against the tracker.

const testLeaseTTL = 30 * clock.Second

// delayedCommand is a command request that may still reach its worker.
type delayedCommand struct {
	worker  *fakeWorker
	request *wire.CommandRequest
	tracker *Tracker // the tracker that built the request
	machine *Machine // nil if the leader no longer waits for the response
	starts  []*Placement
}

type simulation struct {
	t    *testing.T
	seed uint64
	rng  *rand.Rand
	// dependencyRNG draws what a new leader knows of the jobs that a job depends on.
	dependencyRNG *rand.Rand
	now           clock.Micros
	workers       []*fakeWorker
	token         uint64
	tracker       *Tracker // of the current leader
	// delegatedUntil is until when other controllers may renew workers' leases.
	delegatedUntil clock.Micros
	follower       *follower // the standby that follows the current leader
	cpuLimit       int64     // CPU limit of each team, in millionths
	simulatedJobs
	delayedMessages
	simulationCounts
}

// simulatedJobs is what the key-value store holds about jobs, by job ID.
type simulatedJobs struct {
	jobIDs         []string
	specs          map[string]*wire.Job
	startsRecorded map[string]bool
	doneTasks      map[string]map[int]bool
	cancelled      map[string]bool
}

// delayedMessages are messages that may arrive late or more than once.
type delayedMessages struct {
	delayed         []delayedCommand
	executed        []delayedCommand // already executed; copies of them may arrive
	heartbeatCopies []*wire.Heartbeat
}

// simulationCounts show whether the histories cover enough cases.
type simulationCounts struct {
	startCount            int // number of task starts
	completeGangCount     int // number of gangs whose tasks have all started
	replicaFailoverCount  int // number of failovers that used a follower's table
	unreleasedCount       int // number of jobs with recorded starts of which a new leader didn't know the dependencies to be done
	cancelledListingCount int // listings of tasks of cancelled jobs in heartbeats
}

// follower is the allocation table of a standby that learns each decision at once.
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

// checkFollower checks that the follower's table has each task that is on a machine.
func (sim *simulation) checkFollower() {
	for _, worker := range sim.workers {
		for id, task := range worker.tasks {
			if !worker.deleted && task.state != wire.TaskExited && !sim.follower.table.MayBeRunning(id) {
				sim.fatal("%s is on %s, but the follower's table does not have it and would allow another start", id, worker.name)
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

// Outcomes of a heartbeat and its reply, as numbers below heartbeatOutcomeCount. From replyArrivesAtOnce on,
// the reply arrives at once. Between replyIsLost and replyArrivesAtOnce it is in flight and may arrive later.
const (
	heartbeatIsLost       = 0
	replyIsLost           = 1
	replyArrivesAtOnce    = 4
	heartbeatOutcomeCount = 6
)

// exchangeHeartbeat sends a worker's heartbeat and the leader's reply, as far as the outcome lets them arrive.
func (sim *simulation) exchangeHeartbeat(worker *fakeWorker, outcome int) {
	if worker.deleted || worker.hung {
		return
	}
	sim.expireLease(worker)
	worker.hasPendingReply = false // the worker ignores the reply to its previous heartbeat
	heartbeat := sim.heartbeat(worker)
	machine := sim.machine(worker)
	if outcome == heartbeatIsLost || machine == nil {
		return
	}
	if sim.rng.IntN(4) == 0 {
		sim.heartbeatCopies = append(sim.heartbeatCopies, heartbeat)
	}
	sim.tracker.RecordLeaseRenewal(machine, sim.now)
	if result := sim.tracker.RecordHeartbeat(machine, heartbeat, sim.now); result == HeartbeatFenced {
		sim.fatal("a heartbeat under token %d is fenced at the leader with token %d, want it not fenced", heartbeat.FencingToken, sim.token)
	}
	sim.persistCompletions()
	commands := sim.tracker.HeartbeatCommands(machine, sim.now)
	sim.checkStops(heartbeat, commands)
	if outcome == replyIsLost {
		return
	}
	worker.replyCommands, worker.replyToken, worker.heartbeatSentAt, worker.hasPendingReply = commands, sim.tracker.FencingToken(), sim.now, true
	if outcome >= replyArrivesAtOnce {
		sim.deliverReply(worker)
	}
}

// checkStops checks that the reply to a heartbeat stops each listed task of a cancelled job that is not
// exited.
func (sim *simulation) checkStops(heartbeat *wire.Heartbeat, commands []wire.Command) {
	for i := range heartbeat.Tasks {
		task := &heartbeat.Tasks[i]
		job, _, _ := wire.ParseTaskID(task.TaskID)
		if !sim.cancelled[job] || task.State == wire.TaskExited {
			continue
		}
		sim.cancelledListingCount++
		isStopped := slices.ContainsFunc(commands, func(command wire.Command) bool {
			return command.Action == wire.ActionStop && command.TaskID == task.TaskID && command.Attempt == task.Attempt
		})
		if !isStopped {
			sim.fatal("the cancelled task %s is listed by %s, whose lease the reply renews: got no stop of the task, want one", task.TaskID, heartbeat.MachineID)
		}
	}
}

// deliverReply delivers the reply to a worker's last heartbeat, unless the worker no longer accepts it.
func (sim *simulation) deliverReply(worker *fakeWorker) {
	incarnation := worker.incarnation
	sim.expireLease(worker)
	if !worker.hasPendingReply || worker.deleted || worker.hung || worker.incarnation != incarnation || sim.now-worker.heartbeatSentAt > 4*clock.Second || worker.replyToken < worker.token {
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
		Quotas: map[string]TeamQuota{"a": {MaxMicroCPU: sim.cpuLimit}, "b": {MaxMicroCPU: sim.cpuLimit}},
	}
	if sim.follower != nil && sim.rng.IntN(4) > 0 {
		// The follower of the previous leader takes over. That leader may itself have begun with a follower's table.
		cfg.MayHaveStarted = sim.follower.table.MayBeRunning
		sim.replicaFailoverCount++
	}
	sim.follower = &follower{standby.NewTable()}
	cfg.Replicator = sim.follower
	sim.tracker = New(cfg)
	for _, worker := range sim.workers {
		if !worker.deleted {
			sim.tracker.AddMachine(worker.name, "t", worker.zone, false, Resources{MicroCPU: 4 * Unit, MicroGB: 1 << 50}, sim.now).RecordedInStore = true
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
		} else if sim.startsRecorded[id] && sim.dependencyRNG.IntN(3) == 0 {
			state := []DependencyState{DependenciesUnknown, DependenciesUnknown, DependenciesUnmet}[sim.dependencyRNG.IntN(3)]
			sim.tracker.SetDependencyState(job, state)
			sim.unreleasedCount++
		}
	}
	// A delegate may still hold a grant from the previous leader.
	sim.delegatedUntil = sim.now + 20*clock.Second
	sim.tracker.SetDelegatedUntil(sim.delegatedUntil, nil)
	sim.tracker.FinishRecovery()
}

// releaseSomeJob tells the leader now and then that the dependencies of a job are done.
func (sim *simulation) releaseSomeJob() {
	job := sim.tracker.Jobs[sim.jobIDs[sim.dependencyRNG.IntN(len(sim.jobIDs))]]
	if job != nil && sim.dependencyRNG.IntN(4) == 0 {
		sim.tracker.SetDependencyState(job, DependenciesDone)
	}
}

func (sim *simulation) machine(worker *fakeWorker) *Machine { return sim.tracker.Machines[worker.name] }

// persistCompletions makes all completions durable in about a third of its calls, as the controller does
// from time to time.
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
		sim.tracker.MarkCompletionsDurable(job, unpersisted)
	}
	sim.tracker.Exited, sim.tracker.Started = nil, nil
}

// hasCommandDue reports whether a command request to the machine is due. It looks at all placements of
// the machine, which the dispatch queue avoids.
func hasCommandDue(machine *Machine) bool {
	if machine.hasCommandInFlight || !machine.TokenConfirmed {
		return false
	}
	for _, placement := range machine.placements {
		if placement.Phase == PhaseAssigned || placement.Phase == PhaseReported && placement.isStopping && placement.stopSentAt == 0 {
			return true
		}
	}
	return false
}

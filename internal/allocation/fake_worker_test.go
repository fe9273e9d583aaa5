package allocation

import (
	"slices"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

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
	replyCommands   []wire.Command // in the reply on its way to the worker
	replyToken      uint64
	heartbeatSentAt clock.Micros // of the heartbeat that the reply answers
	hasPendingReply bool
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
func (sim *simulation) gangTasks(jobID string) (found []*fakeTask) {
	for n := range sim.specs[jobID].TaskCount {
		id := wire.TaskID(jobID, n)
		if worker := sim.workerRunning(id); worker != nil {
			found = append(found, worker.tasks[id])
		}
	}
	return found
}

// stepGang has a gang's tasks do what workers do (PROTOCOL, gangs): start together, notice that one is
// missing, give up waiting, or complete together.
func (sim *simulation) stepGang(jobID string) {
	spec := sim.specs[jobID]
	tasks := sim.gangTasks(jobID)
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
		worker.hasPendingReply = false // replies to heartbeats of an earlier incarnation are dropped
	}
}

// execute carries out commands as a worker does, and fails the test if one breaks a rule.
func (sim *simulation) execute(worker *fakeWorker, commands []wire.Command) {
	for _, command := range commands {
		jobID, taskIndex, ok := wire.ParseTaskID(command.TaskID)
		if !ok {
			sim.fatal("bad task id %q", command.TaskID)
		}
		task := worker.tasks[command.TaskID]
		isListed := task != nil && task.attempt == command.Attempt
		switch command.Action {
		case wire.ActionStart:
			switch {
			case task == nil:
				sim.startTask(worker, command, jobID, taskIndex)
			case isListed:
			case task.state == wire.TaskExited:
				sim.fatal("started beside a listed attempt of the task: %s", command.TaskID)
			}
		case wire.ActionStop:
			if isListed && task.state != wire.TaskExited {
				task.state, task.cause = wire.TaskExited, wire.ExitStopped
			}
		case wire.ActionReap:
			if isListed && task.state == wire.TaskExited {
				if task.cause == wire.ExitDone && !sim.doneTasks[jobID][taskIndex] && !sim.cancelled[jobID] {
					sim.fatal("reaped a completion that is not durable: %s", command.TaskID)
				}
				delete(worker.tasks, command.TaskID)
			}
		}
	}
}

// startTask starts a task that the worker does not list.
func (sim *simulation) startTask(worker *fakeWorker, command wire.Command, jobID string, taskIndex int) {
	if other := sim.workerRunning(command.TaskID); other != nil {
		sim.fatal("ran twice: %s starts on %s while on %s", command.TaskID, worker.name, other.name)
	}
	sim.checkZones(worker, command.TaskID, jobID)
	task := &fakeTask{attempt: command.Attempt, state: wire.TaskRunning}
	worker.tasks[command.TaskID] = task
	if sim.specs[jobID].Kind == wire.KindGang {
		task.state = wire.TaskWaitingForGang
		for _, other := range sim.gangTasks(jobID) {
			if other.attempt != command.Attempt {
				sim.fatal("two attempts of a gang: %s starts as %d beside %d", command.TaskID, command.Attempt, other.attempt)
			}
		}
	}
	if sim.doneTasks[jobID][taskIndex] {
		task.state, task.cause = wire.TaskExited, wire.ExitDone
	}
	sim.startCount++
	sim.checkQuotas()
}

// checkZones checks the zone rules of a job before a task of it starts on a worker.
func (sim *simulation) checkZones(worker *fakeWorker, taskID, jobID string) {
	spec := sim.specs[jobID]
	if spec.Zone != "" && spec.Zone != worker.zone {
		sim.fatal("zone: %s in %s", taskID, worker.zone)
	}
	inZone, elsewhere := 0, 0
	for n := 0; n < spec.TaskCount; n++ {
		if host := sim.workerRunning(wire.TaskID(jobID, n)); host != nil {
			if host.zone == worker.zone {
				inZone++
			} else {
				elsewhere++
			}
		}
	}
	if spec.SingleZone && elsewhere > 0 {
		sim.fatal("single zone: %s", taskID)
	}
	if spec.SpreadZones && inZone+1 > (spec.TaskCount+1)/2 {
		sim.fatal("spread over zones: %s", taskID)
	}
}

func (sim *simulation) checkQuotas() {
	usageByTeam := map[string]int64{}
	for _, worker := range sim.workers {
		if worker.deleted {
			continue
		}
		for id, task := range worker.tasks {
			if task.state != wire.TaskExited {
				jobID, _, _ := wire.ParseTaskID(id)
				spec := sim.specs[jobID]
				usageByTeam[spec.Team] += NewResources(spec.CPUs, 0, 0).MilliCPU
			}
		}
	}
	for team, used := range usageByTeam {
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

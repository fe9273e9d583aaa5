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
	replyCommands   []wire.Command // commands in the reply that is in flight to the worker
	replyToken      uint64
	heartbeatSentAt clock.Micros // when the heartbeat that the reply answers was sent
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

// gangTasks returns the tasks of a gang that are on machines and have not exited.
func (sim *simulation) gangTasks(jobID string) (found []*fakeTask) {
	for n := range sim.specs[jobID].TaskCount {
		id := wire.TaskID(jobID, n)
		if worker := sim.workerRunning(id); worker != nil {
			found = append(found, worker.tasks[id])
		}
	}
	return found
}

// stepGang has a gang's tasks do what workers do (PROTOCOL, gangs): start together, exit because
// another task is missing, give up waiting for the gang, or complete together.
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
		worker.hasPendingReply = false // the worker ignores replies to an earlier incarnation's heartbeats
	}
}

// execute executes commands as a worker does, and fails the test if a command violates an invariant.
func (sim *simulation) execute(worker *fakeWorker, commands []wire.Command) {
	for _, command := range commands {
		jobID, taskIndex, ok := wire.ParseTaskID(command.TaskID)
		if !ok {
			sim.fatal("command has a malformed task ID %q", command.TaskID)
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
				sim.fatal("%s is started while the worker lists another, exited attempt of it", command.TaskID)
			}
		case wire.ActionStop:
			if isListed && task.state != wire.TaskExited {
				task.state, task.cause = wire.TaskExited, wire.ExitStopped
			}
		case wire.ActionReap:
			if isListed && task.state == wire.TaskExited {
				if task.cause == wire.ExitDone && !sim.doneTasks[jobID][taskIndex] && !sim.cancelled[jobID] {
					sim.fatal("completion of %s is reaped before it is durable", command.TaskID)
				}
				delete(worker.tasks, command.TaskID)
			}
		}
	}
}

// startTask starts a task that the worker doesn't list, and checks that the start is allowed.
func (sim *simulation) startTask(worker *fakeWorker, command wire.Command, jobID string, taskIndex int) {
	if other := sim.workerRunning(command.TaskID); other != nil {
		sim.fatal("%s is started on %s while it runs on %s", command.TaskID, worker.name, other.name)
	}
	sim.checkZones(worker, command.TaskID, jobID)
	task := &fakeTask{attempt: command.Attempt, state: wire.TaskRunning}
	worker.tasks[command.TaskID] = task
	if sim.specs[jobID].Kind == wire.KindGang {
		task.state = wire.TaskWaitingForGang
		for _, other := range sim.gangTasks(jobID) {
			if other.attempt != command.Attempt {
				sim.fatal("%s is started with attempt %d, but a task of its gang has attempt %d", command.TaskID, command.Attempt, other.attempt)
			}
		}
	}
	if sim.doneTasks[jobID][taskIndex] {
		task.state, task.cause = wire.TaskExited, wire.ExitDone
	}
	sim.startCount++
	sim.checkQuotas()
}

// checkZones checks the zone constraints of a job before one of its tasks starts on a worker.
func (sim *simulation) checkZones(worker *fakeWorker, taskID, jobID string) {
	spec := sim.specs[jobID]
	if spec.Zone != "" && spec.Zone != worker.zone {
		sim.fatal("%s is started in zone %s, which its job does not allow", taskID, worker.zone)
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
		sim.fatal("%s is started in a second zone, want all tasks of its job in one zone", taskID)
	}
	if spec.SpreadZones && inZone+1 > (spec.TaskCount+1)/2 {
		sim.fatal("%s is started in a zone that has half of its job's tasks already", taskID)
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
				usageByTeam[spec.Team] += NewRequest(spec.CPUs, 0, 0).MicroCPU
			}
		}
	}
	for team, used := range usageByTeam {
		if used > sim.cpuLimit {
			sim.fatal("team %s uses %d millionths of a CPU, want at most %d", team, used, sim.cpuLimit)
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

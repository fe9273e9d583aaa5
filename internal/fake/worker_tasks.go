package fake

import (
	"fmt"
	"net/http"
	"time"

	"firwood.dev/firwood/wire"
)

// ServeHTTP is the worker's interface: POST /commands and GET /status.
func (worker *workerProcess) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	worker.cloud.mu.Lock()
	defer worker.cloud.mu.Unlock()
	worker.waitWhileHanging()
	if worker.isDeleted || worker.fault == MachineCommandsLost {
		panic(http.ErrAbortHandler) // the connection ends without an answer
	}
	if r.Method == "GET" && r.URL.Path == "/status" {
		worker.advance()
		worker.heartbeat.Sequence++
		writeJSON(w, 200, worker.heartbeat)
		return
	}
	worker.serveCommandRequest(w, r)
}

// waitWhileHanging waits until the machine no longer hangs, or is deleted. The lock is held
// when it is called and when it returns, not in between.
func (worker *workerProcess) waitWhileHanging() {
	for worker.fault == MachineHanging && !worker.isDeleted {
		worker.cloud.mu.Unlock()
		time.Sleep(advanceInterval)
		worker.cloud.mu.Lock()
	}
}

// serveCommandRequest executes commands that a controller sends; a slow machine does so late
// and without an answer. The lock is held.
func (worker *workerProcess) serveCommandRequest(w http.ResponseWriter, r *http.Request) {
	var request wire.CommandRequest
	if !readJSON(r, &request) {
		writeJSON(w, 400, struct{}{})
		return
	}
	if worker.fault == MachineSlow {
		time.AfterFunc(slowCommandDelay, func() {
			worker.cloud.mu.Lock()
			defer worker.cloud.mu.Unlock()
			worker.applyCommandRequest(&request)
		})
		panic(http.ErrAbortHandler) // the connection ends without an answer
	}
	status := 409
	if worker.applyCommandRequest(&request) {
		status = 200
	}
	worker.heartbeat.Sequence++
	writeJSON(w, status, worker.heartbeat)
	worker.requestHeartbeat()
}

// applyCommandRequest executes a command request and reports whether it did: its token must
// not be older than the last one seen, and its incarnation the worker's. The lock is held.
func (worker *workerProcess) applyCommandRequest(request *wire.CommandRequest) bool {
	worker.advance()
	if worker.isDeleted || request.FencingToken < worker.heartbeat.FencingToken || request.Incarnation != worker.heartbeat.Incarnation {
		return false
	}
	worker.heartbeat.FencingToken = request.FencingToken
	worker.executeCommands(request.Commands)
	return true
}

// executeCommands carries out commands in their order; stops and reaps of another attempt are
// passed over. The lock is held.
func (worker *workerProcess) executeCommands(commands []wire.Command) {
	for _, command := range commands {
		index := worker.taskIndex(command.TaskID)
		if index < 0 {
			if command.Action == wire.ActionStart {
				worker.startTask(command)
			}
			continue
		}
		task := &worker.heartbeat.Tasks[index]
		if task.Attempt != command.Attempt {
			continue
		}
		hasExited := task.State == wire.TaskExited
		switch {
		case command.Action == wire.ActionStop && !hasExited:
			worker.exitTask(task, wire.ExitStopped)
		case command.Action == wire.ActionReap && hasExited:
			worker.heartbeat.Tasks = append(worker.heartbeat.Tasks[:index], worker.heartbeat.Tasks[index+1:]...)
		}
	}
}

// startTask starts a task that is not on the machine. The lock is held.
func (worker *workerProcess) startTask(command wire.Command) {
	cloud := worker.cloud
	worker.checkDuplicateExecution(command.TaskID)
	cloud.workerByTask[command.TaskID] = worker
	cloud.startCount++
	delete(worker.taskEndsAt, command.TaskID)
	if duration := cloud.cfg.TaskDuration(command.TaskID); duration > 0 {
		worker.taskEndsAt[command.TaskID] = time.Now().Add(duration)
	}
	worker.heartbeat.Tasks = append(worker.heartbeat.Tasks, wire.TaskStatus{TaskID: command.TaskID, Attempt: command.Attempt, State: wire.TaskRunning})
	cloud.cfg.Observer.RecordTaskStart(worker.machine, command.TaskID)
}

// checkDuplicateExecution records a violation if the machine that last started a task still
// runs it. The lock is held.
func (worker *workerProcess) checkDuplicateExecution(task string) {
	cloud := worker.cloud
	previous := cloud.workerByTask[task]
	if previous == nil || previous == worker || previous.isDeleted {
		return
	}
	if index := previous.taskIndex(task); index >= 0 && previous.heartbeat.Tasks[index].State != wire.TaskExited {
		cloud.violations = append(cloud.violations, fmt.Sprintf("%s starts on %s while on %s", task, worker.machine.ID, previous.machine.ID))
	}
}

// exitTask ends a task for a cause of the wire. The lock is held.
func (worker *workerProcess) exitTask(task *wire.TaskStatus, cause string) {
	task.State, task.ExitCause = wire.TaskExited, cause
	worker.cloud.cfg.Observer.RecordTaskEnd(worker.machine.ID, task.TaskID, cause)
}

// killAllTasks stops every running task, as an expired lease does. The lock is held.
func (worker *workerProcess) killAllTasks() {
	for i := range worker.heartbeat.Tasks {
		if task := &worker.heartbeat.Tasks[i]; task.State != wire.TaskExited {
			worker.exitTask(task, wire.ExitStopped)
		}
	}
}

// taskIndex is a task's place in the heartbeat, -1 if the machine does not have it.
func (worker *workerProcess) taskIndex(id string) int {
	for i := range worker.heartbeat.Tasks {
		if worker.heartbeat.Tasks[i].TaskID == id {
			return i
		}
	}
	return -1
}

package fake

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"firwood.dev/firwood/wire"
)

// ServeHTTP serves the worker's API: POST /commands and GET /status.
func (worker *workerProcess) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// The body is read before the lock is taken, since the rest of a large one may still be on its way.
	body, bodyErr := io.ReadAll(http.MaxBytesReader(w, r.Body, wire.MaxBodyBytes))
	worker.cloud.mu.Lock()
	defer worker.cloud.mu.Unlock()
	worker.waitWhileHanging()
	if worker.isDeleted || worker.fault == MachineCommandsLost {
		panic(http.ErrAbortHandler) // close the connection without a response
	}
	if r.Method == "GET" && r.URL.Path == "/status" {
		worker.advance()
		worker.heartbeat.Sequence++
		writeJSON(w, 200, worker.heartbeat)
		return
	}
	var request wire.CommandRequest
	if bodyErr != nil || json.Unmarshal(body, &request) != nil {
		worker.cloud.messages.RefusedCommandRequests++
		writeJSON(w, 400, struct{}{})
		return
	}
	worker.serveCommandRequest(w, &request)
}

// waitWhileHanging waits while the machine hangs, unless the machine is deleted or the cloud is stopped. The cloud's
// lock is held when waitWhileHanging is called and when it returns, but not while it waits.
func (worker *workerProcess) waitWhileHanging() {
	for worker.fault == MachineHanging && !worker.isDeleted && !worker.cloud.isStopped() {
		worker.cloud.mu.Unlock()
		time.Sleep(advanceInterval)
		worker.cloud.mu.Lock()
	}
}

// serveCommandRequest executes the commands that a controller sends. A slow machine executes them late and
// sends no response. The caller holds the cloud's lock.
func (worker *workerProcess) serveCommandRequest(w http.ResponseWriter, request *wire.CommandRequest) {
	if worker.fault == MachineSlow {
		time.AfterFunc(slowCommandDelay, func() {
			worker.cloud.mu.Lock()
			defer worker.cloud.mu.Unlock()
			worker.applyCommandRequest(request)
		})
		panic(http.ErrAbortHandler) // close the connection without a response
	}
	status := 409
	if worker.applyCommandRequest(request) {
		status = 200
	}
	worker.heartbeat.Sequence++
	writeJSON(w, status, worker.heartbeat)
	worker.requestHeartbeat()
}

// applyCommandRequest executes a command request and reports whether it did. It records an executed one. The caller
// holds the cloud's lock.
func (worker *workerProcess) applyCommandRequest(request *wire.CommandRequest) bool {
	if !worker.executeIfValid(request) {
		return false
	}
	worker.cloud.recordExecuted(worker, request)
	return true
}

// executeIfValid executes a command request and reports whether it did. It rejects a request whose
// token is lower than the last one that the worker has seen, or whose incarnation is not the worker's, and
// any request to a deleted machine. The caller holds the cloud's lock.
func (worker *workerProcess) executeIfValid(request *wire.CommandRequest) bool {
	worker.advance()
	if worker.isDeleted || request.FencingToken < worker.heartbeat.FencingToken || request.Incarnation != worker.heartbeat.Incarnation {
		return false
	}
	worker.heartbeat.FencingToken = request.FencingToken
	worker.executeCommands(request.Commands)
	return true
}

// executeCommands executes commands in order. It ignores starts of tasks that are on the machine already,
// and stops and reaps of another attempt. The caller holds the cloud's lock.
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

// startTask starts a task that is not on the machine. The caller holds the cloud's lock.
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

// checkDuplicateExecution records a violation if the machine that last started a task is another machine
// than this worker's and still runs the task. The caller holds the cloud's lock.
func (worker *workerProcess) checkDuplicateExecution(task string) {
	cloud := worker.cloud
	previous := cloud.workerByTask[task]
	if previous == nil || previous == worker || previous.isDeleted {
		return
	}
	if index := previous.taskIndex(task); index >= 0 && previous.heartbeat.Tasks[index].State != wire.TaskExited {
		cloud.violations = append(cloud.violations, fmt.Sprintf("task %s starts on machine %s while it still runs on machine %s", task, worker.machine.ID, previous.machine.ID))
	}
}

// exitTask marks a task as exited, with an exit cause of the wire package. The caller holds the cloud's lock.
func (worker *workerProcess) exitTask(task *wire.TaskStatus, cause string) {
	task.State, task.ExitCause = wire.TaskExited, cause
	worker.cloud.cfg.Observer.RecordTaskEnd(worker.machine.ID, task.TaskID, cause)
}

// killAllTasks ends every running task, as the expiry of a lease does. The caller holds the cloud's lock.
func (worker *workerProcess) killAllTasks() {
	for i := range worker.heartbeat.Tasks {
		if task := &worker.heartbeat.Tasks[i]; task.State != wire.TaskExited {
			worker.exitTask(task, wire.ExitStopped)
		}
	}
}

// taskIndex returns the index of a task in the heartbeat, or -1 if the task is not on the machine.
func (worker *workerProcess) taskIndex(id string) int {
	for i := range worker.heartbeat.Tasks {
		if worker.heartbeat.Tasks[i].TaskID == id {
			return i
		}
	}
	return -1
}

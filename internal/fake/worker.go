package fake

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"firwood.dev/firwood/wire"
)

// MachineFault is what is wrong with a machine.
type MachineFault uint8

const (
	// MachineHealthy: nothing.
	MachineHealthy MachineFault = iota
	// MachineHanging: nothing runs and nothing is answered; what was sent to it is
	// carried out when it goes on, if it still may.
	MachineHanging
	// MachineCommandsLost: its reports arrive, answers and direct commands are lost.
	MachineCommandsLost
	// MachineHeartbeatsLost: it reaches no controller; direct commands reach it.
	MachineHeartbeatsLost
	// MachineSlow: direct commands are carried out slowCommandDelay late and not answered.
	MachineSlow
)

const (
	// slowCommandDelay is how late a slow machine carries commands out.
	slowCommandDelay = 8 * time.Second
	// answerTimeout is how long a worker waits for an answer.
	answerTimeout = 4 * time.Second
	// controllerRetryInterval is how long a worker waits before it tries another controller.
	controllerRetryInterval = 200 * time.Millisecond
	// minHeartbeatInterval is how long a worker waits at least between two reports of changes.
	minHeartbeatInterval = 500 * time.Millisecond
)

// workerProcess is a machine's worker. Its fields are guarded by the cloud's lock.
type workerProcess struct {
	cloud                *Cloud
	request              wire.ScaleOutRequest
	name                 string
	addr                 string
	stop                 func()
	isDeleted            bool
	fault                MachineFault
	heartbeat            wire.Heartbeat
	lastHeartbeatBody    []byte
	taskEndsAt           map[string]time.Time
	controllerIndex      int
	lastAckedHeartbeatAt time.Time // when the last answered report was sent
	// tokenReportedAt is when a higher token was last a change to be reported.
	tokenReportedAt    time.Time
	heartbeatRequested chan struct{}
	client             *http.Client
}

func newWorker(cloud *Cloud, request wire.ScaleOutRequest, name string) *workerProcess {
	worker := &workerProcess{cloud: cloud, request: request, name: name, taskEndsAt: map[string]time.Time{}, lastAckedHeartbeatAt: time.Now(), heartbeatRequested: make(chan struct{}, 1)}
	worker.addr, worker.stop = Serve(cloud.cfg.Network, name, worker)
	worker.heartbeat = wire.Heartbeat{MachineID: name, Address: worker.addr, MachineType: request.MachineType, Zone: request.Zone, Spot: request.Spot, Incarnation: 1, Tasks: []wire.TaskStatus{}}
	worker.client = &http.Client{
		Timeout:       answerTimeout,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		Transport: &http.Transport{DialContext: func(_ context.Context, _, address string) (net.Conn, error) {
			return cloud.cfg.Network.Dial(name, address, answerTimeout)
		}},
	}
	return worker
}

func (worker *workerProcess) listedMachine() wire.ListedMachine {
	return wire.ListedMachine{ID: worker.name, Address: worker.addr, MachineType: worker.request.MachineType, Zone: worker.request.Zone, Spot: worker.request.Spot, State: wire.MachineRunning}
}

// run reports until the machine is gone.
func (worker *workerProcess) run() {
	cloud := worker.cloud
	defer worker.client.CloseIdleConnections()
	wait := cloud.cfg.BootDuration
	for {
		select {
		case <-cloud.done:
			return
		case <-worker.heartbeatRequested:
			time.Sleep(20 * time.Millisecond)
		case <-time.After(wait):
		}
		cloud.mu.Lock()
		isDeleted, isIdle := worker.isDeleted, worker.fault == MachineHanging || worker.fault == MachineHeartbeatsLost
		cloud.mu.Unlock()
		switch {
		case isDeleted:
			return
		case isIdle:
			wait = controllerRetryInterval
		default:
			wait = worker.sendHeartbeat()
		}
	}
}

// sendHeartbeat sends a report and takes its answer; it returns when the next is due.
func (worker *workerProcess) sendHeartbeat() time.Duration {
	cloud := worker.cloud
	cloud.mu.Lock()
	worker.advance()
	worker.heartbeat.Sequence++
	sent, incarnation := time.Now(), worker.heartbeat.Incarnation
	body, err := json.Marshal(worker.heartbeat)
	if err != nil {
		panic(err)
	}
	worker.lastHeartbeatBody = body
	controllerName := cloud.cfg.ControllerNames[worker.controllerIndex%len(cloud.cfg.ControllerNames)]
	url := "http://" + cloud.cfg.ControllerAddresses[controllerName] + "/checkin"
	cloud.mu.Unlock()

	status, answer := worker.post(url, body)

	cloud.mu.Lock()
	defer cloud.mu.Unlock()
	if worker.fault == MachineCommandsLost || worker.fault == MachineHanging {
		status = 0
	}
	switch status {
	case 200:
		var reply wire.HeartbeatResponse
		if json.Unmarshal(answer, &reply) == nil && reply.FencingToken >= worker.heartbeat.FencingToken && incarnation == worker.heartbeat.Incarnation {
			worker.lastAckedHeartbeatAt = sent
			return worker.applyReply(&reply)
		}
		return cloud.cfg.HeartbeatInterval
	case 421:
		if worker.followRedirect(answer, controllerName) {
			return 0
		}
	}
	worker.controllerIndex++
	return controllerRetryInterval
}

// applyReply takes the token and the commands of an answer; it returns when the next report is
// due. A higher token is a change to be reported, though not in each half of a lease. The
// lock is held.
func (worker *workerProcess) applyReply(reply *wire.HeartbeatResponse) time.Duration {
	next := worker.cloud.cfg.HeartbeatInterval
	if now := time.Now(); reply.FencingToken > worker.heartbeat.FencingToken && now.Sub(worker.tokenReportedAt) > worker.cloud.cfg.LeaseTTL/2 {
		worker.tokenReportedAt = now
		next = min(next, minHeartbeatInterval)
	}
	worker.heartbeat.FencingToken = reply.FencingToken
	worker.executeCommands(reply.Commands)
	return next
}

func (worker *workerProcess) post(url string, body []byte) (int, []byte) {
	res, err := worker.client.Post(url, "application/json", strings.NewReader(string(body)))
	if err != nil {
		return 0, nil
	}
	defer res.Body.Close()
	answer, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, nil
	}
	return res.StatusCode, answer
}

// followRedirect follows an answer that names another controller. The lock is held.
func (worker *workerProcess) followRedirect(answer []byte, from string) bool {
	var redirect wire.Redirect
	if json.Unmarshal(answer, &redirect) != nil {
		return false
	}
	for i, name := range worker.cloud.cfg.ControllerNames {
		if name == redirect.Member && name != from {
			worker.controllerIndex = i
			return true
		}
	}
	return false
}

// advance lets time act: the lease, and tasks that are done. The lock is held.
func (worker *workerProcess) advance() {
	now := time.Now()
	if now.Sub(worker.lastAckedHeartbeatAt) > worker.cloud.cfg.LeaseTTL {
		worker.killAllTasks()
		worker.heartbeat.Incarnation++
		worker.heartbeat.Tasks = []wire.TaskStatus{}
		worker.lastAckedHeartbeatAt = now
	}
	if worker.fault == MachineHanging {
		return
	}
	for i := range worker.heartbeat.Tasks {
		task := &worker.heartbeat.Tasks[i]
		if end, ok := worker.taskEndsAt[task.TaskID]; ok && task.State == wire.TaskRunning && now.After(end) {
			worker.exitTask(task, wire.ExitDone)
			worker.requestHeartbeat()
		}
	}
}

// requestHeartbeat has a change reported without waiting for the next regular report.
func (worker *workerProcess) requestHeartbeat() {
	select {
	case worker.heartbeatRequested <- struct{}{}:
	default:
	}
}

func (worker *workerProcess) exitTask(task *wire.TaskStatus, why string) {
	task.State, task.ExitCause = wire.TaskExited, why
	if observer := worker.cloud.cfg.Observer; observer != nil {
		observer.RecordTaskEnd(worker.name, task.TaskID, why)
	}
}

// killAllTasks ends every task without a trace.
func (worker *workerProcess) killAllTasks() {
	for i := range worker.heartbeat.Tasks {
		if task := &worker.heartbeat.Tasks[i]; task.State != wire.TaskExited {
			worker.exitTask(task, wire.ExitStopped)
		}
	}
}

func (worker *workerProcess) taskIndex(id string) int {
	for i := range worker.heartbeat.Tasks {
		if worker.heartbeat.Tasks[i].TaskID == id {
			return i
		}
	}
	return -1
}

func (worker *workerProcess) executeCommands(commands []wire.Command) {
	for _, command := range commands {
		index := worker.taskIndex(command.TaskID)
		switch command.Action {
		case wire.ActionStart:
			if index < 0 {
				worker.startTask(command)
			}
		case wire.ActionStop:
			if index >= 0 && worker.heartbeat.Tasks[index].Attempt == command.Attempt && worker.heartbeat.Tasks[index].State != wire.TaskExited {
				worker.exitTask(&worker.heartbeat.Tasks[index], wire.ExitStopped)
			}
		case wire.ActionReap:
			if index >= 0 && worker.heartbeat.Tasks[index].Attempt == command.Attempt && worker.heartbeat.Tasks[index].State == wire.TaskExited {
				worker.heartbeat.Tasks = append(worker.heartbeat.Tasks[:index], worker.heartbeat.Tasks[index+1:]...)
			}
		}
	}
}

func (worker *workerProcess) startTask(command wire.Command) {
	cloud := worker.cloud
	if previous := cloud.workerByTask[command.TaskID]; previous != nil && previous != worker && !previous.isDeleted {
		if index := previous.taskIndex(command.TaskID); index >= 0 && previous.heartbeat.Tasks[index].State != wire.TaskExited {
			cloud.violations = append(cloud.violations, fmt.Sprintf("%s starts on %s while on %s", command.TaskID, worker.name, previous.name))
		}
	}
	cloud.workerByTask[command.TaskID] = worker
	cloud.startCount++
	delete(worker.taskEndsAt, command.TaskID)
	if runFor := cloud.cfg.TaskDuration(command.TaskID); runFor > 0 {
		worker.taskEndsAt[command.TaskID] = time.Now().Add(runFor)
	}
	worker.heartbeat.Tasks = append(worker.heartbeat.Tasks, wire.TaskStatus{TaskID: command.TaskID, Attempt: command.Attempt, State: wire.TaskRunning})
	if observer := cloud.cfg.Observer; observer != nil {
		observer.RecordTaskStart(worker.listedMachine(), command.TaskID)
	}
}

// ServeHTTP takes commands sent straight to the worker, and tells its state.
func (worker *workerProcess) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	cloud := worker.cloud
	cloud.mu.Lock()
	defer cloud.mu.Unlock()
	for worker.fault == MachineHanging && !worker.isDeleted {
		cloud.mu.Unlock()
		time.Sleep(advanceInterval)
		cloud.mu.Lock()
	}
	if worker.isDeleted || worker.fault == MachineCommandsLost {
		panic(http.ErrAbortHandler) // nothing is answered
	}
	if r.Method == "GET" && r.URL.Path == "/status" {
		worker.advance()
		worker.heartbeat.Sequence++
		writeJSON(w, 200, worker.heartbeat)
		return
	}
	var request wire.CommandRequest
	if !readJSON(r, &request) {
		writeJSON(w, 400, struct{}{})
		return
	}
	if worker.fault == MachineSlow {
		time.AfterFunc(slowCommandDelay, func() {
			cloud.mu.Lock()
			defer cloud.mu.Unlock()
			worker.applyCommandRequest(&request)
		})
		panic(http.ErrAbortHandler)
	}
	status := 409
	if worker.applyCommandRequest(&request) {
		status = 200
	}
	worker.heartbeat.Sequence++
	writeJSON(w, status, worker.heartbeat)
	worker.requestHeartbeat()
}

// applyCommandRequest carries a direct message out, if token and session match.
func (worker *workerProcess) applyCommandRequest(request *wire.CommandRequest) bool {
	worker.advance()
	if worker.isDeleted || request.FencingToken < worker.heartbeat.FencingToken || request.Incarnation != worker.heartbeat.Incarnation {
		return false
	}
	worker.heartbeat.FencingToken = request.FencingToken
	worker.executeCommands(request.Commands)
	return true
}

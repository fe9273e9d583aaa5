package fake

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"firwood.dev/firwood/wire"
)

const (
	// replyTimeout is how long a worker waits for a controller's reply.
	replyTimeout = 4 * time.Second
	// controllerRetryInterval is how long a worker waits before it tries another controller.
	controllerRetryInterval = 200 * time.Millisecond
	// tokenReportDelay is how long after a reply with a higher token the next heartbeat is due, if
	// it is not due earlier.
	tokenReportDelay = 500 * time.Millisecond
	// changeReportDelay is how long after a change a worker reports it.
	changeReportDelay = 20 * time.Millisecond
)

// workerProcess is a machine's worker. Its fields are guarded by the cloud's lock.
type workerProcess struct {
	cloud   *Cloud
	machine wire.ListedMachine // as the cloud lists it
	fault   MachineFault

	heartbeat            wire.Heartbeat // the next one, with the tasks on the machine
	lastHeartbeatBody    []byte
	lastAckedHeartbeatAt time.Time // when the last heartbeat that was answered was sent
	tokenReportedAt      time.Time // when a higher token was last reported without waiting
	taskEndsAt           map[string]time.Time

	controllerIndex    int           // of the controller that heartbeats go to
	heartbeatRequested chan struct{} // holds one request at most
	client             *http.Client

	isDeleted bool
	stop      func() // stops its server
}

func newWorker(cloud *Cloud, request wire.ScaleOutRequest, name string) *workerProcess {
	worker := &workerProcess{cloud: cloud, taskEndsAt: map[string]time.Time{}, lastAckedHeartbeatAt: time.Now(), heartbeatRequested: make(chan struct{}, 1)}
	worker.machine = wire.ListedMachine{ID: name, MachineType: request.MachineType, Zone: request.Zone, Spot: request.Spot, State: wire.MachineRunning}
	worker.machine.Address, worker.stop = Serve(cloud.cfg.Network, name, worker)
	machine := worker.machine
	worker.heartbeat = wire.Heartbeat{
		MachineID: machine.ID, Address: machine.Address, MachineType: machine.MachineType, Zone: machine.Zone, Spot: machine.Spot,
		Incarnation: 1, Tasks: []wire.TaskStatus{},
	}
	worker.client = &http.Client{
		Timeout:       replyTimeout,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		Transport: &http.Transport{DialContext: func(_ context.Context, _, address string) (net.Conn, error) {
			return cloud.cfg.Network.Dial(name, address, replyTimeout)
		}},
	}
	return worker
}

// run sends heartbeats from the end of the boot until the machine is deleted.
func (worker *workerProcess) run() {
	cloud := worker.cloud
	defer worker.client.CloseIdleConnections()
	wait := cloud.cfg.BootDuration
	for {
		select {
		case <-cloud.done:
			return
		case <-worker.heartbeatRequested:
			time.Sleep(changeReportDelay)
		case <-time.After(wait):
		}
		cloud.mu.Lock()
		isDeleted, canSend := worker.isDeleted, worker.fault != MachineHanging && worker.fault != MachineHeartbeatsLost
		cloud.mu.Unlock()
		switch {
		case isDeleted:
			return
		case canSend:
			wait = worker.sendHeartbeat()
		default:
			wait = controllerRetryInterval
		}
	}
}

// sendHeartbeat sends a heartbeat and applies its reply; it returns when the next is due.
func (worker *workerProcess) sendHeartbeat() time.Duration {
	cloud := worker.cloud
	cloud.mu.Lock()
	worker.advance()
	worker.heartbeat.Sequence++
	sentAt, incarnation := time.Now(), worker.heartbeat.Incarnation
	body, err := json.Marshal(worker.heartbeat)
	if err != nil {
		panic(err)
	}
	worker.lastHeartbeatBody = body
	controller := cloud.cfg.ControllerNames[worker.controllerIndex%len(cloud.cfg.ControllerNames)]
	url := "http://" + cloud.cfg.ControllerAddresses[controller] + "/checkin"
	cloud.mu.Unlock()

	status, responseBody := worker.post(url, body)

	cloud.mu.Lock()
	defer cloud.mu.Unlock()
	if worker.fault == MachineCommandsLost || worker.fault == MachineHanging {
		status = 0 // the reply is lost
	}
	switch status {
	case 200:
		var reply wire.HeartbeatResponse
		if json.Unmarshal(responseBody, &reply) == nil && reply.FencingToken >= worker.heartbeat.FencingToken && incarnation == worker.heartbeat.Incarnation {
			worker.lastAckedHeartbeatAt = sentAt
			return worker.applyReply(&reply)
		}
		return cloud.cfg.HeartbeatInterval
	case 421:
		if worker.followRedirect(responseBody, controller) {
			return 0
		}
	}
	worker.controllerIndex++
	return controllerRetryInterval
}

// applyReply takes over the token and the commands of a reply; it returns when the next
// heartbeat is due. A higher token is reported soon, once in half a lease at most. The lock is
// held.
func (worker *workerProcess) applyReply(reply *wire.HeartbeatResponse) time.Duration {
	next := worker.cloud.cfg.HeartbeatInterval
	if now := time.Now(); reply.FencingToken > worker.heartbeat.FencingToken && now.Sub(worker.tokenReportedAt) > worker.cloud.cfg.LeaseTTL/2 {
		worker.tokenReportedAt = now
		next = min(next, tokenReportDelay)
	}
	worker.heartbeat.FencingToken = reply.FencingToken
	worker.executeCommands(reply.Commands)
	return next
}

// post sends a body and returns the answer; a status of 0 is none.
func (worker *workerProcess) post(url string, body []byte) (status int, responseBody []byte) {
	res, err := worker.client.Post(url, "application/json", strings.NewReader(string(body)))
	if err != nil {
		return 0, nil
	}
	defer res.Body.Close()
	responseBody, err = io.ReadAll(res.Body)
	if err != nil {
		return 0, nil
	}
	return res.StatusCode, responseBody
}

// followRedirect goes to the controller that an answer names, if it is another one. The lock
// is held.
func (worker *workerProcess) followRedirect(responseBody []byte, from string) bool {
	var redirect wire.Redirect
	if json.Unmarshal(responseBody, &redirect) != nil {
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

// advance ends a lease that has expired, with its tasks and incarnation, and tasks whose time
// is over; a hanging machine's tasks don't finish. The lock is held.
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

// requestHeartbeat has a change reported before the next regular heartbeat.
func (worker *workerProcess) requestHeartbeat() {
	select {
	case worker.heartbeatRequested <- struct{}{}:
	default:
	}
}

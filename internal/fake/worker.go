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
	// replyTimeout is how long a worker waits for a controller's reply to a heartbeat.
	replyTimeout = 4 * time.Second
	// controllerRetryInterval is how long a worker waits before it tries another controller.
	controllerRetryInterval = 200 * time.Millisecond
	// tokenReportDelay is the longest time from a reply with a higher token to the next heartbeat,
	// which reports the token.
	tokenReportDelay = 500 * time.Millisecond
	// changeReportDelay is the time from a change of the worker's state to the heartbeat that reports it.
	changeReportDelay = 20 * time.Millisecond
)

// workerProcess is the worker on a machine. The cloud's lock guards its fields.
type workerProcess struct {
	cloud   *Cloud
	machine wire.ListedMachine // the machine's entry in the cloud's list
	fault   MachineFault

	// heartbeat is the next heartbeat. It also holds the present state of the tasks on the machine.
	heartbeat         wire.Heartbeat
	lastHeartbeatBody []byte
	lastReply         *wire.HeartbeatResponse // the reply to the last heartbeat, or nil if there is none that the worker has accepted
	// leaseStartedAt is when the worker's lease last began: when the last answered heartbeat was
	// sent, when the worker was created, or when the previous lease was found to have expired.
	leaseStartedAt time.Time
	// tokenReportedAt is when a reply with a higher token last made the worker send a heartbeat early.
	tokenReportedAt time.Time
	taskEndsAt      map[string]time.Time // by task ID; holds no tasks that run until they are stopped

	controllerIndex    int           // index of the controller that receives the heartbeats, modulo their number
	heartbeatRequested chan struct{} // holds at most one request to send a heartbeat early
	client             *http.Client

	isDeleted bool
	stop      func() // stops the worker's HTTP server
}

func newWorker(cloud *Cloud, request wire.ScaleOutRequest, name string) *workerProcess {
	worker := &workerProcess{cloud: cloud, taskEndsAt: map[string]time.Time{}, leaseStartedAt: time.Now(), heartbeatRequested: make(chan struct{}, 1)}
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

// run sends heartbeats from the end of the machine's boot until the machine is deleted or the cloud stops.
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

// sendHeartbeat sends a heartbeat, applies the reply and returns how long to wait before the next heartbeat.
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
	cloud.messages.countHeartbeat(body)
	worker.lastHeartbeatBody, worker.lastReply = body, nil
	controller := cloud.cfg.ControllerNames[worker.controllerIndex%len(cloud.cfg.ControllerNames)]
	url := "http://" + cloud.cfg.ControllerAddresses[controller] + "/checkin"
	cloud.mu.Unlock()

	status, responseBody := worker.post(url, body)

	cloud.mu.Lock()
	defer cloud.mu.Unlock()
	if worker.fault == MachineCommandsLost || worker.fault == MachineHanging {
		status = 0 // the reply is lost
	}
	if len(responseBody) > wire.MaxBodyBytes {
		cloud.messages.OversizedReplies++
		status = 0 // the worker doesn't read it
	}
	switch status {
	case 200:
		var reply wire.HeartbeatResponse
		if json.Unmarshal(responseBody, &reply) == nil && reply.FencingToken >= worker.heartbeat.FencingToken && incarnation == worker.heartbeat.Incarnation {
			worker.leaseStartedAt, worker.lastReply = sentAt, &reply
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

// applyReply stores the token of a reply, executes the reply's commands and returns how long to wait
// before the next heartbeat. After a higher token it returns at most tokenReportDelay, so that the worker
// reports the token soon, but it does so at most once in half the duration of a lease. The caller holds the
// cloud's lock.
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

// post sends a body and returns the status and the body of the response. The status is 0 if there is no
// complete response.
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

// followRedirect switches to the controller that a redirect names and reports whether it did. It does
// nothing if the redirect names an unknown controller, or the one that sent it. The caller holds the
// cloud's lock.
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

// advance applies what has become due by now. If the lease has expired, it ends the tasks and begins a new
// incarnation. It also ends the tasks whose duration has passed, except on a hanging machine. The caller
// holds the cloud's lock.
func (worker *workerProcess) advance() {
	now := time.Now()
	if now.Sub(worker.leaseStartedAt) > worker.cloud.cfg.LeaseTTL {
		if len(worker.heartbeat.Tasks) > 0 {
			worker.cloud.messages.LeasesLostWithTasks++
		}
		worker.killAllTasks()
		worker.heartbeat.Incarnation++
		worker.heartbeat.Tasks = []wire.TaskStatus{}
		worker.leaseStartedAt = now
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

// requestHeartbeat makes run send a heartbeat before the next regular one, to report a change.
func (worker *workerProcess) requestHeartbeat() {
	select {
	case worker.heartbeatRequested <- struct{}{}:
	default:
	}
}

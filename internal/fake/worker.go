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
	// Healthy: nothing.
	Healthy MachineFault = iota
	// Hanging: nothing runs and nothing is answered; what was sent to it is
	// carried out when it goes on, if it still may.
	Hanging
	// Deaf: its reports arrive, answers and direct commands are lost.
	Deaf
	// Mute: it reaches no controller; direct commands reach it.
	Mute
	// Slow: direct commands are carried out slowBy late and not answered.
	Slow
)

const (
	// slowBy is how late a slow machine carries commands out.
	slowBy = 8 * time.Second
	// answerTimeout is how long a worker waits for an answer.
	answerTimeout = 4 * time.Second
	// betweenNodes is how long a worker waits before it tries another controller.
	betweenNodes = 200 * time.Millisecond
	// betweenChanges is how long a worker waits at least between two reports of changes.
	betweenChanges = 500 * time.Millisecond
)

// worker is a machine's worker. Its fields are guarded by the cloud's lock.
type worker struct {
	cloud    *Cloud
	hire     wire.ScaleOutRequest
	name     string
	addr     string
	stop     func()
	gone     bool
	fault    MachineFault
	report   wire.Heartbeat
	lastBody []byte
	ends     map[string]time.Time
	node     int
	last     time.Time // when the last answered report was sent
	// tokenTold is when a higher token was last a change to be reported.
	tokenTold time.Time
	poke      chan struct{}
	client    *http.Client
}

func newWorker(c *Cloud, h wire.ScaleOutRequest, name string) *worker {
	k := &worker{cloud: c, hire: h, name: name, ends: map[string]time.Time{}, last: time.Now(), poke: make(chan struct{}, 1)}
	k.addr, k.stop = Serve(c.cfg.Network, name, k)
	k.report = wire.Heartbeat{MachineID: name, Address: k.addr, MachineType: h.MachineType, Zone: h.Zone, Spot: h.Spot, Incarnation: 1, Tasks: []wire.TaskStatus{}}
	k.client = &http.Client{
		Timeout:       answerTimeout,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		Transport: &http.Transport{DialContext: func(_ context.Context, _, address string) (net.Conn, error) {
			return c.cfg.Network.Dial(name, address, answerTimeout)
		}},
	}
	return k
}

func (k *worker) listed() wire.ListedMachine {
	return wire.ListedMachine{ID: k.name, Address: k.addr, MachineType: k.hire.MachineType, Zone: k.hire.Zone, Spot: k.hire.Spot, State: wire.MachineRunning}
}

// run reports until the machine is gone.
func (k *worker) run() {
	c := k.cloud
	defer k.client.CloseIdleConnections()
	wait := c.cfg.Boot
	for {
		select {
		case <-c.done:
			return
		case <-k.poke:
			time.Sleep(20 * time.Millisecond)
		case <-time.After(wait):
		}
		c.mu.Lock()
		gone, idle := k.gone, k.fault == Hanging || k.fault == Mute
		c.mu.Unlock()
		switch {
		case gone:
			return
		case idle:
			wait = betweenNodes
		default:
			wait = k.reportOnce()
		}
	}
}

// reportOnce sends a report and takes its answer; it returns when the next is due.
func (k *worker) reportOnce() time.Duration {
	c := k.cloud
	c.mu.Lock()
	k.step()
	k.report.Sequence++
	sent, session := time.Now(), k.report.Incarnation
	body, err := json.Marshal(k.report)
	if err != nil {
		panic(err)
	}
	k.lastBody = body
	node := c.cfg.Names[k.node%len(c.cfg.Names)]
	url := "http://" + c.cfg.Controllers[node] + "/checkin"
	c.mu.Unlock()

	status, answer := k.post(url, body)

	c.mu.Lock()
	defer c.mu.Unlock()
	if k.fault == Deaf || k.fault == Hanging {
		status = 0
	}
	switch status {
	case 200:
		var rep wire.HeartbeatResponse
		if json.Unmarshal(answer, &rep) == nil && rep.FencingToken >= k.report.FencingToken && session == k.report.Incarnation {
			k.last = sent
			return k.obey(&rep)
		}
		return c.cfg.ReportEvery
	case 421:
		if k.redirected(answer, node) {
			return 0
		}
	}
	k.node++
	return betweenNodes
}

// obey takes the token and the commands of an answer; it returns when the next report is
// due. A higher token is a change to be reported, though not in each half of a lease. The
// lock is held.
func (k *worker) obey(reply *wire.HeartbeatResponse) time.Duration {
	next := k.cloud.cfg.ReportEvery
	if now := time.Now(); reply.FencingToken > k.report.FencingToken && now.Sub(k.tokenTold) > k.cloud.cfg.Lease/2 {
		k.tokenTold = now
		next = min(next, betweenChanges)
	}
	k.report.FencingToken = reply.FencingToken
	k.exec(reply.Commands)
	return next
}

func (k *worker) post(url string, body []byte) (int, []byte) {
	res, err := k.client.Post(url, "application/json", strings.NewReader(string(body)))
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

// redirected follows an answer that names another controller. The lock is held.
func (k *worker) redirected(answer []byte, from string) bool {
	var e wire.Redirect
	if json.Unmarshal(answer, &e) != nil {
		return false
	}
	for i, name := range k.cloud.cfg.Names {
		if name == e.Member && name != from {
			k.node = i
			return true
		}
	}
	return false
}

// step lets time act: the lease, and tasks that are done. The lock is held.
func (k *worker) step() {
	now := time.Now()
	if now.Sub(k.last) > k.cloud.cfg.Lease {
		k.endAll()
		k.report.Incarnation++
		k.report.Tasks = []wire.TaskStatus{}
		k.last = now
	}
	if k.fault == Hanging {
		return
	}
	for i := range k.report.Tasks {
		t := &k.report.Tasks[i]
		if end, ok := k.ends[t.TaskID]; ok && t.State == wire.TaskRunning && now.After(end) {
			k.exit(t, wire.ExitDone)
			k.reportSoon()
		}
	}
}

// reportSoon has a change reported without waiting for the next regular report.
func (k *worker) reportSoon() {
	select {
	case k.poke <- struct{}{}:
	default:
	}
}

func (k *worker) exit(t *wire.TaskStatus, why string) {
	t.State, t.ExitCause = wire.TaskExited, why
	if o := k.cloud.cfg.Observer; o != nil {
		o.Ended(k.name, t.TaskID, why)
	}
}

// endAll ends every task without a trace.
func (k *worker) endAll() {
	for i := range k.report.Tasks {
		if t := &k.report.Tasks[i]; t.State != wire.TaskExited {
			k.exit(t, wire.ExitStopped)
		}
	}
}

func (k *worker) find(id string) int {
	for i := range k.report.Tasks {
		if k.report.Tasks[i].TaskID == id {
			return i
		}
	}
	return -1
}

func (k *worker) exec(cmds []wire.Command) {
	for _, cmd := range cmds {
		i := k.find(cmd.TaskID)
		switch cmd.Action {
		case wire.ActionStart:
			if i < 0 {
				k.startTask(cmd)
			}
		case wire.ActionStop:
			if i >= 0 && k.report.Tasks[i].Attempt == cmd.Attempt && k.report.Tasks[i].State != wire.TaskExited {
				k.exit(&k.report.Tasks[i], wire.ExitStopped)
			}
		case wire.ActionReap:
			if i >= 0 && k.report.Tasks[i].Attempt == cmd.Attempt && k.report.Tasks[i].State == wire.TaskExited {
				k.report.Tasks = append(k.report.Tasks[:i], k.report.Tasks[i+1:]...)
			}
		}
	}
}

func (k *worker) startTask(cmd wire.Command) {
	c := k.cloud
	if o := c.on[cmd.TaskID]; o != nil && o != k && !o.gone {
		if j := o.find(cmd.TaskID); j >= 0 && o.report.Tasks[j].State != wire.TaskExited {
			c.broken = append(c.broken, fmt.Sprintf("%s starts on %s while on %s", cmd.TaskID, k.name, o.name))
		}
	}
	c.on[cmd.TaskID] = k
	c.starts++
	delete(k.ends, cmd.TaskID)
	if runFor := c.cfg.RunFor(cmd.TaskID); runFor > 0 {
		k.ends[cmd.TaskID] = time.Now().Add(runFor)
	}
	k.report.Tasks = append(k.report.Tasks, wire.TaskStatus{TaskID: cmd.TaskID, Attempt: cmd.Attempt, State: wire.TaskRunning})
	if o := c.cfg.Observer; o != nil {
		o.Started(k.listed(), cmd.TaskID)
	}
}

// ServeHTTP takes commands sent straight to the worker, and tells its state.
func (k *worker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := k.cloud
	c.mu.Lock()
	defer c.mu.Unlock()
	for k.fault == Hanging && !k.gone {
		c.mu.Unlock()
		time.Sleep(stepEvery)
		c.mu.Lock()
	}
	if k.gone || k.fault == Deaf {
		panic(http.ErrAbortHandler) // nothing is answered
	}
	if r.Method == "GET" && r.URL.Path == "/status" {
		k.step()
		k.report.Sequence++
		reply(w, 200, k.report)
		return
	}
	var d wire.CommandRequest
	if !read(r, &d) {
		reply(w, 400, struct{}{})
		return
	}
	if k.fault == Slow {
		time.AfterFunc(slowBy, func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			k.direct(&d)
		})
		panic(http.ErrAbortHandler)
	}
	status := 409
	if k.direct(&d) {
		status = 200
	}
	k.report.Sequence++
	reply(w, status, k.report)
	k.reportSoon()
}

// direct carries a direct message out, if token and session match.
func (k *worker) direct(d *wire.CommandRequest) bool {
	k.step()
	if k.gone || d.FencingToken < k.report.FencingToken || d.Incarnation != k.report.Incarnation {
		return false
	}
	k.report.FencingToken = d.FencingToken
	k.exec(d.Commands)
	return true
}

// Command cases runs one case of the second review: stand-ins of the state service, the cloud, the workers
// and the users in this process, and the project's own controllers as processes, all on loopback.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// run is one run of a case.
type run struct {
	root, dir  string // the repository, and the folder of the case
	hasTrouble bool   // false with TROUBLE=0
	temp       string
	startedAt  time.Time

	mu         sync.Mutex
	record     *os.File
	processes  map[string]*exec.Cmd
	deployment deployment
}

// logf writes a line to record.txt.
func (r *run) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f  %s\n", time.Since(r.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: cases CASE REPOSITORY FOLDER")
		os.Exit(exitNotRun)
	}
	body := cases[os.Args[1]]
	if body == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(body, os.Args[2], os.Args[3]))
}

// notRun is the panic value of a case that can't run.
type notRun string

// runCase runs a case for 118 s at most, and ends all processes that it started.
func runCase(body func(*run) int, root, dir string) (status int) {
	r := &run{root: root, dir: dir, hasTrouble: os.Getenv("TROUBLE") != "0", startedAt: time.Now(), processes: map[string]*exec.Cmd{}}
	var err error
	if r.record, err = os.Create(filepath.Join(dir, "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.record.Close()
	if r.temp, err = os.MkdirTemp("", "review2-"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer os.RemoveAll(r.temp)
	r.logf("case in %s, with the disruption: %t", filepath.Base(dir), r.hasTrouble)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	result := make(chan int, 1)
	go func() {
		defer func() {
			if reason := recover(); reason != nil {
				r.logf("the case could not run: %v", reason)
				result <- exitNotRun
			}
		}()
		result <- body(r)
	}()
	select {
	case status = <-result:
	case <-signals:
		status = exitNotRun
	case <-time.After(118 * time.Second):
		r.logf("the case did not end in time")
		status = exitNotRun
	}
	r.killAll()
	r.logf("exit status %d (0: the rule held, 1: it was broken, 2: the case could not run)", status)
	fmt.Printf("%s: exit status %d\n", filepath.Base(dir), status)
	return status
}

func (r *run) killAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, process := range r.processes {
		process.Process.Kill() //nolint:errcheck // it may have ended
		process.Wait()         //nolint:errcheck // killed
	}
	r.processes = map[string]*exec.Cmd{}
}

// deployment is what the settings files of the controllers say.
type deployment struct {
	zones       []string          // zones of the settings
	locations   map[string]string // zone by controller
	names       []string
	serve, peer map[string]string // addresses by controller
	teams       []map[string]any
	objectives  []map[string]any
	workers     workerTimings
	state       stateLimits
	next        map[string]any
	cloudRPS    float64
	listLagS    float64
	cores       float64
	ramMB       float64
	sockets     int
	clockErrMS  float64
}

type workerTimings struct{ reportS, leaseS, gangWaitS, gangPeerS, cancelS float64 }

type stateLimits struct {
	rps, writeRPS, valueKB float64
	txnOps                 int
}

func freeAddress() string {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		panic(notRun(err.Error()))
	}
	defer listener.Close()
	return listener.Addr().String()
}

// startControllers writes the settings files and starts the controllers with the command of the deploy file.
func (r *run) startControllers(d deployment, storeAddress, cloudAddress string) {
	for _, name := range d.names {
		r.writeSettings(d, name, storeAddress, cloudAddress)
		r.startController(name)
	}
	r.deployment = d
}

func (r *run) writeSettings(d deployment, name, storeAddress, cloudAddress string) {
	var others []map[string]any
	for _, other := range d.names {
		if other != name {
			others = append(others, map[string]any{"member": other, "location": d.locations[other], "address": d.peer[other]})
		}
	}
	state := map[string]any{"rps": d.state.rps, "write_rps": d.state.writeRPS, "value_kb": d.state.valueKB, "txn_ops": d.state.txnOps}
	if d.next != nil {
		state["next"] = d.next
	}
	settings := map[string]any{
		"member": name, "location": d.locations[name], "serve_on": d.serve[name], "peer_bind": d.peer[name], "others": others,
		"outside": map[string]any{"cloud": cloudAddress, "state": storeAddress},
		"deployment": map[string]any{
			"nodes": len(d.names), "zones": d.zones, "teams": d.teams, "objectives": d.objectives,
			"workers": map[string]any{"report_s": d.workers.reportS, "lease_s": d.workers.leaseS, "gang_wait_s": d.workers.gangWaitS, "gang_peer_s": d.workers.gangPeerS, "cancel_s": d.workers.cancelS},
			"state":   state, "cloud": map[string]any{"rps": d.cloudRPS, "list_lag_s": d.listLagS},
			"limits":         map[string]any{"cores": d.cores, "ram_mb": d.ramMB, "max_sockets": d.sockets},
			"clock_error_ms": d.clockErrMS,
		},
	}
	text, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		panic(err)
	}
	if err := os.WriteFile(filepath.Join(r.temp, name+".json"), text, 0o600); err != nil {
		panic(notRun(err.Error()))
	}
}

// runCommand returns the words of `run` in the deploy file.
func (r *run) runCommand() []string {
	text, err := os.ReadFile(filepath.Join(r.root, "deploy", "service.toml"))
	if err != nil {
		panic(notRun(err.Error()))
	}
	for _, line := range strings.Split(string(text), "\n") {
		if value, ok := strings.CutPrefix(line, `run = "`); ok {
			return strings.Fields(strings.TrimSuffix(value, `"`))
		}
	}
	panic(notRun("the deploy file has no run command"))
}

func (r *run) startController(name string) {
	words := r.runCommand()
	log, err := os.OpenFile(filepath.Join(r.temp, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		panic(notRun(err.Error()))
	}
	defer log.Close()
	command := exec.Command(filepath.Join(r.root, words[0]), append(words[1:], filepath.Join(r.temp, name+".json"))...)
	command.Dir, command.Stderr = r.root, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		panic(notRun(err.Error()))
	}
	r.mu.Lock()
	r.processes[name] = command
	r.mu.Unlock()
	r.logf("started controller %s", name)
}

// copyLogs appends the lines of the controllers' logs that have one of the words to record.txt.
func (r *run) copyLogs(words ...string) {
	for _, name := range r.deployment.names {
		text, err := os.ReadFile(filepath.Join(r.temp, name+".log"))
		if err != nil {
			continue
		}
		for _, line := range strings.Split(string(text), "\n") {
			for _, word := range words {
				if strings.Contains(line, word) {
					r.logf("log of %s: %s", name, line)
					break
				}
			}
		}
	}
}

// waitReady waits until every controller answers GET /up with 200.
func (r *run) waitReady() {
	deadline := time.Now().Add(20 * time.Second)
	for _, name := range r.deployment.names {
		for {
			if time.Now().After(deadline) {
				panic(notRun("controller " + name + " does not get ready"))
			}
			if status, _ := request("GET", r.deployment.serve[name], "/up", nil, time.Second); status == 200 {
				break
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
	r.logf("all controllers are up")
}

// sleepUntil sleeps until a time of the case, in seconds since its start.
func (r *run) sleepUntil(seconds float64) {
	time.Sleep(time.Until(r.startedAt.Add(time.Duration(seconds * float64(time.Second)))))
}

func (r *run) seconds() float64 { return time.Since(r.startedAt).Seconds() }

// serve runs an HTTP server on a free loopback port.
func serve(handler http.Handler) (address string, stop func()) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		panic(notRun(err.Error()))
	}
	server := &http.Server{Handler: handler}
	go server.Serve(listener) //nolint:errcheck // ends with Close
	return listener.Addr().String(), func() { server.Close() }
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(body) //nolint:errcheck // the peer may be gone
}

type object = map[string]any

var _ = context.Background

//go:build review

// Command standin plays one case of the review: it starts the state service, the cloud and the workers as
// stand-ins within this process, the controllers as processes of their own, and then the case's events.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

var quiet = log.New(io.Discard, "", 0)

// Record is what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *Record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Node is a controller.
type Node struct {
	name, zone, serveOn, peerBind, config, settings string
	cmd                                             *exec.Cmd
	log                                             *os.File
	exited                                          chan struct{}
	stopping                                        bool
	ended                                           int // how often it has ended by itself
}

// Site is what a case runs on.
type Site struct {
	rec     *Record
	dir     string
	program []string
	nodes   []*Node
	store   *Store
	world   *World
	opt     Options
	trouble bool

	ended      bool
	overMemory int
}

// Options are the settings of a deployment.
type Options struct {
	Zones                    []string
	NodeZones                []string
	Teams                    []map[string]any
	ReportS, LeaseS, CancelS float64
	RPS, WriteRPS            float64
	ValueKB, Ops             int
	CloudRPS, LagS           float64
	Cores, RAM               float64
	Sockets                  int
	Rigs                     []Rig
	Settings                 string
}

var site *Site

func fatal(code int, format string, args ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	if site != nil {
		site.rec.add(format, args...)
		site.end()
	}
	os.Exit(code)
}

// nodeAddresses returns the two loopback addresses of a controller. If possible each controller of each run has a host of
// its own, so that no other socket takes a port while the controller is down.
func nodeAddresses(i int) (serveOn, peerBind string) {
	for k := range 200 {
		n := os.Getpid()*7 + k*131
		host := fmt.Sprintf("127.%d.%d.%d", 1+n%250, 1+n/250%250, 10+i)
		if isFree(host+":8080") && isFree(host+":8081") {
			return host + ":8080", host + ":8081"
		}
	}
	a, b := anyAddress(), anyAddress()
	return a.Addr().String(), b.Addr().String()
}

func isFree(address string) bool {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return false
	}
	l.Close()
	return true
}

// anyAddress takes a free port of 127.0.0.1 and closes it again a little later.
func anyAddress() net.Listener {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		fatal(2, "%v", err)
	}
	time.AfterFunc(100*time.Millisecond, func() { l.Close() })
	return l
}

func newSite(rec *Record, program []string, o Options, trouble bool) *Site {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fatal(2, "%v", err)
	}
	s := &Site{rec: rec, dir: dir, program: program, opt: o, trouble: trouble}
	s.store = newStore(o.ValueKB, o.Ops, 5*time.Millisecond) // "usually take under 10 ms"
	s.world = newWorld(rec)
	w := s.world
	w.rigs, w.leaseS, w.reportS, w.cancelS, w.lagS = o.Rigs, o.LeaseS, o.ReportS, o.CancelS, o.LagS
	for _, t := range o.Teams {
		w.quota[t["name"].(string)] = t["cpus_max"].(float64)
	}
	cloud, state := serve(w), serve(s.store)
	for i, zone := range o.NodeZones {
		serveOn, peerBind := nodeAddresses(i)
		n := &Node{name: fmt.Sprintf("rigger-%d", i), zone: zone, serveOn: serveOn, peerBind: peerBind}
		s.nodes = append(s.nodes, n)
		w.nodes = append(w.nodes, n.name)
		w.addresses[n.name] = n.serveOn
	}
	time.Sleep(200 * time.Millisecond)
	for _, n := range s.nodes {
		others := []any{}
		for _, m := range s.nodes {
			if m != n {
				others = append(others, map[string]any{"member": m.name, "location": m.zone, "address": m.peerBind})
			}
		}
		cfg := map[string]any{"member": n.name, "location": n.zone, "serve_on": n.serveOn, "peer_bind": n.peerBind, "others": others,
			"outside": map[string]any{"cloud": cloud, "state": state},
			"deployment": map[string]any{"nodes": len(s.nodes), "zones": o.Zones, "teams": o.Teams, "objectives": []any{},
				"workers": map[string]any{"report_s": o.ReportS, "lease_s": o.LeaseS, "gang_wait_s": 30.0, "gang_peer_s": 8.0, "cancel_s": o.CancelS},
				"state":   map[string]any{"rps": o.RPS, "write_rps": o.WriteRPS, "value_kb": float64(o.ValueKB), "txn_ops": o.Ops},
				"cloud":   map[string]any{"rps": o.CloudRPS, "list_lag_s": o.LagS}, "limits": map[string]any{"cores": o.Cores, "ram_mb": o.RAM, "max_sockets": o.Sockets}, "clock_error_ms": 5.0}}
		b, _ := json.MarshalIndent(cfg, "", " ")
		n.config = filepath.Join(dir, n.name+".json")
		os.WriteFile(n.config, b, 0o600)
		if o.Settings != "" {
			n.settings = filepath.Join(dir, n.name+".yaml")
			os.WriteFile(n.settings, []byte(o.Settings), 0o600)
		}
		n.log, err = os.Create(filepath.Join(dir, n.name+".log"))
		if err != nil {
			fatal(2, "%v", err)
		}
	}
	return s
}

func (s *Site) startNode(n *Node) {
	args := append(append([]string{}, s.program[1:]...), n.config)
	n.cmd = exec.Command(s.program[0], args...)
	n.cmd.Stderr = n.log
	n.cmd.Env = append(os.Environ(), "LOG_LEVEL=info")
	if n.settings != "" {
		n.cmd.Env = append(n.cmd.Env, "FIRWOOD_SETTINGS="+n.settings)
	}
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	n.stopping = false
	if err := n.cmd.Start(); err != nil {
		fatal(2, "%v", err)
	}
	s.rec.add("%s started, pid %d", n.name, n.cmd.Process.Pid)
	done := make(chan struct{})
	n.exited = done
	cmd := n.cmd
	go func() {
		err := cmd.Wait()
		if !n.stopping {
			s.rec.add("%s ended by itself: %v", n.name, err)
			n.ended++
			s.startAgain(n)
		}
		close(done)
	}()
}

// startAgain starts a controller about 3 s after its end (BRIEF).
func (s *Site) startAgain(n *Node) {
	time.AfterFunc(3*time.Second, func() {
		if !s.ended {
			s.startNode(n)
		}
	})
}

// watchMemory does what the platform does with a process over its memory limit (DEPLOY, "Memory"): it is killed and
// started again about 3 s later (BRIEF).
func (s *Site) watchMemory() {
	for !s.ended {
		time.Sleep(50 * time.Millisecond)
		for _, n := range s.nodes {
			if mb := rss(n); !n.stopping && float64(mb) > s.opt.RAM {
				s.rec.add("%s holds %d MB, its limit is %g MB", n.name, mb, s.opt.RAM)
				s.overMemory++
				s.kill(n)
				s.startAgain(n)
			}
		}
	}
}

func (s *Site) kill(n *Node) {
	n.stopping = true
	n.cmd.Process.Kill()
	<-n.exited
	s.rec.add("%s killed", n.name)
}

func (s *Site) end() {
	s.ended = true
	for _, n := range s.nodes {
		if n.cmd != nil {
			n.stopping = true
			n.cmd.Process.Signal(syscall.SIGCONT)
			n.cmd.Process.Kill()
			<-n.exited
		}
	}
	if keep := os.Getenv("KEEP"); keep != "" {
		os.RemoveAll(keep)
		os.Rename(s.dir, keep)
		return
	}
	os.RemoveAll(s.dir)
}

// jobID returns the id of the job in a submission, for the record.
func jobID(body []byte) string {
	var j JobSpec
	if json.Unmarshal(body, &j) != nil {
		return ""
	}
	return fmt.Sprintf("%s (%s, %d tasks of %g cores, %g GB, awaits %v) ", j.ID, j.Shape, j.Pieces, j.Cores, j.RAM, j.Awaits)
}

// ask sends one request to a node. The status is 0 if there is no answer in time.
func (s *Site) ask(n *Node, method, path string, body []byte, timeout time.Duration) (status int, answer []byte) {
	defer func() {
		if path != "/up" {
			s.rec.add("%s %s %sat %s: %d %s", method, path, jobID(body), n.name, status, answer)
		}
	}()
	c := &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	q, _ := http.NewRequest(method, "http://"+n.serveOn+path, bytes.NewReader(body))
	res, err := c.Do(q)
	if err != nil {
		return 0, nil
	}
	defer res.Body.Close()
	out, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, nil
	}
	return res.StatusCode, out
}

// healthy waits until every node is healthy.
func (s *Site) healthy(limit time.Duration) bool {
	end := time.Now().Add(limit)
	for time.Now().Before(end) {
		ok := 0
		for _, n := range s.nodes {
			if status, _ := s.ask(n, "GET", "/up", nil, time.Second); status == 200 {
				ok++
			}
		}
		if ok == len(s.nodes) {
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// leader returns the node that says that it leads, or nil.
func (s *Site) leader() *Node {
	v := s.store.value("firwood/lead")
	for _, n := range s.nodes {
		if strings.Contains(v, `"`+n.name+`"`) {
			return n
		}
	}
	return nil
}

func (s *Site) waitLeader(limit time.Duration) *Node {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if n := s.leader(); n != nil {
			return n
		}
	}
	return nil
}

// submit submits a job as a user does: again after 1 s, at another node, for up to 60 s. It reports whether the job was accepted.
func (s *Site) submit(job *JobSpec, first int) bool {
	s.world.mu.Lock()
	s.world.jobs[job.ID] = job
	s.world.mu.Unlock()
	body, _ := json.Marshal(job)
	for k, end := 0, time.Now().Add(60*time.Second); time.Now().Before(end); k++ {
		n := s.nodes[(first+k)%len(s.nodes)]
		status, _ := s.ask(n, "POST", "/api/jobs", body, 5*time.Second)
		switch status {
		case 200, 201:
			return true
		case 400, 422:
			return false
		}
		time.Sleep(time.Second)
	}
	return false
}

func (s *Site) stage(n *Node, id string) (int, string, []byte) {
	status, out := s.ask(n, "GET", "/api/jobs/"+id, nil, 2*time.Second)
	var a struct{ Stage string }
	json.Unmarshal(out, &a)
	return status, a.Stage, out
}

// withdraw cancels a job as a user does, until it is confirmed or the limit is over.
func (s *Site) withdraw(id string, first int, limit time.Duration) string {
	for k, end := 0, time.Now().Add(limit); time.Now().Before(end); k++ {
		n := s.nodes[(first+k)%len(s.nodes)]
		status, out := s.ask(n, "POST", "/api/jobs/"+id+"/withdraw", nil, 2*time.Second)
		var a struct{ Stage string }
		json.Unmarshal(out, &a)
		if status == 200 {
			if a.Stage == "aborted" {
				s.world.mu.Lock()
				s.world.cancelled[id] = time.Now()
				s.world.mu.Unlock()
			}
			return a.Stage
		}
		time.Sleep(time.Second)
	}
	return ""
}

func rss(n *Node) int {
	if n.cmd == nil || n.cmd.Process == nil {
		return 0
	}
	b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.cmd.Process.Pid))
	for _, line := range strings.Split(string(b), "\n") {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "VmRSS:" {
			kb, _ := strconv.Atoi(f[1])
			return kb / 1024
		}
	}
	return 0
}

// tilehaven is the small deployment of BRIEF, Tilehaven Lahore.
func tilehaven() Options {
	return Options{
		Zones: []string{"chenab", "jhelum", "ravi"}, NodeZones: []string{"ravi", "chenab", "ravi"},
		Teams:   []map[string]any{{"name": "groundtruth", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0}, {"name": "mapfront", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0}},
		ReportS: 3, LeaseS: 36, CancelS: 66, RPS: 150, WriteRPS: 30, ValueKB: 8, Ops: 24, CloudRPS: 4, LagS: 5, Cores: 0.3, RAM: 179, Sockets: 3500,
		Rigs: []Rig{{Name: "sialkot-heavy", Cores: 32, RAM: 128, Local: 80, Pull: 0.8, Rate: 1.52, Spot: 0.61, BootS: 3, Yards: []string{"chenab", "jhelum", "ravi"}}},
	}
}

// kingston is the small deployment of BRIEF, Yardmarket Kingston.
func kingston() Options {
	var teams []map[string]any
	for i := range 12 {
		teams = append(teams, map[string]any{"name": fmt.Sprintf("pitchcrew-%d", i), "cpus": 32.0, "cpus_max": 72.0, "gpus": 0.0, "gpus_max": 0.0})
	}
	return Options{
		Zones: []string{"halfway", "mobay", "portmore"}, NodeZones: []string{"portmore", "halfway", "portmore"}, Teams: teams,
		ReportS: 2, LeaseS: 14, CancelS: 44, RPS: 200, WriteRPS: 80, ValueKB: 16, Ops: 48, CloudRPS: 2, LagS: 4, Cores: 0.18, RAM: 125, Sockets: 900,
		Rigs: []Rig{{Name: "blue-mid", Cores: 16, RAM: 64, Local: 80, Pull: 0.8, Rate: 0.92, Spot: 0.4, BootS: 3, Yards: []string{"halfway", "mobay", "portmore"}}},
	}
}

func job(id int, shape string, pieces int, cores, ram, runS float64) *JobSpec {
	return &JobSpec{ID: fmt.Sprintf("req-%06d", id), Lot: "reproject", Crew: "groundtruth", Shape: shape, Rank: "urgent", Pieces: pieces, Cores: cores, RAM: ram, Bundle: "img-01", PullGb: 0.4, Loan: true, Guess: runS, runS: runS}
}

func main() {
	if len(os.Args) < 4 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD PROGRAM...")
		os.Exit(2)
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	rec := &Record{file: file, start: time.Now()}
	play := cases[os.Args[1]]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(2)
	}
	time.AfterFunc(118*time.Second, func() { fatal(2, "the case took too long") })
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		fatal(2, "interrupted")
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("case %s, trouble %v", os.Args[1], trouble)
	broken := play(rec, os.Args[3:], trouble)
	if site != nil {
		site.world.mu.Lock()
		broken = append(broken, site.world.broken...)
		site.world.mu.Unlock()
		site.end()
	}
	for _, b := range broken {
		rec.add("RULE BROKEN: %s", b)
		fmt.Println("rule broken:", b)
	}
	if len(broken) > 0 {
		os.Exit(1)
	}
	rec.add("the rule held")
	fmt.Println("the rule held")
}

package e2e

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"firwood.dev/firwood/internal/client"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/config"
	"firwood.dev/firwood/internal/fake"
	"firwood.dev/firwood/internal/http1"
	"firwood.dev/firwood/internal/protocoltest"
	"firwood.dev/firwood/wire"
)

const leaseTTL = 6 * time.Second

type memberProcess struct {
	name, serveAddress, peerAddress, platformFile string
	settingsFile                                  string // the operators' file, if any
	cmd                                           *exec.Cmd
	logFile                                       *os.File // what it writes to standard error, over all its lives
}

func freePort(t *testing.T) string {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

func (member *memberProcess) start(t *testing.T, program string) {
	t.Helper()
	member.cmd = exec.Command(program, "--config", member.platformFile)
	if member.settingsFile != "" {
		member.cmd.Args = append(member.cmd.Args, "--settings", member.settingsFile)
	}
	member.cmd.Stderr = member.logFile
	if err := member.cmd.Start(); err != nil {
		t.Fatal(err)
	}
}

func (member *memberProcess) kill(t *testing.T) {
	t.Helper()
	if err := member.cmd.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	member.cmd.Wait() //nolint:errcheck // killed
}

func (member *memberProcess) logOutput(t *testing.T) string {
	t.Helper()
	b, err := os.ReadFile(member.logFile.Name())
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

func sendRequest(member *memberProcess, method, target string, body []byte) *http1.Message {
	host := client.NewHost(client.DialTCP, member.serveAddress, 0, 1<<20)
	message, err := host.Do(client.Request{Method: method, Target: target, Body: body, Timeout: 3 * clock.Second})
	if err != nil {
		return &http1.Message{}
	}
	return message
}

// waitFor waits for a condition; the bound only ends a test that is broken.
func waitFor(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(90 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("never: %s", description)
}

// cancellationGrace is how long tasks of a cancelled job may stay.
const cancellationGrace = 15 * time.Second

// testDeployment is three controllers and the outside; a checker sees what users and
// workers see.
type testDeployment struct {
	dir     string
	names   []string
	members map[string]*memberProcess
	store   *fake.Store
	cloud   *fake.Cloud
	checker *protocoltest.Checker
}

// buildProgram builds the program; of a revision in the repository's history, if one is given.
func buildProgram(t *testing.T, revision string) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "firwood")
	command := exec.Command("go", "build", "-o", program, "firwood.dev/firwood/cmd/firwood")
	if revision != "" {
		sources := t.TempDir()
		checkOut := exec.Command("sh", "-c", `git archive "$1" go.mod go.sum cmd internal wire | tar -x -C "$2"`, "sh", revision, sources)
		checkOut.Dir = filepath.Join("..", "..")
		if out, err := checkOut.CombinedOutput(); err != nil {
			t.Fatalf("%v: %s", err, out)
		}
		command.Dir = sources
	}
	if out, err := command.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return program
}

// deploy starts the outside and writes the controllers' settings.
func deploy(t *testing.T, lease time.Duration) *testDeployment {
	t.Helper()
	deployment := &testDeployment{dir: t.TempDir(), names: []string{"n0", "n1", "n2"}, members: map[string]*memberProcess{}}
	var stop func()
	deployment.store, stop = fake.NewStore()
	t.Cleanup(stop)
	addresses := map[string]string{}
	for _, name := range deployment.names {
		deployment.members[name] = &memberProcess{name: name, serveAddress: freePort(t), peerAddress: freePort(t), platformFile: filepath.Join(deployment.dir, name+".json")}
		addresses[name] = deployment.members[name].serveAddress
	}
	deployment.checker = protocoltest.New(protocoltest.Config{CancellationGrace: cancellationGrace})
	deployment.cloud, stop = fake.NewCloudWithConfig(fake.CloudConfig{
		Network: fake.Loopback{}, ControllerNames: deployment.names, ControllerAddresses: addresses,
		MachineTypes: []wire.MachineType{{Name: "m", CPUs: 8, MemoryGB: 32, FetchGBPerSecond: 1, OnDemandPrice: 1, SpotPrice: 0.5, BootSeconds: 1, Zones: []string{"x", "y"}}},
		TaskDuration: deployment.taskDuration, LeaseTTL: lease, HeartbeatInterval: 300 * time.Millisecond, Observer: deployment.checker,
	})
	t.Cleanup(stop)
	for _, name := range deployment.names {
		deployment.configure(t, deployment.members[name], lease)
	}
	return deployment
}

// taskDuration is how long a task runs: a service's until it is stopped.
func (deployment *testDeployment) taskDuration(task string) time.Duration {
	id, _, _ := wire.ParseTaskID(task)
	if deployment.checker.IsService(id) {
		return 0
	}
	return 500 * time.Millisecond
}

func (deployment *testDeployment) configure(t *testing.T, member *memberProcess, lease time.Duration) {
	t.Helper()
	platform := config.Platform{Member: member.name, Location: "x", ListenAddress: member.serveAddress, PeerListenAddress: member.peerAddress}
	for _, name := range deployment.names {
		if name != member.name {
			platform.Peers = append(platform.Peers, config.Peer{Member: name, Location: "x", Address: deployment.members[name].peerAddress})
		}
	}
	platform.External = config.ExternalServices{CloudAddress: deployment.cloud.Addr, StoreAddress: deployment.store.Addr}
	platform.Deployment = config.Deployment{
		ControllerCount: len(deployment.names), Zones: []string{"x", "y"}, Teams: []config.Team{{Name: "a"}},
		Workers: config.WorkerTimings{HeartbeatIntervalSeconds: 0.3, LeaseSeconds: lease.Seconds(), GangStartTimeoutSeconds: 10, GangPeerTimeoutSeconds: 2, CancelTimeoutSeconds: cancellationGrace.Seconds()},
		Store:   config.StoreLimits{RPS: 500, WriteRPS: 200, MaxValueKB: 8, MaxTransactionOps: 24}, Cloud: config.Cloud{RPS: 20, ListLagSeconds: 0.2},
		ProcessLimits: config.ProcessLimits{Cores: 1, MemoryMB: 200, MaxSockets: 500}, ClockErrorMillis: 5,
	}
	text, err := json.Marshal(platform)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(member.platformFile, text, 0o600); err != nil {
		t.Fatal(err)
	}
}

// startAll starts every controller, and ends all at the end of the test.
func (deployment *testDeployment) startAll(t *testing.T, program string) {
	t.Helper()
	for _, name := range deployment.names {
		member := deployment.members[name]
		log, err := os.Create(filepath.Join(deployment.dir, name+".log"))
		if err != nil {
			t.Fatal(err)
		}
		member.logFile = log
		member.start(t, program)
	}
	t.Cleanup(func() {
		for _, member := range deployment.members {
			member.kill(t)
			if t.Failed() {
				t.Logf("%s:\n%s", member.name, member.logOutput(t))
			}
			member.logFile.Close()
		}
	})
}

// restart ends a controller without a word and starts it again, as some version.
func (deployment *testDeployment) restart(t *testing.T, name, program string) {
	t.Helper()
	deployment.members[name].kill(t)
	deployment.members[name].start(t, program)
}

// submitFunc submits jobs, until they are accepted.
func (deployment *testDeployment) submitFunc(t *testing.T) func(member *memberProcess, id, kind string, tasks int, awaits ...string) {
	return func(member *memberProcess, id, kind string, tasks int, awaits ...string) {
		t.Helper()
		job := &wire.Job{
			ID: id, Class: "c", Team: "a", Kind: kind, Priority: "standard", TaskCount: tasks, CPUs: 2, MemoryGB: 1, Image: "img", ImageSizeGB: 0.1,
			SpreadZones: kind == wire.KindService, EstimatedRunSeconds: 1, DependsOn: awaits,
		}
		body, err := job.MarshalJSON()
		if err != nil {
			t.Fatal(err)
		}
		deployment.checker.RecordSubmission(job)
		waitFor(t, id+" accepted", func() bool {
			sentAt := time.Now()
			message := sendRequest(member, "POST", "/api/jobs", body)
			if message.Status != 201 && message.Status != 200 {
				return false
			}
			deployment.recordJobState(id, message, sentAt)
			return true
		})
	}
}

func (deployment *testDeployment) recordJobState(id string, message *http1.Message, sentAt time.Time) string {
	var status wire.JobStatus
	if message.Status/100 != 2 || status.UnmarshalJSON(message.Body) != nil {
		return ""
	}
	deployment.checker.RecordJobState(id, status.State, sentAt)
	return status.State
}

// getStateFunc asks a controller about a job, once.
func (deployment *testDeployment) getStateFunc(t *testing.T) func(member *memberProcess, id string) string {
	return func(member *memberProcess, id string) string {
		sentAt := time.Now()
		message := sendRequest(member, "GET", "/api/jobs/"+id, nil)
		if message.Status == 404 {
			t.Errorf("%s is forgotten by %s", id, member.name)
		}
		return deployment.recordJobState(id, message, sentAt)
	}
}

// waitForStateFunc waits until a controller calls a job so.
func (deployment *testDeployment) waitForStateFunc(t *testing.T) func(member *memberProcess, id, want string) {
	getState := deployment.getStateFunc(t)
	return func(member *memberProcess, id, want string) {
		t.Helper()
		waitFor(t, fmt.Sprintf("%s is %s at %s", id, want, member.name), func() bool { return getState(member, id) == want })
	}
}

// cancel cancels a job.
func (deployment *testDeployment) cancel(t *testing.T, member *memberProcess, id string) {
	t.Helper()
	deployment.checker.RecordCancelRequest(id)
	waitFor(t, id+" is cancelled", func() bool {
		sentAt := time.Now()
		return deployment.recordJobState(id, sendRequest(member, "POST", "/api/jobs/"+id+"/withdraw", nil), sentAt) == wire.JobCancelled
	})
}

// checkRules fails the test if a rule was broken, or fewer tasks were started than expected.
func (deployment *testDeployment) checkRules(t *testing.T, leastStarts int) {
	t.Helper()
	broken, starts := deployment.cloud.Violations(), deployment.cloud.StartCount()
	if len(broken) > 0 || starts < leastStarts {
		t.Errorf("%d starts, broken: %v", starts, broken)
	}
	for _, violation := range deployment.checker.Violations() {
		t.Errorf("%s: %s", violation.Rule, violation.Detail)
	}
}

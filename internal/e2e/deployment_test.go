package e2e

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"firwood.dev/firwood/internal/config"
	"firwood.dev/firwood/internal/fake"
	"firwood.dev/firwood/internal/http1"
	"firwood.dev/firwood/internal/protocoltest"
	"firwood.dev/firwood/wire"
)

const (
	// leaseTTL is the workers' lease.
	leaseTTL = 6 * time.Second
	// cancellationGrace is how long tasks may run on after the cancellation of their job was
	// confirmed.
	cancellationGrace = 15 * time.Second
	// heartbeatInterval is the time between two heartbeats of a worker.
	heartbeatInterval = 300 * time.Millisecond
)

// zones are the zones of the deployment; all controllers are in the first one.
var zones = []string{"x", "y"}

// waitFor waits until a condition holds. The bound is far beyond what any condition takes; it ends
// a test that fails.
func waitFor(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(90 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("not within 90 s: %s", description)
}

// testDeployment is three controllers as processes, with a fake store and a fake cloud. A checker
// sees what users and workers see.
type testDeployment struct {
	t             *testing.T
	dir           string // of settings and logs
	names         []string
	members       map[string]*memberProcess
	store         *fake.Store
	cloud         *fake.Cloud
	checker       *protocoltest.Checker
	lastJobNumber int
}

// deploy starts the store and the cloud, and writes the controllers' platform settings.
func newTestDeployment(t *testing.T) *testDeployment {
	t.Helper()
	deployment := &testDeployment{t: t, dir: t.TempDir(), names: []string{"n0", "n1", "n2"}, members: map[string]*memberProcess{}}
	var stop func()
	deployment.store, stop = fake.NewStore()
	t.Cleanup(stop)
	addresses := map[string]string{}
	for _, name := range deployment.names {
		deployment.members[name] = &memberProcess{name: name, serveAddress: freeAddress(t), peerAddress: freeAddress(t), platformFile: filepath.Join(deployment.dir, name+".json")}
		addresses[name] = deployment.members[name].serveAddress
	}
	deployment.checker = protocoltest.New(protocoltest.Config{CancellationGrace: cancellationGrace})
	deployment.cloud, stop = fake.NewCloudWithConfig(fake.CloudConfig{
		Network: fake.Loopback{}, ControllerNames: deployment.names, ControllerAddresses: addresses,
		MachineTypes: []wire.MachineType{{Name: "m", CPUs: 8, MemoryGB: 32, FetchGBPerSecond: 1, OnDemandPrice: 1, SpotPrice: 0.5, BootSeconds: 1, Zones: zones}},
		TaskDuration: deployment.taskDuration, LeaseTTL: leaseTTL, HeartbeatInterval: heartbeatInterval, Observer: deployment.checker,
	})
	t.Cleanup(stop)
	for _, name := range deployment.names {
		deployment.writePlatformFile(deployment.members[name])
	}
	return deployment
}

// taskDuration is how long a task runs; 0 for a service's, which runs until it is stopped.
func (deployment *testDeployment) taskDuration(task string) time.Duration {
	id, _, _ := wire.ParseTaskID(task)
	if deployment.checker.IsService(id) {
		return 0
	}
	return 500 * time.Millisecond
}

// writePlatformFile writes the platform settings of a controller.
func (deployment *testDeployment) writePlatformFile(member *memberProcess) {
	deployment.t.Helper()
	platform := config.Platform{Member: member.name, Location: zones[0], ListenAddress: member.serveAddress, PeerListenAddress: member.peerAddress}
	for _, name := range deployment.names {
		if name != member.name {
			platform.Peers = append(platform.Peers, config.Peer{Member: name, Location: zones[0], Address: deployment.members[name].peerAddress})
		}
	}
	platform.External = config.ExternalServices{CloudAddress: deployment.cloud.Addr, StoreAddress: deployment.store.Addr}
	platform.Deployment = config.Deployment{
		ControllerCount: len(deployment.names), Zones: zones, Teams: []config.Team{{Name: "a"}},
		Workers: config.WorkerTimings{
			HeartbeatIntervalSeconds: heartbeatInterval.Seconds(), LeaseSeconds: leaseTTL.Seconds(),
			GangStartTimeoutSeconds: 10, GangPeerTimeoutSeconds: 2, CancelTimeoutSeconds: cancellationGrace.Seconds(),
		},
		Store:         config.StoreLimits{RPS: 500, WriteRPS: 200, MaxValueKB: 8, MaxTransactionOps: 24},
		Cloud:         config.Cloud{RPS: 20, ListLagSeconds: 0.2},
		ProcessLimits: config.ProcessLimits{Cores: 1, MemoryMB: 200, MaxSockets: 500}, ClockErrorMillis: 5,
	}
	text, err := json.Marshal(platform)
	if err != nil {
		deployment.t.Fatal(err)
	}
	if err := os.WriteFile(member.platformFile, text, 0o600); err != nil {
		deployment.t.Fatal(err)
	}
}

// startAll starts every controller, and kills all at the end of the test.
func (deployment *testDeployment) startAll(program string) {
	t := deployment.t
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

// restart kills a controller and starts it again, as a program that may be of another version.
func (deployment *testDeployment) restart(name, program string) {
	deployment.t.Helper()
	deployment.members[name].kill(deployment.t)
	deployment.members[name].start(deployment.t, program)
}

// otherNames are the names of the controllers but one, in their order.
func (deployment *testDeployment) otherNames(name string) []string {
	return slices.DeleteFunc(slices.Clone(deployment.names), func(other string) bool { return other == name })
}

// jobID is the ID of the job of a number.
func jobID(number int) string { return fmt.Sprintf("req-%06d", number) }

// nextJobID is an ID that no job of the deployment has yet.
func (deployment *testDeployment) nextJobID() string {
	deployment.lastJobNumber++
	return jobID(deployment.lastJobNumber)
}

// submit submits a job of team a to a controller until it is accepted.
func (deployment *testDeployment) submit(member *memberProcess, id, kind string, tasks int, dependencies ...string) {
	deployment.t.Helper()
	job := &wire.Job{
		ID: id, Class: "c", Team: "a", Kind: kind, Priority: "standard", TaskCount: tasks, CPUs: 2, MemoryGB: 1, Image: "img", ImageSizeGB: 0.1,
		SpreadZones: kind == wire.KindService, EstimatedRunSeconds: 1, DependsOn: dependencies,
	}
	body, err := job.MarshalJSON()
	if err != nil {
		deployment.t.Fatal(err)
	}
	deployment.checker.RecordSubmission(job)
	waitFor(deployment.t, id+" is accepted by "+member.name, func() bool {
		sentAt := time.Now()
		message := member.sendRequest("POST", "/api/jobs", body)
		if message.Status != 201 && message.Status != 200 {
			return false
		}
		deployment.recordJobState(id, message, sentAt)
		return true
	})
}

// recordJobState hands the state in a response to the checker and returns it, empty if there is
// none.
func (deployment *testDeployment) recordJobState(id string, message *http1.Message, sentAt time.Time) string {
	var status wire.JobStatus
	if message.Status/100 != 2 || status.UnmarshalJSON(message.Body) != nil {
		return ""
	}
	deployment.checker.RecordJobState(id, status.State, sentAt)
	return status.State
}

// queryJobState reads the state of an accepted job from a controller, once; empty if there is no answer.
func (deployment *testDeployment) queryJobState(member *memberProcess, id string) string {
	deployment.t.Helper()
	sentAt := time.Now()
	message := member.sendRequest("GET", "/api/jobs/"+id, nil)
	if message.Status == 404 {
		deployment.t.Errorf("%s does not know %s, which was accepted", member.name, id)
	}
	return deployment.recordJobState(id, message, sentAt)
}

// waitForState waits until a controller shows a job in a state.
func (deployment *testDeployment) waitForState(member *memberProcess, id, want string) {
	deployment.t.Helper()
	waitFor(deployment.t, fmt.Sprintf("%s is %s at %s", id, want, member.name), func() bool { return deployment.queryJobState(member, id) == want })
}

// waitForStateEverywhere waits until every controller shows a job in a state.
func (deployment *testDeployment) waitForStateEverywhere(id, want string) {
	deployment.t.Helper()
	for _, name := range deployment.names {
		deployment.waitForState(deployment.members[name], id, want)
	}
}

// cancel requests the cancellation of a job at a controller until it is confirmed.
func (deployment *testDeployment) cancel(member *memberProcess, id string) {
	deployment.t.Helper()
	deployment.checker.RecordCancelRequest(id)
	waitFor(deployment.t, id+" is cancelled at "+member.name, func() bool {
		sentAt := time.Now()
		return deployment.recordJobState(id, member.sendRequest("POST", "/api/jobs/"+id+"/withdraw", nil), sentAt) == wire.JobCancelled
	})
}

// checkRules fails the test if a rule of the protocol was violated, or fewer tasks were started
// than expected.
func (deployment *testDeployment) checkRules(minStarts int) {
	deployment.t.Helper()
	violations, starts := deployment.cloud.Violations(), deployment.cloud.StartCount()
	if len(violations) > 0 || starts < minStarts {
		deployment.t.Errorf("%d starts, at least %d expected; tasks that ran twice: %v", starts, minStarts, violations)
	}
	for _, violation := range deployment.checker.Violations() {
		deployment.t.Errorf("%s: %s", violation.Rule, violation.Detail)
	}
}

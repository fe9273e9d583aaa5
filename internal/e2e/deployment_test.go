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
	// leaseTTL is the duration of a worker's lease.
	leaseTTL = 6 * time.Second
	// cancellationGrace is how long tasks may keep running after the cancellation of their job has been
	// confirmed.
	cancellationGrace = 15 * time.Second
	// heartbeatInterval is the time between two heartbeats of a worker.
	heartbeatInterval = 300 * time.Millisecond
)

// zones are the zones of the deployment. All controllers are in the first zone.
var zones = []string{"x", "y"}

// waitFor waits until a condition holds, and fails the test if it does not hold within 90 s. That is far
// longer than any condition takes.
func waitFor(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(90 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("condition did not hold within 90 s: %s", description)
}

// testDeployment consists of three controllers, which run as processes, a fake store and a fake cloud. A
// checker observes what users and workers see.
type testDeployment struct {
	t             *testing.T
	dir           string // directory of the settings and logs
	names         []string
	members       map[string]*memberProcess
	store         *fake.Store
	cloud         *fake.Cloud
	checker       *protocoltest.Checker
	lastJobNumber int
}

// newTestDeployment starts the store and the cloud, and writes the controllers' platform settings. It does
// not start the controllers.
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

// taskDuration returns how long a task runs. It returns 0 for a service's task, which runs until it is
// stopped.
func (deployment *testDeployment) taskDuration(task string) time.Duration {
	id, _, _ := wire.ParseTaskID(task)
	if deployment.checker.IsService(id) {
		return 0
	}
	return 500 * time.Millisecond
}

// writePlatformFile writes the file with the platform settings of a controller.
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

// startAll starts every controller from a program, and kills all of them at the end of the test. If the
// test has failed by then, it also prints their logs.
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

// restart kills a controller and starts it again from a program, which may be of another version.
func (deployment *testDeployment) restart(name, program string) {
	deployment.t.Helper()
	deployment.members[name].kill(deployment.t)
	deployment.members[name].start(deployment.t, program)
}

// otherNames returns the names of all controllers except the given one, in their order.
func (deployment *testDeployment) otherNames(name string) []string {
	return slices.DeleteFunc(slices.Clone(deployment.names), func(other string) bool { return other == name })
}

// jobID returns the ID of the job with a number.
func jobID(number int) string { return fmt.Sprintf("req-%06d", number) }

// nextJobID returns a job ID that nextJobID has not returned before in this deployment.
func (deployment *testDeployment) nextJobID() string {
	deployment.lastJobNumber++
	return jobID(deployment.lastJobNumber)
}

// submit submits a job of team a to a controller, and repeats the request until the job is accepted.
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

// recordJobState passes the job state in a response to the checker and returns it. If the response holds
// no state, it returns "".
func (deployment *testDeployment) recordJobState(id string, message *http1.Message, sentAt time.Time) string {
	var status wire.JobStatus
	if message.Status/100 != 2 || status.UnmarshalJSON(message.Body) != nil {
		return ""
	}
	deployment.checker.RecordJobState(id, status.State, sentAt)
	return status.State
}

// queryJobState requests the state of an accepted job from a controller, once. It returns "" if the
// response holds no state, and fails the test if the controller does not know the job.
func (deployment *testDeployment) queryJobState(member *memberProcess, id string) string {
	deployment.t.Helper()
	sentAt := time.Now()
	message := member.sendRequest("GET", "/api/jobs/"+id, nil)
	if message.Status == 404 {
		deployment.t.Errorf("controller %s: GET of the accepted job %s: got status 404, want its state", member.name, id)
	}
	return deployment.recordJobState(id, message, sentAt)
}

// waitForState waits until a controller shows the wanted state of a job.
func (deployment *testDeployment) waitForState(member *memberProcess, id, want string) {
	deployment.t.Helper()
	waitFor(deployment.t, fmt.Sprintf("%s is %s at %s", id, want, member.name), func() bool { return deployment.queryJobState(member, id) == want })
}

// waitForStateEverywhere waits until every controller shows the wanted state of a job.
func (deployment *testDeployment) waitForStateEverywhere(id, want string) {
	deployment.t.Helper()
	for _, name := range deployment.names {
		deployment.waitForState(deployment.members[name], id, want)
	}
}

// cancel requests the cancellation of a job from a controller, and repeats the request until the
// cancellation is confirmed.
func (deployment *testDeployment) cancel(member *memberProcess, id string) {
	deployment.t.Helper()
	deployment.checker.RecordCancelRequest(id)
	waitFor(deployment.t, id+" is cancelled at "+member.name, func() bool {
		sentAt := time.Now()
		return deployment.recordJobState(id, member.sendRequest("POST", "/api/jobs/"+id+"/withdraw", nil), sentAt) == wire.JobCancelled
	})
}

// checkRules fails the test if a rule of the protocol has been violated, or if fewer than minStarts tasks
// have been started, counting each attempt.
func (deployment *testDeployment) checkRules(minStarts int) {
	deployment.t.Helper()
	violations, starts := deployment.cloud.Violations(), deployment.cloud.StartCount()
	if len(violations) > 0 || starts < minStarts {
		deployment.t.Errorf("got %d task starts, want at least %d; got duplicate executions %v, want none", starts, minStarts, violations)
	}
	for _, violation := range deployment.checker.Violations() {
		deployment.t.Errorf("%s: %s", violation.Rule, violation.Detail)
	}
}

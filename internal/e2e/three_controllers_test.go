// Package e2e holds the end-to-end tests. They run three controllers as processes of the built program on
// loopback, against the fake store and the fake cloud of package fake.
package e2e

import (
	"slices"
	"strings"
	"testing"
	"time"

	"firwood.dev/firwood/wire"
)

// The test guards against lost jobs, duplicate execution and differing views of the controllers. Three
// controllers work first without faults, and then through the kill of the leader, the loss of a machine, a
// store outage, and a restart of all controllers during another outage. In the end every controller must
// show the same state of every job.
func TestThreeControllersSurviveFaults(t *testing.T) {
	deployment := newTestDeployment(t)
	program := buildProgram(t, "")
	deployment.startAll(program)
	deployment.runJobsWithoutFaults()
	other := deployment.killLeaderDuringJob(program)
	// A machine is lost; its tasks must be started on other machines.
	waitFor(t, "a machine with a task is deleted", deployment.cloud.KillBusyMachine)
	deployment.waitForState(other, "req-000003", wire.JobRunning)
	deployment.checkStoreOutage(other)
	deployment.restartAllInStoreOutage(other, program)
	deployment.cancelService(other)
	deployment.checkRules(31)
}

// runJobsWithoutFaults submits an array, a gang and a service, each to one controller, and reads its state
// from another controller. It also checks that invalid requests are rejected.
func (deployment *testDeployment) runJobsWithoutFaults() {
	t, members := deployment.t, deployment.members
	t.Helper()
	deployment.submit(members["n0"], "req-000001", wire.KindArray, 7)
	deployment.submit(members["n1"], "req-000002", wire.KindGang, 3)
	deployment.submit(members["n2"], "req-000003", wire.KindService, 2)
	deployment.waitForState(members["n1"], "req-000001", wire.JobDone)
	deployment.waitForState(members["n2"], "req-000002", wire.JobDone)
	deployment.waitForState(members["n0"], "req-000003", wire.JobRunning)
	if message := members["n0"].sendRequest("GET", "/api/jobs/req-999999", nil); message.Status != 404 {
		t.Errorf("GET of a job that was never submitted: got status %d, want 404", message.Status)
	}
	for _, request := range []struct {
		body   string
		status int
	}{{"{", 400}, {`{"nameId":"req-000009"}`, 400}} {
		if message := members["n0"].sendRequest("POST", "/api/jobs", []byte(request.body)); message.Status != request.status {
			t.Errorf("submission of the invalid job %s: got status %d, want 400", request.body, message.Status)
		}
	}
}

// killLeaderDuringJob kills the leader while a job runs, and starts it again when the job is done. It
// returns the controller that follows the killed one in the order of the names.
func (deployment *testDeployment) killLeaderDuringJob(program string) (other *memberProcess) {
	t, members := deployment.t, deployment.members
	t.Helper()
	deployment.submit(members["n0"], "req-000004", wire.KindArray, 12)
	leader := ""
	for _, name := range deployment.names {
		if strings.Contains(members[name].logOutput(t), "allocation table rebuilt") {
			leader = name
		}
	}
	if leader == "" {
		t.Fatal("no controller is leader")
	}
	members[leader].kill(t)
	other = members[deployment.names[(slices.Index(deployment.names, leader)+1)%len(deployment.names)]]
	deployment.submit(other, "req-000005", wire.KindArray, 3)
	deployment.waitForState(other, "req-000004", wire.JobDone)
	deployment.waitForState(other, "req-000005", wire.JobDone)
	members[leader].start(t, program)
	deployment.waitForState(members[leader], "req-000004", wire.JobDone)
	return other
}

// checkStoreOutage checks that during a store outage a controller shows final job states, but no state that
// may be stale, and that jobs run again after the outage.
func (deployment *testDeployment) checkStoreOutage(member *memberProcess) {
	t := deployment.t
	t.Helper()
	deployment.store.SetDown(true)
	if message := member.sendRequest("GET", "/api/jobs/req-000003", nil); message.Status == 200 {
		t.Error("GET of a running job in a store outage: got status 200, want no state, since it may be stale")
	}
	if state := deployment.queryJobState(member, "req-000001"); state != wire.JobDone {
		t.Errorf("state of a completed job in a store outage: got %q, want done", state)
	}
	time.Sleep(500 * time.Millisecond)
	deployment.store.SetDown(false)
	deployment.submit(member, "req-000006", wire.KindArray, 4)
	deployment.waitForState(member, "req-000006", wire.JobDone)
}

// restartAllInStoreOutage restarts all controllers in a store outage while a job runs, and one of them again
// during the election that follows. Every controller must know every accepted job, and show it as done, or
// as running if it is a service.
func (deployment *testDeployment) restartAllInStoreOutage(submitTo *memberProcess, program string) {
	deployment.t.Helper()
	deployment.submit(submitTo, "req-000007", wire.KindArray, 12)
	deployment.store.SetDown(true)
	for _, name := range deployment.names {
		deployment.restart(name, program)
	}
	time.Sleep(300 * time.Millisecond)
	deployment.store.SetDown(false)
	deployment.restart("n1", program)
	deployment.submit(deployment.members["n2"], "req-000008", wire.KindArray, 3)
	for _, name := range deployment.names {
		for _, id := range []string{"req-000001", "req-000002", "req-000004", "req-000005", "req-000006", "req-000007", "req-000008"} {
			deployment.waitForState(deployment.members[name], id, wire.JobDone)
		}
		deployment.waitForState(deployment.members[name], "req-000003", wire.JobRunning)
	}
}

// cancelService cancels the service through one controller and waits until every controller shows it as
// cancelled. Once the service's tasks are gone, the store must hold no progress of any job.
func (deployment *testDeployment) cancelService(member *memberProcess) {
	deployment.t.Helper()
	deployment.cancel(member, "req-000003")
	deployment.waitForStateEverywhere("req-000003", wire.JobCancelled)
	waitFor(deployment.t, "no progress keys are left", func() bool { return len(deployment.store.Keys("firwood/done/")) == 0 })
}

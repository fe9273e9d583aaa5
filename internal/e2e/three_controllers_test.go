// Package e2e holds the end-to-end tests: three controllers as real processes
// on loopback, against our own stand-ins of the outside.
package e2e

import (
	"strings"
	"testing"
	"time"

	"firwood.dev/firwood/wire"
)

func TestThreeControllersThroughFaults(t *testing.T) {
	deployment := deploy(t, leaseTTL)
	program := buildProgram(t, "")
	deployment.startAll(t, program)
	names, members, cloud, store := deployment.names, deployment.members, deployment.cloud, deployment.store
	submit, getState, waitForState := deployment.submitFunc(t), deployment.getStateFunc(t), deployment.waitForStateFunc(t)

	// The usual way: an array, a gang, a service, asked for and shown by
	// different nodes.
	submit(members["n0"], "req-000001", wire.KindArray, 7)
	submit(members["n1"], "req-000002", wire.KindGang, 3)
	submit(members["n2"], "req-000003", wire.KindService, 2)
	waitForState(members["n1"], "req-000001", wire.JobDone)
	waitForState(members["n2"], "req-000002", wire.JobDone)
	waitForState(members["n0"], "req-000003", wire.JobRunning)
	if message := sendRequest(members["n0"], "GET", "/api/jobs/req-999999", nil); message.Status != 404 {
		t.Errorf("a job that nobody submitted: %d", message.Status)
	}
	for _, request := range []struct {
		body   string
		status int
	}{{"{", 400}, {`{"nameId":"req-000009"}`, 400}} {
		if message := sendRequest(members["n0"], "POST", "/api/jobs", []byte(request.body)); message.Status != request.status {
			t.Errorf("%s: %d", request.body, message.Status)
		}
	}

	// The leader is killed in the middle of a job, and comes back.
	submit(members["n0"], "req-000004", wire.KindArray, 12)
	leader := ""
	for _, name := range names {
		if strings.Contains(members[name].logOutput(t), "allocation table rebuilt") {
			leader = name
		}
	}
	if leader == "" {
		t.Fatal("nobody leads")
	}
	members[leader].kill(t)
	other := members[names[(strings.Index("n0n1n2", leader)/2+1)%3]]
	submit(other, "req-000005", wire.KindArray, 3)
	waitForState(other, "req-000004", wire.JobDone)
	waitForState(other, "req-000005", wire.JobDone)
	members[leader].start(t, program)
	waitForState(members[leader], "req-000004", wire.JobDone)

	// A machine dies without a word, and its tasks run elsewhere.
	waitFor(t, "a machine dies", cloud.KillBusyMachine)
	waitForState(other, "req-000003", wire.JobRunning)

	// An outage of the state service: no false answer, and life after it.
	store.SetDown(true)
	if message := sendRequest(other, "GET", "/api/jobs/req-000003", nil); message.Status == 200 {
		t.Error("an answer that may be old")
	}
	if s := getState(other, "req-000001"); s != wire.JobDone {
		t.Errorf("a final state is not told in an outage: %q", s)
	}
	time.Sleep(500 * time.Millisecond)
	store.SetDown(false)
	submit(other, "req-000006", wire.KindArray, 4)
	waitForState(other, "req-000006", wire.JobDone)

	// All controllers crash together in an outage with work under way, and are back
	// at once; when it ends, one falls again in the middle of the election. Every
	// job that was accepted is known to every node, and comes to its end.
	submit(other, "req-000007", wire.KindArray, 12)
	store.SetDown(true)
	for _, name := range names {
		members[name].kill(t)
		members[name].start(t, program)
	}
	time.Sleep(300 * time.Millisecond)
	store.SetDown(false)
	members["n1"].kill(t)
	members["n1"].start(t, program)
	submit(members["n2"], "req-000008", wire.KindArray, 3)
	for _, name := range names {
		for _, id := range []string{"req-000001", "req-000002", "req-000004", "req-000005", "req-000006", "req-000007", "req-000008"} {
			waitForState(members[name], id, wire.JobDone)
		}
		waitForState(members[name], "req-000003", wire.JobRunning)
	}

	// A withdrawal lasts, on every node.
	deployment.cancel(t, other, "req-000003")
	for _, name := range names {
		waitForState(members[name], "req-000003", wire.JobCancelled)
	}
	// Once its tasks are gone nothing but the end is kept of it.
	waitFor(t, "no progress keys are left", func() bool { return len(store.Keys("firwood/done/")) == 0 })
	deployment.checkRules(t, 31)
}

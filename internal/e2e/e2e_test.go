// Package e2e holds the end-to-end tests: three controllers as real processes
// on loopback, against our own stand-ins of the outside.
package e2e

import (
	"strings"
	"testing"
	"time"

	"firwood.dev/firwood/wire"
)

func TestThreeControllers(t *testing.T) {
	d := deploy(t, lease)
	program := build(t, "")
	d.startAll(t, program)
	names, nodes, cloud, state := d.names, d.nodes, d.cloud, d.state
	submit, stage, is := d.submitter(t), d.stager(t), d.waiter(t)

	// The usual way: an array, a gang, a service, asked for and shown by
	// different nodes.
	submit(nodes["n0"], "req-000001", wire.KindArray, 7)
	submit(nodes["n1"], "req-000002", wire.KindGang, 3)
	submit(nodes["n2"], "req-000003", wire.KindService, 2)
	is(nodes["n1"], "req-000001", wire.JobDone)
	is(nodes["n2"], "req-000002", wire.JobDone)
	is(nodes["n0"], "req-000003", wire.JobRunning)
	if m := ask(nodes["n0"], "GET", "/api/jobs/req-999999", nil); m.Status != 404 {
		t.Errorf("a job that nobody submitted: %d", m.Status)
	}
	for _, c := range []struct {
		body   string
		status int
	}{{"{", 400}, {`{"nameId":"req-000009"}`, 400}} {
		if m := ask(nodes["n0"], "POST", "/api/jobs", []byte(c.body)); m.Status != c.status {
			t.Errorf("%s: %d", c.body, m.Status)
		}
	}

	// The leader is killed in the middle of a job, and comes back.
	submit(nodes["n0"], "req-000004", wire.KindArray, 12)
	holder := ""
	for _, n := range names {
		if strings.Contains(nodes[n].said(t), "account rebuilt") {
			holder = n
		}
	}
	if holder == "" {
		t.Fatal("nobody leads")
	}
	nodes[holder].kill(t)
	other := nodes[names[(strings.Index("n0n1n2", holder)/2+1)%3]]
	submit(other, "req-000005", wire.KindArray, 3)
	is(other, "req-000004", wire.JobDone)
	is(other, "req-000005", wire.JobDone)
	nodes[holder].start(t, program)
	is(nodes[holder], "req-000004", wire.JobDone)

	// A machine dies without a word, and its tasks run elsewhere.
	until(t, "a machine dies", cloud.KillOne)
	is(other, "req-000003", wire.JobRunning)

	// An outage of the state service: no false answer, and life after it.
	state.SetDown(true)
	if m := ask(other, "GET", "/api/jobs/req-000003", nil); m.Status == 200 {
		t.Error("an answer that may be old")
	}
	if s := stage(other, "req-000001"); s != wire.JobDone {
		t.Errorf("a final state is not told in an outage: %q", s)
	}
	time.Sleep(500 * time.Millisecond)
	state.SetDown(false)
	submit(other, "req-000006", wire.KindArray, 4)
	is(other, "req-000006", wire.JobDone)

	// All controllers crash together in an outage with work under way, and are back
	// at once; when it ends, one falls again in the middle of the election. Every
	// job that was accepted is known to every node, and comes to its end.
	submit(other, "req-000007", wire.KindArray, 12)
	state.SetDown(true)
	for _, n := range names {
		nodes[n].kill(t)
		nodes[n].start(t, program)
	}
	time.Sleep(300 * time.Millisecond)
	state.SetDown(false)
	nodes["n1"].kill(t)
	nodes["n1"].start(t, program)
	submit(nodes["n2"], "req-000008", wire.KindArray, 3)
	for _, n := range names {
		for _, id := range []string{"req-000001", "req-000002", "req-000004", "req-000005", "req-000006", "req-000007", "req-000008"} {
			is(nodes[n], id, wire.JobDone)
		}
		is(nodes[n], "req-000003", wire.JobRunning)
	}

	// A withdrawal lasts, on every node.
	d.cancel(t, other, "req-000003")
	for _, n := range names {
		is(nodes[n], "req-000003", wire.JobCancelled)
	}
	// Once its tasks are gone nothing but the end is kept of it.
	until(t, "no progress keys are left", func() bool { return len(state.Keys("firwood/done/")) == 0 })
	d.check(t, 31)
}

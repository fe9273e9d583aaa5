package allocation

import (
	"testing"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// An orderly stop goes to all machines of a gang at once. When one of them cannot be
// reached the save fails, and costs the run since the last checkpoint; no task of a new
// attempt is placed before the unreachable machine's lease is over.
func TestOrderlyStopWithOneMachineUnreachable(t *testing.T) {
	l := New(Config{Token: 7, Lease: testLease, MayFence: 20 * clock.Second})
	l.Settle()
	var ms []*Machine
	for _, n := range []string{"i-1", "i-2", "i-3"} {
		m := l.AddMachine(n, "t", "x", false, Resources{1000, 0, 8000}, 1)
		m.Recorded = true
		l.HeardBy(m, 1)
		l.Report(m, reportOf(m, 1, 1, 7), 1)
		ms = append(ms, m)
	}
	j := l.AddJob(&wire.Job{ID: "req-000001", Kind: wire.KindGang, Priority: wire.PriorityNormal, Tasks: 2, CPUs: 1, Team: "a",
		OneZone: true, CheckpointS: 20, SaveS: 5}, 0, 1, true, nil)
	attempt := l.Attempt()
	running := func(m *Machine, i int, seq uint64, at clock.Micros) {
		l.Report(m, reportOf(m, 1, seq, 7, wire.TaskReport{Task: wire.TaskID("req-000001", i), Attempt: attempt, State: wire.TaskRunning}), at)
	}
	start := clock.Second
	for i := range 2 {
		if err := l.Place(j, i, ms[i], attempt, start); err != nil {
			t.Fatal(err)
		}
		l.Orders(ms[i], start)
	}
	for i := range 2 {
		running(ms[i], i, 2, start)
	}
	if !j.UnderWay {
		t.Fatal("the gang runs, and is not known to")
	}
	now := start + 50*clock.Second
	for i := range 2 {
		l.HeardBy(ms[i], now)
		running(ms[i], i, 3, now)
	}
	l.StopJob(j, 5*clock.Second)
	for i := range 2 {
		msg, starts := l.Direct(ms[i], now)
		if msg == nil || len(msg.Commands) != 1 || msg.Commands[0].Op != wire.OpStop || *msg.Commands[0].GraceS < 5 {
			t.Fatalf("machine %d is told %+v", i, msg)
		}
		if i == 0 {
			l.DirectEnded(ms[0], starts, Executed, now)
		} else {
			l.DirectEnded(ms[1], starts, Lost, now)
		}
	}
	now += 6 * clock.Second
	l.Report(ms[0], reportOf(ms[0], 1, 4, 7, wire.TaskReport{Task: "req-000001/0", Attempt: attempt, State: wire.TaskExited, Why: wire.WhyPeers}), now)
	for _, x := range []uint64{attempt, l.Attempt()} {
		if l.Place(j, 0, ms[2], x, now) == nil {
			t.Fatal("a task is placed beside one of the old attempt")
		}
	}
	if j.Progress != 40 {
		t.Errorf("%v s are taken for safe after 56 s of run, 20 s apart", j.Progress)
	}
	now = l.LeaseEnd(ms[1]) + 1
	if !l.Expire(ms[1], now) {
		t.Fatal("the lease does not end")
	}
	l.Report(ms[2], reportOf(ms[2], 1, 2, 7), now)
	again := l.Attempt()
	if err := l.Place(j, 0, ms[2], again, now); err != nil || again <= attempt {
		t.Fatalf("after the proof: %v, attempt %d after %d", err, again, attempt)
	}
}

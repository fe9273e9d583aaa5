package allocation

import (
	"math/rand/v2"
	"testing"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// successor makes a new leader's ledger of token 9 that finds three machines and one
// marked job, whose tasks may be anywhere.
func successor(kind string) (*Ledger, []*Machine, *Job) {
	l := New(Config{Token: 9, Lease: testLease})
	var ms []*Machine
	for _, n := range []string{"i-0", "i-1", "i-2"} {
		m := l.AddMachine(n, "t", "x", false, Resources{4000, 0, 1 << 40}, 0)
		m.Recorded = true
		ms = append(ms, m)
	}
	j := l.AddJob(&wire.Job{ID: "req-000001", Kind: kind, Tasks: 2, CPUs: 1, Priority: wire.PriorityNormal}, 0, 0, true, nil)
	l.Settle()
	return l, ms, j
}

func listing(m string, seq, token, attempt uint64, tasks ...int) *wire.Report {
	r := &wire.Report{Machine: m, Session: 1, Seq: seq, Token: token}
	for _, i := range tasks {
		r.Tasks = append(r.Tasks, wire.TaskReport{Task: wire.TaskID("req-000001", i), Attempt: attempt, State: wire.TaskRunning})
	}
	return r
}

// What a new leader hears first of a machine may be a late copy of a report, from
// before its task went elsewhere. It does not end the doubt about the task: a report
// made under the new token does, or that all machines are accounted for. Once it did,
// and the task was started a second time.
func TestALateCopyEndsNoDoubt(t *testing.T) {
	l, ms, j := successor(wire.KindArray)
	now := clock.Second
	l.Report(ms[0], listing("i-0", 5, 4, 40, 0), now) // a copy; the task is on i-1 by now
	if u := l.TeamUse(""); j.Active() != 1 || j.Doubts() != 2 || u.CPU != 2000 {
		t.Fatalf("%d placed, %d in doubt, the team may use %d", j.Active(), j.Doubts(), u.CPU)
	}
	l.Report(ms[0], listing("i-0", 9, 9, 0), now) // i-0 itself, under the new token
	l.Report(ms[2], listing("i-2", 9, 9, 0), now)
	if err := l.Place(j, 0, ms[2], l.Attempt(), now); err == nil {
		t.Fatal("a task is started again that may be on a machine not heard yet")
	}
	l.Report(ms[1], listing("i-1", 7, 4, 41, 0), now)
	if p := j.Tasks[0].Place; p == nil || p.Machine != ms[1] || p.Stopping() {
		t.Fatal("the task is not found where it is")
	}
	l.Report(ms[1], listing("i-1", 8, 9, 41, 0), now)
	if j.Doubts() != 0 || !l.Accounted() || j.Tasks[0].Place.Stopping() {
		t.Fatalf("%d in doubt when all is accounted for", j.Doubts())
	}
	if err := l.Place(j, 1, ms[2], l.Attempt(), now); err != nil {
		t.Fatalf("the other task: %v", err)
	}
	if u := l.TeamUse(""); u.CPU != 2000 {
		t.Fatalf("the team uses %d", u.CPU)
	}
}

// A copy and the true report may come in either order, of arrays and of gangs: the
// later attempt is where the task is, and goes on.
func TestTheLaterAttemptIsTheTrueOne(t *testing.T) {
	for _, kind := range []string{wire.KindArray, wire.KindGang} {
		for _, copyFirst := range []bool{true, false} {
			l, ms, j := successor(kind)
			now := clock.Second
			both := []func(){
				func() { l.Report(ms[0], listing("i-0", 5, 4, 40, 0, 1), now) },
				func() { l.Report(ms[1], listing("i-1", 7, 4, 41, 0, 1), now) },
			}
			if !copyFirst {
				both[0], both[1] = both[1], both[0]
			}
			both[0]()
			both[1]()
			for i := range j.Tasks {
				if p := j.Tasks[i].Place; p == nil || p.Machine != ms[1] || p.Stopping() {
					t.Fatalf("%s, copy first %v: task %d has its place at %+v", kind, copyFirst, i, p)
				}
			}
			l.Report(ms[0], listing("i-0", 9, 9, 0), now)
			l.Report(ms[1], listing("i-1", 9, 9, 41, 0, 1), now)
			l.Report(ms[2], listing("i-2", 9, 9, 0), now)
			if j.Doubts() != 0 || j.Active() != 2 || j.Broken || j.Tasks[0].Place.Stopping() || j.InZone("x") != 2 {
				t.Fatalf("%s, copy first %v: %d in doubt, %d active, broken %v", kind, copyFirst, j.Doubts(), j.Active(), j.Broken)
			}
		}
	}
}

// Tasks have moved from machine to machine under an earlier leader. Its successor hears
// reports from any time before, then true ones, in any order. It starts nothing that
// runs, and has found everything where it is when all machines have reported to it.
func TestTakeOversAmongCopies(t *testing.T) {
	refused := 0
	for seed := uint64(1); seed <= 3000; seed++ {
		rng := rand.New(rand.NewPCG(seed, 6))
		kind := []string{wire.KindArray, wire.KindGang}[seed%2]
		l, ms, j := successor(kind)
		// past holds what each machine's list was, at each of several times.
		var past [][]*wire.Report
		at := make([]int, len(j.Tasks)) // where each task is, -1: nowhere
		attempt := make([]uint64, len(j.Tasks))
		for step := uint64(1); step <= 5; step++ {
			for i := range at {
				if kind == wire.KindGang || step == 1 || rng.IntN(2) == 0 {
					at[i], attempt[i] = rng.IntN(len(ms)+1)-1, 40+step
				}
				if kind == wire.KindGang && i > 0 && at[0] < 0 {
					at[i] = -1 // whole or not at all
				} else if kind == wire.KindGang && i > 0 && at[i] < 0 {
					at[i] = at[0]
				}
			}
			var now []*wire.Report
			for k, m := range ms {
				r := &wire.Report{Machine: m.Name, Session: 1, Seq: step, Token: 4}
				for i := range at {
					if at[i] == k {
						r.Tasks = append(r.Tasks, wire.TaskReport{Task: wire.TaskID(j.Spec.ID, i), Attempt: attempt[i], State: wire.TaskRunning})
					}
				}
				now = append(now, r)
			}
			past = append(past, now)
		}
		last := past[len(past)-1]
		now := clock.Second
		synced := make([]bool, len(ms))
		for n := 0; n < 40 || !l.Accounted(); n++ {
			now += clock.Second / 10
			k := rng.IntN(len(ms))
			r := *last[k]
			switch rng.IntN(4) {
			case 0:
				if old := past[rng.IntN(len(past))][k]; !synced[k] {
					l.Report(ms[k], old, now)
				}
			case 1:
				r.Seq, r.Token = uint64(10+n), 9
				l.Report(ms[k], &r, now)
				synced[k] = true
			case 2:
				r.Seq = uint64(10 + n)
				if !synced[k] {
					l.Report(ms[k], &r, now)
				}
			default:
				i := rng.IntN(len(at))
				if at[i] < 0 {
					continue
				}
				if l.Place(j, i, ms[k], l.Attempt(), now) == nil {
					t.Fatalf("history %d: task %d is started on %d while on %d", seed, i, k, at[i])
				}
				refused++
			}
		}
		for i := range at {
			p := j.Tasks[i].Place
			switch {
			case j.Tasks[i].Doubt || (p != nil) != (at[i] >= 0):
				t.Fatalf("history %d: task %d on %d: doubt %v, place %+v", seed, i, at[i], j.Tasks[i].Doubt, p)
			case p != nil && (p.Machine != ms[at[i]] || p.Attempt != attempt[i] || p.Stopping()):
				t.Fatalf("history %d, %s: task %d on %d as %d has its place on %s as %d, stopping %v",
					seed, kind, i, at[i], attempt[i], p.Machine.Name, p.Attempt, p.Stopping())
			}
		}
		if j.Broken || j.Doubts() != 0 {
			t.Fatalf("history %d: broken %v, %d in doubt", seed, j.Broken, j.Doubts())
		}
	}
	if refused < 1000 {
		t.Fatalf("only %d starts were tried", refused)
	}
}

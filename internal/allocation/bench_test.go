package allocation

import (
	"fmt"
	"testing"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// full makes a machine with n running tasks, and the report that says so.
func full(tb testing.TB, n int) (*Ledger, *Machine, *wire.Report) {
	tb.Helper()
	l := New(Config{Token: 7, Lease: testLease, MayFence: 20 * clock.Second})
	l.Settle()
	m := l.AddMachine("i-000001", "t", "x", false, Resources{CPU: int64(n) * 1000, Mem: 1 << 40}, 1)
	m.Recorded = true
	j := l.AddJob(&wire.Job{ID: "req-000001", Kind: wire.KindArray, Priority: wire.PriorityNormal, Tasks: n, CPUs: 1, Team: "a"}, 0, 1, true, nil)
	r := reportOf(m, 1, 1, 7)
	l.Report(m, r, 1)
	for i := 0; i < n; i++ {
		if err := l.Place(j, i, m, l.Attempt(), 1); err != nil {
			tb.Fatal(err)
		}
		r.Tasks = append(r.Tasks, wire.TaskReport{Task: wire.TaskID(j.Spec.ID, i), Attempt: j.Tasks[i].Place.Attempt, State: wire.TaskRunning})
	}
	l.Orders(m, 1)
	r.Seq++
	l.Report(m, r, 2)
	return l, m, r
}

// A report in which nothing has changed costs next to nothing, however many
// tasks it lists.
func TestUnchangedReport(t *testing.T) {
	for _, n := range []int{1, 32, 200} {
		l, m, r := full(t, n)
		if got := testing.AllocsPerRun(50, func() {
			r.Seq++
			if l.Report(m, r, 3) != Taken || len(l.Orders(m, 3)) != 0 {
				t.Fatal("not taken, or answered with orders")
			}
		}); got > 0 {
			t.Errorf("%d tasks: %v allocations", n, got)
		}
		if l.Jobs["req-000001"].Running != n {
			t.Fatal("tasks were lost")
		}
	}
}

// From the bytes of a report to the bytes of its answer.
func BenchmarkReport(b *testing.B) {
	for _, n := range []int{0, 4, 8, 32} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			l, m, r := full(b, n)
			b.ReportAllocs()
			for b.Loop() {
				r.Seq++
				in, err := r.MarshalJSON()
				if err != nil {
					b.Fatal(err)
				}
				var got wire.Report
				if err := got.UnmarshalJSON(in); err != nil {
					b.Fatal(err)
				}
				l.Report(m, &got, 3)
				if _, err := (wire.Reply{Token: 7, Commands: l.Orders(m, 3)}).MarshalJSON(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

package core

import (
	"fmt"
	"testing"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/server"
	"firwood.dev/firwood/wire"
)

// A take-over at several sizes: the account is made from the records, every
// machine reports its eight tasks, then the first plan is made.
func BenchmarkTakeOver(b *testing.B) {
	for _, n := range []int{500, 1500, 4000, 6000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				b.StopTimer()
				l := rebuilt(b)
				c := l.c
				h := c.view.rentals["h"]
				var reports []*wire.Report
				for i := 0; i < n; i++ {
					name := fmt.Sprintf("i-%06d", i)
					h.Machines = append(h.Machines, name)
					r := &wire.Report{Machine: name, Addr: "127.0.0.1:1", Session: 1, Seq: 1, Token: 10}
					for k := 0; k < 8; k++ {
						r.Tasks = append(r.Tasks, wire.TaskReport{Task: wire.TaskID(fmt.Sprintf("req-%06d", i/12), i%12*8+k), Attempt: 5 << 20, State: wire.TaskRunning})
					}
					reports = append(reports, r)
				}
				for i := 0; i <= n/12; i++ {
					id := fmt.Sprintf("req-%06d", i)
					c.view.jobs[id] = &jobRecord{At: int64(clock.Wall()), Job: &wire.Job{ID: id, Class: "c", Team: "t", Kind: wire.KindArray, Priority: wire.PriorityNormal,
						Tasks: 96, CPUs: 2, MemoryGB: 4, EstimateS: 40, Image: "i"}}
					c.view.done[id] = map[int]progressPart{0: {}}
				}
				b.StartTimer()
				l = newLead(c, 10, clock.Now())
				l.deadline.Store(1 << 62)
				for _, r := range reports {
					l.checkin(r, &server.Reply{})
				}
				if !l.lg.Accounted() {
					b.Fatal("not accounted for")
				}
				l.plan(clock.Now())
			}
		})
	}
}

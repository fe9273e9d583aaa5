package controller

import (
	"fmt"
	"testing"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/peer"
	"firwood.dev/firwood/internal/server"
	"firwood.dev/firwood/wire"
)

// fleetRecords are the records of so many machines, each with eight tasks of arrays, in
// a view, and the reports that the machines send.
func fleetRecords(c *Core, machines int) []*wire.Heartbeat {
	const tasks, jobTasks = 8, 96
	h := c.view.rentals["h"]
	var reports []*wire.Heartbeat
	for i := range machines {
		name := fmt.Sprintf("i-%06d", i)
		h.Machines = append(h.Machines, name)
		r := &wire.Heartbeat{MachineID: name, Address: "127.0.0.1:1", Incarnation: 1, Sequence: 1, FencingToken: 10}
		for k := range tasks {
			task := i*tasks + k
			id := fmt.Sprintf("req-%06d", task/jobTasks)
			r.Tasks = append(r.Tasks, wire.TaskStatus{TaskID: wire.TaskID(id, task%jobTasks), Attempt: 5 << 20, State: wire.TaskRunning})
		}
		reports = append(reports, r)
	}
	for i := range machines*tasks/jobTasks + 1 {
		id := fmt.Sprintf("req-%06d", i)
		c.view.jobs[id] = &jobRecord{At: int64(clock.WallTime()), Job: &wire.Job{
			ID: id, Class: "c", Team: "t", Kind: wire.KindArray, Priority: wire.PriorityNormal,
			TaskCount: jobTasks, CPUs: 2, MemoryGB: 4, EstimatedRunSeconds: 40, Image: fmt.Sprint("image-", i%20),
		}}
		c.view.done[id] = map[int]progressPart{0: {}}
	}
	return reports
}

// takeOverFleet has a new leader rebuild the account and take every machine's report.
func takeOverFleet(b *testing.B, c *Core, reports []*wire.Heartbeat) *lead {
	b.Helper()
	l := newLead(c, 10, clock.Now())
	l.deadline.Store(1 << 62)
	for _, r := range reports {
		l.checkin(r, &server.Reply{})
	}
	if !l.lg.IsReconciled() {
		b.Fatal("not accounted for")
	}
	return l
}

var fleetSizes = []int{500, 1500, 4000, 6000}

// A take-over at several sizes: the account is made from the records, every
// machine reports its eight tasks, then the first plan is made.
func BenchmarkTakeOver(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				b.StopTimer()
				c := rebuilt(b).c
				reports := fleetRecords(c, n)
				b.StartTimer()
				l := takeOverFleet(b, c, reports)
				l.plan(clock.Now())
			}
		})
	}
}

// What a fleet costs its leader once it is led: a report in which nothing has changed,
// the memory of a machine, and the bytes that another controller is told in a second.
func BenchmarkLeading(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			before := heapInUse()
			c := rebuilt(b).c
			reports := fleetRecords(c, n)
			l := takeOverFleet(b, c, reports)
			c.lead = l
			held := heapInUse() - before
			began := clock.Now()
			taken := 0
			for b.Loop() {
				r := reports[taken%n]
				r.Sequence++
				l.checkin(r, &server.Reply{})
				taken++
			}
			perReport := (clock.Now() - began).Seconds() * 1e6 / float64(taken)
			b.ReportMetric(perReport, "us/report")
			b.ReportMetric(held/float64(n), "B/machine")
			const beats = 60
			bytes := 0
			for range beats {
				beat := &peer.Heartbeat{Member: "a", Leader: "a", Token: 10}
				for id, j := range l.lg.Jobs {
					beat.JobProgress = append(beat.JobProgress, peer.JobProgress{Job: id, Done: uint32(j.DoneCount()), Running: uint32(j.StartedCount)})
				}
				l.tell(beat)
				bytes += len(peer.Encode(beat))
			}
			b.ReportMetric(float64(bytes)/beats, "B/s-told")
		})
	}
}

package controller

import (
	"fmt"
	"runtime"
	"testing"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/server"
	"firwood.dev/firwood/wire"
)

// dependentJobs are records of pipelines of a length, by key; half of the pipelines are
// cancelled by their first job.
func dependentJobs(b *testing.B, jobs, length int) map[string][]byte {
	b.Helper()
	records := map[string][]byte{}
	wall := int64(clock.WallTime())
	for i := range jobs {
		id := fmt.Sprintf("req-%06d", i)
		r := &jobRecord{At: wall + int64(i), Job: &wire.Job{
			ID: id, Class: "c", Team: "t", Kind: wire.KindArray, Priority: wire.PriorityLow, TaskCount: 16, CPUs: 1, MemoryGB: 3, EstimatedRunSeconds: 25, Image: "i", ImageSizeGB: 1,
		}}
		first := i%length == 0
		if !first {
			r.Job.DependsOn = []string{fmt.Sprintf("req-%06d", i-1)}
		}
		if (i+1)%length == 0 {
			r.Job.DeadlineSeconds, r.Job.Priority = 600, wire.PriorityHigh
		}
		if first && i/length%2 == 0 {
			r = overRecord(r, wire.JobCancelled, clock.WallTime())
		}
		v, err := r.MarshalJSON()
		if err != nil {
			b.Fatal(err)
		}
		records[prefixJob+id] = v
	}
	return records
}

// heapInUse is how many bytes are held once what nobody holds is gone.
func heapInUse() float64 {
	for range 3 {
		runtime.GC() // the first ones leave what has a finalizer
	}
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// What thousands of dependent jobs cost: to read their records, to take the lead, a
// submission that names one, a plan while they wait, and the memory that they hold.
func BenchmarkDependentJobs(b *testing.B) {
	for _, c := range []struct{ jobs, length int }{{1000, 5}, {10000, 5}, {10000, 10000}, {50000, 5}} {
		b.Run(fmt.Sprintf("%d in pipelines of %d", c.jobs, c.length), func(b *testing.B) {
			records := dependentJobs(b, c.jobs, c.length)
			var read, takeOver, plan, submission clock.Micros
			var held float64
			for b.Loop() {
				before := heapInUse()
				core := rebuilt(b).c
				core.view.loaded = true
				began := clock.Now()
				for key, value := range records {
					core.put(key, value, 5)
				}
				read += clock.Now() - began
				began = clock.Now()
				l := newLead(core, 10, clock.Now())
				takeOver += clock.Now() - began
				l.deadline.Store(1 << 62)
				core.lead = l
				if held == 0 {
					held = heapInUse() - before // of the first round, before which nothing is held
				}
				l.plan(clock.Now())
				began = clock.Now()
				l.plan(clock.Now())
				plan += clock.Now() - began
				began = clock.Now()
				last := fmt.Sprintf("req-%06d", c.jobs-1)
				core.submit(&wire.Job{ID: "req-999999", Team: "t", Kind: wire.KindArray, Priority: wire.PriorityLow, TaskCount: 1, CPUs: 1, DependsOn: []string{last}}, server.NewReply(func(int, []byte, int) {}))
				submission += clock.Now() - began
			}
			n := float64(b.N)
			b.ReportMetric(read.Seconds()*1000/n, "ms/read")
			b.ReportMetric(takeOver.Seconds()*1000/n, "ms/takeover")
			b.ReportMetric(plan.Seconds()*1000/n, "ms/plan")
			b.ReportMetric(float64(submission)/n, "us/submission")
			b.ReportMetric(held/float64(c.jobs), "B/job")
		})
	}
}

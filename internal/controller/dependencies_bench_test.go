package controller

import (
	"fmt"
	"runtime"
	"testing"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/records"
	"firwood.dev/firwood/internal/server"
	"firwood.dev/firwood/internal/storeview"
	"firwood.dev/firwood/wire"
)

// dependentJobRecords returns the records, by key, of jobs in pipelines of the given length. In every other
// pipeline the first job is cancelled, which cancels the rest.
func dependentJobRecords(b *testing.B, jobs, pipelineLength int) map[string][]byte {
	b.Helper()
	values := map[string][]byte{}
	wallTime := int64(clock.WallTime())
	for i := range jobs {
		id := fmt.Sprintf("req-%06d", i)
		record := &storeview.Job{Job: records.Job{SubmittedAt: wallTime + int64(i), Spec: &wire.Job{
			ID: id, Class: "c", Team: "t", Kind: wire.KindArray, Priority: wire.PriorityLow, TaskCount: 16, CPUs: 1, MemoryGB: 3, EstimatedRunSeconds: 25, Image: "i", ImageSizeGB: 1,
		}}}
		first := i%pipelineLength == 0
		if !first {
			record.Spec.DependsOn = []string{fmt.Sprintf("req-%06d", i-1)}
		}
		if (i+1)%pipelineLength == 0 {
			record.Spec.DeadlineSeconds, record.Spec.Priority = 600, wire.PriorityHigh
		}
		if first && i/pipelineLength%2 == 0 {
			record = storeview.NewEndedJob(record, wire.JobCancelled, clock.WallTime())
		}
		value, err := record.MarshalJSON()
		if err != nil {
			b.Fatal(err)
		}
		values[records.JobKey(id)] = value
	}
	return values
}

// heapInUse returns the bytes of heap memory in use after unreachable objects have been freed.
func heapInUse() float64 {
	for range 3 {
		runtime.GC() // an object with a finalizer is freed only by a cycle after the one that finds it unreachable
	}
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// BenchmarkDependentJobs measures what thousands of dependent jobs cost: reading their records, beginning a
// term, submitting a job that depends on one of them, planning while they wait, and the memory that they take.
func BenchmarkDependentJobs(b *testing.B) {
	for _, size := range []struct{ jobs, length int }{{1000, 5}, {10000, 5}, {10000, 10000}, {50000, 5}} {
		b.Run(fmt.Sprintf("%d in pipelines of %d", size.jobs, size.length), func(b *testing.B) {
			values := dependentJobRecords(b, size.jobs, size.length)
			var readTime, failoverTime, planTime, submissionTime clock.Micros
			var heldBytes float64
			for b.Loop() {
				heapBefore := heapInUse()
				controller := newTestController(b)
				controller.view.IsLoaded = true
				startedAt := clock.Now()
				for key, value := range values {
					controller.view.ApplyPut(key, value, 5)
				}
				readTime += clock.Now() - startedAt
				startedAt = clock.Now()
				term := controller.newTerm(10, clock.Now())
				failoverTime += clock.Now() - startedAt
				controller.term = term
				if heldBytes == 0 {
					heldBytes = heapInUse() - heapBefore // in the first iteration only, since nothing is held before it
				}
				term.Plan(clock.Now())
				startedAt = clock.Now()
				term.Plan(clock.Now())
				planTime += clock.Now() - startedAt
				startedAt = clock.Now()
				lastJobID := fmt.Sprintf("req-%06d", size.jobs-1)
				controller.submitJob(&wire.Job{ID: "req-999999", Team: "t", Kind: wire.KindArray, Priority: wire.PriorityLow, TaskCount: 1, CPUs: 1, DependsOn: []string{lastJobID}}, server.NewReply(func(int, []byte, int) {}))
				submissionTime += clock.Now() - startedAt
			}
			iterations := float64(b.N)
			b.ReportMetric(readTime.Seconds()*1000/iterations, "ms/read")
			b.ReportMetric(failoverTime.Seconds()*1000/iterations, "ms/takeover")
			b.ReportMetric(planTime.Seconds()*1000/iterations, "ms/plan")
			b.ReportMetric(float64(submissionTime)/iterations, "us/submission")
			b.ReportMetric(heldBytes/float64(size.jobs), "B/job")
		})
	}
}

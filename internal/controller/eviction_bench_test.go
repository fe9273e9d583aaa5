package controller

import (
	"fmt"
	"runtime"
	"testing"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/records"
	"firwood.dev/firwood/internal/storeview"
	"firwood.dev/firwood/wire"
)

// finishedJobsPage returns the records of jobCount finished jobs, numbered from firstNumber on, and the size
// of their keys and values in bytes.
func finishedJobsPage(b *testing.B, firstNumber, jobCount int) (items []wire.KeyValue, size int) {
	for i := firstNumber; i < firstNumber+jobCount; i++ {
		id := fmt.Sprintf("req-%08d", i)
		now := clock.WallTime()
		record := &storeview.Job{Job: records.Job{SubmittedAt: int64(now), Spec: &wire.Job{ID: id, Class: "reproject", TaskCount: 90, DeadlineSeconds: 600}}}
		end := storeview.NewEndedJob(record, wire.JobDone, now+clock.Micros(i))
		end.FirstStartAt = int64(now)
		value, err := end.MarshalJSON()
		if err != nil {
			b.Fatal(err)
		}
		items = append(items, wire.KeyValue{Key: records.JobKey(id), Value: value, Version: uint64(i + 1)})
		size += len(records.JobKey(id)) + len(value)
	}
	return items, size
}

// BenchmarkFinishedJobs loads the records of finished jobs into a new controller, which keeps as many of them
// as a process with 125 MB of memory does, or all of them.
func BenchmarkFinishedJobs(b *testing.B) {
	const pageSize = 1000
	for _, jobCount := range []int{50_000, 500_000} {
		for name, capacity := range map[string]int{"bounded": finishedJobCapacity(0, 125), "all": jobCount} {
			b.Run(fmt.Sprint(jobCount, "/", name), func(b *testing.B) {
				for b.Loop() {
					controller := newTestController(b)
					controller.history.capacity = capacity
					heapBefore, storedBytes := heapInUse(), 0
					filter := storeview.NewLoadFilter(capacity)
					for first := 0; first < jobCount; first += pageSize {
						items, size := finishedJobsPage(b, first, pageSize)
						storedBytes += size
						filter.Add(items)
					}
					controller.applyLoad(filter, uint64(jobCount))
					filter = nil
					b.ReportMetric((heapInUse()-heapBefore)/1e6, "MB-memory")
					b.ReportMetric(float64(storedBytes)/float64(jobCount), "B-stored/job")
					runtime.KeepAlive(controller)
				}
			})
		}
	}
}

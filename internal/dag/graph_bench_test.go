package dag

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"

	"firwood.dev/firwood/internal/clock"
)

// graphShape generates the jobs of a graph of a given size, so that each job follows its dependencies.
type graphShape struct {
	name     string
	makeJobs func(size int) []Job
}

func jobID(index int) string { return fmt.Sprintf("req-%06d", index) }

func jobWithDependencies(index int, dependencies ...int) Job {
	job := Job{ID: jobID(index), SubmittedAt: clock.Micros(index + 1), EstimatedRunTime: 10 * clock.Second, Urgency: Urgency{Priority: 3}}
	for _, dependency := range dependencies {
		job.DependsOn = append(job.DependsOn, jobID(dependency))
	}
	return job
}

var graphShapes = []graphShape{
	{"chain", func(size int) []Job {
		jobs := []Job{jobWithDependencies(0)}
		for i := 1; i < size; i++ {
			jobs = append(jobs, jobWithDependencies(i, i-1))
		}
		return jobs
	}},
	{"fan out", func(size int) []Job {
		jobs := []Job{jobWithDependencies(0)}
		for i := 1; i < size; i++ {
			jobs = append(jobs, jobWithDependencies(i, 0))
		}
		return jobs
	}},
	{"fan in", func(size int) []Job {
		var jobs []Job
		last := jobWithDependencies(size - 1)
		for i := range size - 1 {
			jobs = append(jobs, jobWithDependencies(i))
			last.DependsOn = append(last.DependsOn, jobID(i))
		}
		return append(jobs, last)
	}},
	{"diamonds", func(size int) []Job { return diamondJobs(size, 0) }},
	{"diamonds, long way first", func(size int) []Job { return diamondJobs(size, 1) }},
	{"any", func(size int) []Job {
		rng := rand.New(rand.NewPCG(uint64(size), 3))
		var jobs []Job
		for i := range size {
			var dependencies []int
			for range rng.IntN(4) {
				if i > 0 {
					dependencies = append(dependencies, rng.IntN(i))
				}
			}
			jobs = append(jobs, jobWithDependencies(i, dependencies...))
		}
		return jobs
	}},
}

// diamondJobs returns a chain of diamonds: one job, two parallel jobs, one job, and so on. slowBranch, 0
// or 1, selects which of the two parallel jobs takes longer.
func diamondJobs(size, slowBranch int) []Job {
	jobs := []Job{jobWithDependencies(0)}
	for i := 1; i+2 < size; i += 3 {
		jobs = append(jobs, jobWithDependencies(i, i-1), jobWithDependencies(i+1, i-1), jobWithDependencies(i+2, i, i+1))
		jobs[len(jobs)-2-slowBranch].EstimatedRunTime = clock.Micros(size) * clock.Second
	}
	return jobs
}

// BenchmarkGraph measures the time and memory per job for graphs of several shapes and sizes. It adds all
// jobs, as a new leader does, the last one with a deadline that propagates to all others. Then it completes
// half of the jobs, and cancels the next one with its dependents.
func BenchmarkGraph(b *testing.B) {
	for _, shape := range graphShapes {
		for _, size := range []int{1000, 10000, 50000} {
			b.Run(fmt.Sprintf("%s/%d", shape.name, size), func(b *testing.B) {
				jobs := shape.makeJobs(size)
				jobs[len(jobs)-1].Urgency = Urgency{Priority: 1, Deadline: 1 << 50}
				var retainedBytes uint64
				for b.Loop() {
					b.StopTimer()
					bytesBefore := heapInUse()
					b.StartTimer()
					graph := New()
					for _, job := range jobs {
						graph.AddJob(job)
					}
					b.StopTimer()
					retainedBytes = heapInUse() - bytesBefore
					b.StartTimer()
					for i := range len(jobs) / 2 {
						graph.RecordCompletion(jobs[i].ID, clock.Micros(i))
					}
					graph.RecordCancellation(jobs[len(jobs)/2].ID)
				}
				b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*len(jobs)), "ns/job")
				b.ReportMetric(float64(retainedBytes)/float64(len(jobs)), "B/job")
			})
		}
	}
}

func heapInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// The propagation of urgency takes time linear in the number of edges, even if paths of different lengths
// meet repeatedly.
func TestUrgencyPropagatesInLinearTime(t *testing.T) {
	for _, shape := range graphShapes {
		for _, size := range []int{300, 3000} {
			graph := New()
			for _, job := range shape.makeJobs(size) {
				graph.AddJob(job)
			}
			// A job that depends on the last job is more urgent than all other jobs.
			last := shape.makeJobs(size)[len(shape.makeJobs(size))-1]
			urgent := jobWithDependencies(size+1, 0)
			urgent.DependsOn = []string{last.ID}
			urgent.Urgency = Urgency{Priority: 0, Deadline: 1 << 50}
			effects := graph.AddJob(urgent)
			edges := 0
			for _, job := range shape.makeJobs(size) {
				edges += len(job.DependsOn)
			}
			if len(effects.MoreUrgent) > 4*(edges+1) {
				t.Errorf("%s of %d jobs: got %d changes, want at most 4*(%d edges + 1)", shape.name, size, len(effects.MoreUrgent), edges)
			}
		}
	}
}

package dag

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"

	"firwood.dev/firwood/internal/clock"
)

// shape makes the jobs of a graph of a size, each after those that it needs.
type shape struct {
	name string
	jobs func(n int) []Job
}

func jobID(i int) string { return fmt.Sprintf("req-%06d", i) }

func jobAfter(i int, needs ...int) Job {
	job := Job{ID: jobID(i), Submitted: clock.Micros(i + 1), Run: 10 * clock.Second, Urgency: Urgency{Priority: 3}}
	for _, need := range needs {
		job.Needs = append(job.Needs, jobID(need))
	}
	return job
}

var shapes = []shape{
	{"chain", func(n int) []Job {
		jobs := []Job{jobAfter(0)}
		for i := 1; i < n; i++ {
			jobs = append(jobs, jobAfter(i, i-1))
		}
		return jobs
	}},
	{"fan out", func(n int) []Job {
		jobs := []Job{jobAfter(0)}
		for i := 1; i < n; i++ {
			jobs = append(jobs, jobAfter(i, 0))
		}
		return jobs
	}},
	{"fan in", func(n int) []Job {
		var jobs []Job
		last := jobAfter(n - 1)
		for i := range n - 1 {
			jobs = append(jobs, jobAfter(i))
			last.Needs = append(last.Needs, jobID(i))
		}
		return append(jobs, last)
	}},
	{"diamonds", func(n int) []Job { return diamonds(n, 0) }},
	{"diamonds, long way first", func(n int) []Job { return diamonds(n, 1) }},
	{"any", func(n int) []Job {
		rng := rand.New(rand.NewPCG(uint64(n), 3))
		var jobs []Job
		for i := range n {
			var needs []int
			for range rng.IntN(4) {
				if i > 0 {
					needs = append(needs, rng.IntN(i))
				}
			}
			jobs = append(jobs, jobAfter(i, needs...))
		}
		return jobs
	}},
}

// diamonds are one job, two side by side, one, two, and so on; of the two, the one that
// is chosen takes longer.
func diamonds(n, longer int) []Job {
	jobs := []Job{jobAfter(0)}
	for i := 1; i+2 < n; i += 3 {
		jobs = append(jobs, jobAfter(i, i-1), jobAfter(i+1, i-1), jobAfter(i+2, i, i+1))
		jobs[len(jobs)-2-longer].Run = clock.Micros(n) * clock.Second
	}
	return jobs
}

// What a graph costs a job, over its size: to take all records, as a new leader does, the
// last with a deadline that reaches back over all; then half of the jobs end, and the
// rest is cancelled with the first that is left.
func BenchmarkGraph(b *testing.B) {
	for _, s := range shapes {
		for _, n := range []int{1000, 10000, 50000} {
			b.Run(fmt.Sprintf("%s/%d", s.name, n), func(b *testing.B) {
				jobs := s.jobs(n)
				jobs[len(jobs)-1].Urgency = Urgency{Priority: 1, Deadline: 1 << 50}
				var held uint64
				for b.Loop() {
					b.StopTimer()
					before := heapInUse()
					b.StartTimer()
					g := New()
					for _, j := range jobs {
						g.Add(j)
					}
					b.StopTimer()
					held = heapInUse() - before
					b.StartTimer()
					for i := range len(jobs) / 2 {
						g.Done(jobs[i].ID, clock.Micros(i))
					}
					g.Cancel(jobs[len(jobs)/2].ID)
				}
				b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*len(jobs)), "ns/job")
				b.ReportMetric(float64(held)/float64(len(jobs)), "B/job")
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

// Taking a record costs what follows from it, not the graph's size: where ways of
// different lengths meet again and again, deadlines once more don't run over all of them.
func TestUrgencyReachesBackOnce(t *testing.T) {
	for _, s := range shapes {
		for _, n := range []int{300, 3000} {
			g := New()
			for _, j := range s.jobs(n) {
				g.Add(j)
			}
			// The one that comes last asks for more than all before it.
			last := s.jobs(n)[len(s.jobs(n))-1]
			urgent := jobAfter(n+1, 0)
			urgent.Needs = []string{last.ID}
			urgent.Urgency = Urgency{Priority: 0, Deadline: 1 << 50}
			change := g.Add(urgent)
			edges := 0
			for _, j := range s.jobs(n) {
				edges += len(j.Needs)
			}
			if len(change.MoreUrgent) > 4*(edges+1) {
				t.Errorf("%s of %d: %d changes over %d edges", s.name, n, len(change.MoreUrgent), edges)
			}
		}
	}
}

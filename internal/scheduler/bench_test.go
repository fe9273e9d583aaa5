package scheduler

import (
	"fmt"
	"testing"

	"firwood.dev/firwood/internal/clock"
)

const plansPerIteration = 10

// BenchmarkPlan measures how the time of a plan grows with the fleet: without waiting jobs, with a
// queue and a full fleet, and with a queue and an empty fleet as at the start of a day.
func BenchmarkPlan(b *testing.B) {
	for _, testCase := range []struct {
		name           string
		filledFraction float64
		waitingJobs    int
	}{{"quiet", 0.9, 0}, {"full", 1, 40}, {"start", 0, 300}, {"start of a large day", 0, 900}} {
		for _, machineCount := range []int{500, 1500, 4000, 6000} {
			b.Run(fmt.Sprintf("%s/%d", testCase.name, machineCount), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					b.StopTimer()
					fixture := newFleetFixture(machineCount, testCase.filledFraction, testCase.waitingJobs)
					b.StartTimer()
					// A leader plans again and again, with few changes in between.
					for i := 0; i < plansPerIteration; i++ {
						fixture.plan()
						fixture.now += clock.Second / plansPerIteration
					}
				}
				b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N*plansPerIteration), "us/plan")
			})
		}
	}
}

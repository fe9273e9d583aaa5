package scheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// Under a load above the fleet's capacity, smallest need first alone would keep large jobs waiting
// for as long as small ones arrive. Over generated loads, the largest tenth of the jobs has to start
// within four minutes, and at least half of the jobs of every class and team has to start.
func TestNoStarvationUnderOverload(t *testing.T) {
	for seed := uint64(1); seed <= 6; seed++ {
		rng := rand.New(rand.NewPCG(seed, 12))
		fixture := newFixture(map[string]allocation.TeamQuota{"a": {GuaranteedMicroCPU: 64 * allocation.Unit, MaxMicroCPU: 160 * allocation.Unit}, "b": {GuaranteedMicroCPU: 64 * allocation.Unit, MaxMicroCPU: 160 * allocation.Unit}})
		for i := 0; i < 12; i++ {
			fixture.addMachine(fmt.Sprintf("i-%02d", i), "big", []string{"x", "y", "z"}[i%3], true)
		}
		runTimes, firstStarts := map[*allocation.Job]clock.Micros{}, map[*allocation.Job]clock.Micros{}
		type submission struct {
			job         *allocation.Job
			submittedAt clock.Micros
			size        int
		}
		var submissions []submission
		for sec := 0; sec < 900; sec++ {
			// The fleet runs 48 tasks at a time; the submitted jobs need one and a half times that.
			if sec < 660 && rng.IntN(10) == 0 {
				size, class := 2+rng.IntN(20), "short"
				if rng.IntN(6) == 0 {
					size, class = 40+rng.IntN(60), "large"
				}
				runSeconds := 10 + 30*rng.Float64()
				spec := wire.Job{ID: fmt.Sprintf("req-%06d", len(submissions)), Class: class, Team: []string{"a", "b"}[rng.IntN(2)], TaskCount: size,
					CPUs: 4, MemoryGB: 14, AllowsSpot: true, EstimatedRunSeconds: runSeconds, DeadlineSeconds: 2*runSeconds + 30}
				job := fixture.addJob(spec)
				runTimes[job] = clock.FromSeconds(runSeconds)
				submissions = append(submissions, submission{job, fixture.now, size})
			}
			fixture.plan()
			fixture.simulateSecond(runTimes, firstStarts)
		}
		slices.SortFunc(submissions, func(a, b submission) int { return b.size - a.size })
		started, count := map[string]int{}, map[string]int{}
		for i, submission := range submissions {
			startedAt := firstStarts[submission.job]
			for _, group := range []string{submission.job.Spec.Class, submission.job.Spec.Team} {
				count[group]++
				started[group] += boolToInt(startedAt != 0)
			}
			if i < len(submissions)/10 && (startedAt == 0 || startedAt-submission.submittedAt > 240*clock.Second) {
				t.Errorf("seed %d: %s with %d tasks started %v s after its submission (negative: never), want at most 240 s", seed, submission.job.Spec.ID, submission.size, (startedAt - submission.submittedAt).Seconds())
			}
		}
		for group, n := range count {
			if 2*started[group] < n {
				t.Errorf("seed %d: %d of %d jobs of %s were started, want at least half", seed, started[group], n, group)
			}
		}
	}
}

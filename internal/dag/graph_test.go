package dag

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/seed"
)

func TestMain(m *testing.M) { seed.Main(m) }

// historyRecord is one record of a generated history: the submission or the end of a job.
type historyRecord struct {
	job         Job
	stage       stage
	completedAt clock.Micros
}

// drawHistory draws jobs that depend on earlier ones, and the ends of some of them by job id. No job is
// done before its dependencies, or if one of them is cancelled.
func drawHistory(t *rapid.T) (jobs []Job, outcomes map[string]historyRecord) {
	count := rapid.IntRange(1, 14).Draw(t, "jobs")
	outcomes = map[string]historyRecord{}
	isCancelled := map[string]bool{}
	isDone := map[string]bool{}
	for i := range count {
		job := Job{
			ID: fmt.Sprintf("req-%d", i), SubmittedAt: clock.Micros(100 + i), EstimatedRunTime: clock.Micros(rapid.IntRange(0, 9).Draw(t, "run")),
			Urgency: Urgency{Priority: rapid.IntRange(0, 3).Draw(t, "priority"), Deadline: clock.Micros(rapid.IntRange(0, 1).Draw(t, "has a deadline") * rapid.IntRange(500, 900).Draw(t, "deadline"))},
		}
		for _, earlier := range jobs {
			if rapid.IntRange(0, 3).Draw(t, "depends on") == 0 {
				job.DependsOn = append(job.DependsOn, earlier.ID)
			}
		}
		jobs = append(jobs, job)
		isReady := true
		for _, dependency := range job.DependsOn {
			isReady = isReady && isDone[dependency]
			isCancelled[job.ID] = isCancelled[job.ID] || isCancelled[dependency]
		}
		switch end := rapid.IntRange(0, 3).Draw(t, "end"); {
		case isCancelled[job.ID]:
		case end == 0:
			isCancelled[job.ID] = true
			outcomes[job.ID] = historyRecord{job: job, stage: stageCancelled}
		case end < 3 && isReady:
			isDone[job.ID] = true
			outcomes[job.ID] = historyRecord{job: job, stage: stageDone, completedAt: clock.Micros(200 + 10*i)}
		}
	}
	return jobs, outcomes
}

// expectedState is the expected state of a job in the graph.
type expectedState struct {
	isCancelled, isBlocked bool
	releasedAt             clock.Micros
	urgency                Urgency
}

// expectedStates derives the states of all jobs directly from their definitions, without a graph.
func expectedStates(jobs []Job, outcomes map[string]historyRecord) map[string]expectedState {
	states := map[string]expectedState{}
	for _, job := range jobs {
		state := expectedState{releasedAt: job.SubmittedAt, isCancelled: outcomes[job.ID].stage == stageCancelled}
		for _, dependency := range job.DependsOn {
			state.isCancelled = state.isCancelled || states[dependency].isCancelled
			state.isBlocked = state.isBlocked || outcomes[dependency].stage != stageDone
			if outcomes[dependency].stage == stageDone {
				state.releasedAt = max(state.releasedAt, outcomes[dependency].completedAt)
			}
		}
		states[job.ID] = state
	}
	for i := len(jobs) - 1; i >= 0; i-- {
		state := states[jobs[i].ID]
		state.urgency = jobs[i].Urgency
		for _, later := range jobs[i+1:] {
			if slices.Contains(later.DependsOn, jobs[i].ID) && !states[later.ID].isCancelled {
				state.urgency = state.urgency.Merge(states[later.ID].urgency.forDependencies(later.EstimatedRunTime))
			}
		}
		states[jobs[i].ID] = state
	}
	return states
}

// drawRecords draws the records of a history in any order. One of them may be repeated.
func drawRecords(t *rapid.T, jobs []Job, outcomes map[string]historyRecord) []historyRecord {
	var historyRecords []historyRecord
	for _, job := range jobs {
		// The record of a job that has ended no longer lists the job's dependencies.
		if outcome, hasOutcome := outcomes[job.ID]; hasOutcome {
			historyRecords = append(historyRecords, outcome)
			if rapid.Bool().Draw(t, "its submission is seen too") {
				historyRecords = append(historyRecords, historyRecord{job: job, stage: stageUnfinished})
			}
		} else {
			historyRecords = append(historyRecords, historyRecord{job: job, stage: stageUnfinished})
		}
	}
	historyRecords = rapid.Permutation(historyRecords).Draw(t, "order")
	if count := len(historyRecords); count > 0 && rapid.Bool().Draw(t, "repeat") {
		historyRecords = append(historyRecords, historyRecords[rapid.IntRange(0, count-1).Draw(t, "repeated")])
	}
	return historyRecords
}

// applyRecord applies a record to the graph and checks the effects. isReleased has the jobs that have been
// released so far.
func applyRecord(t *rapid.T, graph *Graph, record historyRecord, isReleased map[string]bool) {
	t.Helper()
	var effects Effects
	switch record.stage {
	case stageUnfinished:
		effects = graph.AddJob(record.job)
	case stageDone:
		effects = graph.RecordCompletion(record.job.ID, record.completedAt)
	case stageCancelled:
		effects = graph.RecordCancellation(record.job.ID)
	}
	for _, id := range effects.Released {
		if isReleased[id] || graph.IsBlocked(id) {
			t.Fatalf("%s is released twice, or while it is blocked", id)
		}
		isReleased[id] = true
	}
	if slices.Contains(effects.Cancelled, record.job.ID) && record.stage != stageUnfinished {
		t.Fatalf("the effects of the cancellation of %s list the job itself", record.job.ID)
	}
}

// checkJob compares the graph's state of a job that has no record of its end with the expected state. The
// job may be more urgent than expected, since the cancellation of a dependent doesn't lower its urgency.
func checkJob(t *rapid.T, graph *Graph, job Job, want expectedState) {
	t.Helper()
	if graph.IsCancelled(job.ID) != want.isCancelled {
		t.Fatalf("%s: IsCancelled: got %v, want %v", job.ID, graph.IsCancelled(job.ID), want.isCancelled)
	}
	if want.isCancelled {
		return
	}
	if graph.IsBlocked(job.ID) != want.isBlocked || (len(graph.PendingDependencies(job.ID)) > 0) != want.isBlocked {
		t.Fatalf("%s: IsBlocked: got %v, want %v, and pending dependencies only if blocked", job.ID, graph.IsBlocked(job.ID), want.isBlocked)
	}
	if releasedAt := graph.ReleasedAt(job.ID, job.SubmittedAt); !want.isBlocked && releasedAt != want.releasedAt {
		t.Fatalf("%s: ReleasedAt: got %d, want %d", job.ID, releasedAt, want.releasedAt)
	}
	if got := graph.UrgencyOf(job.ID, job.Urgency); got.Priority > want.urgency.Priority || want.urgency.Deadline != 0 && (got.Deadline == 0 || got.Deadline > want.urgency.Deadline) {
		t.Fatalf("%s: urgency: got %+v, want at least %+v", job.ID, got, want.urgency)
	}
}

// The graph's state agrees with the definitions in whatever order, and however often, the records arrive.
// No job is released before all its dependencies are done, and the dependents of a cancelled job are
// cancelled.
func TestRecordOrderIsIrrelevant(t *testing.T) {
	blockedCount, cascadeCount := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		jobs, outcomes := drawHistory(t)
		graph := New()
		isReleased := map[string]bool{}
		for _, record := range drawRecords(t, jobs, outcomes) {
			applyRecord(t, graph, record, isReleased)
		}
		wantStates := expectedStates(jobs, outcomes)
		for _, job := range jobs {
			if _, hasOutcome := outcomes[job.ID]; hasOutcome {
				continue
			}
			want := wantStates[job.ID]
			checkJob(t, graph, job, want)
			if want.isCancelled {
				cascadeCount++
			} else if want.isBlocked {
				blockedCount++
			}
		}
	})
	if blockedCount < 20 || cascadeCount < 20 {
		t.Fatalf("the histories cover too little: got %d blocked jobs and %d cancelled with a dependency, want at least 20 of each", blockedCount, cascadeCount)
	}
}

// Each record affects every job exactly once, in a chain of thousands of jobs and with thousands of
// dependents of one job.
func TestEffectsReachEachJobOnceInLongChainsAndWideFans(t *testing.T) {
	const length = 5000
	id := func(i int) string { return fmt.Sprintf("req-%d", i) }
	chain := New()
	for i := range length {
		job := Job{ID: id(i), Urgency: Urgency{Priority: 3}}
		if i > 0 {
			job.DependsOn = []string{id(i - 1)}
		}
		chain.AddJob(job)
	}
	last := Job{ID: "req-last", DependsOn: []string{id(length - 1)}, Urgency: Urgency{Priority: 0, Deadline: 1 << 40}, EstimatedRunTime: 1}
	if effects := chain.AddJob(last); len(effects.MoreUrgent) != length {
		t.Fatalf("jobs made more urgent: got %d, want %d", len(effects.MoreUrgent), length)
	}
	if effects := chain.RecordCancellation(id(0)); len(effects.Cancelled) != length {
		t.Fatalf("cancelled jobs: got %d, want %d", len(effects.Cancelled), length)
	}
	fan := New()
	fan.AddJob(Job{ID: "req-root"})
	for i := range length {
		fan.AddJob(Job{ID: id(i), DependsOn: []string{"req-root"}})
	}
	if effects := fan.RecordCompletion("req-root", 5); len(effects.Released) != length {
		t.Fatalf("released jobs: got %d, want %d", len(effects.Released), length)
	}
}

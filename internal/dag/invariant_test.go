package dag

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"firwood.dev/firwood/internal/clock"
)

// checkInvariant checks that every edge has both ends and joins jobs that have not ended.
func checkInvariant(t *rapid.T, graph *Graph) {
	t.Helper()
	if unknown := graph.UnknownDependencies(); len(unknown) != graph.unknownCount {
		t.Fatalf("got a count of %d unknown jobs, want that of %v", graph.unknownCount, unknown)
	}
	for id, jobNode := range graph.nodes {
		checkUnknownDependencies(t, graph, id)
		if edges := len(jobNode.dependencies) + len(jobNode.dependents); jobNode.hasEnded() && edges > 0 {
			t.Fatalf("%s has ended and has %d edges, want none", id, edges)
		}
		if jobNode.stage == stageUnknown && len(jobNode.dependents) == 0 {
			t.Fatalf("%s is unknown and no job depends on it, want it removed", id)
		}
		for dependency := range jobNode.dependencies {
			dependencyNode := graph.nodes[dependency]
			if dependencyNode == nil {
				t.Fatalf("%s depends on %s, which is not in the graph", id, dependency)
			}
			if !hasEdge(dependencyNode.dependents, id) {
				t.Fatalf("%s depends on %s, which lacks the edge", id, dependency)
			}
		}
		for dependent := range jobNode.dependents {
			if dependentNode := graph.nodes[dependent]; dependentNode == nil || !hasEdge(dependentNode.dependencies, id) {
				t.Fatalf("%s is a dependent of %s and lacks the edge", dependent, id)
			}
		}
	}
}

// checkUnknownDependencies compares the unknown dependencies of a job with those found one edge at a time.
func checkUnknownDependencies(t *rapid.T, graph *Graph, id string) {
	t.Helper()
	want := map[string]bool{}
	var visit func(id string)
	visit = func(id string) {
		for dependency := range graph.nodes[id].dependencies {
			if graph.nodes[dependency].stage == stageUnknown {
				want[dependency] = true
			}
			visit(dependency)
		}
	}
	visit(id)
	if got := graph.UnknownDependenciesOf(id); !slices.Equal(got, toSet(want).sorted()) {
		t.Fatalf("%s: got unknown dependencies %v, want %v", id, got, want)
	}
}

func toSet(ids map[string]bool) jobSet {
	var set jobSet
	for id := range ids {
		set.add(id)
	}
	return set
}

func hasEdge(set jobSet, id string) bool {
	_, exists := set[id]
	return exists
}

// evictionHistory is a generated history of a graph from which ended jobs are removed, and to which they come back
// when they are looked up.
type evictionHistory struct {
	graph *Graph
	jobs  []Job
	// removalCount is how many ended jobs were removed from the graph.
	removalCount int
	ends         map[string]stage // the durable ends of jobs, by their own records or with a dependency
}

// end ends a job, and all of its transitive dependents if it is cancelled, as the records say.
func (history *evictionHistory) end(id string, end stage) {
	if history.ends[id] != stageUnknown {
		return
	}
	history.ends[id] = end
	if end != stageCancelled {
		return
	}
	for _, job := range history.jobs {
		if slices.Contains(job.DependsOn, id) {
			history.end(job.ID, stageCancelled)
		}
	}
}

// mayBeDone reports whether a job has not ended, and all of its dependencies are done.
func (history *evictionHistory) mayBeDone(job *Job) bool {
	return history.ends[job.ID] == stageUnknown && !slices.ContainsFunc(job.DependsOn, func(id string) bool { return history.ends[id] != stageDone })
}

// step applies one drawn record, removal or look-up to the graph.
func (history *evictionHistory) step(t *rapid.T) {
	graph := history.graph
	action := rapid.IntRange(0, 6).Draw(t, "action")
	if action == 0 || len(history.jobs) == 0 {
		history.addJob(t)
		return
	}
	job := &history.jobs[rapid.IntRange(0, len(history.jobs)-1).Draw(t, "job")]
	switch {
	case action == 1 && history.mayBeDone(job):
		history.end(job.ID, stageDone)
		graph.RecordCompletion(job.ID, 300)
	case action == 2 && history.ends[job.ID] == stageUnknown:
		history.end(job.ID, stageCancelled)
		graph.RecordCancellation(job.ID)
	case action == 3:
		before := len(graph.nodes)
		graph.Remove(job.ID)
		history.removalCount += before - len(graph.nodes)
	case action == 4 && history.ends[job.ID] == stageDone: // looked up, or read again
		graph.RecordCompletion(job.ID, 300)
	case action == 4 && history.ends[job.ID] == stageCancelled:
		graph.RecordCancellation(job.ID)
	case action == 6 && history.ends[job.ID] != stageUnknown:
		graph.Forget(job.ID)
	case action == 5 && (history.ends[job.ID] == stageUnknown || rapid.Bool().Draw(t, "its submission is seen late")):
		graph.AddJob(*job)
	}
}

// addJob submits a job that depends on any earlier ones, also on such that have ended and were removed. A job may
// be seen by this controller only later.
func (history *evictionHistory) addJob(t *rapid.T) {
	job := Job{ID: fmt.Sprintf("req-%d", len(history.jobs)), SubmittedAt: clock.Micros(100 + len(history.jobs))}
	isCancelled := false
	for _, earlier := range history.jobs {
		if rapid.IntRange(0, 2).Draw(t, "depends on") == 0 {
			job.DependsOn = append(job.DependsOn, earlier.ID)
			isCancelled = isCancelled || history.ends[earlier.ID] == stageCancelled
		}
	}
	history.jobs = append(history.jobs, job)
	if isCancelled {
		history.end(job.ID, stageCancelled)
	}
	if rapid.IntRange(0, 3).Draw(t, "is seen at once") > 0 {
		history.graph.AddJob(job)
	}
}

// Guards against controllers that all panic at once: a job that is cancelled with one dependency stayed among the
// dependents of another, was removed, and that other one completed. In every order of additions, ends, removals
// and look-ups each edge has both ends, and what the graph says of a job follows from the records it has seen.
func TestEveryEdgeHasBothEnds(t *testing.T) {
	removalCount, endCount := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		history := &evictionHistory{graph: New(), ends: map[string]stage{}}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			history.step(t)
			checkInvariant(t, history.graph)
		}
		for i := range history.jobs { // every end is read, in the order of the submissions
			job := &history.jobs[i]
			history.graph.AddJob(*job)
			switch history.ends[job.ID] {
			case stageDone:
				history.graph.RecordCompletion(job.ID, 300)
			case stageCancelled:
				history.graph.RecordCancellation(job.ID)
			}
			checkInvariant(t, history.graph)
		}
		for _, job := range history.jobs {
			if got, want := history.graph.IsCancelled(job.ID), history.ends[job.ID] == stageCancelled; got != want {
				t.Fatalf("%s: cancelled: got %v, want %v", job.ID, got, want)
			}
			isWaiting := slices.ContainsFunc(job.DependsOn, func(id string) bool { return history.ends[id] != stageDone })
			if got := history.graph.IsBlocked(job.ID); history.ends[job.ID] == stageUnknown && got != isWaiting {
				t.Fatalf("%s: blocked: got %v, want %v", job.ID, got, isWaiting)
			}
		}
		removalCount += history.removalCount
		endCount += len(history.ends)
	})
	if removalCount < 50 || endCount < 50 {
		t.Fatalf("the histories cover too little: got %d removals and %d ends, want at least 50 of each", removalCount, endCount)
	}
}

// Guards against the same panic in its shortest form, for both ways in which the edge was left.
func TestCompletionAfterRemovalOfCancelledDependent(t *testing.T) {
	for _, isCancelledBefore := range []bool{false, true} {
		graph := New()
		graph.AddJob(Job{ID: "tally"})
		graph.AddJob(Job{ID: "feesplit"})
		if isCancelledBefore { // the dependent is cancelled as it is added
			graph.RecordCancellation("feesplit")
		}
		graph.AddJob(Job{ID: "payout", DependsOn: []string{"feesplit", "tally"}})
		if !isCancelledBefore {
			graph.RecordCancellation("feesplit")
		}
		graph.Remove("payout")
		if effects := graph.RecordCompletion("tally", 5); len(effects.Released) != 0 {
			t.Errorf("cancelled before %v: released %v, want none", isCancelledBefore, effects.Released)
		}
	}
}

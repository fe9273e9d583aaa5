package leader

import (
	"testing"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/dag"
	"firwood.dev/firwood/internal/records"
	"firwood.dev/firwood/internal/storeview"
	"firwood.dev/firwood/wire"
)

const (
	dependencyID = "req-000001"
	dependentID  = "req-000002"
)

// newTermWithStartedDependent returns the term of a new leader whose view has a job of two tasks with recorded
// starts that depends on another job. If dependency is nil, the view lacks that other job.
func newTermWithStartedDependent(t *testing.T, kind string, dependency *storeview.Job) *Term {
	t.Helper()
	owner := ownerOf(newTestTerm(t, "i-1", "i-2"))
	submittedAt := int64(clock.WallTime() - 100*clock.Second)
	spec := &wire.Job{ID: dependentID, Class: "c", Kind: kind, Priority: wire.PriorityNormal, Team: "t", TaskCount: 2, CPUs: 4, EstimatedRunSeconds: 60, DependsOn: []string{dependencyID}}
	owner.View.SetJob(dependentID, &storeview.Job{Job: records.Job{SubmittedAt: submittedAt, Spec: spec}, Version: 5})
	owner.View.Progress[dependentID] = map[int]storeview.ProgressPart{0: {Version: 6}}
	if dependency != nil {
		owner.View.SetJob(dependencyID, dependency)
	}
	owner.term = owner.newTerm(10, clock.Now())
	return owner.term
}

// unfinishedDependency returns the record of a job that has not ended.
func unfinishedDependency() *storeview.Job {
	spec := &wire.Job{ID: dependencyID, Class: "c", Kind: wire.KindArray, Priority: wire.PriorityNormal, Team: "t", TaskCount: 1, CPUs: 4}
	return &storeview.Job{Job: records.Job{SubmittedAt: int64(clock.WallTime() - 200*clock.Second), Spec: spec}, Version: 4}
}

// endedDependency returns the record of a job that ended in a state a minute ago.
func endedDependency(state string) *storeview.Job {
	return &storeview.Job{Job: records.Job{State: state, EndedAt: int64(clock.WallTime() - 60*clock.Second)}, Version: 8}
}

// listTask applies a heartbeat of a machine under the term's token, and returns the commands of the reply.
func listTask(term *Term, machineName string, sequence uint64, tasks ...wire.TaskStatus) []wire.Command {
	machine, now := term.tracker.Machines[machineName], clock.Now()
	term.tracker.RecordLeaseRenewal(machine, now)
	term.tracker.RecordHeartbeat(machine, &wire.Heartbeat{MachineID: machineName, Incarnation: 1, Sequence: sequence, FencingToken: 10, Tasks: tasks}, now)
	return term.tracker.HeartbeatCommands(machine, now)
}

// Guards against a new leader that takes a started job for one without tasks while it looks up the job's
// dependency: the job's tasks stay unconfirmed, run on where they are found, and none starts before that.
func TestStartedJobWithUnknownDependencyKeepsItsTasks(t *testing.T) {
	for _, kind := range []string{wire.KindArray, wire.KindGang, wire.KindService} {
		term := newTermWithStartedDependent(t, kind, nil)
		job := term.tracker.Jobs[dependentID]
		if job == nil || job.UnconfirmedCount() != 2 || job.Dependencies != allocation.DependenciesUnknown {
			t.Fatalf("%s: the new leader's job is %+v, want one with 2 unconfirmed tasks and unknown dependencies", kind, job)
		}
		running := wire.TaskStatus{TaskID: dependentID + "/0", Attempt: 3, State: wire.TaskRunning}
		if commands := listTask(term, "i-1", 1, running); len(commands) != 0 {
			t.Errorf("%s: commands to the worker of a running task: got %v, want none", kind, commands)
		}
		term.Plan(clock.Now())
		ownerOf(term).View.SetJob(dependencyID, endedDependency(wire.JobDone))
		if !job.IsReleased() || job.UnconfirmedCount() != 1 || job.Tasks[1].Placement != nil {
			t.Errorf("%s: after the look-up: released %v, %d unconfirmed tasks, want true and 1, since i-2 is silent", kind, job.IsReleased(), job.UnconfirmedCount())
		}
		if want := clock.Micros(term.environment.View.Jobs[dependencyID].EndedAt); job.ReleasedAt != want {
			t.Errorf("%s: the job's wait counts from %d, want the end of its dependency, %d", kind, job.ReleasedAt, want)
		}
		if placement := job.Tasks[0].Placement; placement == nil || placement.IsStopping() {
			t.Errorf("%s: the placement of the task that runs is %+v, want one that stays", kind, placement)
		}
	}
}

// Guards against a job that runs beside its dependency: a version that knows no dependencies has started it,
// and a new leader stops its tasks and starts them again only once the dependency is done.
func TestStartedJobWithUnmetDependencyIsStopped(t *testing.T) {
	for _, kind := range []string{wire.KindArray, wire.KindGang, wire.KindService} {
		term := newTermWithStartedDependent(t, kind, unfinishedDependency())
		job := term.tracker.Jobs[dependentID]
		if job == nil || job.UnconfirmedCount() != 2 || job.Dependencies != allocation.DependenciesUnmet {
			t.Fatalf("%s: the new leader's job is %+v, want one with 2 unconfirmed tasks and an unmet dependency", kind, job)
		}
		running := wire.TaskStatus{TaskID: dependentID + "/0", Attempt: 3, State: wire.TaskRunning}
		commands := listTask(term, "i-1", 1, running)
		if len(commands) != 1 || commands[0].Action != wire.ActionStop || commands[0].TaskID != running.TaskID {
			t.Errorf("%s: commands to the worker of a running task: got %v, want its stop", kind, commands)
		}
		listTask(term, "i-1", 2, wire.TaskStatus{TaskID: running.TaskID, Attempt: 3, State: wire.TaskExited, ExitCause: wire.ExitStopped})
		listTask(term, "i-1", 3) // the worker has reaped the task
		listTask(term, "i-2", 1)
		now := clock.Now()
		term.Plan(now)
		if job.ActiveCount() != 0 {
			t.Errorf("%s: %d tasks are placed while the dependency is unfinished, want none", kind, job.ActiveCount())
		}
		dependency := endedDependency(wire.JobDone)
		ownerOf(term).View.SetJob(dependencyID, dependency)
		for _, machine := range term.tracker.Machines {
			machine.RecordedInStore = true
		}
		term.Plan(now)
		if job.ActiveCount() != 2 {
			t.Errorf("%s: %d tasks are placed once the dependency is done, want 2", kind, job.ActiveCount())
		}
	}
}

// Guards against the end of a job that is recorded before its dependencies are known: had one been cancelled,
// users would be told that the job is cancelled and then that it is done.
func TestEndIsNotRecordedBeforeDependenciesAreKnown(t *testing.T) {
	term := newTermWithStartedDependent(t, wire.KindArray, nil)
	job := term.tracker.Jobs[dependentID]
	for i, machine := range []string{"i-1", "i-2"} {
		listTask(term, machine, 1, wire.TaskStatus{TaskID: wire.TaskID(dependentID, i), Attempt: 3, State: wire.TaskExited, ExitCause: wire.ExitDone})
	}
	if !job.IsComplete() {
		t.Fatal("the job is not complete although both tasks are done")
	}
	term.tracker.MarkCompletionsDurable(job, job.UnpersistedCompletions())
	term.persistJobs(clock.Now())
	if term.jobs[dependentID].isWriting {
		t.Error("the end of the job is being written while its dependency is unknown, want no write")
	}
	ownerOf(term).View.SetJob(dependencyID, endedDependency(wire.JobDone))
	term.persistJobs(clock.Now())
	if !term.jobs[dependentID].isWriting {
		t.Error("the end of the job is not being written once its dependency is known to be done")
	}
}

// Guards against tasks that outlive a cancellation: a version that knows no dependencies has started a job
// whose dependency is then cancelled. Its tasks are stopped, and its record keeps the submission meanwhile.
func TestStartedJobIsStoppedWithCancelledDependency(t *testing.T) {
	for _, isKnownAtStart := range []bool{false, true} {
		dependency := unfinishedDependency()
		if isKnownAtStart {
			dependency = endedDependency(wire.JobCancelled)
		}
		term := newTermWithStartedDependent(t, wire.KindArray, dependency)
		job := term.tracker.Jobs[dependentID]
		ownerOf(term).View.SetJob(dependencyID, endedDependency(wire.JobCancelled))
		running := wire.TaskStatus{TaskID: dependentID + "/0", Attempt: 3, State: wire.TaskRunning}
		commands := listTask(term, "i-1", 1, running)
		if job == nil || len(commands) != 1 || commands[0].Action != wire.ActionStop {
			t.Fatalf("cancelled before the term %v: commands to the worker of a running task: got %v, want its stop", isKnownAtStart, commands)
		}
		if term.tracker.IsVacated(job) || !term.IsTracking(dependentID) {
			t.Errorf("cancelled before the term %v: the job's tasks are forgotten while they may run", isKnownAtStart)
		}
	}
}

// Guards against a dependency state that says less than the records do.
func TestDependencyState(t *testing.T) {
	record := &storeview.Job{Job: records.Job{Spec: &wire.Job{ID: dependentID, DependsOn: []string{dependencyID, "req-000003"}}}}
	view := storeview.New(nil)
	newGraph := func(apply func(*dag.Graph)) *dag.Graph {
		graph := dag.New()
		graph.AddJob(dag.Job{ID: dependentID, DependsOn: record.Spec.DependsOn})
		apply(graph)
		return graph
	}
	for _, test := range []struct {
		description string
		apply       func(*dag.Graph)
		want        allocation.DependencyState
	}{
		{"neither dependency is known", func(*dag.Graph) {}, allocation.DependenciesUnknown},
		{"one is done, the other unknown", func(graph *dag.Graph) { graph.RecordCompletion(dependencyID, 1) }, allocation.DependenciesUnknown},
		{"one is unfinished, the other unknown", func(graph *dag.Graph) { graph.AddJob(dag.Job{ID: dependencyID}) }, allocation.DependenciesUnmet},
		{"both are done", func(graph *dag.Graph) {
			graph.RecordCompletion(dependencyID, 1)
			graph.RecordCompletion("req-000003", 1)
		}, allocation.DependenciesDone},
	} {
		if got := DependencyState(view, newGraph(test.apply), dependentID, record); got != test.want {
			t.Errorf("%s: got %v, want %v", test.description, got, test.want)
		}
	}
}

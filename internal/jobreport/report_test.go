package jobreport

import (
	"encoding/json"
	"fmt"
	"testing"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/wire"
)

// Each cause must have its text, and only late jobs and jobs with errors may be problems.
func TestAssessNamesTheCause(t *testing.T) {
	at := func(seconds float64) clock.Micros { return clock.FromSeconds(1000 + seconds) }
	job := func(change func(*Job)) Job {
		job := Job{ID: "req-000001", Class: "c", State: wire.JobDone, SubmittedAt: at(0), ReleasedAt: at(0), FirstStartAt: at(10), EndedAt: at(100), DeadlineAt: at(50)}
		change(&job)
		return job
	}
	for _, test := range []struct {
		job       Job
		isProblem bool
		reason    string
		lateByS   float64
		waitedS   float64
	}{
		{job(func(*Job) {}), true, "ran longer than estimated", 50, 10},
		{job(func(job *Job) { job.DeadlineAt = at(100) }), false, "", 0, 10},
		{job(func(job *Job) { job.DeadlineAt = 0 }), false, "", 0, 10},
		{job(func(job *Job) { job.FirstStartAt = at(60) }), true, "waited for machines", 50, 60},
		{job(func(job *Job) { job.ReleasedAt = at(60) }), true, "waited for jobs before it in its pipeline", 50, 0},
		{job(func(job *Job) { job.Restarts = 1 }), true, "tasks were lost with their machines and were started again", 50, 10},
		{job(func(job *Job) { job.Errors, job.DeadlineAt = 2, 0 }), true, "tasks failed with an error and were started again", 0, 10},
		{job(func(job *Job) { job.State = wire.JobCancelled }), false, "", 0, 0},
		{job(func(job *Job) { job.State, job.PendingDependency = StateActive, "req-000000" }), true, "waits for req-000000", 50, 10},
		{job(func(job *Job) { job.State, job.FirstStartAt = StateActive, 0 }), true, "no task has started yet", 50, 0},
		{job(func(job *Job) { job.State, job.FirstStartAt, job.HasProgress = StateActive, 0, true }), true, "ran longer than estimated", 50, 0},
	} {
		problem, isProblem := Assess(test.job)
		if isProblem != test.isProblem || problem.Reason != test.reason || problem.LateByS != test.lateByS || problem.WaitedS != test.waitedS || problem.IsLate != (test.lateByS > 0) {
			t.Errorf("Assess(%+v): isProblem = %t, problem = %+v, want the values of the test case", test.job, isProblem, problem)
		}
	}
}

// The problems with the greatest LateByS must come first, and no more than maxProblems may be returned.
func TestSelectWorstSortsAndTruncates(t *testing.T) {
	problems := []Problem{{Job: "b", LateByS: 1}, {Job: "a", LateByS: 1}}
	for i := range maxProblems {
		problems = append(problems, Problem{Job: fmt.Sprint(i), LateByS: float64(i)})
	}
	worst := SelectWorst(problems)
	if len(worst) != maxProblems || worst[0].LateByS != maxProblems-1 || worst[len(worst)-1].Job != "a" {
		t.Errorf("SelectWorst returned %d problems, from %+v to %+v; want 200, the greatest LateByS first and equal ones by job", len(worst), worst[0], worst[len(worst)-1])
	}
}

// The JSON format of the reports must not change, since operators' tools read it.
func TestReportJSONFormat(t *testing.T) {
	report := Report{Member: "a", Jobs: 3, Problems: []Problem{{Job: "j", Class: "c", State: StateActive, IsLate: true, Reason: "r", TookS: 1, LateByS: 2}}}
	for _, state := range []string{wire.JobDone, wire.JobCancelled, ""} {
		report.CountJob(state)
	}
	status := StandbyStatus{Member: "a", Leader: "b", Enabled: true, Replica: &ReplicaStatus{Token: 1, Digest: "d"}, Followers: []FollowerStatus{{Member: "c", LagMs: 4}}, Failover: &FailoverStatus{LockMs: 5}}
	for _, test := range []struct {
		value any
		want  string
	}{
		{report, `{"member":"a","jobs":3,"done":1,"aborted":1,"active":1,"troubles":[{"job":"j","class":"c","state":"active","late":true,"why":"r","took_s":1,"late_by_s":2}]}`},
		{status, `{"member":"a","leader":"b","enabled":true,"replica":{"token":1,"complete":false,"decisions":0,"placements":0,"doubts":0,"digest":"d","dropped":{"older":0,"gaps":0,"malformed":0,"foreign":0,"differing":0}},"followers":[{"member":"c","in_step":false,"lacks_decisions":0,"lacks_ms":4}],"take_over":{"token":0,"replica_used":false,"in_doubt":0,"lock_ms":5,"rebuild_ms":0,"first_decision_ms":0}}`},
	} {
		if encoded, err := json.Marshal(test.value); err != nil || string(encoded) != test.want {
			t.Errorf("encoded as %s (error: %v), want %s", encoded, err, test.want)
		}
	}
}

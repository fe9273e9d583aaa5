package sim

import (
	"strings"
	"testing"
	"time"

	"firwood.dev/firwood/internal/config"
	"firwood.dev/firwood/internal/fake"
	"firwood.dev/firwood/internal/records"
	"firwood.dev/firwood/wire"
)

// recordBytes returns the size of an active job's record.
func recordBytes(t *testing.T, job *wire.Job) int {
	t.Helper()
	record := records.Job{Spec: job, SubmittedAt: time.Now().UnixMicro()}
	value, err := record.MarshalJSON()
	if err != nil {
		t.Fatal(err)
	}
	return len(value)
}

// Guards against jobs near the limit of a value whose end can't be stored, since its record is larger than the accepted one:
// their withdrawal got 503 for good, and a job with a long class name that completed was never shown as done.
func TestJobsNearValueLimitEnd(t *testing.T) {
	const maxValueBytes = 2 << 10
	limits := Limits{UpcomingStore: &config.UpcomingStoreLimits{MaxValueKB: 2, MaxTransactionOps: 16, WriteRPS: 56}}
	options := Options{Limits: limits, TaskDuration: 30 * time.Second}
	options.FinishedJobs.ArchiveAfter = time.Minute
	Run(t, options, func(cluster *Cluster) {
		var waiting, running, completing []*wire.Job
		root := Array(1, 400, "a") // so large that it isn't done while the test needs jobs that wait for it
		cluster.MustSubmit("n0", root)
		number := 10
		next := func() string { number++; return cluster.Members()[number%3] }
		for missing := 0; missing <= 140; missing += 10 { // bytes between the accepted record and the limit
			pad := func(job *wire.Job, name *string) *wire.Job {
				*name = ""
				*name = strings.Repeat("x", max(maxValueBytes-missing-recordBytes(t, job), 0))
				return job
			}
			member := next()
			padded := Array(number, 1, "a")
			padded.DependsOn = []string{root.ID}
			waiting = append(waiting, pad(padded, &padded.Image))
			cluster.MustSubmit(member, padded)
			member = next()
			service := Service(number, 1, "a")
			running = append(running, pad(service, &service.Class))
			cluster.MustSubmit(member, service)
			member = next()
			array := Array(number, 1, "a")
			completing = append(completing, pad(array, &array.Class))
			cluster.MustSubmit(member, array)
		}
		for _, job := range running {
			cluster.WaitForRunningTasks(job.ID, 1)
		}
		cluster.Store.SetLimits(fake.StoreLimits{MaxValueBytes: maxValueBytes, MaxChanges: 16})
		for _, job := range append(waiting, running...) {
			cluster.MustCancel(next(), job.ID)
		}
		cluster.Restart(cluster.Leader(), time.Second)
		for _, job := range completing {
			cluster.WaitForState(next(), job.ID, wire.JobDone, 5*time.Minute)
		}
		for _, job := range running {
			cluster.WaitForRunningTasks(job.ID, 0)
		}
		cluster.WaitFor("the records of all jobs that ended are in the archive", 15*time.Minute, func() bool {
			return len(cluster.Store.Keys(records.ArchivePrefix)) >= len(waiting)+len(running)+len(completing)
		})
		if oversized := cluster.Store.OversizedCount(); oversized > 0 {
			t.Errorf("the store rejected %d transactions for their size, want 0", oversized)
		}
	})
}

package leader

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/config"
	"firwood.dev/firwood/internal/fake"
	"firwood.dev/firwood/internal/kvstore"
	"firwood.dev/firwood/internal/records"
	"firwood.dev/firwood/internal/storeview"
	"firwood.dev/firwood/wire"
)

var cleanupLimits = config.StoreLimits{RPS: 1000, WriteRPS: 1000, MaxValueKB: 8, MaxTransactionOps: 4}

// putAndSync writes keys as another member would, and waits until the view shows them.
func putAndSync(t *testing.T, owner *testOwner, values map[string]any) {
	t.Helper()
	for key, value := range values {
		encoded, err := json.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		hasOutcome := false
		owner.Store.Commit(&kvstore.Write{Changes: []wire.Change{{PutKey: key, Value: encoded}}, Done: func(outcome kvstore.Outcome, _ uint64) {
			if outcome != kvstore.Committed {
				t.Errorf("writing %s: got outcome %v, want committed", key, outcome)
			}
			owner.PostResult(func() { hasOutcome = true })
		}})
		runUntil(t, owner, func() bool { return hasOutcome })
	}
	isSynced := false
	owner.View.RequestSync(func(error) { isSynced = true }, clock.Now()+10*clock.Second)
	runUntil(t, owner, func() bool { return isSynced })
}

func dependencyAndProgressKeys(fakeStore *fake.Store) []string {
	return append(fakeStore.Keys(records.DependenciesPrefix), fakeStore.Keys(records.ProgressPrefix)...)
}

// The cleaner deletes the keys of ended jobs. It keeps those of active jobs, and the progress of a
// cancelled job while tasks of that job may be on machines.
func TestObsoleteKeysAreDeleted(t *testing.T) {
	fakeStore, term := newTermOnStore(t, cleanupLimits)
	newJob := func(id string) *wire.Job {
		return &wire.Job{ID: id, Kind: wire.KindArray, Team: "t", TaskCount: 3, CPUs: 1, Priority: wire.PriorityNormal}
	}
	values := map[string]any{
		records.JobKey("req-000001"): records.Job{SubmittedAt: 1, State: wire.JobDone, EndedAt: 2},
		records.JobKey("req-000002"): records.Job{SubmittedAt: 1, State: wire.JobCancelled, EndedAt: 2},
		records.JobKey("req-000003"): records.Job{SubmittedAt: 1, State: wire.JobCancelled, EndedAt: int64(clock.WallTime()), Spec: newJob("req-000003")},
		records.JobKey("req-000004"): records.Job{SubmittedAt: 1, Spec: newJob("req-000004"), DependencyParts: 2},
	}
	for part := range 9 { // more keys than one transaction may change
		values[records.DependenciesKey("req-000001", part)] = records.Dependencies{DependsOn: []string{"req-000002"}}
		values[records.ProgressKey("req-000002", part)] = records.Progress{}
	}
	wantKeys := []string{
		records.DependenciesKey("req-000004", 0), records.DependenciesKey("req-000004", 1), records.ProgressKey("req-000003", 0), records.ProgressKey("req-000004", 0),
	}
	values[records.DependenciesKey("req-000004", 0)] = records.Dependencies{DependsOn: []string{"req-000001"}}
	values[records.DependenciesKey("req-000004", 1)] = records.Dependencies{DependsOn: []string{"req-000005"}}
	values[records.ProgressKey("req-000003", 0)] = records.Progress{}
	values[records.ProgressKey("req-000004", 0)] = records.Progress{}
	values[records.DependenciesKey("req-000003", 0)] = records.Dependencies{DependsOn: []string{"req-000002"}}
	putAndSync(t, ownerOf(term), values)

	now := clock.Now()
	runUntil(t, ownerOf(term), func() bool {
		now += 2 * sweepInterval
		term.persistence.cleanup.tick(now)
		return slices.Equal(dependencyAndProgressKeys(fakeStore), wantKeys)
	})
	for range 3 { // further sweeps must not delete anything else
		now += 2 * sweepInterval
		term.persistence.cleanup.tick(now)
		idle := 0
		runUntil(t, ownerOf(term), func() bool { idle++; return idle > 50 })
	}
	if got := dependencyAndProgressKeys(fakeStore); !slices.Equal(got, wantKeys) {
		t.Errorf("keys after the cleanup are %v, want those in wantKeys", got)
	}
	for _, transaction := range fakeStore.Transactions() {
		if len(transaction.Changes) > cleanupLimits.MaxTransactionOps {
			t.Errorf("a transaction has %d changes, want at most cleanupLimits.MaxTransactionOps", len(transaction.Changes))
		}
	}
}

// A cleanup write that is executed late, after another leader was elected, must not delete anything, not
// even keys of a job that has ended. Nor may a write of the current leader, once the job has a newer
// record.
func TestStaleCleanupDeletesNothing(t *testing.T) {
	fakeStore, term := newTermOnStore(t, cleanupLimits)
	const id = "req-000001"
	putAndSync(t, ownerOf(term), map[string]any{
		records.JobKey(id): records.Job{SubmittedAt: 1, State: wire.JobDone, EndedAt: 2}, records.ProgressKey(id, 1): records.Progress{},
	})
	before := len(fakeStore.Transactions())
	runUntil(t, ownerOf(term), func() bool {
		term.persistence.cleanup.tick(clock.Now() + 2*sweepInterval)
		return len(dependencyAndProgressKeys(fakeStore)) == 0
	})
	cleanups := fakeStore.Transactions()[before:]
	if len(cleanups) != 1 || len(cleanups[0].Conditions) != 2 {
		t.Fatalf("cleanup transactions are %+v, want one with two conditions", cleanups)
	}
	startNewTerm(t, ownerOf(term))
	putAndSync(t, ownerOf(term), map[string]any{records.ProgressKey(id, 1): records.Progress{}})
	fakeStore.ReapplyTransaction(cleanups[0])
	if keys := dependencyAndProgressKeys(fakeStore); len(keys) != 1 {
		t.Error("a former leader's cleanup write was executed")
	}
	// With the current leader's token, the write must fail because the job has a newer record.
	currentLeaderCleanup := cleanups[0]
	currentLeaderCleanup.Conditions = slices.Clone(currentLeaderCleanup.Conditions)
	for i := range currentLeaderCleanup.Conditions {
		if currentLeaderCleanup.Conditions[i].Key == records.LockKey {
			currentLeaderCleanup.Conditions[i].Version = ownerOf(term).term.token
		}
	}
	putAndSync(t, ownerOf(term), map[string]any{records.JobKey(id): records.Job{SubmittedAt: 2, Spec: &wire.Job{ID: id, Kind: wire.KindArray, Team: "t", TaskCount: 1, CPUs: 1}}})
	fakeStore.ReapplyTransaction(currentLeaderCleanup)
	if keys := dependencyAndProgressKeys(fakeStore); len(keys) != 1 {
		t.Error("a late cleanup write deleted progress of a job whose record is newer")
	}
}

// When thousands of jobs are cancelled because of one job, the writes of their ends must not fill the
// write queue. When they did, submissions were refused until all of these ends were written.
func TestImpliedCancellationsLeaveRoomForSubmissions(t *testing.T) {
	fakeStore, term := newTermOnStore(t, config.StoreLimits{RPS: 1000, WriteRPS: 400, MaxValueKB: 8, MaxTransactionOps: 24})
	owner := ownerOf(term)
	const jobs = 3000
	root := newJobRecord("req-000000")
	owner.View.SetJob("req-000000", root)
	for i := 1; i <= jobs; i++ {
		id := fmt.Sprintf("req-%06d", i)
		owner.View.SetJob(id, newJobRecord(id, "req-000000"))
	}
	end := storeview.NewEndedJob(root, wire.JobCancelled, clock.WallTime())
	end.Version = 2
	owner.View.SetJob("req-000000", end)
	if got := len(term.persistence.cleanup.impliedCancellations); got != jobs {
		t.Fatalf("%d implied cancellations are queued, want %d", got, jobs)
	}
	term.persistence.cleanup.tick(clock.Now())
	if term.persistence.cleanup.inFlight > maxCleanupsInFlight {
		t.Fatalf("%d cleanup writes are in flight, want at most maxCleanupsInFlight", term.persistence.cleanup.inFlight)
	}
	submission, err := newJobRecord("req-009999").MarshalJSON()
	if err != nil {
		t.Fatal(err)
	}
	isAccepted := false
	isQueued := owner.Store.Commit(&kvstore.Write{
		Conditions: []wire.Condition{{Key: records.JobKey("req-009999")}}, Changes: []wire.Change{{PutKey: records.JobKey("req-009999"), Value: submission}},
		Deadline: clock.Now() + 5*clock.Second/2,
		Done: func(outcome kvstore.Outcome, _ uint64) {
			owner.PostResult(func() { isAccepted = outcome == kvstore.Committed })
		},
	})
	if !isQueued {
		t.Fatal("the store client refused a submission while implied cancellations are queued")
	}
	runUntil(t, owner, func() bool { term.persistence.cleanup.tick(clock.Now()); return isAccepted })
	if fakeStore.Value(records.JobKey("req-009999")) == "" {
		t.Error("the submission is not in the store")
	}
}

// A large job that was accepted under higher store limits keeps its progress when the limits are
// lowered. New progress goes to additional keys whose values fit the new limits. A version that doesn't
// know these keys must not take any task for done that isn't, and the next leader must read all progress.
func TestProgressSurvivesLoweredLimits(t *testing.T) {
	limits := config.StoreLimits{RPS: 1000, WriteRPS: 1000, MaxValueKB: 8, MaxTransactionOps: 4, Upcoming: &config.UpcomingStoreLimits{MaxValueKB: 1, MaxTransactionOps: 3}}
	fakeStore, term := newTermOnStore(t, limits)
	const id, tasks = "req-000001", 40000
	completedBefore := records.Bitmap{}
	completedBefore.Set(5)
	completedBefore.Set(32000)
	putAndSync(t, ownerOf(term), map[string]any{
		records.JobKey(id):         records.Job{SubmittedAt: int64(clock.WallTime()), Spec: &wire.Job{ID: id, Kind: wire.KindArray, Team: "t", TaskCount: tasks, Priority: wire.PriorityNormal}},
		records.ProgressKey(id, 0): records.Progress{Bits: completedBefore.Encode()}, // as the previous version writes it
	})
	fakeStore.SetLimits(fake.StoreLimits{MaxValueBytes: 1 << 10, MaxChanges: 3})
	job := term.tracker.Jobs[id]
	completedTasks := []int{0, 7, 6000, 12345, 33000, tasks - 1}
	machine := term.tracker.AddMachine("i-1", "big", "x", false, term.scheduler.MachineCapacity("big"), clock.Now())
	machine.RecordedInStore = true
	heartbeat := &wire.Heartbeat{MachineID: "i-1", Incarnation: 1, Sequence: 1, FencingToken: term.token}
	for _, i := range completedTasks {
		heartbeat.Tasks = append(heartbeat.Tasks, wire.TaskStatus{TaskID: wire.TaskID(id, i), Attempt: 1, State: wire.TaskExited, ExitCause: wire.ExitDone})
	}
	if term.tracker.RecordHeartbeat(machine, heartbeat, clock.Now()) != allocation.HeartbeatAccepted {
		t.Fatal("the heartbeat with completed tasks was not accepted")
	}
	runUntil(t, ownerOf(term), func() bool {
		term.persistJobs(clock.Now() + clock.Second)
		return len(job.UnpersistedCompletions()) == 0
	})
	if tooLarge := fakeStore.OversizedCount(); tooLarge != 0 {
		t.Errorf("the store refused %d transactions for their size, want 0", tooLarge)
	}
	term = startNewTerm(t, ownerOf(term))
	job = term.tracker.Jobs[id]
	for _, i := range append(completedTasks, 5, 32000) {
		if job.Tasks[i].State != allocation.TaskDone {
			t.Errorf("the next leader doesn't have task %d as done", i)
		}
	}
	if got := job.DoneCount(); got != len(completedTasks)+2 {
		t.Errorf("the next leader has %d tasks as done, want two more than the heartbeat listed", got)
	}
	// The version in production infers from a key's number which tasks the key's value is about. It must
	// not take any task for done that isn't.
	for _, key := range fakeStore.Keys(records.ProgressPrefix) {
		var record productionProgress
		if err := json.Unmarshal([]byte(fakeStore.Value(key)), &record); err != nil {
			t.Fatal(err)
		}
		_, number, _ := records.ParseProgressKey(key)
		bits, err := records.DecodeBitmap(record.Bits)
		if err != nil {
			t.Fatal(err)
		}
		for i := range 8 * len(bits) {
			task := number*records.TasksPerProgressKey(limits.MaxValueKB) + i
			if bits.IsSet(i) && task < tasks && job.Tasks[task].State != allocation.TaskDone {
				t.Errorf("the version in production takes task %d for done, which it is not", task)
			}
		}
	}
	// Once the job has ended, all of its progress keys are deleted.
	heartbeat.Sequence++
	heartbeat.FencingToken = term.token
	heartbeat.Tasks = nil
	for i := range tasks {
		heartbeat.Tasks = append(heartbeat.Tasks, wire.TaskStatus{TaskID: wire.TaskID(id, i), Attempt: 1, State: wire.TaskExited, ExitCause: wire.ExitDone})
	}
	machine = term.tracker.AddMachine("i-2", "big", "x", false, term.scheduler.MachineCapacity("big"), clock.Now())
	machine.RecordedInStore = true
	heartbeat.MachineID = "i-2"
	term.tracker.RecordHeartbeat(machine, heartbeat, clock.Now())
	sweepAt := clock.Now()
	runUntil(t, ownerOf(term), func() bool {
		term.persistJobs(clock.Now() + clock.Second)
		sweepAt += sweepInterval
		term.persistence.cleanup.tick(sweepAt)
		return len(fakeStore.Keys(records.ProgressPrefix)) == 0 && term.environment.View.Jobs[id].State == wire.JobDone
	})
	if tooLarge := fakeStore.OversizedCount(); tooLarge != 0 {
		t.Errorf("the store refused %d transactions for their size, want 0", tooLarge)
	}
}

// productionProgress has the fields of a progress value that the version in production reads.
type productionProgress struct {
	Bits string `json:"b"`
}

// newJobRecord makes the record of a job that has one task and is submitted now.
func newJobRecord(id string, dependencies ...string) *storeview.Job {
	return &storeview.Job{Job: records.Job{SubmittedAt: int64(clock.WallTime()), Spec: &wire.Job{
		ID: id, Kind: wire.KindArray, Team: "t", TaskCount: 1, CPUs: 1, Priority: wire.PriorityLow, EstimatedRunSeconds: 10, DependsOn: dependencies,
	}}, Version: 1}
}

// Guards against progress that is never deleted: it was written late, after its job's record was moved to the archive while the
// job was in the view, which then had the version of the deleted record.
func TestLateProgressOfArchivedJobIsDeleted(t *testing.T) {
	fakeStore, term := newTermOnStore(t, cleanupLimits)
	owner := ownerOf(term)
	const id = "req-000001"
	putAndSync(t, owner, map[string]any{records.JobKey(id): records.Job{SubmittedAt: 1, State: wire.JobDone, EndedAt: 2}})
	page, err := owner.Store.ReadPage(records.JobPrefix, "", archivePageSize)
	if err != nil || len(page.KeyValues) != 1 {
		t.Fatalf("page of job records: got %+v, error %v, want one record", page, err)
	}
	archiver := &term.persistence.archive
	archiver.move(page.KeyValues[0], records.ArchiveKey(id))
	runUntil(t, owner, func() bool { return !archiver.isBusy() })
	putAndSync(t, owner, map[string]any{records.ProgressKey(id, 0): records.Progress{}})
	if job := owner.View.Jobs[id]; job == nil || !job.IsArchived {
		t.Fatalf("job in the view: got %+v, want an archived one", job)
	}
	now := clock.Now()
	runUntil(t, owner, func() bool {
		now += 2 * sweepInterval
		term.persistence.cleanup.tick(now)
		return len(dependencyAndProgressKeys(fakeStore)) == 0
	})
	if archived := fakeStore.Value(records.ArchiveKey(id)); archived == "" {
		t.Error("the archived record is gone, want it kept")
	}
}

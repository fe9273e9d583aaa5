package leader

import (
	"strings"
	"testing"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/config"
	"firwood.dev/firwood/internal/fake"
	"firwood.dev/firwood/internal/records"
	"firwood.dev/firwood/wire"
)

// Guards against jobs whose records were stored before the limit of a value was lowered, and whose end the store then
// refuses each time: they were never done, never forgotten by the leader, and never moved to the archive or back.
func TestLongRecordsEndAfterLimitIsLowered(t *testing.T) {
	limits := config.StoreLimits{RPS: 1000, WriteRPS: 1000, MaxValueKB: 8, MaxTransactionOps: 4, Upcoming: &config.UpcomingStoreLimits{MaxValueKB: 1, MaxTransactionOps: 3}}
	fakeStore, term := newTermOnStore(t, limits)
	owner := ownerOf(term)
	const completing, cancelled, implied, finished = "req-000001", "req-000002", "req-000003", "req-000004"
	longClass := strings.Repeat("c", 1500)
	newSpec := func(id string, dependsOn ...string) *wire.Job {
		return &wire.Job{ID: id, Class: longClass, Image: longClass, Kind: wire.KindArray, Team: "t", TaskCount: 1, CPUs: 1, Priority: wire.PriorityNormal, DependsOn: dependsOn}
	}
	putAndSync(t, owner, map[string]any{
		records.JobKey(completing):      records.Job{SubmittedAt: 1, Spec: newSpec(completing)},
		records.JobKey(cancelled):       records.Job{SubmittedAt: 1, Spec: newSpec(cancelled), State: wire.JobCancelled, EndedAt: 2, Class: longClass},
		records.JobKey(implied):         records.Job{SubmittedAt: 1, Spec: newSpec(implied, cancelled)},
		records.JobKey(finished):        records.Job{SubmittedAt: 1, State: wire.JobDone, EndedAt: 2, Class: longClass, Tasks: 7},
		records.ProgressKey(implied, 0): records.Progress{},
	})
	fakeStore.SetLimits(fake.StoreLimits{MaxValueBytes: 1 << 10, MaxChanges: 3})

	term = startNewTerm(t, owner)
	job := term.tracker.Jobs[completing]
	term.recordStarts(job)
	runUntil(t, owner, func() bool { return job.StartsRecorded })
	machine := term.tracker.AddMachine("i-1", "big", "x", false, term.scheduler.MachineCapacity("big"), clock.Now())
	machine.RecordedInStore = true
	heartbeat := &wire.Heartbeat{MachineID: "i-1", Incarnation: 1, Sequence: 1, FencingToken: term.token, Tasks: []wire.TaskStatus{
		{TaskID: wire.TaskID(completing, 0), Attempt: 1, State: wire.TaskExited, ExitCause: wire.ExitDone},
	}}
	if term.tracker.RecordHeartbeat(machine, heartbeat, clock.Now()) != allocation.HeartbeatAccepted {
		t.Fatal("the heartbeat that lists the task as done was not accepted")
	}
	isStored := func(id, state string) bool {
		var record records.Job
		return record.UnmarshalJSON([]byte(fakeStore.Value(records.JobKey(id)))) == nil && record.State == state && record.IsFinished()
	}
	runUntil(t, owner, func() bool {
		term.persistJobs(clock.Now() + clock.Second)
		term.persistence.cleanup.tick(clock.Now())
		return isStored(completing, wire.JobDone) && isStored(cancelled, wire.JobCancelled) && isStored(implied, wire.JobCancelled) && term.tracker.Jobs[cancelled] == nil
	})

	page, err := owner.Store.ReadPage(records.JobPrefix+finished[:len(finished)-1], "", archivePageSize)
	if err != nil || len(page.KeyValues) != 4 {
		t.Fatalf("got %d records, error %v, want 4", len(page.KeyValues), err)
	}
	archiver := &term.persistence.archive
	for _, item := range page.KeyValues {
		archiver.move(item, records.ArchiveKey(strings.TrimPrefix(item.Key, records.JobPrefix)))
	}
	runUntil(t, owner, func() bool { return !archiver.isBusy() && len(fakeStore.Keys(records.ArchivePrefix)) == 4 })
	var archived records.Job
	if err := archived.UnmarshalJSON([]byte(fakeStore.Value(records.ArchiveKey(finished)))); err != nil || archived.State != wire.JobDone || archived.EndedAt != 2 || archived.Tasks != 7 {
		t.Errorf("archived record: got %+v, error %v, want the state and the times of the original", archived, err)
	}
	if tooLarge := fakeStore.OversizedCount(); tooLarge != 0 {
		t.Errorf("the store refused %d transactions for their size, want 0", tooLarge)
	}
}

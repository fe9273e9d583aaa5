package leader

import (
	"slices"
	"testing"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/fake"
	"firwood.dev/firwood/internal/kvstore"
	"firwood.dev/firwood/internal/records"
	"firwood.dev/firwood/wire"
)

const cancelledJobID = "req-000001"

// newTermWithVacatedJob makes a term that tracks a cancelled job. None of the job's tasks is on a
// machine, and its record still has the submission.
func newTermWithVacatedJob(t *testing.T) (*fake.Store, *Term) {
	t.Helper()
	fakeStore, term := newTermOnStore(t, cleanupLimits)
	record := records.Job{SubmittedAt: 1, Spec: &wire.Job{ID: cancelledJobID, Kind: wire.KindArray, Team: "t", TaskCount: 3, CPUs: 1, Priority: wire.PriorityNormal}}
	putAndSync(t, ownerOf(term), map[string]any{records.JobKey(cancelledJobID): record})
	putAndSync(t, ownerOf(term), map[string]any{records.JobKey(cancelledJobID): cancelledRecord(record)})
	if job := term.tracker.Jobs[cancelledJobID]; job == nil || !job.Cancelled {
		t.Fatalf("tracked job is %+v, want a cancelled one", job)
	}
	return fakeStore, term
}

// cancelledRecord returns a copy of a record that says that its job is cancelled now.
func cancelledRecord(record records.Job) records.Job {
	record.State, record.EndedAt = wire.JobCancelled, int64(clock.WallTime())
	return record
}

// persistUntilUntracked calls persistJobs until the term no longer tracks the cancelled job.
func persistUntilUntracked(t *testing.T, term *Term) {
	t.Helper()
	runUntil(t, ownerOf(term), func() bool {
		term.persistJobs(clock.Now())
		return term.tracker.Jobs[cancelledJobID] == nil
	})
}

// If a copy of the write that shrinks a cancelled job's record is executed after the record was moved
// to the archive, it must not restore the record beside the archived one.
func TestLateShrinkDoesNotRestoreAnArchivedRecord(t *testing.T) {
	fakeStore, term := newTermWithVacatedJob(t)
	owner := ownerOf(term)
	before := len(fakeStore.Transactions())
	persistUntilUntracked(t, term)
	shrinks := fakeStore.Transactions()[before:]
	if len(shrinks) != 1 {
		t.Fatalf("transactions that shrink the record: got %+v, want one", shrinks)
	}
	shrunk := fakeStore.Value(records.JobKey(cancelledJobID))
	page, err := owner.Store.ReadPage(records.JobPrefix, "", archivePageSize)
	if err != nil || len(page.KeyValues) != 1 {
		t.Fatalf("page of job records: got %+v, error %v, want one record", page, err)
	}
	archiver := &term.persistence.archive
	archiver.move(page.KeyValues[0], records.ArchiveKey(cancelledJobID))
	runUntil(t, owner, func() bool { return !archiver.isBusy() })
	fakeStore.ReapplyTransaction(shrinks[0])
	if keys := fakeStore.Keys(records.JobPrefix); len(keys) != 0 {
		t.Errorf("after a late copy of the write, job keys are %v, want none", keys)
	}
	if archived := fakeStore.Value(records.ArchiveKey(cancelledJobID)); archived != shrunk {
		t.Errorf("archived record is %q, want %q", archived, shrunk)
	}
}

// The leader must not overwrite a record that is newer than the one in its view. It shrinks the newer
// record once the view has it.
func TestShrinkAfterConflictKeepsTheNewerRecord(t *testing.T) {
	fakeStore, term := newTermWithVacatedJob(t)
	owner := ownerOf(term)
	before := len(fakeStore.Transactions())
	newer := *owner.View.Jobs[cancelledJobID]
	newer.EndedAt++
	value, err := newer.MarshalJSON()
	if err != nil {
		t.Fatal(err)
	}
	outcomes := make(chan kvstore.Outcome, 1)
	owner.Store.Commit(&kvstore.Write{Changes: []wire.Change{{PutKey: records.JobKey(cancelledJobID), Value: value}}, Done: func(outcome kvstore.Outcome, _ uint64) { outcomes <- outcome }})
	if outcome := <-outcomes; outcome != kvstore.Committed {
		t.Fatalf("outcome of writing the newer record is %v, want committed", outcome)
	}
	term.persistJobs(clock.Now()) // before the view has the newer record
	persistUntilUntracked(t, term)
	var record records.Job
	if err := record.UnmarshalJSON([]byte(fakeStore.Value(records.JobKey(cancelledJobID)))); err != nil {
		t.Fatal(err)
	}
	if record.EndedAt != newer.EndedAt || !record.IsFinished() {
		t.Errorf("stored record is %+v, want a shrunk record that ended at %d", record, newer.EndedAt)
	}
	writes := fakeStore.Transactions()[before:]
	requiresOldVersion := func(transaction wire.Transaction) bool {
		return slices.ContainsFunc(transaction.Conditions, func(condition wire.Condition) bool {
			return condition.Key == records.JobKey(cancelledJobID) && condition.Version == newer.Version
		})
	}
	if len(writes) != 2 || slices.ContainsFunc(writes, requiresOldVersion) {
		t.Errorf("writes since the cancellation are %+v, want two, none conditional on the version before the newer one", writes)
	}
}

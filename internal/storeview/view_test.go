package storeview

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/delegation"
	"firwood.dev/firwood/internal/records"
	"firwood.dev/firwood/internal/standby"
	"firwood.dev/firwood/wire"
)

// recorder is an Observer that records the reports it receives as texts.
type recorder struct {
	view    *View
	reports []string
}

func (observer *recorder) add(format string, args ...any) {
	observer.reports = append(observer.reports, fmt.Sprintf(format, args...))
}

func (observer *recorder) JobChanged(id string, job *Job) {
	observer.add("job %s@%d", id, job.Version)
	if observer.view.Jobs[id] != job {
		observer.add("job %s is not in the view yet", id)
	}
}

func (observer *recorder) TermObserved(token uint64) {
	observer.add("term %d, lock held by %q", token, observer.view.Lock.Holder)
}

func (observer *recorder) MachineTypesRead(types []wire.MachineType) {
	observer.add("%d machine types", len(types))
}

func (observer *recorder) ConstraintsChanged(_ delegation.Constraints, version uint64) {
	observer.add("constraints@%d", version)
}

func (observer *recorder) StandbyChanged(record standby.InSyncRecord, version uint64) {
	observer.add("standby of %d@%d", record.Token, version)
}

func (observer *recorder) WorkerContactRead(member string, record records.WorkerContact) {
	observer.add("%d workers contact %s", record.Workers, member)
}

func (observer *recorder) ArchiveMarkerRead() { observer.add("archive") }

func (observer *recorder) RecordRejected(key string, err error) {
	observer.add("rejected %s", key)
	if err == nil {
		observer.add("without an error")
	}
}

func newTestView() (*View, *recorder) {
	observer := &recorder{}
	observer.view = New(observer)
	return observer.view, observer
}

// Guards against a process that ends on a job's record with neither a submission nor a state, which says nothing of the
// job: the record is rejected, and what the view has of the job stays.
func TestEmptyJobRecordIsRejected(t *testing.T) {
	view, observer := newTestView()
	key := records.JobKey("req-000001")
	view.ApplyPut(key, []byte(`{"at":5,"s":"done"}`), 7)
	for i, value := range []string{`{}`, `{"at":5}`, `{"j":null,"at":5,"p":2}`} {
		observer.reports = nil
		view.ApplyPut(key, []byte(value), uint64(8+i))
		if want := []string{"rejected " + key}; !slices.Equal(observer.reports, want) || view.Jobs["req-000001"].Version != 7 {
			t.Errorf("record %s: got reports %q and version %d, want %q and 7", value, observer.reports, view.Jobs["req-000001"].Version, want)
		}
	}
}

// The view reports what it reads under each kind of key. A key or value that cannot be decoded is
// reported as rejected; an in-sync record that cannot be decoded is also reported as an empty one.
func TestPutsAreReportedOrRejected(t *testing.T) {
	for _, test := range []struct {
		key, value string
		want       []string
	}{
		{records.LockKey, `{"m":"b","l":3}`, []string{`term 7, lock held by ""`}},
		{records.LockKey, `[]`, []string{"rejected firwood/lead"}},
		{records.MachineTypesKey, `{}`, []string{"0 machine types"}},
		{records.MachineTypesKey, `"`, []string{"rejected firwood/types"}},
		{records.ConstraintsKey, `{}`, []string{"constraints@7"}},
		{records.ConstraintsKey, `1`, []string{"rejected firwood/word"}},
		{records.StandbyKey, `{}`, []string{"standby of 0@7"}},
		{records.StandbyKey, `x`, []string{"rejected firwood/standby", "standby of 0@7"}},
		{records.ArchiveMarkerKey, `{}`, []string{"archive"}},
		{records.TokenKey, `{}`, nil},
		{records.WorkerContactKey("c"), `{"n":4}`, []string{"4 workers contact c"}},
		{records.WorkerContactKey("c"), `x`, []string{"rejected firwood/asked/c"}},
		{records.JobKey("req-000001"), `{"j":{},"at":1}`, []string{"job req-000001@7"}},
		{records.JobKey("req-000001"), `x`, []string{"rejected firwood/job/req-000001"}},
		{records.DependenciesKey("req-000001", 0), `{"a":["req-000002"]}`, nil},
		{records.DependenciesPrefix + "req-000001", `{"a":[]}`, []string{"rejected firwood/needs/req-000001"}},
		{records.ProgressKey("req-000001", 0), `{"b":"AQ=="}`, nil},
		{records.ProgressKey("req-000001", 0), `{"b":"?"}`, []string{"rejected firwood/done/req-000001/0"}},
		{records.ProgressKey("req-000001", 0), `{"b":"","f":-1}`, []string{"rejected firwood/done/req-000001/0"}},
		{records.ProgressPrefix + "req-000001", `{"b":""}`, []string{"rejected firwood/done/req-000001"}},
		{records.ScaleOutKey("a-1"), `{"t":"big"}`, nil},
		{records.ScaleOutKey("a-1"), `x`, []string{"rejected firwood/hire/a-1"}},
		{records.WatchedPrefix + "of-a-later-version", `x`, nil},
	} {
		view, observer := newTestView()
		view.ApplyPut(test.key, []byte(test.value), 7)
		if !slices.Equal(observer.reports, test.want) {
			t.Errorf("ApplyPut(%s, %s): got reports %q, want %q", test.key, test.value, observer.reports, test.want)
		}
	}
}

// A record that is not newer than the view's is not applied, and events up to the view's revision
// are skipped.
func TestOldChangesAreSkipped(t *testing.T) {
	view, observer := newTestView()
	key := records.JobKey("req-000001")
	view.SetJob("req-000001", &Job{Version: 9})
	view.ApplyPut(key, []byte(`{"j":{},"at":1}`), 9)
	view.ApplyPut(key, []byte(`{"j":{},"at":1}`), 8)
	applied := view.Apply(&wire.WatchResponse{Revision: 12, Events: []wire.WatchEvent{{Version: 10, PutKey: key, Value: []byte(`{"j":{},"at":2}`)}}})
	if applied != 1 || view.Revision != 12 {
		t.Errorf("Apply of an event at revision 10: got %d applied and view revision %d, want 1 and 12", applied, view.Revision)
	}
	applied = view.Apply(&wire.WatchResponse{Revision: 12, Events: []wire.WatchEvent{{Version: 12, PutKey: key, Value: []byte(`{"j":{},"at":3}`)}}})
	if applied != 0 {
		t.Errorf("Apply of an event at the view's revision: got %d applied, want 0", applied)
	}
	if want := []string{"job req-000001@9", "job req-000001@10"}; !slices.Equal(observer.reports, want) {
		t.Errorf("got reports %q, want %q", observer.reports, want)
	}
}

// The deletion of a key removes its content from the view, except for a job, whose record has moved
// to the archive.
func TestDeletesRemoveContentsAndArchiveJobs(t *testing.T) {
	view, _ := newTestView()
	puts := map[string]string{
		records.LockKey: `{"m":"b"}`, records.ArchiveMarkerKey: `{}`, records.JobKey("req-000001"): `{"at":1,"s":"done"}`, records.ProgressKey("req-000001", 1): `{"b":""}`,
		records.DependenciesKey("req-000001", 1): `{"a":[]}`, records.ScaleOutKey("a-1"): `{}`,
	}
	for key, value := range puts {
		view.ApplyPut(key, []byte(value), 5)
	}
	if !view.Lock.Exists || !view.HasArchive || len(view.Progress) != 1 || len(view.Dependencies) != 1 || len(view.ScaleOuts) != 1 {
		t.Fatalf("not all puts are in the view: %+v", view)
	}
	if key := view.Jobs["req-000001"].Key("req-000001"); key != records.JobKey("req-000001") {
		t.Errorf("key of the job's record before its deletion: got %s, want that of JobKey", key)
	}
	events := &wire.WatchResponse{Revision: 6}
	for key := range puts {
		events.Events = append(events.Events, wire.WatchEvent{Version: 6, DeleteKey: key})
	}
	view.Apply(events)
	if view.Lock.Exists || view.HasArchive || len(view.Progress)+len(view.Dependencies)+len(view.ScaleOuts) != 0 {
		t.Errorf("not all deleted keys are gone from the view: %+v", view)
	}
	if key := view.Jobs["req-000001"].Key("req-000001"); key != records.ArchiveKey("req-000001") {
		t.Errorf("key of the job's record after its deletion: got %s, want that of ArchiveKey", key)
	}
}

// A load drops keys that were deleted while no watch was open, but keeps jobs. A load that is older
// than the view changes nothing.
func TestLoadReplacesContentsAndKeepsJobs(t *testing.T) {
	view, _ := newTestView()
	view.ApplyPut(records.ScaleOutKey("a-1"), []byte(`{}`), 4)
	view.ApplyPut(records.LockKey, []byte(`{"m":"b"}`), 4)
	view.ApplyPut(records.JobKey("req-000001"), []byte(`{"at":1,"s":"done","e":1}`), 4)
	view.ApplyPut(records.JobKey("req-000002"), []byte(`{"j":{},"at":1}`), 4) // its end is dropped
	view.ApplyPut(records.JobKey("req-000004"), []byte(`{"j":{},"at":1}`), 4) // is in the archive
	view.ApplyPut(records.JobKey("req-000005"), []byte(`{"j":{},"at":1}`), 4) // is active
	view.ApplyPut(records.JobKey("req-000006"), []byte(`{"j":{},"at":1}`), 9) // was written after the read
	filter := NewLoadFilter(1)
	filter.Add([]wire.KeyValue{
		{Key: records.JobKey("req-000002"), Value: []byte(`{"at":1,"s":"done","e":2}`), Version: 5},
		{Key: records.JobKey("req-000003"), Value: []byte(`{"at":1,"s":"aborted","e":3}`), Version: 6},
		{Key: records.JobKey("req-000005"), Value: []byte(`{"j":{},"at":1}`), Version: 4},
		{Key: records.ScaleOutKey("a-2"), Value: []byte(`{}`), Version: 7},
	})
	if filter.FinishedCounts != (FinishedCounts{Done: 1, Cancelled: 1}) {
		t.Errorf("FinishedCounts: got %+v, want 1 done and 1 cancelled", filter.FinishedCounts)
	}
	result, ok := view.Load(filter, 8)
	if result.Dropped != 1 || !ok || !view.IsLoaded || view.Revision != 8 {
		t.Errorf("Load at revision 8: got dropped %d, ok %v, view revision %d; want 1, true, 8", result.Dropped, ok, view.Revision)
	}
	if want := []string{"req-000002", "req-000004"}; !slices.Equal(result.Removed, want) || view.Jobs["req-000004"] != nil || view.Jobs["req-000005"] == nil || view.Jobs["req-000006"] == nil {
		t.Errorf("removed jobs: got %v, want %v, and jobs 5 and 6 in the view", result.Removed, want)
	}
	if view.Jobs["req-000001"] == nil || view.Jobs["req-000002"] != nil || view.Jobs["req-000003"] == nil || view.ScaleOuts["a-1"] != nil || view.ScaleOuts["a-2"] == nil || view.Lock.Exists {
		t.Errorf("view after Load: got %+v, want jobs 1, 3, 5 and 6, scale-out a-2 and no lock", view)
	}
	if _, ok := view.Load(NewLoadFilter(1), 7); ok || view.ScaleOuts["a-2"] == nil {
		t.Error("Load at a revision older than the view's changed the view or returned ok")
	}
}

// A sync ends with the watch that was opened after the request for it, or at its deadline, and only once.
func TestSyncCallbacksRunOnce(t *testing.T) {
	view, _ := newTestView()
	errWatch := errors.New("watch")
	var results [3][]error
	request := func(i int, deadline int64) {
		view.RequestSync(func(err error) { results[i] = append(results[i], err) }, clock.Micros(deadline))
	}
	request(0, 10)
	request(1, 20)
	batch, ok := view.ClaimSyncs()
	if !ok {
		t.Fatal("ClaimSyncs returned no syncs, want the two requested ones")
	}
	if _, ok := view.ClaimSyncs(); ok {
		t.Error("the second ClaimSyncs returned syncs that were already claimed")
	}
	request(2, 20)
	view.ExpireSyncs(clock.Micros(10))
	batch.Complete(nil)
	if later, ok := view.ClaimSyncs(); !ok {
		t.Error("ClaimSyncs returned no syncs, want the one requested after the first claim")
	} else {
		later.Complete(errWatch)
	}
	view.ExpireSyncs(clock.Micros(30))
	for i, want := range []error{ErrSyncTimeout, nil, errWatch} {
		if len(results[i]) != 1 || !errors.Is(results[i][0], want) {
			t.Errorf("sync %d: got results %v, want one: %v", i, results[i], want)
		}
	}
}

package records

import (
	"encoding/json"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"firwood.dev/firwood/wire"
)

// drawSpec draws a submission whose record is near the limit of a value, because of long names or long lists.
func drawSpec(t *rapid.T) *wire.Job {
	name := func(label string, maxLength int) string {
		return strings.Repeat(rapid.SampledFrom([]string{"x", "é", "<", "\""}).Draw(t, label+" letter"), rapid.IntRange(1, maxLength).Draw(t, label+" length"))
	}
	spec := &wire.Job{
		ID: "req-000412", Class: name("class", 4000), Team: name("team", 60), Kind: wire.KindGang, Priority: wire.PriorityProduction, TaskCount: wire.MaxTasks,
		CPUs: 8.125, GPUs: 1, MemoryGB: 63.999, Image: name("image", 4000), ImageSizeGB: 6.25, Zone: "a", SingleZone: true, AllowsSpot: true,
		EstimatedRunSeconds: 1234.5, CheckpointIntervalSeconds: 30, CheckpointSaveSeconds: 4, DeadlineSeconds: float64(rapid.IntRange(0, 100000).Draw(t, "deadline")),
	}
	for range rapid.IntRange(0, 300).Draw(t, "types") {
		spec.MachineTypes = append(spec.MachineTypes, "g8")
	}
	for range rapid.IntRange(0, 400).Draw(t, "dependencies") {
		spec.DependsOn = append(spec.DependsOn, "req-000001")
	}
	return spec
}

// endsOf returns the records of a job's possible ends, with as many digits as there may be.
func endsOf(record *Job) []*Job {
	cancelled := NewEndedRecord(record, wire.JobCancelled, latestWallTime)
	vacated := *cancelled
	vacated.Spec = nil
	done := NewEndedRecord(record, wire.JobDone, latestWallTime)
	done.FirstStartAt, done.ReleasedAt, done.Errors, done.Restarts = int64(latestWallTime), int64(latestWallTime), 1<<31, 1<<31
	return []*Job{cancelled, &vacated, done}
}

// Guards against jobs that can't be cancelled, or whose end is never stored, because the record of the end is larger than
// the accepted one and above the limit. The limit may have been lowered to 1 KiB since the job was accepted.
func TestEndOfAcceptedJobFitsTheLimit(t *testing.T) {
	shortenedCount := 0
	rapid.Check(t, func(t *rapid.T) {
		acceptedUnder := Limits{MaxValueKB: rapid.Float64Range(1, 16).Draw(t, "limit at the submission"), MaxTransactionOps: 16}
		record := &Job{Spec: drawSpec(t), SubmittedAt: int64(latestWallTime)}
		if _, err := SubmissionChanges(record, acceptedUnder); err != nil {
			return
		}
		endedUnder := acceptedUnder
		endedUnder.MaxValueKB = rapid.Float64Range(1, acceptedUnder.MaxValueKB).Draw(t, "limit at the end")
		for _, end := range endsOf(record) {
			whole, err := end.MarshalJSON()
			if err != nil {
				t.Fatal(err)
			}
			value, err := EncodeEnded(end, endedUnder)
			if err != nil || len(value) > endedUnder.MaxValueBytes() {
				t.Fatalf("record of the end in %d bytes (error %v), want at most %d", len(value), err, endedUnder.MaxValueBytes())
			}
			if len(whole) <= endedUnder.MaxValueBytes() && string(value) != string(whole) {
				t.Fatalf("a record that fits is changed: got %s, want %s", value, whole)
			}
			if len(whole) > endedUnder.MaxValueBytes() {
				shortenedCount++
			}
			checkShortenedEnd(t, value, end)
		}
	})
	if shortenedCount < 20 {
		t.Fatalf("got %d records that have to be shortened, want at least 20", shortenedCount)
	}
}

// checkShortenedEnd checks that this version and the one in production find in an encoded end what they need: the state and
// the times, and of a cancelled job all that its tasks may occupy.
func checkShortenedEnd(t *rapid.T, value []byte, end *Job) {
	var got Job
	var production productionJobRecord
	if err := got.UnmarshalJSON(value); err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(value, &production); err != nil {
		t.Fatal(err)
	}
	if got.State != end.State || got.EndedAt != end.EndedAt || got.SubmittedAt != end.SubmittedAt || got.Tasks != end.Tasks || got.DeadlineAt != end.DeadlineAt || (got.Spec == nil) != (end.Spec == nil) {
		t.Fatalf("got %+v, want the state and the times of %+v", got, end)
	}
	if production.State != end.State || production.EndedAt != end.EndedAt || (production.Job == nil) != (end.Spec == nil) {
		t.Fatalf("the version in production reads %+v, want the state and the times of %+v", production, end)
	}
	if end.Spec == nil {
		return
	}
	want := *end.Spec
	want.DependsOn, want.MachineTypes, want.Image, want.Class = nil, nil, "", ""
	got.Spec.DependsOn, got.Spec.MachineTypes, got.Spec.Image, got.Spec.Class = nil, nil, "", ""
	if gotJSON, wantJSON := mustEncode(t, got.Spec), mustEncode(t, &want); gotJSON != wantJSON {
		t.Fatalf("submission in the end's record: got %s, want %s", gotJSON, wantJSON)
	}
	if production.Job.Team != want.Team || production.Job.CPUs != want.CPUs || production.Job.Tasks != want.TaskCount || production.Job.Kind != want.Kind {
		t.Fatalf("the version in production reads %+v, want team, kind and amounts of %+v", production.Job, want)
	}
}

func mustEncode(t *rapid.T, spec *wire.Job) string {
	encoded, err := spec.MarshalJSON()
	if err != nil {
		t.Fatal(err)
	}
	return string(encoded)
}

package records

import (
	"encoding/json"
	"os"
	"reflect"
	"strings"
	"testing"

	"firwood.dev/firwood/wire"
)

// productionJobRecord has the fields of a job's record that the production version knows. That version
// ignores all other fields, and drops them when it rewrites a record.
type productionJobRecord struct {
	Job          *productionJob `json:"j,omitempty"`
	AcceptedAt   int64          `json:"at"`
	State        string         `json:"s,omitempty"`
	Class        string         `json:"c,omitempty"`
	EndedAt      int64          `json:"e,omitempty"`
	DeadlineAt   int64          `json:"d,omitempty"`
	FirstStartAt int64          `json:"f,omitempty"`
	Tasks        int            `json:"n,omitempty"`
	Errors       int            `json:"x,omitempty"`
	Restarts     int            `json:"r,omitempty"`
}

type productionJob struct {
	ID              string  `json:"nameId"`
	Class           string  `json:"lot"`
	Team            string  `json:"crew"`
	Kind            string  `json:"shape"`
	Priority        string  `json:"rank"`
	Tasks           int     `json:"pieces"`
	CPUs            float64 `json:"cores"`
	EstimateSeconds float64 `json:"guessS"`
	DueSeconds      float64 `json:"dueS,omitempty"`
}

// The records that the production version has written must be read with their original meaning: those
// of an active job, of a cancelled job whose tasks may still be on machines, and of a job that is done.
func TestProductionRecords(t *testing.T) {
	text, err := os.ReadFile("testdata/records-production.jsonl")
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	wantStates := []string{"", wire.JobCancelled, wire.JobDone}
	if len(lines) != len(wantStates) {
		t.Fatalf("got %d records in the file, want 3", len(lines))
	}
	for i, line := range lines {
		record := &Job{}
		if err := record.UnmarshalJSON([]byte(line)); err != nil {
			t.Fatal(err)
		}
		if record.State != wantStates[i] || record.SubmittedAt != 1700000000000000 || (record.Spec == nil) != (i == 2) {
			t.Errorf("record %s is wrongly decoded as %+v", line, record)
		}
		if record.Spec != nil && (record.Spec.TaskCount != 20 || record.Spec.Priority != wire.PriorityNormal || record.Spec.DependsOn != nil) {
			t.Errorf("got spec %+v, want 20 tasks, normal priority and no dependencies", record.Spec)
		}
		written, err := record.MarshalJSON()
		if err != nil || string(written) != line {
			t.Errorf("record %s is encoded again as %s, want it unchanged", line, written)
		}
	}
}

// The production version must be able to read what this version writes, and ignores the new fields.
func TestProductionReadsNewRecords(t *testing.T) {
	job := &wire.Job{
		ID: "req-000007", Class: "c", Team: "t", Kind: wire.KindArray, Priority: wire.PriorityLow, TaskCount: 3, CPUs: 2, EstimatedRunSeconds: 9, DeadlineSeconds: 60,
		DependsOn: []string{"req-000001", "req-000002"},
	}
	record := &Job{Spec: job, SubmittedAt: 5, DependencyParts: 2, TasksPerKey: 100, ReleasedAt: 6}
	value, err := record.MarshalJSON()
	if err != nil {
		t.Fatal(err)
	}
	var got productionJobRecord
	if err := json.Unmarshal(value, &got); err != nil {
		t.Fatal(err)
	}
	want := productionJobRecord{AcceptedAt: 5, Job: &productionJob{
		ID: "req-000007", Class: "c", Team: "t", Kind: wire.KindArray, Priority: wire.PriorityLow, Tasks: 3, CPUs: 2, EstimateSeconds: 9, DueSeconds: 60,
	}}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("production version reads a new record as %+v", got)
	}
	// The dependencies lie in a key that the production version ignores.
	if strings.HasPrefix(DependenciesKey("req-000007", 0), JobPrefix) || strings.HasPrefix(DependenciesKey("req-000007", 0), ProgressPrefix) {
		t.Error("dependencies key has the prefix of a job or progress key")
	}
	// Both versions use the same layout for jobs whose progress fits in one key.
	if tasksPerKey := TasksPerProgressKey(2); tasksPerKey < 10000 || tasksPerKey >= TasksPerProgressKey(16) {
		t.Errorf("got %d tasks per key for values of 2 KiB, want at least 10000 and fewer than for 16 KiB", tasksPerKey)
	}
}

package records

import (
	"encoding/json"
	"os"
	"reflect"
	"strings"
	"testing"

	"firwood.dev/firwood/wire"
)

// productionJobRecord has the fields of a job's record that the version in production
// knows; it ignores others, and rewrites a record with these alone.
type productionJobRecord struct {
	Spec         *productionJob `json:"j,omitempty"`
	SubmittedAt  int64          `json:"at"`
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
	ID                  string  `json:"nameId"`
	Class               string  `json:"lot"`
	Team                string  `json:"crew"`
	Kind                string  `json:"shape"`
	Priority            string  `json:"rank"`
	TaskCount           int     `json:"pieces"`
	CPUs                float64 `json:"cores"`
	EstimatedRunSeconds float64 `json:"guessS"`
	DeadlineSeconds     float64 `json:"dueS,omitempty"`
}

// The records that the version in production has written are read as they were meant: an active
// job, a cancelled one whose tasks may still be on machines, and one that is done.
func TestProductionRecords(t *testing.T) {
	text, err := os.ReadFile("testdata/records-production.jsonl")
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	wantStates := []string{"", wire.JobCancelled, wire.JobDone}
	if len(lines) != len(wantStates) {
		t.Fatalf("%d records", len(lines))
	}
	for i, line := range lines {
		record := &Job{}
		if err := record.UnmarshalJSON([]byte(line)); err != nil {
			t.Fatal(err)
		}
		if record.State != wantStates[i] || record.SubmittedAt != 1700000000000000 || (record.Spec == nil) != (i == 2) {
			t.Errorf("%s is read as %+v", line, record)
		}
		if record.Spec != nil && (record.Spec.TaskCount != 20 || record.Spec.Priority != wire.PriorityNormal || record.Spec.DependsOn != nil) {
			t.Errorf("its job is read as %+v", record.Spec)
		}
		written, err := record.MarshalJSON()
		if err != nil || string(written) != line {
			t.Errorf("%s is written as %s", line, written)
		}
	}
}

// The version in production reads what this one writes, the new fields left out.
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
	want := productionJobRecord{SubmittedAt: 5, Spec: &productionJob{
		ID: "req-000007", Class: "c", Team: "t", Kind: wire.KindArray, Priority: wire.PriorityLow, TaskCount: 3, CPUs: 2, EstimatedRunSeconds: 9, DeadlineSeconds: 60,
	}}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("read as %+v", got)
	}
	// What a job depends on lies in a key that the other version ignores.
	if strings.HasPrefix(DependenciesKey("req-000007", 0), JobPrefix) || strings.HasPrefix(DependenciesKey("req-000007", 0), ProgressPrefix) {
		t.Error("the key is taken for another kind")
	}
	// Jobs whose progress fits one key in both versions have the same layout.
	if tasksPerKey := TasksPerProgressKey(2); tasksPerKey < 10000 || tasksPerKey >= TasksPerProgressKey(16) {
		t.Errorf("%d tasks in a key", tasksPerKey)
	}
}

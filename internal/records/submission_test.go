package records

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"firwood.dev/firwood/wire"
)

// A job's dependencies are stored in the job's own value if they fit there, and otherwise in additional
// keys that are created in the same transaction. A job that fits in neither way is refused.
func TestSubmissionChangesFitTheLimits(t *testing.T) {
	for _, test := range []struct {
		name            string
		classLength     int // length of the class name, which makes the record large
		dependencyCount int
		limits          Limits
		wantChanges     int // 0 if the job is refused; a part of 1 KiB holds 77 of these ids
	}{
		{"small", 4, 3, Limits{MaxValueKB: 1, MaxTransactionOps: 1}, 1},
		{"long list", 4, 300, Limits{MaxValueKB: 1, MaxTransactionOps: 16}, 5},
		{"long list, as many changes as allowed", 4, 300, Limits{MaxValueKB: 1, MaxTransactionOps: 5}, 5},
		{"long list, too many changes", 4, 300, Limits{MaxValueKB: 1, MaxTransactionOps: 4}, 0},
		{"too large without dependencies", 2000, 0, Limits{MaxValueKB: 1, MaxTransactionOps: 16}, 0},
		{"too large beside its dependencies", 2000, 3, Limits{MaxValueKB: 1, MaxTransactionOps: 16}, 0},
	} {
		spec := &wire.Job{ID: "req-000500", Class: fmt.Sprintf("%0*d", test.classLength, 0)}
		for i := range test.dependencyCount {
			spec.DependsOn = append(spec.DependsOn, fmt.Sprintf("req-%06d", i))
		}
		record := &Job{Spec: spec, SubmittedAt: 1}
		changes, err := SubmissionChanges(record, test.limits)
		if test.wantChanges == 0 {
			if !errors.Is(err, ErrTooLarge) || changes != nil {
				t.Errorf("%s: got %d changes, error %v, want no changes and ErrTooLarge", test.name, len(changes), err)
			}
			continue
		}
		if err != nil || len(changes) != test.wantChanges || record.DependencyParts != test.wantChanges-1 {
			t.Errorf("%s: got %d changes, %d parts, error %v, want %d changes and one part fewer", test.name, len(changes), record.DependencyParts, err, test.wantChanges)
		}
		for _, change := range changes {
			if len(change.Value) > test.limits.MaxValueBytes() {
				t.Errorf("%s: value of %s has %d bytes, want at most the limit", test.name, change.PutKey, len(change.Value))
			}
		}
		if len(spec.DependsOn) != test.dependencyCount {
			t.Errorf("%s: the dependencies of the submitted spec were changed", test.name)
		}
	}
}

// Guards against submissions within 64 KiB that can't be stored: whatever the limits in force, each value and each transaction
// of a submission is within them, and the parts have the whole list in order.
func TestLargeSubmissionsFitTheLimitsInStages(t *testing.T) {
	stagedCount := 0
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{MaxValueKB: rapid.SampledFrom([]float64{1, 1.5, 2, 8, 16, 63, 64, 512}).Draw(t, "value limit"), MaxTransactionOps: rapid.SampledFrom([]int{1, 2, 16, 24, 48, 1000}).Draw(t, "changes")}
		spec := &wire.Job{ID: "req-000500", Class: "c", Team: "t"}
		for i := range rapid.SampledFrom([]int{0, 1, 70, 78, 140, 700, 4400, 4750, 4900, 5000}).Draw(t, "dependencies") + rapid.IntRange(0, 20).Draw(t, "more dependencies") {
			spec.DependsOn = append(spec.DependsOn, fmt.Sprintf("req-%06d", i))
		}
		want := slices.Clone(spec.DependsOn)
		record := &Job{Spec: spec, SubmittedAt: int64(latestWallTime)}
		submission, err := NewSubmission(record, limits)
		if err != nil {
			t.Fatalf("submission of a job with %d dependencies under %+v: %v", len(want), limits, err)
		}
		changes, isOneTransaction := submission.Changes(limits)
		transactions := [][]wire.Change{changes}
		if !isOneTransaction {
			transactions = append(submission.PartBatches(limits), []wire.Change{submission.Record})
			stagedCount++
		}
		got := slices.Clone(record.Spec.DependsOn)
		for _, changes := range transactions {
			transaction := wire.Transaction{Conditions: []wire.Condition{{Key: JobKey(spec.ID)}, {Key: ArchiveKey(spec.ID)}, {Key: DependenciesKey(spec.ID, 0), Version: 1 << 60}}, Changes: changes}
			body, err := transaction.MarshalJSON()
			if err != nil || len(body) > wire.MaxBodyBytes || len(changes) > limits.MaxTransactionOps {
				t.Fatalf("transaction of %d changes in %d bytes (error %v), want at most %d in %d", len(changes), len(body), err, limits.MaxTransactionOps, wire.MaxBodyBytes)
			}
			for _, change := range changes {
				var part Dependencies
				if len(change.Value) > int(limits.MaxValueKB*1024) {
					t.Fatalf("value of %s has %d bytes, want at most %v KiB", change.PutKey, len(change.Value), limits.MaxValueKB)
				}
				if _, _, isPart := ParseDependenciesKey(change.PutKey[min(len(DependenciesPrefix), len(change.PutKey)):]); isPart && part.UnmarshalJSON(change.Value) == nil {
					got = append(got, part.DependsOn...)
				}
			}
		}
		if !slices.Equal(got, want) {
			t.Fatalf("got a list of %d dependencies, want the %d submitted ones in order", len(got), len(want))
		}
	})
	if stagedCount < 10 {
		t.Fatalf("got %d submissions in stages, want at least 10", stagedCount)
	}
}

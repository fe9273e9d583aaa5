package records

import (
	"errors"
	"fmt"
	"testing"

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

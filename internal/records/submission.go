package records

import (
	"errors"

	"firwood.dev/firwood/wire"
)

// Limits are the store's limits that bound what a record may be.
type Limits struct {
	// MaxValueKB is the largest value, in KiB; MaxTransactionOps the most changes of one
	// transaction.
	MaxValueKB        float64
	MaxTransactionOps int
}

// MaxValueBytes is the largest value in bytes.
func (limits Limits) MaxValueBytes() int { return int(limits.MaxValueKB * 1024) }

// ErrTooLarge is returned for a submission that the store's limits leave no room for.
var ErrTooLarge = errors.New("the job does not fit into a transaction of the store")

// SubmissionChanges are the changes that create a new job's keys, to be made in one transaction.
// Dependencies that do not fit into the job's own value go into keys of their own; the record is
// changed to say so, and its Spec replaced by a copy without them.
func SubmissionChanges(record *Job, limits Limits) ([]wire.Change, error) {
	maxBytes := limits.MaxValueBytes()
	value, err := record.MarshalJSON()
	if err != nil {
		return nil, err
	}
	key := JobKey(record.Spec.ID)
	if len(value) <= maxBytes {
		return []wire.Change{{PutKey: key, Value: value}}, nil
	}
	parts := SplitDependencies(record.Spec.DependsOn, limits)
	if len(parts) == 0 || 1+len(parts) > limits.MaxTransactionOps {
		return nil, ErrTooLarge
	}
	spec := *record.Spec
	spec.DependsOn = nil
	record.Spec, record.DependencyParts = &spec, len(parts)
	if value, err = record.MarshalJSON(); err != nil {
		return nil, err
	}
	if len(value) > maxBytes {
		return nil, ErrTooLarge
	}
	changes := []wire.Change{}
	for i, part := range parts {
		partValue, err := Dependencies{DependsOn: part}.MarshalJSON()
		if err != nil {
			return nil, err
		}
		changes = append(changes, wire.Change{PutKey: DependenciesKey(spec.ID, i), Value: partValue})
	}
	return append(changes, wire.Change{PutKey: key, Value: value}), nil
}

// SplitDependencies splits a list of job ids so that each part's Dependencies record fits into a
// value.
func SplitDependencies(ids []string, limits Limits) [][]string {
	const valueOverhead, idOverhead = 16, 3 // of the value, and around each id
	maxBytes := limits.MaxValueBytes()
	var parts [][]string
	partBytes := maxBytes
	for _, id := range ids {
		if partBytes+len(id)+idOverhead > maxBytes {
			parts, partBytes = append(parts, nil), valueOverhead
		}
		parts[len(parts)-1] = append(parts[len(parts)-1], id)
		partBytes += len(id) + idOverhead
	}
	return parts
}

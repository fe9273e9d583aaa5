package records

import (
	"errors"

	"firwood.dev/firwood/wire"
)

// Limits are the store's limits that records and transactions have to meet.
type Limits struct {
	// MaxValueKB is the maximum size of a value, in KiB. MaxTransactionOps is the maximum number of
	// changes in one transaction.
	MaxValueKB        float64
	MaxTransactionOps int
}

// MaxValueBytes returns the maximum size of a value, in bytes.
func (limits Limits) MaxValueBytes() int { return int(limits.MaxValueKB * 1024) }

// ErrTooLarge is returned for a submission that does not fit within the store's limits.
var ErrTooLarge = errors.New("the job does not fit within the store's value and transaction limits")

// SubmissionChanges returns the changes that create a new job's keys. They have to be made in one
// transaction. If the job's record is too large for one value, its dependencies go into keys of their
// own: SubmissionChanges then sets record.DependencyParts and replaces record.Spec by a copy without
// dependencies. A job whose end would not fit is refused, since it could never be cancelled.
func SubmissionChanges(record *Job, limits Limits) ([]wire.Change, error) {
	maxBytes := limits.MaxValueBytes()
	value, err := record.MarshalJSON()
	if err != nil {
		return nil, err
	}
	if !record.fitsOnceEnded(limits) {
		return nil, ErrTooLarge
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

// SplitDependencies splits a list of job ids into parts, so that the Dependencies record of each part
// fits into one value.
func SplitDependencies(ids []string, limits Limits) [][]string {
	const valueOverhead, idOverhead = 16, 3 // bytes of JSON syntax in a value and for each id
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

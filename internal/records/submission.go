package records

import (
	"errors"
	"slices"

	"firwood.dev/firwood/wire"
)

// Limits are the store's limits that records and transactions have to meet.
type Limits struct {
	// MaxValueKB is the maximum size of a value, in KiB. MaxTransactionOps is the maximum number of
	// changes in one transaction.
	MaxValueKB        float64
	MaxTransactionOps int
}

const (
	// maxTransactionBytes is the maximum size of the changes of one transaction. The rest of the store's 64 KiB is for the
	// conditions and the JSON around the lists.
	maxTransactionBytes = 62 << 10
	// changeOverheadBytes is the size of a change in a transaction without its key and value.
	changeOverheadBytes = 32
	// maxStorableValueBytes is the size of the largest value that a transaction can write.
	maxStorableValueBytes = 60 << 10
)

// MaxValueBytes returns the maximum size of a value, in bytes.
func (limits Limits) MaxValueBytes() int {
	return min(int(limits.MaxValueKB*1024), maxStorableValueBytes)
}

// ErrTooLarge is returned for a submission that does not fit within the store's limits.
var ErrTooLarge = errors.New("the job does not fit within the store's value and transaction limits")

// Submission is what has to be written to accept a job.
type Submission struct {
	// Parts are the changes that create the job's Dependencies records. There are none if the job's record has the list.
	Parts []wire.Change
	// Record is the change that creates the job's record. It may be written only with the parts or after all of them.
	Record wire.Change
}

// NewSubmission returns what has to be written to accept a job. If the job's record is too large for one value, its
// dependencies go into keys of their own: NewSubmission then sets record.DependencyParts and replaces record.Spec by a
// copy without dependencies. It returns ErrTooLarge for a job whose record doesn't fit even so, or whose end would not fit,
// since that job could never be cancelled.
func NewSubmission(record *Job, limits Limits) (Submission, error) {
	value, err := record.MarshalJSON()
	if err != nil {
		return Submission{}, err
	}
	if !record.fitsOnceEnded(limits) {
		return Submission{}, ErrTooLarge
	}
	key := JobKey(record.Spec.ID)
	if len(value) <= limits.MaxValueBytes() {
		return Submission{Record: wire.Change{PutKey: key, Value: value}}, nil
	}
	parts := SplitDependencies(record.Spec.DependsOn, limits)
	if len(parts) == 0 {
		return Submission{}, ErrTooLarge
	}
	spec := *record.Spec
	spec.DependsOn = nil
	record.Spec, record.DependencyParts = &spec, len(parts)
	if value, err = record.MarshalJSON(); err != nil {
		return Submission{}, err
	}
	if len(value) > limits.MaxValueBytes() {
		return Submission{}, ErrTooLarge
	}
	submission := Submission{Record: wire.Change{PutKey: key, Value: value}}
	for i, part := range parts {
		partValue, err := Dependencies{DependsOn: part}.MarshalJSON()
		if err != nil {
			return Submission{}, err
		}
		submission.Parts = append(submission.Parts, wire.Change{PutKey: DependenciesKey(spec.ID, i), Value: partValue})
	}
	return submission, nil
}

// Changes returns all changes, the record's last. isOneTransaction is whether they fit into one transaction.
func (submission *Submission) Changes(limits Limits) (changes []wire.Change, isOneTransaction bool) {
	changes = append(slices.Clone(submission.Parts), submission.Record)
	return changes, len(changes) <= limits.MaxTransactionOps && sizeInTransaction(changes...) <= maxTransactionBytes
}

// PartBatches returns the parts in batches that each fit into one transaction.
func (submission *Submission) PartBatches(limits Limits) [][]wire.Change {
	var batches [][]wire.Change
	batchBytes := 0
	for _, part := range submission.Parts {
		partBytes := sizeInTransaction(part)
		last := len(batches) - 1
		if last < 0 || len(batches[last]) >= limits.MaxTransactionOps || batchBytes+partBytes > maxTransactionBytes {
			batches, batchBytes = append(batches, nil), 0
			last++
		}
		batches[last] = append(batches[last], part)
		batchBytes += partBytes
	}
	return batches
}

// sizeInTransaction returns the size in bytes of changes in a transaction.
func sizeInTransaction(changes ...wire.Change) int {
	size := 0
	for i := range changes {
		size += len(changes[i].PutKey) + len(changes[i].Value) + changeOverheadBytes
	}
	return size
}

// SubmissionChanges returns the changes that create a new job's keys, for a job that one transaction can create. It changes
// record as NewSubmission does, and returns ErrTooLarge for other jobs.
func SubmissionChanges(record *Job, limits Limits) ([]wire.Change, error) {
	submission, err := NewSubmission(record, limits)
	if err != nil {
		return nil, err
	}
	changes, isOneTransaction := submission.Changes(limits)
	if !isOneTransaction {
		return nil, ErrTooLarge
	}
	return changes, nil
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

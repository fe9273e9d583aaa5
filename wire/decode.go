package wire

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"slices"
)

const (
	// maxNameBytes bounds the length of the names in a submission.
	maxNameBytes = 200
	// maxAmount bounds each amount in a submission, whatever its unit.
	maxAmount = 1e9
)

// FieldError describes an invalid field of a submission.
type FieldError struct {
	// Field is the field's JSON name in the protocol.
	Field string
	// Reason continues a sentence that begins with the field's name, as in "is missing".
	Reason string
}

// Error returns the text that users see.
func (fieldError *FieldError) Error() string { return fieldError.Field + " " + fieldError.Reason }

const reasonMissing = "is missing"

var errNotAnObject = errors.New("the body is not a JSON object")

// DecodeJob decodes and checks a submission, the body of POST /api/jobs. Every error is a fault of the
// sender (status 400). It is a *FieldError, which names the first field whose value is missing or invalid,
// unless the body is not a JSON object or can't be decoded.
func DecodeJob(body []byte) (*Job, error) {
	if !hasOpeningBrace(body) {
		return nil, errNotAnObject
	}
	var submitted submission
	if err := submitted.UnmarshalJSON(body); err != nil {
		return nil, fmt.Errorf("malformed JSON: %w", err)
	}
	job := &Job{}
	for _, decodePart := range []func(*Job) error{
		submitted.decodeNames, submitted.decodeAmounts, submitted.decodeFlags, submitted.decodeTaskCount,
		checkNames, submitted.decodeMachineTypes, submitted.decodeZone, submitted.decodeDeadline, submitted.decodeDependencies,
	} {
		if err := decodePart(job); err != nil {
			return nil, err
		}
	}
	return job, nil
}

// hasOpeningBrace reports whether the body's first character after white space is an opening brace, as
// in every JSON object. DecodeJob needs this check because null would decode as an empty object.
func hasOpeningBrace(body []byte) bool {
	trimmed := bytes.TrimLeft(body, " \t\r\n")
	return len(trimmed) > 0 && trimmed[0] == '{'
}

// requiredField is a field that a submission must have. name is its JSON name in the protocol. from is
// the submitted value, or nil if it is missing, and to is where the value is stored.
type requiredField[T any] struct {
	name string
	from *T
	to   *T
}

// copyRequiredFields checks and copies the fields in order, up to the first invalid field.
// rejectionReason returns the reason why a value is invalid, or "" if it is valid.
func copyRequiredFields[T any](fields []requiredField[T], rejectionReason func(T) string) error {
	for _, field := range fields {
		if field.from == nil {
			return &FieldError{field.name, reasonMissing}
		}
		if reason := rejectionReason(*field.from); reason != "" {
			return &FieldError{field.name, reason}
		}
		*field.to = *field.from
	}
	return nil
}

func (submitted *submission) decodeNames(job *Job) error {
	return copyRequiredFields([]requiredField[string]{
		{"nameId", submitted.ID, &job.ID},
		{"lot", submitted.Class, &job.Class},
		{"crew", submitted.Team, &job.Team},
		{"shape", submitted.Kind, &job.Kind},
		{"rank", submitted.Priority, &job.Priority},
		{"bundle", submitted.Image, &job.Image},
	}, func(name string) string {
		if name == "" || len(name) > maxNameBytes {
			return "is empty or too long"
		}
		return ""
	})
}

func (submitted *submission) decodeAmounts(job *Job) error {
	return copyRequiredFields([]requiredField[float64]{
		{"cores", submitted.CPUs, &job.CPUs},
		{"gpus", submitted.GPUs, &job.GPUs},
		{"ramGb", submitted.MemoryGB, &job.MemoryGB},
		{"pullGb", submitted.ImageSizeGB, &job.ImageSizeGB},
		{"guessS", submitted.EstimatedRunSeconds, &job.EstimatedRunSeconds},
		{"markS", submitted.CheckpointIntervalSeconds, &job.CheckpointIntervalSeconds},
		{"stashS", submitted.CheckpointSaveSeconds, &job.CheckpointSaveSeconds},
	}, amountRejectionReason)
}

// amountRejectionReason returns the reason why an amount is invalid, or "" if it is valid.
func amountRejectionReason(amount float64) string {
	if math.IsNaN(amount) || math.IsInf(amount, 0) || amount < 0 || amount > maxAmount {
		return "is not a valid amount"
	}
	return ""
}

func (submitted *submission) decodeFlags(job *Job) error {
	return copyRequiredFields([]requiredField[bool]{
		{"oneZone", submitted.SingleZone, &job.SingleZone},
		{"spread", submitted.SpreadZones, &job.SpreadZones},
		{"loaners", submitted.AllowsSpot, &job.AllowsSpot},
	}, func(bool) string { return "" })
}

func (submitted *submission) decodeTaskCount(job *Job) error {
	if submitted.TaskCount == nil {
		return &FieldError{"pieces", reasonMissing}
	}
	if *submitted.TaskCount < 1 || *submitted.TaskCount > MaxTasks {
		return &FieldError{"pieces", fmt.Sprintf("is not between 1 and %d", MaxTasks)}
	}
	job.TaskCount = int(*submitted.TaskCount)
	return nil
}

// checkNames checks the job's ID, which must have a fixed form, and its kind and priority, which must each be
// one of a fixed set of values.
func checkNames(job *Job) error {
	if !IsValidJobID(job.ID) {
		return &FieldError{"nameId", "has not the form of a job id"}
	}
	switch job.Kind {
	case KindArray, KindGang, KindService:
	default:
		return &FieldError{"shape", "is unknown"}
	}
	if PriorityIndex(job.Priority) < 0 {
		return &FieldError{"rank", "is unknown"}
	}
	return nil
}

func (submitted *submission) decodeMachineTypes(job *Job) error {
	if submitted.MachineTypes == nil {
		return nil
	}
	if len(*submitted.MachineTypes) == 0 {
		return &FieldError{"rigs", "is empty"}
	}
	if slices.Contains(*submitted.MachineTypes, "") {
		return &FieldError{"rigs", "holds an empty name"}
	}
	job.MachineTypes = *submitted.MachineTypes
	return nil
}

func (submitted *submission) decodeZone(job *Job) error {
	if submitted.Zone == nil {
		return nil
	}
	if *submitted.Zone == "" {
		return &FieldError{"yard", "is empty"}
	}
	job.Zone = *submitted.Zone
	return nil
}

func (submitted *submission) decodeDeadline(job *Job) error {
	if submitted.DeadlineSeconds == nil {
		return nil
	}
	if reason := amountRejectionReason(*submitted.DeadlineSeconds); reason != "" {
		return &FieldError{"dueS", reason}
	}
	job.DeadlineSeconds = *submitted.DeadlineSeconds
	return nil
}

// decodeDependencies stores the IDs of the jobs that the job depends on, sorted and without duplicates.
func (submitted *submission) decodeDependencies(job *Job) error {
	for _, id := range submitted.DependsOn {
		if !IsValidJobID(id) {
			return &FieldError{"awaits", "holds what has not the form of a job id"}
		}
	}
	slices.Sort(submitted.DependsOn)
	job.DependsOn = slices.Compact(submitted.DependsOn)
	return nil
}

package wire

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"slices"
)

const (
	// maxNameBytes bounds the names in a submission.
	maxNameBytes = 200
	// maxAmount bounds the numbers of a submission, whatever their unit.
	maxAmount = 1e9
)

// FieldError says what is wrong with one field of a submission.
type FieldError struct {
	// Field is the protocol's name of the field.
	Field string
	// Reason goes on from the field's name, as in "is missing".
	Reason string
}

// Error is the text that users get.
func (fieldError *FieldError) Error() string { return fieldError.Field + " " + fieldError.Reason }

const reasonMissing = "is missing"

var errNotAnObject = errors.New("the body is not a JSON object")

// DecodeJob decodes and checks a submission, the body of POST /api/jobs. Every error is the
// sender's (status 400): the body is no JSON object, or a *FieldError names the first field
// that is wrong.
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

// hasOpeningBrace reports that a body begins as an object does; null would decode as an empty one.
func hasOpeningBrace(body []byte) bool {
	trimmed := bytes.TrimLeft(body, " \t\r\n")
	return len(trimmed) > 0 && trimmed[0] == '{'
}

// requiredField is a field that a submission must have, by the protocol's name, and where its
// value goes.
type requiredField[T any] struct {
	name string
	from *T
	to   *T
}

// copyRequiredFields copies the fields in order. reject gives the reason to refuse a value, or "".
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

// amountRejectionReason gives the reason to refuse an amount, or "".
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

// checkNames checks the names that have a fixed form or a fixed set of values.
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

// decodeDependencies takes each job once, in the order of their ids.
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

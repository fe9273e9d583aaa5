// Package wire owns the JSON forms of every interface that firwood speaks:
// users, workers, the cloud and the state service. The odd field names of the
// platform stay in the struct tags here; the rest of the program, and clients
// that import this package, use the terms of the field.
package wire

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
)

//go:generate easyjson -all job.go worker.go cloud.go store.go

// Kinds of job.
const (
	KindArray   = "array"
	KindGang    = "ensemble"
	KindService = "service"
)

// Priorities, from the first served to the last.
const (
	PriorityProduction = "production"
	PriorityHigh       = "urgent"
	PriorityNormal     = "standard"
	PriorityLow        = "low"
)

// States of a job as users are told.
const (
	JobPending   = "pending"
	JobRunning   = "running"
	JobDone      = "done"
	JobCancelled = "aborted"
)

// MaxTasks bounds the tasks of one job.
const MaxTasks = 100000

// MaxBodyBytes bounds a request body.
const MaxBodyBytes = 64 << 10

// Job is a submission, checked and whole.
type Job struct {
	ID                        string   `json:"nameId"`
	Class                     string   `json:"lot"`
	Team                      string   `json:"crew"`
	Kind                      string   `json:"shape"`
	Priority                  string   `json:"rank"`
	TaskCount                 int      `json:"pieces"`
	CPUs                      float64  `json:"cores"`
	GPUs                      float64  `json:"gpus"`
	MemoryGB                  float64  `json:"ramGb"`
	Image                     string   `json:"bundle"`
	ImageSizeGB               float64  `json:"pullGb"`
	MachineTypes              []string `json:"rigs,omitempty"`
	Zone                      string   `json:"yard,omitempty"`
	SingleZone                bool     `json:"oneZone"`
	SpreadZones               bool     `json:"spread"`
	AllowsSpot                bool     `json:"loaners"`
	EstimatedRunSeconds       float64  `json:"guessS"`
	CheckpointIntervalSeconds float64  `json:"markS"`
	CheckpointSaveSeconds     float64  `json:"stashS"`
	DeadlineSeconds           float64  `json:"dueS,omitempty"`
	// DependsOn are the jobs that have to be done before any task of this one starts,
	// each once.
	DependsOn []string `json:"awaits,omitempty"`
}

// submission mirrors Job with every field optional, so that a missing field
// can be told from a zero one.
type submission struct {
	ID                        *string   `json:"nameId"`
	Class                     *string   `json:"lot"`
	Team                      *string   `json:"crew"`
	Kind                      *string   `json:"shape"`
	Priority                  *string   `json:"rank"`
	TaskCount                 *int64    `json:"pieces"`
	CPUs                      *float64  `json:"cores"`
	GPUs                      *float64  `json:"gpus"`
	MemoryGB                  *float64  `json:"ramGb"`
	Image                     *string   `json:"bundle"`
	ImageSizeGB               *float64  `json:"pullGb"`
	MachineTypes              *[]string `json:"rigs"`
	Zone                      *string   `json:"yard"`
	SingleZone                *bool     `json:"oneZone"`
	SpreadZones               *bool     `json:"spread"`
	AllowsSpot                *bool     `json:"loaners"`
	EstimatedRunSeconds       *float64  `json:"guessS"`
	CheckpointIntervalSeconds *float64  `json:"markS"`
	CheckpointSaveSeconds     *float64  `json:"stashS"`
	DeadlineSeconds           *float64  `json:"dueS"`
	DependsOn                 []string  `json:"awaits"`
}

// JobStatus is what users are told of a job.
type JobStatus struct {
	ID           string `json:"nameId"`
	State        string `json:"stage"`
	DoneTasks    *int   `json:"done,omitempty"`
	RunningTasks *int   `json:"running,omitempty"`
	// DependsOn are jobs that have to be done before this one starts.
	DependsOn []string `json:"awaits,omitempty"`
}

// ErrorResponse is the body of a refusal.
type ErrorResponse struct {
	Error string `json:"error"`
}

// IsValidJobID tells whether s has the form of a job id.
func IsValidJobID(id string) bool {
	digits, ok := strings.CutPrefix(id, "req-")
	if !ok || len(digits) == 0 || len(digits) > 18 {
		return false
	}
	for i := 0; i < len(digits); i++ {
		if digits[i] < '0' || digits[i] > '9' {
			return false
		}
	}
	return true
}

// TaskID names task i of a job.
func TaskID(job string, index int) string { return job + "/" + strconv.Itoa(index) }

// ParseTaskID is the inverse of TaskID.
func ParseTaskID(taskID string) (job string, index int, ok bool) {
	job, digits, found := strings.Cut(taskID, "/")
	if !found || !IsValidJobID(job) || len(digits) == 0 || len(digits) > 6 {
		return "", 0, false
	}
	number, err := strconv.Atoi(digits)
	if err != nil || number < 0 || number >= MaxTasks || strconv.Itoa(number) != digits {
		return "", 0, false
	}
	return job, number, true
}

func isInvalidAmount(amount float64) bool {
	return math.IsNaN(amount) || math.IsInf(amount, 0) || amount < 0 || amount > 1e9
}

// DecodeJob reads and checks a submission. Every error means 400.
func DecodeJob(body []byte) (*Job, error) {
	if t := bytes.TrimLeft(body, " \t\r\n"); len(t) == 0 || t[0] != '{' {
		return nil, errors.New("the body is not a JSON object")
	}
	var submitted submission
	if err := submitted.UnmarshalJSON(body); err != nil {
		return nil, fmt.Errorf("malformed JSON: %w", err)
	}
	job := &Job{}
	for _, field := range []struct {
		name string
		from *string
		to   *string
	}{
		{"nameId", submitted.ID, &job.ID}, {"lot", submitted.Class, &job.Class}, {"crew", submitted.Team, &job.Team},
		{"shape", submitted.Kind, &job.Kind}, {"rank", submitted.Priority, &job.Priority}, {"bundle", submitted.Image, &job.Image},
	} {
		if field.from == nil {
			return nil, fmt.Errorf("%s is missing", field.name)
		}
		if *field.from == "" || len(*field.from) > 200 {
			return nil, fmt.Errorf("%s is empty or too long", field.name)
		}
		*field.to = *field.from
	}
	for _, field := range []struct {
		name string
		from *float64
		to   *float64
	}{
		{"cores", submitted.CPUs, &job.CPUs}, {"gpus", submitted.GPUs, &job.GPUs}, {"ramGb", submitted.MemoryGB, &job.MemoryGB},
		{"pullGb", submitted.ImageSizeGB, &job.ImageSizeGB}, {"guessS", submitted.EstimatedRunSeconds, &job.EstimatedRunSeconds},
		{"markS", submitted.CheckpointIntervalSeconds, &job.CheckpointIntervalSeconds}, {"stashS", submitted.CheckpointSaveSeconds, &job.CheckpointSaveSeconds},
	} {
		if field.from == nil {
			return nil, fmt.Errorf("%s is missing", field.name)
		}
		if isInvalidAmount(*field.from) {
			return nil, fmt.Errorf("%s is not a valid amount", field.name)
		}
		*field.to = *field.from
	}
	for _, field := range []struct {
		name string
		from *bool
		to   *bool
	}{{"oneZone", submitted.SingleZone, &job.SingleZone}, {"spread", submitted.SpreadZones, &job.SpreadZones}, {"loaners", submitted.AllowsSpot, &job.AllowsSpot}} {
		if field.from == nil {
			return nil, fmt.Errorf("%s is missing", field.name)
		}
		*field.to = *field.from
	}
	if submitted.TaskCount == nil {
		return nil, errors.New("pieces is missing")
	}
	if *submitted.TaskCount < 1 || *submitted.TaskCount > MaxTasks {
		return nil, fmt.Errorf("pieces is not between 1 and %d", MaxTasks)
	}
	job.TaskCount = int(*submitted.TaskCount)
	if !IsValidJobID(job.ID) {
		return nil, errors.New("nameId has not the form of a job id")
	}
	switch job.Kind {
	case KindArray, KindGang, KindService:
	default:
		return nil, errors.New("shape is unknown")
	}
	if PriorityIndex(job.Priority) < 0 {
		return nil, errors.New("rank is unknown")
	}
	if submitted.MachineTypes != nil {
		if len(*submitted.MachineTypes) == 0 {
			return nil, errors.New("rigs is empty")
		}
		for _, t := range *submitted.MachineTypes {
			if t == "" {
				return nil, errors.New("rigs holds an empty name")
			}
		}
		job.MachineTypes = *submitted.MachineTypes
	}
	if submitted.Zone != nil {
		if *submitted.Zone == "" {
			return nil, errors.New("yard is empty")
		}
		job.Zone = *submitted.Zone
	}
	if submitted.DeadlineSeconds != nil {
		if isInvalidAmount(*submitted.DeadlineSeconds) {
			return nil, errors.New("dueS is not a valid amount")
		}
		job.DeadlineSeconds = *submitted.DeadlineSeconds
	}
	for _, id := range submitted.DependsOn {
		if !IsValidJobID(id) {
			return nil, errors.New("awaits holds what has not the form of a job id")
		}
	}
	slices.Sort(submitted.DependsOn)
	job.DependsOn = slices.Compact(submitted.DependsOn)
	return job, nil
}

// PriorityIndex is 0 for the first served priority, and -1 for an unknown one.
func PriorityIndex(priority string) int {
	switch priority {
	case PriorityProduction:
		return 0
	case PriorityHigh:
		return 1
	case PriorityNormal:
		return 2
	case PriorityLow:
		return 3
	}
	return -1
}

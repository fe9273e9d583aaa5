// Package wire owns the JSON forms of every interface that firwood speaks:
// users, workers, the cloud and the state service. The odd field names of the
// platform stay in the struct tags here; the rest of the program, and clients
// that import this package, use the terms of the field.
package wire

import (
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

// Digits of a job id after "req-", and of the index in a task id.
const (
	maxJobIDDigits     = 18
	maxTaskIndexDigits = 6
)

// IsValidJobID tells whether s has the form of a job id.
func IsValidJobID(id string) bool {
	digits, ok := strings.CutPrefix(id, "req-")
	if !ok || len(digits) == 0 || len(digits) > maxJobIDDigits {
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
	if !found || !IsValidJobID(job) || len(digits) == 0 || len(digits) > maxTaskIndexDigits {
		return "", 0, false
	}
	number, err := strconv.Atoi(digits)
	if err != nil || number < 0 || number >= MaxTasks || strconv.Itoa(number) != digits {
		return "", 0, false
	}
	return job, number, true
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

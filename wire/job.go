package wire

import (
	"strconv"
	"strings"
)

//go:generate easyjson -all job.go worker.go cloud.go store.go

// Kinds of job, in Job.Kind. Tasks of an array are independent, those of a gang run all at the
// same time or not at all, and those of a service run until the job is cancelled.
const (
	KindArray   = "array"
	KindGang    = "ensemble"
	KindService = "service"
)

// Priorities, in Job.Priority, from the highest to the lowest.
const (
	PriorityProduction = "production"
	PriorityHigh       = "urgent"
	PriorityNormal     = "standard"
	PriorityLow        = "low"
)

// States of a job in JobStatus.
const (
	JobPending   = "pending"
	JobRunning   = "running"
	JobDone      = "done"
	JobCancelled = "aborted"
)

// MaxTasks bounds the tasks of one job.
const MaxTasks = 100000

// MaxBodyBytes bounds the body of a request (PROTOCOL, first section).
const MaxBodyBytes = 64 << 10

// Job is a validated submission (PROTOCOL, POST /api/jobs). It is flat, as the protocol's
// message and the stored record are. Amounts of resources are per task.
type Job struct {
	ID       string `json:"nameId"`
	Class    string `json:"lot"`
	Team     string `json:"crew"`
	Kind     string `json:"shape"`
	Priority string `json:"rank"`
	// TaskCount is at most MaxTasks; tasks are numbered from 0.
	TaskCount   int     `json:"pieces"`
	CPUs        float64 `json:"cores"`
	GPUs        float64 `json:"gpus"`
	MemoryGB    float64 `json:"ramGb"`
	Image       string  `json:"bundle"`
	ImageSizeGB float64 `json:"pullGb"`
	// MachineTypes are those allowed; any if empty.
	MachineTypes []string `json:"rigs,omitempty"`
	// Zone is the only one allowed; any if empty.
	Zone string `json:"yard,omitempty"`
	// SingleZone asks that all tasks are in one zone.
	SingleZone bool `json:"oneZone"`
	// SpreadZones asks that at most half of the tasks, rounded up, are in one zone.
	SpreadZones bool `json:"spread"`
	// AllowsSpot permits spot machines besides on-demand ones.
	AllowsSpot bool `json:"loaners"`
	// EstimatedRunSeconds is the owner's estimate of a task's run time without fetching the
	// image; 0 for services.
	EstimatedRunSeconds float64 `json:"guessS"`
	// CheckpointIntervalSeconds is the progress after which a task saves a checkpoint by itself;
	// 0: it never saves, and its work is lost when it is stopped.
	CheckpointIntervalSeconds float64 `json:"markS"`
	// CheckpointSaveSeconds is how long a task needs to save when it is stopped.
	CheckpointSaveSeconds float64 `json:"stashS"`
	// DeadlineSeconds is when the job should be done, counted from its submission; 0: no deadline.
	DeadlineSeconds float64 `json:"dueS,omitempty"`
	// DependsOn are the jobs that must be done before any task of this one starts, each once.
	DependsOn []string `json:"awaits,omitempty"`
}

// submission mirrors Job, field by field, as it may come in: required fields are pointers so
// that a missing one differs from a zero one. DecodeJob turns it into a Job.
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

// JobStatus is a job's state as users get it (PROTOCOL, GET /api/jobs/{id}).
type JobStatus struct {
	ID    string `json:"nameId"`
	State string `json:"stage"`
	// DoneTasks and RunningTasks are for display; nil where the response does not carry them.
	DoneTasks    *int `json:"done,omitempty"`
	RunningTasks *int `json:"running,omitempty"`
	// DependsOn are the jobs that must be done before this one starts.
	DependsOn []string `json:"awaits,omitempty"`
}

// ErrorResponse is the body of a response with an error status.
type ErrorResponse struct {
	Error string `json:"error"`
}

// Most digits of a job id after "req-", and of the index in a task id.
const (
	maxJobIDDigits     = 18
	maxTaskIndexDigits = 6
)

// IsValidJobID reports that an id has the form of a job id: "req-" and 1 to maxJobIDDigits digits.
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

// TaskID is the id of a job's task with an index, as in "req-000412/3".
func TaskID(job string, index int) string { return job + "/" + strconv.Itoa(index) }

// ParseTaskID is the inverse of TaskID; ok is false for anything that TaskID doesn't give.
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

// PriorityIndex is 0 for the highest priority and 3 for the lowest, -1 for an unknown one.
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

package wire

import (
	"strconv"
	"strings"
)

//go:generate easyjson -all job.go worker.go cloud.go store.go

// Kinds of job, in Job.Kind. The tasks of an array are independent. The tasks of a gang run all at the
// same time or not at all. The tasks of a service run until the job is cancelled.
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

// MaxTasks is the maximum number of tasks of one job.
const MaxTasks = 100000

// MaxBodyBytes is the maximum size of a request body (PROTOCOL, first section).
const MaxBodyBytes = 64 << 10

// Job is a validated submission (PROTOCOL, POST /api/jobs). It has no nested structs, because the
// protocol's message and the stored record have none. Amounts of resources are per task.
type Job struct {
	ID       string `json:"nameId"`
	Class    string `json:"lot"`
	Team     string `json:"crew"`
	Kind     string `json:"shape"`
	Priority string `json:"rank"`
	// TaskCount is at most MaxTasks. Tasks are numbered from 0.
	TaskCount   int     `json:"pieces"`
	CPUs        float64 `json:"cores"`
	GPUs        float64 `json:"gpus"`
	MemoryGB    float64 `json:"ramGb"`
	Image       string  `json:"bundle"`
	ImageSizeGB float64 `json:"pullGb"`
	// MachineTypes lists the machine types that the job may use; if it is empty, all are allowed.
	MachineTypes []string `json:"rigs,omitempty"`
	// Zone is the only zone that the job may use; if it is empty, all are allowed.
	Zone string `json:"yard,omitempty"`
	// SingleZone requires that all tasks run in one zone.
	SingleZone bool `json:"oneZone"`
	// SpreadZones requires that at most half of the tasks, rounded up, run in the same zone.
	SpreadZones bool `json:"spread"`
	// AllowsSpot permits spot machines in addition to on-demand machines.
	AllowsSpot bool `json:"loaners"`
	// EstimatedRunSeconds is the job owner's estimate of a task's run time, without the time to fetch
	// the image. It is 0 for services.
	EstimatedRunSeconds float64 `json:"guessS"`
	// CheckpointIntervalSeconds is the progress after which a task saves a checkpoint by itself. If it
	// is 0, the task never saves one, and its work is lost when it is stopped.
	CheckpointIntervalSeconds float64 `json:"markS"`
	// CheckpointSaveSeconds is the time that a task needs to save a checkpoint when it is stopped.
	CheckpointSaveSeconds float64 `json:"stashS"`
	// DeadlineSeconds is the time from the job's submission to its deadline, or 0 if it has none.
	DeadlineSeconds float64 `json:"dueS,omitempty"`
	// DependsOn lists the jobs that must be done before any task of this job starts, each once.
	DependsOn []string `json:"awaits,omitempty"`
}

// submission has the fields of Job, but can also hold an invalid submission. Required fields are
// pointers, so that a missing value differs from a zero value. DecodeJob converts it to a Job.
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

// JobStatus is the state of a job as users get it (PROTOCOL, GET /api/jobs/{id}).
type JobStatus struct {
	ID    string `json:"nameId"`
	State string `json:"stage"`
	// DoneTasks and RunningTasks are numbers of tasks for display, nil if the response omits them.
	DoneTasks    *int `json:"done,omitempty"`
	RunningTasks *int `json:"running,omitempty"`
	// DependsOn lists the jobs that must be done before any task of this job starts.
	DependsOn []string `json:"awaits,omitempty"`
}

// ErrorResponse is the body of a response with an error status.
type ErrorResponse struct {
	Error string `json:"error"`
}

// Maximum number of digits in a job ID after "req-", and in the index of a task ID.
const (
	maxJobIDDigits     = 18
	maxTaskIndexDigits = 6
)

// IsValidJobID reports whether id is "req-" followed by 1 to maxJobIDDigits decimal digits.
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

// TaskID returns the ID of the task of a job with the given index, such as "req-000412/3".
func TaskID(job string, index int) string { return job + "/" + strconv.Itoa(index) }

// ParseTaskID is the inverse of TaskID. ok is false if taskID is not the result of TaskID for a valid job ID
// and a valid index.
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

// PriorityIndex returns 0 for the highest priority to 3 for the lowest, or -1 if priority is unknown.
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

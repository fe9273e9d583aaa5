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

//go:generate easyjson -all job.go worker.go cloud.go state.go

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
	JobPending = "pending"
	JobRunning = "running"
	JobDone    = "done"
	JobAborted = "aborted"
)

// MaxTasks bounds the tasks of one job.
const MaxTasks = 100000

// MaxBody bounds a request body.
const MaxBody = 64 << 10

// Job is a submission, checked and whole.
type Job struct {
	ID          string   `json:"nameId"`
	Class       string   `json:"lot"`
	Team        string   `json:"crew"`
	Kind        string   `json:"shape"`
	Priority    string   `json:"rank"`
	Tasks       int      `json:"pieces"`
	CPUs        float64  `json:"cores"`
	GPUs        float64  `json:"gpus"`
	MemoryGB    float64  `json:"ramGb"`
	Image       string   `json:"bundle"`
	ImageGB     float64  `json:"pullGb"`
	Types       []string `json:"rigs,omitempty"`
	Zone        string   `json:"yard,omitempty"`
	OneZone     bool     `json:"oneZone"`
	Spread      bool     `json:"spread"`
	Spot        bool     `json:"loaners"`
	EstimateS   float64  `json:"guessS"`
	CheckpointS float64  `json:"markS"`
	SaveS       float64  `json:"stashS"`
	DeadlineS   float64  `json:"dueS,omitempty"`
	// Awaits are the jobs that have to be done before any task of this one starts,
	// each once.
	Awaits []string `json:"awaits,omitempty"`
}

// submission mirrors Job with every field optional, so that a missing field
// can be told from a zero one.
type submission struct {
	ID          *string   `json:"nameId"`
	Class       *string   `json:"lot"`
	Team        *string   `json:"crew"`
	Kind        *string   `json:"shape"`
	Priority    *string   `json:"rank"`
	Tasks       *int64    `json:"pieces"`
	CPUs        *float64  `json:"cores"`
	GPUs        *float64  `json:"gpus"`
	MemoryGB    *float64  `json:"ramGb"`
	Image       *string   `json:"bundle"`
	ImageGB     *float64  `json:"pullGb"`
	Types       *[]string `json:"rigs"`
	Zone        *string   `json:"yard"`
	OneZone     *bool     `json:"oneZone"`
	Spread      *bool     `json:"spread"`
	Spot        *bool     `json:"loaners"`
	EstimateS   *float64  `json:"guessS"`
	CheckpointS *float64  `json:"markS"`
	SaveS       *float64  `json:"stashS"`
	DeadlineS   *float64  `json:"dueS"`
	Awaits      []string  `json:"awaits"`
}

// JobStatus is what users are told of a job.
type JobStatus struct {
	ID      string `json:"nameId"`
	State   string `json:"stage"`
	Done    *int   `json:"done,omitempty"`
	Running *int   `json:"running,omitempty"`
	// Awaits are jobs that have to be done before this one starts.
	Awaits []string `json:"awaits,omitempty"`
}

// ErrorBody is the body of a refusal.
type ErrorBody struct {
	Error string `json:"error"`
}

// ValidJobID tells whether s has the form of a job id.
func ValidJobID(s string) bool {
	digits, ok := strings.CutPrefix(s, "req-")
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
func TaskID(job string, i int) string { return job + "/" + strconv.Itoa(i) }

// ParseTaskID is the inverse of TaskID.
func ParseTaskID(s string) (job string, i int, ok bool) {
	job, num, found := strings.Cut(s, "/")
	if !found || !ValidJobID(job) || len(num) == 0 || len(num) > 6 {
		return "", 0, false
	}
	n, err := strconv.Atoi(num)
	if err != nil || n < 0 || n >= MaxTasks || strconv.Itoa(n) != num {
		return "", 0, false
	}
	return job, n, true
}

func badAmount(f float64) bool { return math.IsNaN(f) || math.IsInf(f, 0) || f < 0 || f > 1e9 }

// DecodeJob reads and checks a submission. Every error means 400.
func DecodeJob(body []byte) (*Job, error) {
	if t := bytes.TrimLeft(body, " \t\r\n"); len(t) == 0 || t[0] != '{' {
		return nil, errors.New("the body is not a JSON object")
	}
	var s submission
	if err := s.UnmarshalJSON(body); err != nil {
		return nil, fmt.Errorf("malformed JSON: %w", err)
	}
	j := &Job{}
	for _, f := range []struct {
		name string
		from *string
		to   *string
	}{
		{"nameId", s.ID, &j.ID}, {"lot", s.Class, &j.Class}, {"crew", s.Team, &j.Team},
		{"shape", s.Kind, &j.Kind}, {"rank", s.Priority, &j.Priority}, {"bundle", s.Image, &j.Image},
	} {
		if f.from == nil {
			return nil, fmt.Errorf("%s is missing", f.name)
		}
		if *f.from == "" || len(*f.from) > 200 {
			return nil, fmt.Errorf("%s is empty or too long", f.name)
		}
		*f.to = *f.from
	}
	for _, f := range []struct {
		name string
		from *float64
		to   *float64
	}{
		{"cores", s.CPUs, &j.CPUs}, {"gpus", s.GPUs, &j.GPUs}, {"ramGb", s.MemoryGB, &j.MemoryGB},
		{"pullGb", s.ImageGB, &j.ImageGB}, {"guessS", s.EstimateS, &j.EstimateS},
		{"markS", s.CheckpointS, &j.CheckpointS}, {"stashS", s.SaveS, &j.SaveS},
	} {
		if f.from == nil {
			return nil, fmt.Errorf("%s is missing", f.name)
		}
		if badAmount(*f.from) {
			return nil, fmt.Errorf("%s is not a valid amount", f.name)
		}
		*f.to = *f.from
	}
	for _, f := range []struct {
		name string
		from *bool
		to   *bool
	}{{"oneZone", s.OneZone, &j.OneZone}, {"spread", s.Spread, &j.Spread}, {"loaners", s.Spot, &j.Spot}} {
		if f.from == nil {
			return nil, fmt.Errorf("%s is missing", f.name)
		}
		*f.to = *f.from
	}
	if s.Tasks == nil {
		return nil, errors.New("pieces is missing")
	}
	if *s.Tasks < 1 || *s.Tasks > MaxTasks {
		return nil, fmt.Errorf("pieces is not between 1 and %d", MaxTasks)
	}
	j.Tasks = int(*s.Tasks)
	if !ValidJobID(j.ID) {
		return nil, errors.New("nameId has not the form of a job id")
	}
	switch j.Kind {
	case KindArray, KindGang, KindService:
	default:
		return nil, errors.New("shape is unknown")
	}
	if PriorityIndex(j.Priority) < 0 {
		return nil, errors.New("rank is unknown")
	}
	if s.Types != nil {
		if len(*s.Types) == 0 {
			return nil, errors.New("rigs is empty")
		}
		for _, t := range *s.Types {
			if t == "" {
				return nil, errors.New("rigs holds an empty name")
			}
		}
		j.Types = *s.Types
	}
	if s.Zone != nil {
		if *s.Zone == "" {
			return nil, errors.New("yard is empty")
		}
		j.Zone = *s.Zone
	}
	if s.DeadlineS != nil {
		if badAmount(*s.DeadlineS) {
			return nil, errors.New("dueS is not a valid amount")
		}
		j.DeadlineS = *s.DeadlineS
	}
	for _, id := range s.Awaits {
		if !ValidJobID(id) {
			return nil, errors.New("awaits holds what has not the form of a job id")
		}
	}
	slices.Sort(s.Awaits)
	j.Awaits = slices.Compact(s.Awaits)
	return j, nil
}

// PriorityIndex is 0 for the first served priority, and -1 for an unknown one.
func PriorityIndex(p string) int {
	switch p {
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

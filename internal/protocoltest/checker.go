// Package protocoltest checks histories of users' answers and workers' tasks
// against the rules of the protocol. It is for tests: it sees what users and
// workers see, and nothing of the service itself.
package protocoltest

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"firwood.dev/firwood/wire"
)

// Rule names a rule of the protocol.
type Rule string

// The rules that a history can break.
const (
	RanTwice     Rule = "ran_twice"
	Quota        Rule = "quota"
	WrongPlace   Rule = "wrong_place"
	RanCancelled Rule = "ran_cancelled"
	Forgotten    Rule = "forgotten"
	Invented     Rule = "invented"
	NotDone      Rule = "not_done"
	WentBack     Rule = "went_back"
	TooEarly     Rule = "too_early"
	Orphaned     Rule = "orphaned"
)

// Violation is a broken rule.
type Violation struct {
	Rule Rule
	// Detail says which job or task, and where.
	Detail string
}

// Limit is what a team's tasks may use at a time; 0 is no limit.
type Limit struct{ CPUs, GPUs float64 }

// Config says what the rules rest on.
type Config struct {
	// Cancellation is how long a cancelled job's tasks may stay.
	Cancellation time.Duration
	Limits       map[string]Limit
}

// job is what is known of a job.
type job struct {
	spec        *wire.Job
	accepted    bool
	acceptedAt  time.Time
	cancelAsked bool
	final       string // "done" or "aborted" once told
	finalAt     time.Time
	done        map[int]bool
	on          map[int]wire.ListedMachine // by task
	counted     bool                       // its overdue tasks have been counted
}

// Checker takes a history as it happens. It is safe for concurrent use.
type Checker struct {
	cfg Config

	mu         sync.Mutex
	jobs       map[string]*job
	violations []Violation
	// lateStarts counts starts after a confirmed cancellation, which are no broken
	// rule within the cancellation time.
	lateStarts []string
	// reruns lists starts of tasks that had been done, which are no broken rule.
	reruns []string
}

// New makes a checker of an empty history.
func New(cfg Config) *Checker { return &Checker{cfg: cfg, jobs: map[string]*job{}} }

// Violations are the rules broken so far.
func (c *Checker) Violations() []Violation {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.overdue()
	return append([]Violation(nil), c.violations...)
}

// LateStarts lists starts of tasks whose job was confirmed as cancelled.
func (c *Checker) LateStarts() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.lateStarts)
}

// Reruns lists starts of tasks that had been done before.
func (c *Checker) Reruns() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.reruns)
}

// IsService tells whether a submitted job is a service.
func (c *Checker) IsService(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[id]
	return j != nil && j.spec.Kind == wire.KindService
}

func (c *Checker) broken(rule Rule, format string, args ...any) {
	c.violations = append(c.violations, Violation{rule, fmt.Sprintf(format, args...)})
}

// Submitted notes that a user submits a job, at first or again.
func (c *Checker) Submitted(spec *wire.Job) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.jobs[spec.ID] == nil {
		c.jobs[spec.ID] = &job{spec: spec, done: map[int]bool{}, on: map[int]wire.ListedMachine{}}
	}
}

// CancelAsked notes that a user asks for a job to be cancelled.
func (c *Checker) CancelAsked(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if j := c.jobs[id]; j != nil {
		j.cancelAsked = true
	}
}

// Told notes what a user is told of a job, in answer to a request sent at an
// instant.
func (c *Checker) Told(id, stage string, askedAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[id]
	if j == nil {
		c.broken(Invented, "%s is called %s", id, stage)
		return
	}
	if !j.accepted {
		j.accepted, j.acceptedAt = true, time.Now()
	}
	if j.final != "" {
		if stage != j.final && askedAt.After(j.finalAt) {
			c.broken(WentBack, "%s is called %s after %s", id, stage, j.final)
		}
		return
	}
	switch stage {
	case wire.JobDone:
		if len(j.done) < j.spec.TaskCount {
			c.broken(NotDone, "%s: %d of %d tasks are done", id, len(j.done), j.spec.TaskCount)
		}
	case wire.JobCancelled:
		if !c.cancelAskedBefore(j) {
			c.broken(WentBack, "%s is called cancelled, which its user did not ask for", id)
		}
	default:
		if at, cancelled := c.cancelledBefore(j); cancelled && askedAt.Sub(at) > c.cfg.Cancellation {
			c.broken(Orphaned, "%s is called %s %v after a job that it needs was cancelled", id, stage, askedAt.Sub(at))
		}
		return
	}
	j.final, j.finalAt = stage, time.Now()
}

// before calls f for every job that a job needs, directly or through others, until
// it returns true.
func (c *Checker) before(j *job, f func(*job) bool) bool {
	seen := map[*job]bool{j: true}
	work := []*job{j}
	for len(work) > 0 {
		next := work[len(work)-1]
		work = work[:len(work)-1]
		for _, id := range next.spec.DependsOn {
			needed := c.jobs[id]
			if needed == nil || seen[needed] {
				continue
			}
			if f(needed) {
				return true
			}
			seen[needed] = true
			work = append(work, needed)
		}
	}
	return false
}

// cancelAskedBefore tells whether a user asked for a job, or one that it needs, to be
// cancelled.
func (c *Checker) cancelAskedBefore(j *job) bool {
	return j.cancelAsked || c.before(j, func(needed *job) bool { return needed.cancelAsked })
}

// cancelledBefore tells when a user was told that a job which this one needs is
// cancelled.
func (c *Checker) cancelledBefore(j *job) (at time.Time, cancelled bool) {
	cancelled = c.before(j, func(needed *job) bool {
		at = needed.finalAt
		return needed.final == wire.JobCancelled
	})
	return at, cancelled
}

// Accepted lists the jobs that users were told to be accepted.
func (c *Checker) Accepted() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var ids []string
	for id, j := range c.jobs {
		if j.accepted {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Denied notes that a request sent at an instant was answered as if the job could
// not be: 404 to a question, 400 or 422 to a submission.
func (c *Checker) Denied(id string, status int, askedAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if j := c.jobs[id]; j != nil && j.accepted && askedAt.After(j.acceptedAt) {
		c.broken(Forgotten, "%s gets %d", id, status)
	}
}

// Started notes that a task is on a machine.
func (c *Checker) Started(m wire.ListedMachine, task string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.overdue()
	id, index, ok := wire.ParseTaskID(task)
	j := c.jobs[id]
	if !ok || j == nil {
		c.broken(Invented, "%s starts", task)
		return
	}
	if other, on := j.on[index]; on {
		c.broken(RanTwice, "%s starts on %s while on %s", task, m.ID, other.ID)
	}
	c.place(j, m, task)
	for _, need := range j.spec.DependsOn {
		if needed := c.jobs[need]; needed == nil || len(needed.done) < needed.spec.TaskCount {
			c.broken(TooEarly, "%s starts before %s is done", task, need)
		}
	}
	j.on[index] = m
	if j.done[index] {
		c.reruns = append(c.reruns, task+" on "+m.ID)
	}
	c.quota(j.spec.Team)
	if j.final == wire.JobCancelled {
		c.lateStarts = append(c.lateStarts, fmt.Sprintf("%s on %s, %v after its job was cancelled", task, m.ID, time.Since(j.finalAt)))
		if time.Since(j.finalAt) > c.cfg.Cancellation {
			c.broken(RanCancelled, "%s starts %v after its job was cancelled", task, time.Since(j.finalAt))
		}
	}
}

// Ended notes that a task is not on a machine any more.
func (c *Checker) Ended(machine, task, cause string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.overdue()
	id, index, ok := wire.ParseTaskID(task)
	j := c.jobs[id]
	if !ok || j == nil {
		return
	}
	if j.on[index].ID == machine {
		delete(j.on, index)
	}
	if cause == wire.ExitDone {
		j.done[index] = true
	}
}

// place checks the job's own wishes, given its other tasks.
func (c *Checker) place(j *job, m wire.ListedMachine, task string) {
	s := j.spec
	allowed := !m.Spot || s.AllowsSpot
	allowed = allowed && (s.Zone == "" || s.Zone == m.Zone)
	if s.MachineTypes != nil {
		found := false
		for _, t := range s.MachineTypes {
			found = found || t == m.MachineType
		}
		allowed = allowed && found
	}
	inZone := 1
	for _, other := range j.on {
		if other.Zone == m.Zone {
			inZone++
		} else if s.SingleZone {
			allowed = false
		}
	}
	if s.SpreadZones && inZone > (s.TaskCount+1)/2 {
		allowed = false
	}
	if !allowed {
		c.broken(WrongPlace, "%s starts on %s (%s, %s, spot %v)", task, m.ID, m.MachineType, m.Zone, m.Spot)
	}
}

func (c *Checker) quota(team string) {
	limit := c.cfg.Limits[team]
	var cpus, gpus float64
	for _, j := range c.jobs {
		if j.spec.Team == team {
			cpus += float64(len(j.on)) * j.spec.CPUs
			gpus += float64(len(j.on)) * j.spec.GPUs
		}
	}
	if limit.CPUs > 0 && cpus > limit.CPUs || limit.GPUs > 0 && gpus > limit.GPUs {
		c.broken(Quota, "%s uses %g CPUs and %g GPUs", team, cpus, gpus)
	}
}

// overdue finds cancelled jobs whose tasks have stayed for too long.
func (c *Checker) overdue() {
	for id, j := range c.jobs {
		if j.counted || j.final != wire.JobCancelled || time.Since(j.finalAt) <= c.cfg.Cancellation {
			continue
		}
		j.counted = true
		for index, m := range j.on {
			c.broken(RanCancelled, "%s/%d is on %s %v after its job was cancelled", id, index, m.ID, time.Since(j.finalAt))
		}
	}
}

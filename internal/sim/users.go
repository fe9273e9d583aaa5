package sim

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"firwood.dev/firwood/internal/server"
	"firwood.dev/firwood/wire"
)

// Answer is what a request came to; a status of 0 is none.
type Answer struct {
	Status     int
	Body       []byte
	RetryAfter int
}

// Stage is the state that the answer tells of, empty if it tells none.
func (a Answer) Stage() string {
	var s wire.JobStatus
	if a.Status/100 != 2 || s.UnmarshalJSON(a.Body) != nil {
		return ""
	}
	return s.State
}

func decode(r io.Reader, v any) error { return json.NewDecoder(r).Decode(v) }

// ask makes a request and waits for its answer, for so long at most.
func ask(request func(*server.Reply), atMost time.Duration) Answer {
	answered := make(chan Answer, 1)
	request(server.NewReply(func(status int, body []byte, retryAfter int) {
		answered <- Answer{status, body, retryAfter}
	}))
	select {
	case a := <-answered:
		return a
	case <-time.After(atMost):
		return Answer{Status: 504}
	}
}

// userTimeout is how long a user waits for an answer.
const userTimeout = 5 * time.Second

// Array describes an array of a team.
func Array(number, tasks int, team string) *wire.Job {
	return &wire.Job{
		ID: fmt.Sprintf("req-%06d", number), Class: "c", Team: team, Kind: wire.KindArray, Priority: "standard",
		TaskCount: tasks, CPUs: 2, MemoryGB: 1, Image: "img", ImageSizeGB: 0.1, EstimatedRunSeconds: 20,
	}
}

// Service describes a service that is spread over zones.
func Service(number, tasks int, team string) *wire.Job {
	j := Array(number, tasks, team)
	j.Kind, j.Priority, j.SpreadZones, j.EstimatedRunSeconds = wire.KindService, "production", true, 0
	return j
}

// Submit submits a job to a controller, once.
func (c *Cluster) Submit(name string, job *wire.Job) Answer {
	app := c.life(c.node(name))
	asked := time.Now()
	c.Checker.Submitted(job)
	if app == nil {
		return Answer{}
	}
	copied := *job
	a := ask(func(r *server.Reply) { app.SubmitJob(&copied, r) }, userTimeout)
	switch {
	case a.Stage() != "":
		c.Checker.Told(job.ID, a.Stage(), asked)
	case a.Status == 400 || a.Status == 422:
		c.Checker.Denied(job.ID, a.Status, asked)
	}
	return a
}

// Poll asks a controller about a job, once.
func (c *Cluster) Poll(name, id string) Answer {
	app := c.life(c.node(name))
	if app == nil {
		return Answer{}
	}
	asked := time.Now()
	a := ask(func(r *server.Reply) { app.ShowJob(id, r) }, userTimeout)
	switch {
	case a.Stage() != "":
		c.Checker.Told(id, a.Stage(), asked)
	case a.Status == 404:
		c.Checker.Denied(id, a.Status, asked)
	}
	return a
}

// Cancel asks a controller to cancel a job, once.
func (c *Cluster) Cancel(name, id string) Answer {
	app := c.life(c.node(name))
	if app == nil {
		return Answer{}
	}
	asked := time.Now()
	c.Checker.CancelAsked(id)
	a := ask(func(r *server.Reply) { app.CancelJob(id, r) }, userTimeout)
	if a.Stage() != "" {
		c.Checker.Told(id, a.Stage(), asked)
	}
	return a
}

// MustSubmit submits a job until it is accepted.
func (c *Cluster) MustSubmit(name string, job *wire.Job) {
	c.t.Helper()
	c.Until(job.ID+" is accepted", time.Minute, func() bool {
		a := c.Submit(name, job)
		return a.Status == 201 || a.Status == 200
	})
}

// MustCancel cancels a job.
func (c *Cluster) MustCancel(name, id string) {
	c.t.Helper()
	c.Until(id+" is cancelled", time.Minute, func() bool { return c.Cancel(name, id).Stage() == wire.JobCancelled })
}

// UntilOn waits until so many tasks of a job are on machines.
func (c *Cluster) UntilOn(id string, tasks int) {
	c.t.Helper()
	c.Until(fmt.Sprintf("%d tasks of %s run", tasks, id), 2*time.Minute, func() bool { return len(c.On(id)) == tasks })
}

// UntilStage waits until a controller tells a state of a job.
func (c *Cluster) UntilStage(name, id, stage string, atMost time.Duration) {
	c.t.Helper()
	c.Until(id+" is "+stage+" at "+name, atMost, func() bool { return c.Poll(name, id).Stage() == stage })
}

// MustCancelOrDone cancels a job, unless it is done already.
func (c *Cluster) MustCancelOrDone(name, id string) {
	c.t.Helper()
	c.Until(id+" is cancelled", time.Minute, func() bool { return c.Cancel(name, id).Status == 200 })
}

func unmarshal(text string, v any) error { return json.Unmarshal([]byte(text), v) }

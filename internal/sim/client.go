package sim

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"firwood.dev/firwood/internal/server"
	"firwood.dev/firwood/wire"
)

// Response is a controller's reply to a request.
type Response struct {
	// Status is the HTTP status, 0 if the controller is down, or 504 if no reply came in time.
	Status int
	Body   []byte
	// RetryAfterSeconds is the value of the Retry-After header, or 0 if there is none.
	RetryAfterSeconds int
}

// JobState returns the job state in the body of a successful response, or an empty string if there
// is none.
func (response Response) JobState() string {
	var status wire.JobStatus
	if response.Status/100 != 2 || status.UnmarshalJSON(response.Body) != nil {
		return ""
	}
	return status.State
}

func decodeJSON(r io.Reader, v any) error { return json.NewDecoder(r).Decode(v) }

// awaitResponse makes a request and waits for the reply. After the timeout it returns status 504.
func awaitResponse(request func(*server.Reply), timeout time.Duration) Response {
	answered := make(chan Response, 1)
	request(server.NewReply(func(status int, body []byte, retryAfter int) {
		answered <- Response{status, body, retryAfter}
	}))
	select {
	case response := <-answered:
		return response
	case <-time.After(timeout):
		return Response{Status: 504}
	}
}

// userTimeout is how long a user waits for a reply.
const userTimeout = 5 * time.Second

// JobID returns the ID of the job with a number.
func JobID(number int) string { return fmt.Sprintf("req-%06d", number) }

// Array returns an array job of a team, as a user submits it.
func Array(number, taskCount int, team string) *wire.Job {
	return &wire.Job{
		ID: JobID(number), Class: "c", Team: team, Kind: wire.KindArray, Priority: "standard",
		TaskCount: taskCount, CPUs: 2, MemoryGB: 1, Image: "img", ImageSizeGB: 0.1, EstimatedRunSeconds: 20,
	}
}

// Service returns a service of a team, as a user submits it. Its replicas are spread over zones.
func Service(number, taskCount int, team string) *wire.Job {
	job := Array(number, taskCount, team)
	job.Kind, job.Priority, job.SpreadZones, job.EstimatedRunSeconds = wire.KindService, "production", true, 0
	return job
}

// Submit sends a job to a controller once. The checker records the submission and the reply.
func (cluster *Cluster) Submit(name string, job *wire.Job) Response {
	instance := cluster.runningInstance(cluster.member(name))
	sentAt := time.Now()
	cluster.Checker.RecordSubmission(job)
	if instance == nil {
		return Response{}
	}
	copied := *job
	response := awaitResponse(func(r *server.Reply) { instance.SubmitJob(&copied, r) }, userTimeout)
	switch {
	case response.JobState() != "":
		cluster.Checker.RecordJobState(job.ID, response.JobState(), sentAt)
	case response.Status == 400 || response.Status == 422:
		cluster.Checker.RecordRejection(job.ID, response.Status, sentAt)
	}
	return response
}

// GetJob reads a job from a controller once. The checker records the reply.
func (cluster *Cluster) GetJob(name, id string) Response {
	instance := cluster.runningInstance(cluster.member(name))
	if instance == nil {
		return Response{}
	}
	sentAt := time.Now()
	response := awaitResponse(func(r *server.Reply) { instance.ShowJob(id, r) }, userTimeout)
	switch {
	case response.JobState() != "":
		cluster.Checker.RecordJobState(id, response.JobState(), sentAt)
	case response.Status == 404:
		cluster.Checker.RecordRejection(id, response.Status, sentAt)
	}
	return response
}

// Cancel requests the cancellation of a job from a controller once. The checker records the request
// and the reply.
func (cluster *Cluster) Cancel(name, id string) Response {
	instance := cluster.runningInstance(cluster.member(name))
	if instance == nil {
		return Response{}
	}
	sentAt := time.Now()
	cluster.Checker.RecordCancelRequest(id)
	response := awaitResponse(func(r *server.Reply) { instance.CancelJob(id, r) }, userTimeout)
	if response.JobState() != "" {
		cluster.Checker.RecordJobState(id, response.JobState(), sentAt)
	}
	return response
}

// MustSubmit submits a job to a controller repeatedly until the controller accepts it.
func (cluster *Cluster) MustSubmit(name string, job *wire.Job) {
	cluster.t.Helper()
	cluster.WaitFor(job.ID+" is accepted", time.Minute, func() bool {
		response := cluster.Submit(name, job)
		return response.Status == 201 || response.Status == 200
	})
}

// MustRun submits a job and waits until all its tasks are on machines.
func (cluster *Cluster) MustRun(name string, job *wire.Job) {
	cluster.t.Helper()
	cluster.MustSubmit(name, job)
	cluster.WaitForRunningTasks(job.ID, job.TaskCount)
}

// MustCancel requests the cancellation of a job from a controller repeatedly until the controller
// confirms that the job is cancelled.
func (cluster *Cluster) MustCancel(name, id string) {
	cluster.t.Helper()
	cluster.WaitFor(id+" is cancelled", time.Minute, func() bool { return cluster.Cancel(name, id).JobState() == wire.JobCancelled })
}

// WaitForState waits until a controller shows a job in a state.
func (cluster *Cluster) WaitForState(name, id, state string, timeout time.Duration) {
	cluster.t.Helper()
	cluster.WaitFor(id+" is "+state+" at "+name, timeout, func() bool { return cluster.GetJob(name, id).JobState() == state })
}

// MustCancelUnlessDone requests the cancellation of a job from a controller repeatedly until the
// controller confirms that the job is cancelled, or replies that it is done.
func (cluster *Cluster) MustCancelUnlessDone(name, id string) {
	cluster.t.Helper()
	cluster.WaitFor(id+" is cancelled", time.Minute, func() bool { return cluster.Cancel(name, id).Status == 200 })
}

func unmarshalJSON(text string, v any) error { return json.Unmarshal([]byte(text), v) }

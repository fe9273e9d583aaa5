package controller

import (
	"slices"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/kvstore"
	"firwood.dev/firwood/internal/server"
	"firwood.dev/firwood/wire"
)

// userWait bounds how long a user's question waits for proof: users themselves
// wait 2 s for a poll.
const userWait = 1500 * clock.Millisecond

// submitWait bounds how long a submission waits to be durable.
const submitWait = 2500 * clock.Millisecond

func later(r *server.Reply, why string) { r.Send(503, server.ErrorBody(why), 1) }

// full refuses what the rate of writes does not allow, and says when it will.
func (c *Core) full(r *server.Reply) {
	wait := c.store.InteractiveDelay()
	r.Send(503, server.ErrorBody("the state service is asked for more than it takes"), int(min(wait/clock.Second+1, 30)))
}

// refused answers at once what cannot be made durable now, as far as is known.
func (c *Core) refused(r *server.Reply) bool {
	if c.store.IsFailing(clock.Now()) {
		later(r, "the state service does not answer")
		return true
	}
	return false
}

// user queues what a user asks, or refuses it at once.
func (c *Core) user(r *server.Reply, f func()) {
	if !c.q.post(rankUser, f) {
		later(r, "overloaded")
	}
}

// SubmitJob implements server.App.
func (c *Core) SubmitJob(j *wire.Job, r *server.Reply) { c.user(r, func() { c.submit(j, r) }) }

// ShowJob implements server.App.
func (c *Core) ShowJob(id string, r *server.Reply) { c.user(r, func() { c.show(id, r) }) }

// CancelJob implements server.App.
func (c *Core) CancelJob(id string, r *server.Reply) { c.user(r, func() { c.withdraw(id, r, 3) }) }

// refusal says why a job can never run, if so.
func (c *Core) refusal(j *wire.Job) string {
	t, ok := c.teams[j.Team]
	if !ok {
		return "unknown team"
	}
	need := allocation.NewResources(j.CPUs, j.GPUs, j.MemoryGB)
	fits := slices.ContainsFunc(c.types, func(k wire.MachineType) bool {
		return (j.MachineTypes == nil || slices.Contains(j.MachineTypes, k.Name)) &&
			(j.Zone == "" || slices.Contains(k.Zones, j.Zone)) &&
			need.IsWithin(allocation.NewResources(k.CPUs, k.GPUs, k.MemoryGB))
	})
	if !fits {
		return "a task fits no allowed machine type"
	}
	n := j.TaskCount
	if j.Kind == wire.KindArray {
		n = 1
	}
	all := need.Times(n)
	if t.MaxMilliCPU > 0 && all.MilliCPU > t.MaxMilliCPU || t.MaxMilliGPU > 0 && all.MilliGPU > t.MaxMilliGPU {
		return "the job needs more than its team's limit"
	}
	return ""
}

func (c *Core) submit(j *wire.Job, r *server.Reply) {
	if rec := c.view.jobs[j.ID]; rec != nil {
		c.show(j.ID, r)
		return
	}
	if !c.view.loaded || len(c.types) == 0 {
		later(r, "not ready")
		return
	}
	c.withAwaited(j, r, func(absent map[string]bool) { c.submitKnown(j, r, absent) })
}

// submitKnown takes a submission once what it names is in the view or known to be absent.
func (c *Core) submitKnown(j *wire.Job, r *server.Reply, absent map[string]bool) {
	if c.view.jobs[j.ID] != nil || c.mayBeForgotten(j.ID) && !absent[j.ID] {
		c.show(j.ID, r)
		return
	}
	for _, id := range j.DependsOn {
		if c.mayBeForgotten(id) && !absent[id] {
			later(r, "what it awaits was forgotten again") // for want of memory
			return
		}
	}
	if why := c.refusal(j); why != "" {
		c.refuseProven(j, r, func() string { return why }, nil)
		return
	}
	if c.unfitAwaited(j) != "" {
		// Another controller may have accepted them a moment ago.
		c.refuseProven(j, r, func() string { return c.unfitAwaited(j) }, func() { c.submit(j, r) })
		return
	}
	if waiting, ok := c.submitting[j.ID]; ok {
		c.submitting[j.ID] = append(waiting, r)
		return
	}
	rec := &jobRecord{Job: j, At: int64(clock.WallTime())}
	changes := c.submissionChanges(rec)
	if changes == nil {
		c.refuseProven(j, r, func() string { return "the job's description is too large" }, nil)
		return
	}
	if c.refused(r) {
		return
	}
	c.submitting[j.ID] = []*server.Reply{r}
	w := &kvstore.Write{
		Conditions: []wire.Condition{{Key: prefixJob + j.ID}, {Key: prefixArchive + j.ID}},
		Changes:    changes,
		Deadline:   clock.Now() + submitWait,
	}
	w.Done = func(o kvstore.Outcome, rev uint64) { c.post(func() { c.submitted(j, rec, o, rev) }) }
	if !c.store.Commit(w) {
		delete(c.submitting, j.ID)
		c.full(r)
	}
}

func (c *Core) submitted(j *wire.Job, rec *jobRecord, o kvstore.Outcome, rev uint64) {
	id := j.ID
	waiting := c.submitting[id]
	delete(c.submitting, id)
	if o == kvstore.Committed && c.view.jobs[id] == nil {
		// The watch will bring it; a leader need not wait for that.
		rec.version = rev
		if rec.Parts > 0 {
			for part, ids := range splitAwaits(j.DependsOn, int(c.cfg.Deployment.Store.Effective().MaxValueKB*1024)) {
				c.setAwaits(id, part, ids)
			}
		}
		c.setJob(id, rec)
	}
	for i, r := range waiting {
		switch o {
		case kvstore.Committed:
			status := 201
			if i > 0 {
				status = 200
			}
			stage := wire.JobPending
			if cur := c.view.jobs[id]; cur.over() {
				stage = cur.state() // with a job that it awaits
			}
			r.Send(status, statusBody(id, stage, nil, nil), 0)
		case kvstore.Conflict:
			c.show(id, r)
		default:
			later(r, "the state service did not take it")
		}
	}
}

func statusBody(id, st string, done, running *int) []byte {
	b, err := wire.JobStatus{ID: id, State: st, DoneTasks: done, RunningTasks: running}.MarshalJSON()
	if err != nil {
		return []byte("{}")
	}
	return b
}

// status is what a user is told, from a view that is new enough.
func (c *Core) status(id string, rec *jobRecord) []byte {
	if rec.over() {
		return statusBody(id, rec.state(), nil, nil)
	}
	var done, running int
	if c.lead != nil {
		if j := c.lead.lg.Jobs[id]; j != nil {
			done, running = j.DoneCount(), j.StartedCount
		}
	} else if n, ok := c.counts.of(id); ok {
		done, running = int(n.Done), int(n.Running)
	}
	st := wire.JobStatus{ID: id, State: wire.JobPending, DoneTasks: &done, RunningTasks: &running}
	if running > 0 {
		st.State = wire.JobRunning
	}
	awaited := c.graph.PendingDependencies(id)
	st.DependsOn = awaited[:min(len(awaited), mostAwaitedShown)]
	body, err := st.MarshalJSON()
	if err != nil {
		return []byte("{}")
	}
	return body
}

// mostAwaitedShown bounds how many jobs a status lists that the job awaits.
const mostAwaitedShown = 50

func (c *Core) show(id string, r *server.Reply) {
	if rec := c.view.jobs[id]; rec != nil && rec.over() {
		if rec.isFinished() {
			c.finished.Touch(id)
		}
		r.Send(200, c.status(id, rec), 0) // final, so it cannot be overtaken
		return
	}
	if !c.view.loaded {
		later(r, "not ready")
		return
	}
	if c.mayBeForgotten(id) {
		c.showForgotten(id, r)
		return
	}
	c.view.wantSync(func(err error) {
		rec := c.view.jobs[id]
		// A process that stands still after this proof must not tell it as if it
		// were new: somebody may have been told of the job's end meanwhile.
		until := clock.Now() + userWait
		switch {
		case err != nil:
			later(r, err.Error())
		case c.mayBeForgotten(id):
			c.showForgotten(id, r) // meanwhile
		case rec == nil:
			r.SendBefore(404, server.ErrorBody("no such job"), 0, until)
		case rec.over():
			r.Send(200, c.status(id, rec), 0)
		default:
			r.SendBefore(200, c.status(id, rec), 0, until)
		}
	}, clock.Now()+userWait)
}

func (c *Core) withdraw(id string, r *server.Reply, tries int) {
	if rec := c.view.jobs[id]; rec != nil && rec.over() {
		r.Send(200, c.status(id, rec), 0)
		return
	}
	if !c.view.loaded || tries == 0 {
		later(r, "not ready")
		return
	}
	rec := c.view.jobs[id]
	if c.mayBeForgotten(id) {
		c.withdrawForgotten(id, r, tries)
		return
	}
	if rec == nil {
		c.view.wantSync(func(err error) {
			switch {
			case err != nil:
				later(r, err.Error())
			case c.mayBeForgotten(id):
				c.withdrawForgotten(id, r, tries-1) // meanwhile
			default:
				c.withdrawKnown(id, r, tries-1)
			}
		}, clock.Now()+userWait)
		return
	}
	if c.refused(r) {
		return
	}
	// Whether the job is still what the view says is the write's condition.
	over := overRecord(rec, wire.JobCancelled, clock.WallTime())
	value, err := over.MarshalJSON()
	if err != nil {
		later(r, "cannot be encoded")
		return
	}
	w := &kvstore.Write{
		Conditions: []wire.Condition{{Key: prefixJob + id, Version: rec.version}},
		Changes:    []wire.Change{{PutKey: prefixJob + id, Value: value}},
		Deadline:   clock.Now() + submitWait,
	}
	w.Done = func(o kvstore.Outcome, rev uint64) {
		c.post(func() {
			switch o {
			case kvstore.Committed:
				over.version = rev
				if cur := c.view.jobs[id]; cur == nil || cur.version < rev {
					c.setJob(id, over)
				}
				r.Send(200, statusBody(id, wire.JobCancelled, nil, nil), 0)
			case kvstore.Conflict:
				c.view.wantSync(func(err error) {
					if err != nil {
						later(r, err.Error())
						return
					}
					c.withdraw(id, r, tries-1)
				}, clock.Now()+userWait)
			default:
				later(r, "the state service did not take it")
			}
		})
	}
	if !c.store.Commit(w) {
		c.full(r)
	}
}

// withdrawKnown takes a withdrawal of a job that the view has, if there is such a job at all.
func (c *Core) withdrawKnown(id string, r *server.Reply, tries int) {
	if c.view.jobs[id] == nil {
		r.Send(404, server.ErrorBody("no such job"), 0)
		return
	}
	c.withdraw(id, r, tries)
}

// IsHealthy implements server.App; it is called on the event loop and reads only
// what is safe to read there.
func (c *Core) IsHealthy() bool { return !c.unfit.Load() }

package controller

import (
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/dag"
	"firwood.dev/firwood/internal/server"
	"firwood.dev/firwood/wire"
)

// Jobs that await others. A job's own record, and the records of the jobs that it
// names, are all there is: whether it may start, whether it is cancelled with one
// of them, and how urgent it is are derived from them by every controller alike.
// The leader's account has only jobs that may start.

// startTime is about how long a job takes beside its run: its machine and its image.
const startTime = 5 * clock.Second

// awaits is what a job awaits, and whether all parts of that are known.
func (c *Core) awaits(id string, r *jobRecord) (ids []string, whole bool) {
	if r.Parts == 0 {
		return r.Job.DependsOn, true
	}
	parts := c.view.awaits[id]
	if len(parts) < r.Parts {
		return nil, false
	}
	for part := range r.Parts {
		ids = append(ids, parts[part]...)
	}
	return ids, true
}

// urgency is what a job itself asks for.
func urgency(r *jobRecord) dag.Urgency {
	u := dag.Urgency{Priority: wire.PriorityIndex(r.Job.Priority)}
	if r.Job.DeadlineSeconds > 0 && r.Job.Kind != wire.KindService {
		u.Deadline = clock.Micros(r.At) + clock.FromSeconds(r.Job.DeadlineSeconds)
	}
	return u
}

// follow draws the conclusions from a job's record for those that need it.
func (c *Core) follow(id string, r *jobRecord) {
	switch {
	case r.State == wire.JobDone:
		c.carryOut(c.graph.RecordCompletion(id, clock.Micros(r.End)))
	case r.State == wire.JobCancelled:
		c.carryOut(c.graph.RecordCancellation(id))
	case r.Job != nil:
		needs, whole := c.awaits(id, r)
		if !whole {
			return // the rest comes with the same transaction
		}
		c.recallNeeds(needs)
		c.carryOut(c.graph.AddJob(dag.Job{
			ID: id, DependsOn: needs, SubmittedAt: clock.Micros(r.At), Urgency: urgency(r),
			EstimatedRunTime: clock.FromSeconds(r.Job.EstimatedRunSeconds) + startTime,
		}))
	}
}

// recallNeeds looks up jobs that a new job awaits and that were forgotten. It waits for
// them until they are known.
func (c *Core) recallNeeds(needs []string) {
	if !c.view.loaded {
		return // recallAwaited looks at all
	}
	for _, id := range needs {
		if c.mayBeForgotten(id) {
			c.recallForOthers(id)
		}
	}
}

// blocked tells whether a job that is not over must not start yet.
func (c *Core) blocked(id string, r *jobRecord) bool {
	_, whole := c.awaits(id, r)
	return !whole || c.graph.IsBlocked(id)
}

func (c *Core) carryOut(change dag.Effects) {
	for _, id := range change.Cancelled {
		if r := c.view.jobs[id]; r != nil && r.State == "" {
			r.cancelledWith = true
			c.counts.forget(id)
			if c.lead != nil {
				c.lead.cleanup.ends = append(c.lead.cleanup.ends, id)
			}
		}
	}
	if c.lead == nil {
		return
	}
	for _, id := range change.Released {
		if r := c.view.jobs[id]; r != nil && !r.over() {
			c.lead.jobChanged(id, r)
		}
	}
	for _, id := range change.MoreUrgent {
		c.lead.moreUrgent(id)
	}
}

// moreUrgent takes over what has come to be demanded of a job.
func (l *lead) moreUrgent(id string) {
	j, r := l.lg.Jobs[id], l.c.view.jobs[id]
	if j == nil || r == nil || r.Job == nil {
		return
	}
	u := l.c.graph.UrgencyOf(id, urgency(r))
	j.Priority, j.Deadline = u.Priority, u.Deadline
	l.dirty = true
}

// unfitAwaited says why a job can never run for what it awaits, if so.
func (c *Core) unfitAwaited(j *wire.Job) string {
	for _, id := range j.DependsOn {
		r := c.view.jobs[id]
		switch {
		case id == j.ID || r == nil:
			return "it awaits a job that was never accepted: " + id
		case !r.over() && r.Job != nil && r.Job.Kind == wire.KindService:
			return "it awaits a service, which is never done: " + id
		}
	}
	return ""
}

// refuseProven answers 422 once the view is new enough to say so: what was accepted,
// by any controller, is never refused.
func (c *Core) refuseProven(j *wire.Job, r *server.Reply, why func() string, otherwise func()) {
	forgotten := c.forgotten.times
	c.view.wantSync(func(err error) {
		switch rec := c.view.jobs[j.ID]; {
		case err != nil:
			later(r, err.Error())
		case rec == nil && c.forgotten.times != forgotten:
			later(r, "it may have been forgotten meanwhile")
		case rec != nil:
			r.Send(200, c.status(j.ID, rec), 0)
		case why() != "":
			r.Send(422, server.ErrorBody(why()), 0)
		default:
			otherwise()
		}
	}, clock.Now()+userWait)
}

// submissionChanges are the keys of a new job. What it awaits goes into keys of its
// own where it does not fit into one value; nil: it cannot be stored at all.
func (c *Core) submissionChanges(rec *jobRecord) []wire.Change {
	limits := c.cfg.Deployment.Store.Effective()
	most := int(limits.MaxValueKB * 1024)
	value, err := rec.MarshalJSON()
	if err != nil {
		return nil
	}
	key := prefixJob + rec.Job.ID
	if len(value) <= most {
		return []wire.Change{{PutKey: key, Value: value}}
	}
	parts := splitAwaits(rec.Job.DependsOn, most)
	if len(parts) == 0 || 1+len(parts) > limits.MaxTransactionOps {
		return nil
	}
	job := *rec.Job
	job.DependsOn = nil
	rec.Job, rec.Parts = &job, len(parts)
	if value, err = rec.MarshalJSON(); err != nil || len(value) > most {
		return nil
	}
	changes := []wire.Change{}
	for i, part := range parts {
		v, err := awaitsRecord{Awaits: part}.MarshalJSON()
		if err != nil {
			return nil
		}
		changes = append(changes, wire.Change{PutKey: awaitsKey(job.ID, i), Value: v})
	}
	return append(changes, wire.Change{PutKey: key, Value: value})
}

// splitAwaits cuts a list so that the value of each part fits.
func splitAwaits(ids []string, most int) [][]string {
	const frame, perID = 16, 3 // of the value, and around each id
	var parts [][]string
	size := most
	for _, id := range ids {
		if size+len(id)+perID > most {
			parts, size = append(parts, nil), frame
		}
		parts[len(parts)-1] = append(parts[len(parts)-1], id)
		size += len(id) + perID
	}
	return parts
}

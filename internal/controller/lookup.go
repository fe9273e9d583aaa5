package controller

import (
	"errors"
	"slices"
	"strings"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/jobhistory"
	"firwood.dev/firwood/internal/kvstore"
	"firwood.dev/firwood/internal/server"
	"firwood.dev/firwood/wire"
)

const (
	// mostLookups bounds the questions for forgotten jobs that wait, mostAsked the jobs
	// that one request asks for, mostRead those that are read after it.
	mostLookups, mostAsked, mostRead = 1024, 96, 8
	// keysOfJob is in how many places a job's record may lie.
	keysOfJob = 2
	// recallAgain is after how long a job that others await is asked for again.
	recallAgain = clock.Second
)

// recall has a job that may have been forgotten looked up. An answer from the state service
// is as new as the question.
func (c *Core) recall(id string, until clock.Micros, then func(jobhistory.LookupResult)) {
	if !c.lookups.Enqueue(id, until, then) {
		then(jobhistory.Unavailable)
		return
	}
	c.lookUp(clock.Now())
}

// lookUp asks the state service for jobs that were forgotten, if any are wanted.
func (c *Core) lookUp(now clock.Micros) {
	jobs := c.lookups.NextBatch(now)
	if len(jobs) == 0 {
		return
	}
	go func() {
		read, areOthersAbsent, err := c.readJobs(jobs)
		if err != nil {
			c.log.Debug("jobs not looked up", "error", err)
		}
		c.post(func() {
			var present []string
			for _, item := range read {
				present = append(present, c.recalled(item))
			}
			c.lookups.CompleteBatch(present, areOthersAbsent, err != nil)
			c.lookUp(clock.Now())
		})
	}()
}

// readJobs reads the records of some jobs, of a few at a time. Whether the others are
// absent is known only if none was present.
func (c *Core) readJobs(jobs []string) (read []wire.KeyValue, areOthersAbsent bool, err error) {
	var keys []string
	for _, id := range jobs {
		keys = append(keys, prefixJob+id, prefixArchive+id)
	}
	existing, err := c.store.FindExisting(keys)
	if err != nil || len(existing) == 0 {
		return nil, err == nil, err
	}
	for _, key := range existing[:min(len(existing), mostRead)] {
		if !slices.Contains(keys, key) {
			continue
		}
		item, err := c.store.Get(key)
		if errors.Is(err, kvstore.ErrNotFound) {
			continue // it was moved meanwhile, and is asked for again
		}
		if err != nil {
			return read, false, err
		}
		read = append(read, *item)
	}
	return read, false, nil
}

// recalled takes the record of a job that was looked up into the view, and tells the job.
func (c *Core) recalled(item wire.KeyValue) string {
	id, isArchived := strings.CutPrefix(item.Key, prefixArchive)
	if !isArchived {
		id = strings.TrimPrefix(item.Key, prefixJob)
	}
	isNew := c.view.jobs[id] == nil
	c.put(prefixJob+id, item.Value, item.Version)
	r := c.view.jobs[id]
	if !isNew || r == nil || !r.isFinished() {
		return id
	}
	r.isArchived = isArchived
	c.forgotten.counts.add(r.State, -1)
	c.forgotten.troubles = slices.DeleteFunc(c.forgotten.troubles, func(t Trouble) bool { return t.Job == id })
	return id
}

// showForgotten answers a question for a job that is not in the view.
func (c *Core) showForgotten(id string, r *server.Reply) {
	c.recall(id, clock.Now()+userWait, func(answer jobhistory.LookupResult) {
		until := clock.Now() + userWait
		rec := c.view.jobs[id]
		switch {
		case answer == jobhistory.Unavailable:
			later(r, "the state service does not answer")
		case rec == nil:
			r.SendBefore(404, server.ErrorBody("no such job"), 0, until)
		case rec.over():
			r.Send(200, c.status(id, rec), 0)
		default:
			r.SendBefore(200, c.status(id, rec), 0, until)
		}
	})
}

// withdrawForgotten takes a withdrawal of a job that is not in the view.
func (c *Core) withdrawForgotten(id string, r *server.Reply, tries int) {
	c.recall(id, clock.Now()+userWait, func(answer jobhistory.LookupResult) {
		if answer == jobhistory.Unavailable {
			later(r, "the state service does not answer")
			return
		}
		c.withdrawKnown(id, r, tries-1)
	})
}

// withAwaited looks up the jobs that a submission names, and the job itself, where they may
// have been forgotten; then it goes on, with those that are proven absent.
func (c *Core) withAwaited(j *wire.Job, r *server.Reply, then func(absent map[string]bool)) {
	absent := map[string]bool{}
	var ids []string
	for _, id := range append(slices.Clone(j.DependsOn), j.ID) {
		if c.mayBeForgotten(id) {
			ids = append(ids, id)
		}
	}
	left, isAnswered := len(ids), true
	if left == 0 {
		then(absent)
		return
	}
	for _, id := range ids {
		c.recall(id, clock.Now()+userWait, func(answer jobhistory.LookupResult) {
			isAnswered = isAnswered && answer != jobhistory.Unavailable
			absent[id] = answer == jobhistory.Absent
			if left--; left > 0 {
				return
			}
			if !isAnswered {
				later(r, "the state service does not answer")
				return
			}
			then(absent)
		})
	}
}

// recallAwaited looks up the jobs that others await and that are not in the view: all of
// them were accepted, so they are over and were forgotten. Until they are known, what
// awaits them does not start.
func (c *Core) recallAwaited() {
	for _, id := range c.graph.UnknownDependencies() {
		c.recallForOthers(id)
	}
}

func (c *Core) recallForOthers(id string) {
	c.recall(id, clock.Now()+userWait, func(answer jobhistory.LookupResult) {
		if answer != jobhistory.Present {
			c.later(recallAgain, func() {
				if c.view.jobs[id] == nil {
					c.recallForOthers(id)
				}
			})
		}
	})
}

package controller

import (
	"slices"
	"strings"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/jobhistory"
	"firwood.dev/firwood/wire"
)

// Finished jobs' records stay in the state service for good. A controller remembers those
// that ended or were asked for last, and looks the others up; see package jobhistory.

const (
	// finishedPart is which part of the memory finished jobs may take, finishedBytes what
	// one takes.
	finishedPart, finishedBytes = 16, 512
	// leastFinishedKept is how many are remembered however little memory there is.
	leastFinishedKept = 1000
	// forgottenAtOnce is how many are looked at in one tick.
	forgottenAtOnce = 200
)

// finishedKept is how many finished jobs are remembered.
func finishedKept(wanted int, ramMB float64) int {
	if wanted > 0 {
		return wanted
	}
	return max(int(ramMB*(1<<20)/finishedPart/finishedBytes), leastFinishedKept)
}

// forgottenJobs is what is left of finished jobs that are not remembered.
type forgottenJobs struct {
	// any: some job was forgotten in this life. It is never taken back, since the counts
	// are for display and may lag. times counts how often.
	any    bool
	times  int
	counts forgottenCounts
	// troubles are the worst of them, for the morning report.
	troubles []Trouble
}

type forgottenCounts struct{ done, aborted int }

// add counts so many more; what was in the archive at the start is not counted at all.
func (f *forgottenCounts) add(state string, n int) {
	if state == wire.JobDone {
		f.done = max(f.done+n, 0)
	} else {
		f.aborted = max(f.aborted+n, 0)
	}
}

// forgetFinished forgets finished jobs beyond the bound.
func (c *Core) forgetFinished() {
	for _, id := range c.finished.Evict(forgottenAtOnce, c.mayForget) {
		rec := c.view.jobs[id]
		c.mayForgetFrom()
		c.forgotten.counts.add(rec.State, 1)
		if t, ok := c.trouble(id, rec, int64(clock.WallTime())); ok {
			c.forgotten.troubles = worst(append(c.forgotten.troubles, t))
		}
		delete(c.view.jobs, id)
		c.graph.Remove(id)
	}
}

// mayForget tells whether nothing but a user's question needs a finished job any more.
func (c *Core) mayForget(id string) bool {
	rec := c.view.jobs[id]
	if rec == nil || !rec.isFinished() || c.view.done[id] != nil || c.view.awaits[id] != nil || c.submitting[id] != nil {
		return false
	}
	return c.lead == nil || c.lead.lg.Jobs[id] == nil && c.lead.jobs[id] == nil
}

// mayForgetFrom notes that from now on a job that is not in the view may be known to the
// state service.
func (c *Core) mayForgetFrom() {
	c.forgotten.any = true
	c.forgotten.times++
}

// mayBeForgotten tells whether a job is not in the view, and may have been forgotten.
func (c *Core) mayBeForgotten(id string) bool { return c.view.jobs[id] == nil && c.forgotten.any }

// countForgotten counts what is forgotten after all records were read, of which so many
// were finished.
func (c *Core) countForgotten(read forgottenCounts, dropped int) {
	if dropped > 0 {
		c.mayForgetFrom()
	}
	for _, rec := range c.view.jobs {
		if rec.isFinished() {
			read.add(rec.State, -1)
		}
	}
	c.forgotten.counts = read
}

// loadFilter takes what is read from the state service page by page. Of finished jobs it
// keeps the newest ones, and counts the others.
type loadFilter struct {
	others   []wire.KeyValue
	finished *jobhistory.Newest[wire.KeyValue]
	// seen counts all finished jobs.
	seen forgottenCounts
}

func newLoadFilter(kept int) *loadFilter {
	return &loadFilter{finished: jobhistory.NewNewest[wire.KeyValue](kept)}
}

func (f *loadFilter) add(items []wire.KeyValue) {
	for _, item := range items {
		var r jobRecord
		isJob := strings.HasPrefix(item.Key, prefixJob)
		if !isJob || r.UnmarshalJSON(item.Value) != nil || !r.isFinished() {
			f.others = append(f.others, item)
			continue
		}
		// The page's memory is not kept for a record of it.
		item.Key, item.Value = strings.Clone(item.Key), slices.Clone(item.Value)
		f.seen.add(r.State, 1)
		f.finished.Add(r.End, item)
	}
}

// items are what was kept, and how many finished jobs were not.
func (f *loadFilter) items() (items []wire.KeyValue, dropped int) {
	kept, dropped := f.finished.Records()
	return append(f.others, kept...), dropped
}

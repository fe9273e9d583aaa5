package controller

import (
	"maps"

	"github.com/cespare/xxhash/v2"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/peer"
)

// jobCounts is the progress of jobs as the leader last told it, for display. It is told
// whole in one beat, or, of a large fleet, in several in turn.
type jobCounts struct {
	jobs map[string]toldCount
}

type toldCount struct {
	peer.JobProgress
	at clock.Micros
}

// of is the progress of a job, if it was told.
func (c *jobCounts) of(job string) (peer.JobProgress, bool) {
	told, ok := c.jobs[job]
	return told.JobProgress, ok
}

// forget forgets a job that is over.
func (c *jobCounts) forget(job string) { delete(c.jobs, job) }

// take takes what one beat tells of jobs that are not over. What was not told in two turns
// has no progress any more.
func (c *jobCounts) take(b *peer.Heartbeat, now clock.Micros, isOver func(job string) bool) {
	if c.jobs == nil {
		c.jobs = map[string]toldCount{}
	}
	if b.ProgressPageCount <= 1 {
		clear(c.jobs)
	} else {
		kept := 2 * clock.Micros(b.ProgressPageCount) * beatEvery
		maps.DeleteFunc(c.jobs, func(_ string, told toldCount) bool { return now-told.at > kept })
	}
	for _, n := range b.JobProgress {
		if !isOver(n.Job) {
			c.jobs[n.Job] = toldCount{n, now}
		}
	}
}

// fullness is how full a beat is made of counts when they don't all fit into one, since
// parts are not all alike.
const fullness = 0.75

// tellCounts adds the progress of jobs to a beat: of all that have any, or of the part
// whose turn it is.
func (l *lead) tellCounts(b *peer.Heartbeat) {
	var all []peer.JobProgress
	for id, j := range l.lg.Jobs {
		if !j.Cancelled && (j.StartedCount > 0 || j.DoneCount() > 0) {
			all = append(all, peer.JobProgress{Job: id, Done: uint32(j.DoneCount()), Running: uint32(j.StartedCount)})
		}
	}
	if len(all) <= peer.MaxJobProgress {
		b.JobProgress = all
		return
	}
	parts := uint64(float64(len(all))/(fullness*peer.MaxJobProgress)) + 1
	b.ProgressPageCount = uint32(parts)
	for _, n := range all {
		if xxhash.Sum64String(n.Job)%parts == l.countsTurn%parts {
			b.JobProgress = append(b.JobProgress, n)
		}
	}
	l.countsTurn++
}

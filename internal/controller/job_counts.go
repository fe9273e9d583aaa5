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
	peer.Count
	at clock.Micros
}

// of is the progress of a job, if it was told.
func (c *jobCounts) of(job string) (peer.Count, bool) {
	told, ok := c.jobs[job]
	return told.Count, ok
}

// forget forgets a job that is over.
func (c *jobCounts) forget(job string) { delete(c.jobs, job) }

// take takes what one beat tells of jobs that are not over. What was not told in two turns
// has no progress any more.
func (c *jobCounts) take(b *peer.Beat, now clock.Micros, isOver func(job string) bool) {
	if c.jobs == nil {
		c.jobs = map[string]toldCount{}
	}
	if b.CountsOf <= 1 {
		clear(c.jobs)
	} else {
		kept := 2 * clock.Micros(b.CountsOf) * beatEvery
		maps.DeleteFunc(c.jobs, func(_ string, told toldCount) bool { return now-told.at > kept })
	}
	for _, n := range b.Counts {
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
func (l *lead) tellCounts(b *peer.Beat) {
	var all []peer.Count
	for id, j := range l.lg.Jobs {
		if !j.Withdrawn && (j.Running > 0 || j.DoneCount() > 0) {
			all = append(all, peer.Count{Job: id, Done: uint32(j.DoneCount()), Running: uint32(j.Running)})
		}
	}
	if len(all) <= peer.MaxCounts {
		b.Counts = all
		return
	}
	parts := uint64(float64(len(all))/(fullness*peer.MaxCounts)) + 1
	b.CountsOf = uint32(parts)
	for _, n := range all {
		if xxhash.Sum64String(n.Job)%parts == l.countsTurn%parts {
			b.Counts = append(b.Counts, n)
		}
	}
	l.countsTurn++
}

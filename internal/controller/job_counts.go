package controller

import (
	"maps"

	"github.com/cespare/xxhash/v2"

	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/peer"
)

// progressCounts is the progress of jobs as the leader last told it, for display. It is told
// whole in one beat, or, of a large fleet, in several in turn.
type progressCounts struct {
	jobs map[string]receivedCount
}

type receivedCount struct {
	peer.JobProgress
	receivedAt clock.Micros
}

// countOf is the progress of a job, if it was told.
func (counts *progressCounts) countOf(job string) (peer.JobProgress, bool) {
	received, ok := counts.jobs[job]
	return received.JobProgress, ok
}

// remove forgets a job that is over.
func (counts *progressCounts) remove(job string) { delete(counts.jobs, job) }

// update takes what one beat tells of jobs that are not over. What was not told in two turns
// has no progress any more.
func (counts *progressCounts) update(heartbeat *peer.Heartbeat, now clock.Micros, hasEnded func(job string) bool) {
	if counts.jobs == nil {
		counts.jobs = map[string]receivedCount{}
	}
	if heartbeat.ProgressPageCount <= 1 {
		clear(counts.jobs)
	} else {
		ttl := 2 * clock.Micros(heartbeat.ProgressPageCount) * heartbeatInterval
		maps.DeleteFunc(counts.jobs, func(_ string, received receivedCount) bool { return now-received.receivedAt > ttl })
	}
	for _, count := range heartbeat.JobProgress {
		if !hasEnded(count.Job) {
			counts.jobs[count.Job] = receivedCount{count, now}
		}
	}
}

// countsFillFactor is how full a beat is made of counts when they don't all fit into one, since
// parts are not all alike.
const countsFillFactor = 0.75

// addProgressCounts adds the progress of jobs to a beat: of all that have any, or of the part
// whose turn it is.
func (term *leaderTerm) addProgressCounts(heartbeat *peer.Heartbeat) {
	var counts []peer.JobProgress
	for id, job := range term.tracker.Jobs {
		if !job.Cancelled && (job.StartedCount > 0 || job.DoneCount() > 0) {
			counts = append(counts, peer.JobProgress{Job: id, Done: uint32(job.DoneCount()), Running: uint32(job.StartedCount)})
		}
	}
	if len(counts) <= peer.MaxJobProgress {
		heartbeat.JobProgress = counts
		return
	}
	parts := uint64(float64(len(counts))/(countsFillFactor*peer.MaxJobProgress)) + 1
	heartbeat.ProgressPageCount = uint32(parts)
	for _, count := range counts {
		if xxhash.Sum64String(count.Job)%parts == term.hints.nextCountsPart%parts {
			heartbeat.JobProgress = append(heartbeat.JobProgress, count)
		}
	}
	term.hints.nextCountsPart++
}

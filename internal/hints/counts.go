package hints

import (
	"maps"

	"github.com/cespare/xxhash/v2"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/peer"
)

// ProgressCounts is the progress of jobs as the leader last sent it, for display only. The counts of
// a large fleet come in several heartbeats, in turn.
type ProgressCounts struct {
	jobs              map[string]receivedProgress
	heartbeatInterval clock.Micros
}

type receivedProgress struct {
	peer.JobProgress
	receivedAt clock.Micros
}

// NewProgressCounts makes counts for heartbeats that come once per interval.
func NewProgressCounts(heartbeatInterval clock.Micros) *ProgressCounts {
	return &ProgressCounts{jobs: map[string]receivedProgress{}, heartbeatInterval: heartbeatInterval}
}

// Progress returns the progress of a job; ok is false if the leader has sent none.
func (counts *ProgressCounts) Progress(job string) (progress peer.JobProgress, ok bool) {
	received, ok := counts.jobs[job]
	return received.JobProgress, ok
}

// Remove drops the progress of a job that has ended.
func (counts *ProgressCounts) Remove(job string) { delete(counts.jobs, job) }

// Update takes the counts of a heartbeat, of jobs that have not ended. A job that was in none
// of the heartbeats of two turns has no progress any more.
func (counts *ProgressCounts) Update(heartbeat *peer.Heartbeat, now clock.Micros, hasEnded func(job string) bool) {
	if heartbeat.ProgressPageCount <= 1 {
		clear(counts.jobs)
	} else {
		ttl := 2 * clock.Micros(heartbeat.ProgressPageCount) * counts.heartbeatInterval
		maps.DeleteFunc(counts.jobs, func(_ string, received receivedProgress) bool { return now-received.receivedAt > ttl })
	}
	for _, count := range heartbeat.JobProgress {
		if !hasEnded(count.Job) {
			counts.jobs[count.Job] = receivedProgress{count, now}
		}
	}
}

// pageFillFactor is how full a heartbeat is on average if the counts don't all fit into one. Jobs
// are spread over the pages by a hash of their ids, so some pages get more than others.
const pageFillFactor = 0.75

// ProgressSender is how far a leader has sent counts. The zero value has sent none.
type ProgressSender struct {
	nextPage uint64
}

// Add adds the progress of jobs to a heartbeat: of all that have any, or of the page whose
// turn it is if they don't fit into one.
func (sender *ProgressSender) Add(heartbeat *peer.Heartbeat, jobs map[string]*allocation.Job) {
	var counts []peer.JobProgress
	for id, job := range jobs {
		if !job.Cancelled && (job.StartedCount > 0 || job.DoneCount() > 0) {
			counts = append(counts, peer.JobProgress{Job: id, Done: uint32(job.DoneCount()), Running: uint32(job.StartedCount)})
		}
	}
	if len(counts) <= peer.MaxJobProgress {
		heartbeat.JobProgress = counts
		return
	}
	pages := uint64(float64(len(counts))/(pageFillFactor*peer.MaxJobProgress)) + 1
	heartbeat.ProgressPageCount = uint32(pages)
	for _, count := range counts {
		if xxhash.Sum64String(count.Job)%pages == sender.nextPage%pages {
			heartbeat.JobProgress = append(heartbeat.JobProgress, count)
		}
	}
	sender.nextPage++
}

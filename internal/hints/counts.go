package hints

import (
	"maps"

	"github.com/cespare/xxhash/v2"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/peer"
)

// ProgressCounts is the progress of jobs as the leader last sent it, for display only. If the progress of
// all jobs doesn't fit into one heartbeat, the leader sends it in pages, one per heartbeat.
type ProgressCounts struct {
	jobs              map[string]receivedProgress
	heartbeatInterval clock.Micros
}

type receivedProgress struct {
	peer.JobProgress
	receivedAt clock.Micros
}

// NewProgressCounts returns empty counts. heartbeatInterval is the time between two of the leader's
// heartbeats.
func NewProgressCounts(heartbeatInterval clock.Micros) *ProgressCounts {
	return &ProgressCounts{jobs: map[string]receivedProgress{}, heartbeatInterval: heartbeatInterval}
}

// Progress returns the progress of a job; ok is false if the leader has sent none.
func (counts *ProgressCounts) Progress(job string) (progress peer.JobProgress, ok bool) {
	received, ok := counts.jobs[job]
	return received.JobProgress, ok
}

// Remove removes the progress of a job that has ended.
func (counts *ProgressCounts) Remove(job string) { delete(counts.jobs, job) }

// Update stores the progress in a heartbeat, except that of jobs that have ended. It drops the progress
// of a job that the heartbeats have not mentioned while all pages were sent twice, or that is missing
// from a heartbeat that has the progress of all jobs.
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

// pageFillFactor is how full a page is on average. It is less than 1, since a hash of their ids
// distributes the jobs over the pages, so some pages get more jobs than others.
const pageFillFactor = 0.75

// ProgressSender adds jobs' progress to a leader's heartbeats, and tracks which page is next. Its zero
// value starts with the first page.
type ProgressSender struct {
	nextPage uint64
}

// Add adds to a heartbeat the progress of all jobs that have any. If it doesn't fit, it adds only the
// page that is next.
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

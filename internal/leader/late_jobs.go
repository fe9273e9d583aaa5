package leader

import (
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/storeview"
)

// logJobEnd logs the end of a job, at error level if the job is batch work that missed its objective.
func (term *Term) logJobEnd(id string, record *storeview.Job) {
	if problem, ok := term.host.ProblemOf(id, record, int64(clock.WallTime())); ok && problem.IsLate {
		term.environment.Log.Error("job finished late", "job", id, "class", problem.Class, "late_by_s", problem.LateByS, "took_s", problem.TookS, "why", problem.Reason)
		return
	}
	term.environment.Log.Debug("job completed", "job", id)
}

// warnLateJobs logs, once per job, batch work that misses its objective while it is running.
func (term *Term) warnLateJobs(now clock.Micros) {
	wall := int64(clock.WallTime())
	for id, jobInfo := range term.jobs {
		record := term.environment.View.Jobs[id]
		if jobInfo.hasWarnedLate || jobInfo.isEndDurable || record == nil || record.HasEnded() {
			continue
		}
		if problem, ok := term.host.ProblemOf(id, record, wall); ok && problem.IsLate {
			jobInfo.hasWarnedLate = true
			term.environment.Log.Error("job is late", "job", id, "class", problem.Class, "why", problem.Reason)
		}
	}
}

package scheduler

import (
	"cmp"
	"slices"

	"firwood.dev/firwood/internal/allocation"
)

// quotaCoverage tells whether a guarantee speaks of a need at all, and whether the need
// is within it. A guarantee of 0 is none: it neither covers nor bounds what is used
// of that resource, or jobs that take processors beside their cards would never be
// owed anything by a guarantee in cards alone.
func quotaCoverage(quota allocation.TeamQuota, need allocation.Resources) (applies, isWithin bool) {
	isWithin = true
	for _, dimension := range [][2]int64{{quota.GuaranteedMilliCPU, need.MilliCPU}, {quota.GuaranteedMilliGPU, need.MilliGPU}} {
		if dimension[0] > 0 && dimension[1] > 0 {
			applies = true
			isWithin = isWithin && dimension[1] <= dimension[0]
		}
	}
	return applies, isWithin
}

// quotaEntitlements tells which jobs fit into their team's guarantee together with the
// team's earlier unfinished jobs.
func (scheduler *Scheduler) quotaEntitlements(tracker *allocation.Tracker) map[*allocation.Job]bool {
	byTeam := map[string][]*allocation.Job{}
	for _, job := range tracker.Jobs {
		if quota := scheduler.Teams[job.Spec.Team]; !job.Cancelled && !job.IsComplete() && (quota.GuaranteedMilliCPU > 0 || quota.GuaranteedMilliGPU > 0) {
			byTeam[job.Spec.Team] = append(byTeam[job.Spec.Team], job)
		}
	}
	entitled := map[*allocation.Job]bool{}
	for team, jobs := range byTeam {
		slices.SortFunc(jobs, func(a, b *allocation.Job) int {
			return cmp.Or(cmp.Compare(a.ReleasedAt, b.ReleasedAt), cmp.Compare(a.Spec.ID, b.Spec.ID))
		})
		quota := scheduler.Teams[team]
		var usage allocation.Resources
		for _, job := range jobs {
			usage = usage.Add(job.Request.Times(len(job.Tasks)))
			if _, isWithin := quotaCoverage(quota, usage); !isWithin {
				break
			}
			if applies, _ := quotaCoverage(quota, job.Request); applies {
				entitled[job] = true
			}
		}
	}
	return entitled
}

// quotaAllowance is how many more tasks of a job its team's limit allows.
func (cycle *schedulingCycle) quotaAllowance(job *allocation.Job) int {
	quota := cycle.scheduler.Teams[job.Spec.Team]
	usage := cycle.tracker.TeamUsage(job.Spec.Team)
	n := len(job.Tasks)
	if quota.MaxMilliCPU > 0 && job.Request.MilliCPU > 0 {
		n = min(n, int((quota.MaxMilliCPU-usage.MilliCPU)/job.Request.MilliCPU))
	}
	if quota.MaxMilliGPU > 0 && job.Request.MilliGPU > 0 {
		n = min(n, int((quota.MaxMilliGPU-usage.MilliGPU)/job.Request.MilliGPU))
	}
	n = max(n, 0)
	if job.IsGang() && n < job.WaitingCount() {
		return 0
	}
	return n
}

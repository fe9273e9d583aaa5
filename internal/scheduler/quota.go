package scheduler

import (
	"slices"

	"firwood.dev/firwood/internal/allocation"
)

// hasGuaranteeFor reports whether a team has a guaranteed quota of any resource that a task needs.
// A guarantee of 0 means that the team has none of that resource. One resource is enough: if all
// were required, a quota of GPUs alone would entitle no job, since jobs with GPUs take CPUs too.
func hasGuaranteeFor(quota allocation.TeamQuota, need allocation.Resources) bool {
	return quota.GuaranteedMicroCPU > 0 && need.MicroCPU > 0 || quota.GuaranteedMicroGPU > 0 && need.MicroGPU > 0
}

// isWithinGuarantee reports whether a team's usage is within its guaranteed quota, in each resource
// for which the team has a guarantee.
func isWithinGuarantee(quota allocation.TeamQuota, usage allocation.Resources) bool {
	return (quota.GuaranteedMicroCPU <= 0 || usage.MicroCPU <= quota.GuaranteedMicroCPU) &&
		(quota.GuaranteedMicroGPU <= 0 || usage.MicroGPU <= quota.GuaranteedMicroGPU)
}

// quotaEntitlements returns the jobs that fit into their team's guaranteed quota together with all
// of the team's earlier unfinished jobs (PROTOCOL, "How aims are counted").
func (scheduler *Scheduler) quotaEntitlements(tracker *allocation.Tracker) map[*allocation.Job]bool {
	byTeam := map[string][]*allocation.Job{}
	for _, job := range tracker.Jobs {
		isUnfinished := !job.Cancelled && !job.IsComplete() && job.Dependencies != allocation.DependenciesUnmet
		if quota := scheduler.Teams[job.Spec.Team]; isUnfinished && (quota.GuaranteedMicroCPU > 0 || quota.GuaranteedMicroGPU > 0) {
			byTeam[job.Spec.Team] = append(byTeam[job.Spec.Team], job)
		}
	}
	entitled := map[*allocation.Job]bool{}
	for team, jobs := range byTeam {
		slices.SortFunc(jobs, compareByAge)
		var usage allocation.Resources
		for _, job := range jobs {
			usage = usage.Add(job.Request.Times(len(job.Tasks)))
			if !isWithinGuarantee(scheduler.Teams[team], usage) {
				break
			}
			if hasGuaranteeFor(scheduler.Teams[team], job.Request) {
				entitled[job] = true
			}
		}
	}
	return entitled
}

// quotaAllowance is how many more tasks of a job its team's limit allows to place. It is 0 for a
// gang unless the limit allows all of the gang's waiting tasks.
func (cycle *schedulingCycle) quotaAllowance(job *allocation.Job) int {
	quota := cycle.scheduler.Teams[job.Spec.Team]
	usage := cycle.tracker.TeamUsage(job.Spec.Team)
	n := len(job.Tasks)
	if quota.MaxMicroCPU > 0 && job.Request.MicroCPU > 0 {
		n = min(n, int((quota.MaxMicroCPU-usage.MicroCPU)/job.Request.MicroCPU))
	}
	if quota.MaxMicroGPU > 0 && job.Request.MicroGPU > 0 {
		n = min(n, int((quota.MaxMicroGPU-usage.MicroGPU)/job.Request.MicroGPU))
	}
	n = max(n, 0)
	if job.IsGang() && n < job.WaitingCount() {
		return 0
	}
	return n
}

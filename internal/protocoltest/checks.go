package protocoltest

import (
	"fmt"
	"slices"
	"time"

	"firwood.dev/firwood/wire"
)

// The lock of the checker is held in all functions of this file.

// checkPlacement checks that a job allows a machine for one more task, given its other tasks.
func (checker *Checker) checkPlacement(job *jobRecord, machine wire.ListedMachine, task string) {
	if !allowsMachine(job.spec, machine) || !allowsZone(job, machine.Zone) {
		checker.addViolation(PlacementViolated, "%s starts on %s (%s, %s, spot %v)", task, machine.ID, machine.MachineType, machine.Zone, machine.Spot)
	}
}

// allowsMachine reports whether a job allows a machine, its other tasks apart.
func allowsMachine(spec *wire.Job, machine wire.ListedMachine) bool {
	if machine.Spot && !spec.AllowsSpot || spec.Zone != "" && spec.Zone != machine.Zone {
		return false
	}
	return spec.MachineTypes == nil || slices.Contains(spec.MachineTypes, machine.MachineType)
}

// allowsZone reports whether one more task of a job may be in a zone, given where the others are:
// with SingleZone all in one, with SpreadZones at most half of the job's tasks, rounded up, in each.
func allowsZone(job *jobRecord, zone string) bool {
	tasksInZone := 1
	for _, other := range job.machineByTask {
		if other.Zone == zone {
			tasksInZone++
		} else if job.spec.SingleZone {
			return false
		}
	}
	return !job.spec.SpreadZones || tasksInZone <= (job.spec.TaskCount+1)/2
}

// checkDependencies checks that each job that the starting task's job names as a dependency has all
// its tasks done.
func (checker *Checker) checkDependencies(job *jobRecord, task string) {
	for _, id := range job.spec.DependsOn {
		if dependency := checker.jobs[id]; dependency == nil || len(dependency.doneTasks) < dependency.spec.TaskCount {
			checker.addViolation(DependencyNotDone, "%s starts before %s is done", task, id)
		}
	}
}

// checkQuota checks that a team's tasks on machines are within its quota.
func (checker *Checker) checkQuota(team string) {
	quota := checker.cfg.QuotaByTeam[team]
	var cpus, gpus float64
	for _, job := range checker.jobs {
		if job.spec.Team == team {
			cpus += float64(len(job.machineByTask)) * job.spec.CPUs
			gpus += float64(len(job.machineByTask)) * job.spec.GPUs
		}
	}
	if quota.CPUs > 0 && cpus > quota.CPUs || quota.GPUs > 0 && gpus > quota.GPUs {
		checker.addViolation(QuotaExceeded, "%s uses %g CPUs and %g GPUs", team, cpus, gpus)
	}
}

// checkLateStart counts a start after the confirmed cancellation of the job, which is a
// violation once the grace is over.
func (checker *Checker) checkLateStart(job *jobRecord, machine, task string) {
	if job.finalState != wire.JobCancelled {
		return
	}
	since := time.Since(job.finalStateAt)
	checker.lateStarts = append(checker.lateStarts, fmt.Sprintf("%s on %s, %v after its job was cancelled", task, machine, since))
	if since > checker.cfg.CancellationGrace {
		checker.addViolation(CancelledTaskRan, "%s starts %v after its job was cancelled", task, since)
	}
}

// checkOverdueCancellations finds tasks that are on machines although the cancellation of their job
// was confirmed longer ago than the grace. Each job is checked once, the first time after its
// grace; tasks that start later are found by checkLateStart.
func (checker *Checker) checkOverdueCancellations() {
	for id, job := range checker.jobs {
		if job.overdueReported || job.finalState != wire.JobCancelled || time.Since(job.finalStateAt) <= checker.cfg.CancellationGrace {
			continue
		}
		job.overdueReported = true
		for index, machine := range job.machineByTask {
			checker.addViolation(CancelledTaskRan, "%s/%d is on %s %v after its job was cancelled", id, index, machine.ID, time.Since(job.finalStateAt))
		}
	}
}

// hasMatchingDependency reports whether any dependency of a job, direct or through other jobs, matches. It
// stops at the first one.
func (checker *Checker) hasMatchingDependency(job *jobRecord, matches func(*jobRecord) bool) bool {
	seen := map[*jobRecord]bool{job: true}
	stack := []*jobRecord{job}
	for len(stack) > 0 {
		next := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		for _, id := range next.spec.DependsOn {
			dependency := checker.jobs[id]
			if dependency == nil || seen[dependency] {
				continue
			}
			if matches(dependency) {
				return true
			}
			seen[dependency] = true
			stack = append(stack, dependency)
		}
	}
	return false
}

// isCancellationExpected reports whether a user requested the cancellation of a job, or of one
// that it depends on.
func (checker *Checker) isCancellationExpected(job *jobRecord) bool {
	return job.cancelRequested || checker.hasMatchingDependency(job, func(dependency *jobRecord) bool { return dependency.cancelRequested })
}

// dependencyCancelledAt returns whether the cancellation of a dependency of a job, direct or through
// other jobs, was confirmed, and when.
func (checker *Checker) dependencyCancelledAt(job *jobRecord) (at time.Time, cancelled bool) {
	cancelled = checker.hasMatchingDependency(job, func(dependency *jobRecord) bool {
		at = dependency.finalStateAt
		return dependency.finalState == wire.JobCancelled
	})
	return at, cancelled
}

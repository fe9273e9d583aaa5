package protocoltest

import (
	"fmt"
	"slices"
	"time"

	"firwood.dev/firwood/wire"
)

// All functions of this file expect the checker's lock to be held.

// checkPlacement checks that a job allows one more task on a machine, given where its other tasks are.
func (checker *Checker) checkPlacement(job *jobRecord, machine wire.ListedMachine, task string) {
	if !allowsMachine(job.spec, machine) || !allowsZone(job, machine.Zone) {
		checker.addViolation(PlacementViolated, "%s starts on %s (%s, %s, spot %v)", task, machine.ID, machine.MachineType, machine.Zone, machine.Spot)
	}
}

// allowsMachine reports whether a job allows a machine, regardless of where its other tasks are.
func allowsMachine(spec *wire.Job, machine wire.ListedMachine) bool {
	if machine.Spot && !spec.AllowsSpot || spec.Zone != "" && spec.Zone != machine.Zone {
		return false
	}
	return spec.MachineTypes == nil || slices.Contains(spec.MachineTypes, machine.MachineType)
}

// allowsZone reports whether one more task of a job may be in a zone, given where the others are.
// With SingleZone, all tasks have to be in one zone. With SpreadZones, each zone may have at most
// half of the job's tasks, rounded up.
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

// checkDependencies checks that each dependency of a starting task's job has all its tasks done.
func (checker *Checker) checkDependencies(job *jobRecord, task string) {
	for _, id := range job.spec.DependsOn {
		if dependency := checker.jobs[id]; dependency == nil || len(dependency.doneTasks) < dependency.spec.TaskCount {
			checker.addViolation(DependencyNotDone, "%s starts before %s is done", task, id)
		}
	}
}

// checkQuota checks that the running tasks of a team are within the team's quota.
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

// checkLateStart records the start of a task after the cancellation of its job was confirmed. After
// the cancellation grace, the start is a violation.
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

// checkOverdueCancellations finds tasks that are still on machines when the cancellation grace has passed
// since the cancellation of their job was confirmed. Each job is checked once, at the first call after its
// grace. checkLateStart finds tasks that start later.
func (checker *Checker) checkOverdueCancellations() {
	for id, job := range checker.jobs {
		if job.overdueChecked || job.finalState != wire.JobCancelled || time.Since(job.finalStateAt) <= checker.cfg.CancellationGrace {
			continue
		}
		job.overdueChecked = true
		for index, machine := range job.machineByTask {
			checker.addViolation(CancelledTaskRan, "%s/%d is on %s %v after its job was cancelled", id, index, machine.ID, time.Since(job.finalStateAt))
		}
	}
}

// hasMatchingDependency reports whether any dependency of a job, direct or transitive, matches. It
// returns at the first match.
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

// isCancellationExpected reports whether a user requested the cancellation of a job or of one of its
// dependencies, direct or transitive.
func (checker *Checker) isCancellationExpected(job *jobRecord) bool {
	return job.cancelRequested || checker.hasMatchingDependency(job, func(dependency *jobRecord) bool { return dependency.cancelRequested })
}

// dependencyCancelledAt reports whether the cancellation of a dependency of a job, direct or
// transitive, was confirmed, and if so when. If there are several, the first one found counts.
func (checker *Checker) dependencyCancelledAt(job *jobRecord) (at time.Time, cancelled bool) {
	cancelled = checker.hasMatchingDependency(job, func(dependency *jobRecord) bool {
		at = dependency.finalStateAt
		return dependency.finalState == wire.JobCancelled
	})
	return at, cancelled
}

package allocation

import "slices"

// isWithinQuota reports whether the team's limit allows additional resources.
func (tracker *Tracker) isWithinQuota(team string, additional Resources) bool {
	quota := tracker.cfg.Quotas[team]
	usage := tracker.TeamUsage(team).Add(additional)
	return (quota.MaxMicroCPU == 0 || usage.MicroCPU <= quota.MaxMicroCPU) && (quota.MaxMicroGPU == 0 || usage.MicroGPU <= quota.MaxMicroGPU)
}

// IsEligible reports whether the job's spec allows one more of its tasks on the machine, by the
// machine's zone and type, by whether it is a spot machine, and by the places of the job's other tasks.
func IsEligible(job *Job, machine *Machine) bool {
	if !isStaticallyEligible(job, machine) {
		return false
	}
	spec := job.Spec
	if spec.SingleZone {
		if job.unconfirmedCount > 0 {
			return false
		}
		if zone, ok := job.OccupiedZone(); ok && zone != machine.Zone {
			return false
		}
	}
	return !spec.SpreadZones || job.CountInZone(machine.Zone)+1 <= job.MaxTasksPerZone()
}

// isStaticallyEligible reports whether the job's spec allows the machine's zone and type, and a spot
// machine if it is one. It doesn't depend on where the job's other tasks are.
func isStaticallyEligible(job *Job, machine *Machine) bool {
	spec := job.Spec
	if machine.Spot && !spec.AllowsSpot || spec.Zone != "" && spec.Zone != machine.Zone {
		return false
	}
	return spec.MachineTypes == nil || slices.Contains(spec.MachineTypes, machine.Type)
}

// CanReplaceLostTasks reports whether a gang that has not started may get replacements for tasks that
// it has lost. The replacements have the same attempt and complete the gang (PROTOCOL, gangs); stopping
// its other tasks instead would discard the images that they have fetched.
func (job *Job) CanReplaceLostTasks() bool {
	return job.IsGang() && job.GangAttempt != 0 && !job.GangAborting && !job.GangStarted && !job.Cancelled && job.unconfirmedCount == 0
}

// canStart reports whether the start of a placement is allowed when it is about to be sent (invariant 6).
// Unlike in IsEligible, the placement itself is already included in the counts.
func (tracker *Tracker) canStart(placement *Placement) bool {
	job, machine := placement.Job, placement.Machine
	if job.Cancelled || !job.IsReleased() || job.GangAborting || placement.isStopping || !job.StartsRecorded || !machine.RecordedInStore {
		return false
	}
	if !isStaticallyEligible(job, machine) {
		return false
	}
	spec := job.Spec
	if spec.SingleZone && (job.unconfirmedCount > 0 || job.placementCountByZone[machine.Zone] != job.activeCount) {
		return false
	}
	if spec.SpreadZones && job.CountInZone(machine.Zone) > job.MaxTasksPerZone() {
		return false
	}
	return tracker.isWithinQuota(spec.Team, Resources{})
}

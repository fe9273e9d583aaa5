package allocation

import "slices"

// isWithinQuota tells whether a team may use that much more.
func (tracker *Tracker) isWithinQuota(team string, additional Resources) bool {
	quota := tracker.cfg.Quotas[team]
	usage := tracker.TeamUsage(team).Add(additional)
	return (quota.MaxMilliCPU == 0 || usage.MilliCPU <= quota.MaxMilliCPU) && (quota.MaxMilliGPU == 0 || usage.MilliGPU <= quota.MaxMilliGPU)
}

// IsEligible tells whether the job's own wishes allow the machine now, its other
// tasks considered.
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

// isStaticallyEligible tells whether the job allows the kind of machine: whatever else it has
// running where.
func isStaticallyEligible(job *Job, machine *Machine) bool {
	spec := job.Spec
	if machine.Spot && !spec.AllowsSpot || spec.Zone != "" && spec.Zone != machine.Zone {
		return false
	}
	return spec.MachineTypes == nil || slices.Contains(spec.MachineTypes, machine.Type)
}

// CanReplaceLostTasks tells whether a gang waits for tasks that it has lost before it was
// seen running: others with the same attempt complete it, while stopping the rest
// would give up the images that they fetch.
func (job *Job) CanReplaceLostTasks() bool {
	return job.IsGang() && job.GangAttempt != 0 && !job.GangAborting && !job.GangStarted && !job.Cancelled && job.unconfirmedCount == 0
}

// canStart is invariant 6, for a placement already on the books.
func (tracker *Tracker) canStart(placement *Placement) bool {
	job, machine := placement.Job, placement.Machine
	if job.Cancelled || job.GangAborting || placement.isStopping || !job.StartsRecorded || !machine.RecordedInStore {
		return false
	}
	if !isStaticallyEligible(job, machine) {
		return false
	}
	spec := job.Spec
	if spec.SingleZone && (job.unconfirmedCount > 0 || job.placementsByZone[machine.Zone] != job.activeCount) {
		return false
	}
	if spec.SpreadZones && job.CountInZone(machine.Zone) > job.MaxTasksPerZone() {
		return false
	}
	return tracker.isWithinQuota(spec.Team, Resources{})
}

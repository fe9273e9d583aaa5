package allocation

import "firwood.dev/firwood/internal/clock"

// cancelledTasks are the tasks that workers list as not exited though their job is over.
type cancelledTasks struct {
	// listedCancelled are the placements of cancelled jobs among them.
	listedCancelled map[*Placement]struct{}
	// NewlyListedCancelled collects placements of cancelled jobs that a heartbeat lists for the first
	// time since the job is cancelled. The caller takes them and sets it to nil.
	NewlyListedCancelled []*Placement
	// TasksOfUnknownJobs collects tasks without a job in the tracker, each time that they are listed. The
	// caller takes them and sets it to nil.
	TasksOfUnknownJobs []string
}

// recordListedIfCancelled records that a heartbeat lists a placement, if its job is cancelled.
func (tracker *Tracker) recordListedIfCancelled(placement *Placement) {
	if !placement.Job.Cancelled {
		return
	}
	if _, isRecorded := tracker.listedCancelled[placement]; isRecorded {
		return
	}
	if tracker.listedCancelled == nil {
		tracker.listedCancelled = map[*Placement]struct{}{}
	}
	tracker.listedCancelled[placement] = struct{}{}
	tracker.NewlyListedCancelled = append(tracker.NewlyListedCancelled, placement)
}

// ListedCancelledTasks returns how many tasks of cancelled jobs workers still list as not exited, and
// the instant of the earliest of their cancellations.
func (tracker *Tracker) ListedCancelledTasks() (count int, earliest clock.Micros) {
	for placement := range tracker.listedCancelled {
		if cancelledAt := placement.Job.CancelledAt; count == 0 || cancelledAt < earliest {
			earliest = cancelledAt
		}
		count++
	}
	return count, earliest
}

// UnconfirmedMachines returns how many machines' workers have not shown this leader's token. Machines
// of this leader that have yet to send their first heartbeat aren't among them.
func (tracker *Tracker) UnconfirmedMachines() int {
	count := 0
	for _, machine := range tracker.SortedMachines() {
		isBooting := machine.FirstHeartbeatAt == 0 && machine.Reconciled
		if !machine.TokenConfirmed && !isBooting {
			count++
		}
	}
	return count
}

// UnreconciledMachineCount returns how many machines may have tasks of an earlier leader unseen.
func (tracker *Tracker) UnreconciledMachineCount() int { return tracker.unreconciledCount }

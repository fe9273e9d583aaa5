package allocation

import "firwood.dev/firwood/internal/clock"

// cancelledTasks holds the tasks that workers list as not exited although their job is over.
type cancelledTasks struct {
	// listedCancelled is the set of placements of cancelled jobs that workers list.
	listedCancelled map[*Placement]struct{}
	// NewlyListedCancelled collects placements of cancelled jobs that a heartbeat lists for the first
	// time since the job was cancelled. The caller takes them and sets it to nil.
	NewlyListedCancelled []*Placement
	// TasksOfUnknownJobs collects the IDs of listed tasks whose job isn't in the tracker, once for each
	// time that a heartbeat lists them. The caller takes them and sets it to nil.
	TasksOfUnknownJobs []string
}

// recordListedIfCancelled records that a heartbeat lists a placement if the placement's job is
// cancelled.
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

// ListedCancelledTasks returns the number of tasks of cancelled jobs that workers still list as not
// exited, and the time of the earliest cancellation among those jobs.
func (tracker *Tracker) ListedCancelledTasks() (count int, earliest clock.Micros) {
	for placement := range tracker.listedCancelled {
		if cancelledAt := placement.Job.CancelledAt; count == 0 || cancelledAt < earliest {
			earliest = cancelledAt
		}
		count++
	}
	return count, earliest
}

// UnconfirmedMachines returns the number of machines whose worker has not confirmed this leader's token.
// It leaves out machines that were added by this leader and have not sent their first heartbeat yet.
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

// UnreconciledMachineCount returns the number of machines that may run tasks that an earlier leader
// started and this leader doesn't know of.
func (tracker *Tracker) UnreconciledMachineCount() int { return tracker.unreconciledCount }

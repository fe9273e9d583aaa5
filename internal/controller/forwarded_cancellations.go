package controller

import (
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/leader"
	"firwood.dev/firwood/internal/peer"
	"firwood.dev/firwood/internal/storeview"
	"firwood.dev/firwood/wire"
)

// logCancellation takes a job's record into the log of cancellations, if it is one whose
// tasks may still run.
func (controller *Controller) logCancellation(id string, record *storeview.Job) {
	if record.State != wire.JobCancelled || record.Spec == nil {
		return
	}
	cancellation := peer.Cancellation{Job: id, Revision: record.Version, CancelledAt: clock.Micros(record.EndedAt)}
	controller.members.cancellations.Add(cancellation, clock.Now(), clock.WallTime())
}

// peerRevision is the revision of a member's view by its last heartbeat, 0 if that is older than
// MemberTimeout: the member may have been restarted since, with a view that it has yet to load.
func (controller *Controller) peerRevision(member string) uint64 {
	received := controller.members.heartbeats[member]
	if received == nil || clock.Now()-received.ReceivedAt > leader.MemberTimeout {
		return 0
	}
	return received.Heartbeat.StoreRevision
}

// sendNewCancellations sends new cancellations without waiting for the next regular
// heartbeat, if some other member may lack one. The leader need not: it acts on them itself.
func (controller *Controller) sendNewCancellations(now clock.Micros) {
	if controller.term != nil || !controller.members.cancellations.TakeEarlySendRequest(now) {
		return
	}
	for _, other := range controller.cfg.Peers {
		if len(controller.members.cancellations.UnknownTo(controller.peerRevision(other.Member), now)) > 0 {
			controller.sendHeartbeats(now)
			return
		}
	}
}

// applyForwardedCancellations takes cancellations that a member knows to be durable. Of a job
// that is not in the view this member can't have started anything.
func (controller *Controller) applyForwardedCancellations(member string, cancellations []peer.Cancellation) {
	for _, cancellation := range cancellations {
		record := controller.view.Jobs[cancellation.Job]
		if record == nil || record.HasEnded() || record.Spec == nil || cancellation.Revision <= record.Version {
			continue
		}
		end := storeview.NewEndedJob(record, wire.JobCancelled, cancellation.CancelledAt)
		end.Version = cancellation.Revision
		controller.view.SetJob(cancellation.Job, end)
		controller.log.Debug("applied cancellation forwarded by another member", "job", cancellation.Job, "revision", cancellation.Revision, "member", member)
	}
}

package controller

import (
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/leader"
	"firwood.dev/firwood/internal/peer"
	"firwood.dev/firwood/internal/storeview"
	"firwood.dev/firwood/wire"
)

// addToCancellationLog adds a job to the log of cancellations if its record says that it is cancelled and
// its tasks may still run.
func (controller *Controller) addToCancellationLog(id string, record *storeview.Job) {
	if record.State != wire.JobCancelled || record.Spec == nil {
		return
	}
	cancellation := peer.Cancellation{Job: id, Revision: record.Version, CancelledAt: clock.Micros(record.EndedAt)}
	controller.members.cancellations.Add(cancellation, clock.Now(), clock.WallTime())
}

// peerRevision returns the revision of a member's view from the member's last heartbeat, or 0 if that heartbeat
// is older than MemberTimeout. The member may then have been restarted, with a view that it has yet to load.
func (controller *Controller) peerRevision(member string) uint64 {
	received := controller.members.heartbeats[member]
	if received == nil || clock.Now()-received.ReceivedAt > leader.MemberTimeout {
		return 0
	}
	return received.Heartbeat.StoreRevision
}

// sendNewCancellations sends new cancellations ahead of the next regular heartbeat if another member may lack
// one. The leader doesn't, because it acts on them itself.
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

// applyForwardedCancellations applies cancellations that another member knows to be durable. It skips jobs that
// are not in the view, since this member can't have started any of their tasks.
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

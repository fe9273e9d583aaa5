package controller

import (
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/peer"
	"firwood.dev/firwood/internal/storeview"
	"firwood.dev/firwood/wire"
)

// The leader learns of withdrawals by reading the state service. While that refuses
// the leader alone, others go on confirming withdrawals, and an outage for all may
// follow before another leader is elected. So every member tells the others which
// withdrawals are durable, again and again until their views are as new; the leader
// stops those tasks while it is still entitled to.

// cancellationLog holds recent durable withdrawals, in the order in which this member
// learnt of them.
type cancellationLog struct {
	entries    []cancellationEntry
	retention  clock.Micros
	maxEntries int // the oldest entries go when there are more
	// nextIndex is where the next message begins, if not all fit into one.
	nextIndex int
	// hasNews: one has come in that this member should tell without delay.
	hasNews bool
	sentAt  clock.Micros
}

type cancellationEntry struct {
	peer.Cancellation
	receivedAt clock.Micros
}

// newsInterval bounds how often news is told outside of the regular messages.
const newsInterval = 100 * clock.Millisecond

// newCancellationLog makes a log that keeps entries for the cancellation time: after
// that the tasks are gone. In that time no more withdrawals become durable than the
// state service takes changes; what a reload brings at once is as many again.
func newCancellationLog(cancellation clock.Micros, changesPerSecond float64) cancellationLog {
	return cancellationLog{retention: cancellation, maxEntries: 2 * (int(changesPerSecond*cancellation.Seconds()) + 1)}
}

// add takes a job's record, if it is that of a recent withdrawal.
func (log *cancellationLog) add(id string, record *storeview.Job, now, wall clock.Micros) {
	if record.State != wire.JobCancelled || record.Spec == nil || wall-clock.Micros(record.EndedAt) > log.retention {
		return
	}
	if len(log.entries) >= log.maxEntries {
		log.entries = append(log.entries[:0], log.entries[len(log.entries)/2:]...)
	}
	log.entries = append(log.entries, cancellationEntry{
		Cancellation: peer.Cancellation{Job: id, Revision: record.Version, CancelledAt: clock.Micros(record.EndedAt)},
		receivedAt:   now,
	})
	log.hasNews = true
}

// unknownTo lists entries that a view of some revision may lack. When they are more
// than a message takes, the next message goes on where this one ends.
func (log *cancellationLog) unknownTo(revision uint64, now clock.Micros) []peer.Cancellation {
	log.expire(now)
	var unknown []peer.Cancellation
	for _, entry := range log.entries {
		if entry.Revision > revision {
			unknown = append(unknown, entry.Cancellation)
		}
	}
	if len(unknown) <= peer.MaxCancellations {
		return unknown
	}
	from := log.nextIndex % len(unknown)
	log.nextIndex = from + peer.MaxCancellations
	rotated := append(unknown[from:len(unknown):len(unknown)], unknown[:from]...)
	return rotated[:peer.MaxCancellations]
}

func (log *cancellationLog) expire(now clock.Micros) {
	old := 0
	for old < len(log.entries) && now-log.entries[old].receivedAt > log.retention {
		old++
	}
	log.entries = append(log.entries[:0], log.entries[old:]...)
}

// peerRevision is how new a member's view is, as far as it has told lately. A member
// that is not heard may have been restarted since.
func (controller *Controller) peerRevision(member string) uint64 {
	received := controller.members.heartbeats[member]
	if received == nil || clock.Now()-received.receivedAt > memberTimeout {
		return 0
	}
	return received.heartbeat.StoreRevision
}

// sendCancellationNews tells news of withdrawals without waiting for the next regular
// message, if some other member may lack it. The leader has no need to: it is the
// one that acts on them.
func (controller *Controller) sendCancellationNews(now clock.Micros) {
	log := &controller.members.cancellations
	if controller.term != nil || !log.hasNews || now-log.sentAt < newsInterval {
		return
	}
	log.hasNews, log.sentAt = false, now
	for _, other := range controller.cfg.Peers {
		if len(log.unknownTo(controller.peerRevision(other.Member), now)) > 0 {
			controller.sendHeartbeats(now)
			return
		}
	}
}

// applyCancellations takes what another member knows to be durable. Of a job that is
// not in the view nothing can have been started here.
func (controller *Controller) applyCancellations(received []peer.Cancellation) {
	for _, cancellation := range received {
		record := controller.view.Jobs[cancellation.Job]
		if record == nil || record.HasEnded() || record.Spec == nil || cancellation.Revision <= record.Version {
			continue
		}
		end := storeview.NewEndedJob(record, wire.JobCancelled, cancellation.CancelledAt)
		end.Version = cancellation.Revision
		controller.view.SetJob(cancellation.Job, end)
		controller.log.Debug("withdrawal told by another member", "job", cancellation.Job, "revision", cancellation.Revision)
	}
}

package controller

import (
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/kvstore"
	"firwood.dev/firwood/internal/leader"
	"firwood.dev/firwood/internal/records"
	"firwood.dev/firwood/wire"
)

// A leader hands over if workers reach other members and not it. Heartbeats tell it how many
// workers contact each member. If the members cannot reach the leader either, they write that
// count to the store instead. Added after a leader that neither workers nor members reached
// held its lock for 78 s, while all leases ran out.

const (
	// workerContactInterval is how often a member reports the count.
	workerContactInterval = clock.Second
	// minWorkerContacts is the count from which a report is worth a write.
	minWorkerContacts = 3
)

// expireWorkerContacts drops workers that have not contacted this member for a while.
func (controller *Controller) expireWorkerContacts(now clock.Micros) {
	for name, lastAt := range controller.workers.lastContactAt {
		if now-lastAt > controller.settings.Timing.SuspectTimeout {
			delete(controller.workers.lastContactAt, name)
		}
	}
	for name, lastAt := range controller.delegation.lastReplyAt {
		if now-lastAt > clock.FromSeconds(controller.cfg.Deployment.Workers.LeaseSeconds) {
			delete(controller.delegation.lastReplyAt, name)
		}
	}
}

// reportWorkerContact writes how many workers contact this member to the store, while it
// receives no heartbeats of the leader.
func (controller *Controller) reportWorkerContact(now clock.Micros) {
	if !controller.isWorkerContactReportDue(now) {
		return
	}
	value, err := records.WorkerContact{Workers: uint32(len(controller.workers.lastContactAt)), ReportedAt: int64(clock.WallTime())}.MarshalJSON()
	if err != nil {
		return
	}
	controller.workers.nextReportAt = now + workerContactInterval
	// A write that is refused or late is made up for by the next.
	controller.store.Commit(&kvstore.Write{
		Priority: kvstore.Critical,
		Changes:  []wire.Change{{PutKey: records.WorkerContactKey(controller.cfg.Member), Value: value}},
		Deadline: now + workerContactInterval,
		Done:     func(kvstore.Outcome, uint64) {},
	})
}

// isWorkerContactReportDue tells whether another member leads, doesn't send heartbeats, and
// workers contact this one.
func (controller *Controller) isWorkerContactReportDue(now clock.Micros) bool {
	holder, _ := controller.elector.LockHolder()
	isOtherLeading := controller.term == nil && holder != "" && holder != controller.cfg.Member
	if !isOtherLeading || len(controller.workers.lastContactAt) < minWorkerContacts || now < controller.workers.nextReportAt {
		return false
	}
	received := controller.members.heartbeats[holder]
	return received == nil || now-received.ReceivedAt >= leader.MemberTimeout
}

// applyWorkerContact takes a member's report. It may be read long after it was written, so its age
// is taken from the writer's time of day, less what the two clocks may differ by: a report is never
// taken for older than it is.
func (controller *Controller) applyWorkerContact(member string, record records.WorkerContact) {
	now := clock.Now()
	age := max(clock.WallTime()-clock.Micros(record.ReportedAt)-leader.MaxClockSkew(controller.cfg), 0)
	controller.workers.reports[member] = leader.WorkerContact{Workers: record.Workers, ReportedAt: now - age}
}

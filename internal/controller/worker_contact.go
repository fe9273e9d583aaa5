package controller

import (
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/kvstore"
	"firwood.dev/firwood/internal/leader"
	"firwood.dev/firwood/internal/records"
	"firwood.dev/firwood/wire"
)

// A leader hands over its leadership if workers reach other members but not the leader. It learns from
// heartbeats how many workers contact each member. If the members cannot reach the leader either, they
// write that count to the store instead. Before these reports existed, a leader that neither workers nor
// members reached held its lock for 78 s, while all leases expired.

const (
	// workerContactReportInterval is how often a member reports how many workers contact it.
	workerContactReportInterval = clock.Second
	// minReportedContacts is the least number of workers for which a member writes a report.
	minReportedContacts = 3
)

// expireWorkerContacts drops the workers that have not contacted this member for the suspect timeout,
// and the times of replies as delegate that are longer ago than a worker's lease lasts.
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

// reportWorkerContact writes to the store how many workers contact this member, while it receives no
// heartbeats of the leader.
func (controller *Controller) reportWorkerContact(now clock.Micros) {
	if !controller.isWorkerContactReportDue(now) {
		return
	}
	value, err := records.WorkerContact{Workers: uint32(len(controller.workers.lastContactAt)), ReportedAt: int64(clock.WallTime())}.MarshalJSON()
	if err != nil {
		return
	}
	controller.workers.nextReportAt = now + workerContactReportInterval
	// If this write is refused or late, the next report replaces it.
	controller.store.Commit(&kvstore.Write{
		Priority: kvstore.Critical,
		Changes:  []wire.Change{{PutKey: records.WorkerContactKey(controller.cfg.Member), Value: value}},
		Deadline: now + workerContactReportInterval,
		Done:     func(kvstore.Outcome, uint64) {},
	})
}

// isWorkerContactReportDue reports whether this member has to write a report now: another member
// leads but its heartbeats don't arrive, and enough workers contact this member.
func (controller *Controller) isWorkerContactReportDue(now clock.Micros) bool {
	holder, _ := controller.elector.LockHolder()
	isOtherLeading := controller.term == nil && holder != "" && holder != controller.cfg.Member
	if !isOtherLeading || len(controller.workers.lastContactAt) < minReportedContacts || now < controller.workers.nextReportAt {
		return false
	}
	received := controller.members.heartbeats[holder]
	return received == nil || now-received.ReceivedAt >= leader.MemberTimeout
}

// applyWorkerContact records a member's report. The report may be read long after it was written, so
// its age is taken from the writer's wall-clock time, minus the maximum clock skew. The age is therefore
// never overestimated.
func (controller *Controller) applyWorkerContact(member string, record records.WorkerContact) {
	now := clock.Now()
	age := max(clock.WallTime()-clock.Micros(record.ReportedAt)-leader.MaxClockSkew(controller.cfg), 0)
	controller.workers.reports[member] = leader.WorkerContact{Workers: record.Workers, ReportedAt: now - age}
}

package controller

import (
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/kvstore"
	"firwood.dev/firwood/internal/records"
	"firwood.dev/firwood/wire"
)

// Workers that reach this member and not the leader are what has a leader hand over,
// and beats tell it of them. When the way between controllers is shut too, a leader
// that no worker reaches would hold its lock for as long as that lasts, while all
// leases run out: once for 78 s. So members that the leader does not hear tell it by
// way of the state service.

// workerContact is how many workers asked a member lately, and when it said so.
type workerContact struct {
	workers    uint32
	reportedAt clock.Micros
}

const (
	// workerContactInterval is how often a member says so, workerContactTTL how long it counts.
	workerContactInterval = clock.Second
	workerContactTTL      = 5 * clock.Second
	// minWorkerContacts is from how many workers on it is worth a write.
	minWorkerContacts = 3
)

// reportWorkerContact says how many workers ask here, where the leader is not heard.
func (controller *Controller) reportWorkerContact(now clock.Micros) {
	leader, _ := controller.elector.LockHolder()
	if controller.term != nil || leader == "" || leader == controller.cfg.Member || len(controller.workers.contactAt) < minWorkerContacts || now < controller.workers.nextReportAt {
		return
	}
	if received := controller.members.heartbeats[leader]; received != nil && now-received.receivedAt < memberTimeout {
		return
	}
	value, err := records.WorkerContact{Workers: uint32(len(controller.workers.contactAt)), ReportedAt: int64(clock.WallTime())}.MarshalJSON()
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

// applyWorkerContact takes what a member has said. It may be long ago.
func (controller *Controller) applyWorkerContact(member string, record records.WorkerContact) {
	now := clock.Now()
	age := max(clock.WallTime()-clock.Micros(record.ReportedAt)-controller.maxClockSkew(), 0)
	controller.workers.reports[member] = workerContact{record.Workers, now - age}
}

package leader

import (
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/health"
)

// handOverBackoff is how long a leader that has handed over does not run for election.
const handOverBackoff = 30 * clock.Second

// candidateWindow is the maximum age of another member's last heartbeat for the member to count as able to
// lead.
const candidateWindow = 2 * clock.Second

// workerContactTTL is the maximum age of another member's report of how many workers contact it for the
// report to count.
const workerContactTTL = 5 * clock.Second

// handOverIfCutOff hands leadership over if few machines reach this leader while many contact another
// member, if all machines have become unreachable, or if the store answers no reads. It reports whether
// it has done so. See health.LeaderReach for the exact conditions and their reasons.
func (term *Term) handOverIfCutOff(fleet health.Reachability, now clock.Micros) bool {
	reach := term.reach(fleet, now)
	reason := reach.HandOverReason()
	term.liveness.wasMostlyReachable = term.liveness.wasMostlyReachable || fleet.IsMostlyReachable()
	if reason == health.KeepLeadership {
		return false
	}
	term.environment.Log.Info("handing over leadership", "reason", reason.String(), "machines", fleet.Up, "reachable", fleet.Reachable,
		"contacted", reach.ContactingOther, "read_age_s", (now - term.entitlement.viewAge.LastReadSentAt()).Seconds())
	term.host.HandOver(now, handOverBackoff)
	return true
}

// reach returns what this leader knows of its connections to the machines, the store and the other
// members.
func (term *Term) reach(fleet health.Reachability, now clock.Micros) health.LeaderReach {
	reach := health.LeaderReach{
		Fleet:               fleet,
		WasMostlyReachable:  term.liveness.wasMostlyReachable,
		ReadAge:             now - max(term.entitlement.viewAge.LastReadSentAt(), term.liveness.resumedAt),
		LeaderTTL:           term.environment.LeaderTTL,
		HasWaitedForWorkers: now-term.liveness.resumedAt >= term.environment.Timing.SuspectTimeout,
	}
	for _, received := range term.host.Heartbeats() {
		if now-received.ReceivedAt < candidateWindow && received.Heartbeat.IsStoreReachable {
			reach.HasCandidate = true
			reach.ContactingOther = max(reach.ContactingOther, received.Heartbeat.WorkerCount)
		}
	}
	for _, contact := range term.host.WorkerContacts() {
		if now-contact.ReportedAt < workerContactTTL {
			reach.ContactingOther = max(reach.ContactingOther, contact.Workers)
		}
	}
	return reach
}

package leader

import (
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/health"
)

// handOverBackoff is how long a leader that handed over doesn't run for election.
const handOverBackoff = 30 * clock.Second

// candidateWindow is how long ago another member's last heartbeat may be for it to count
// as one that could lead.
const candidateWindow = 2 * clock.Second

// workerContactTTL is for how long another member's report of workers that contact it counts.
const workerContactTTL = 5 * clock.Second

// handOverIfCutOff gives up leadership for a member that the workers do reach, or that can
// read the store; it tells whether it did. See health.LeaderReach for the reasons.
func (term *Term) handOverIfCutOff(fleet health.Reachability, now clock.Micros) bool {
	reach := term.reach(fleet, now)
	reason := reach.HandOverReason()
	term.liveness.hadMostReachable = term.liveness.hadMostReachable || fleet.IsMostlyReachable()
	if reason == health.KeepLeadership {
		return false
	}
	term.environment.Log.Info("handing over leadership", "reason", reason.String(), "machines", fleet.Up, "reachable", fleet.Reachable,
		"contacted", reach.ContactingOther, "read_age_s", (now - term.entitlement.viewAge.LastReadSentAt()).Seconds())
	term.host.HandOver(now, handOverBackoff)
	return true
}

// reach collects what this leader knows of its way to the machines, the store and the others.
func (term *Term) reach(fleet health.Reachability, now clock.Micros) health.LeaderReach {
	reach := health.LeaderReach{
		Fleet:            fleet,
		HadMostReachable: term.liveness.hadMostReachable,
		ReadAge:          now - max(term.entitlement.viewAge.LastReadSentAt(), term.liveness.resumedAt),
		LeaderTTL:        term.environment.LeaderTTL,
		HasSettled:       now-term.liveness.resumedAt >= term.environment.Timing.SuspectTimeout,
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

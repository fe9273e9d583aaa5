package controller

import (
	"firwood.dev/firwood/internal/clock"
)

// handOverBackoff is how long a leader that was cut off leaves the lead to others.
const handOverBackoff = 30 * clock.Second

// handOverIfCutOff gives the lead to a controller that the workers do reach: their
// leases would run out while this one renews its lock. So it does where the state
// service renews the lock but answers no reads. Where all machines fall silent
// at once it does not wait until another says that it is asked: a worker that has
// waited for an answer for four seconds, and is then sent back here, is lost with a
// lease of ten. A leader that has never heard them does not pass the lead on.
func (term *leaderTerm) handOverIfCutOff(fleet reachability, now clock.Micros) bool {
	var othersWorkers uint32
	hasCandidate := false // another controller could lead
	for _, received := range term.controller.members.heartbeats {
		if now-received.receivedAt < 2*clock.Second && received.heartbeat.IsStoreReachable {
			othersWorkers = max(othersWorkers, received.heartbeat.WorkerCount)
			hasCandidate = true
		}
	}
	if hasCandidate && now-max(term.entitlement.viewAge.LastReadSentAt(), term.liveness.resumedAt) > 2*term.controller.leaderTTL() {
		term.controller.log.Info("the state service answers no reads", "for_s", (now - term.entitlement.viewAge.LastReadSentAt()).Seconds())
		term.handOverTerm(now)
		return true
	}
	if term.liveness.hadMostReachable && hasCandidate && fleet.isNoneReachable() {
		term.controller.log.Info("no worker is heard any more", "of", fleet.up)
		term.handOverTerm(now)
		return true
	}
	term.liveness.hadMostReachable = term.liveness.hadMostReachable || fleet.isMostlyReachable()
	if now-term.liveness.resumedAt < term.controller.suspectTimeout() {
		return false
	}
	for _, contact := range term.controller.workers.reports {
		if now-contact.reportedAt < workerContactTTL {
			othersWorkers = max(othersWorkers, contact.workers)
		}
	}
	if !fleet.isOnlyLeaderCutOff(othersWorkers) {
		return false
	}
	term.controller.log.Info("few workers are heard, others hear them", "heard", fleet.reachable, "of", fleet.up, "others", othersWorkers)
	term.handOverTerm(now)
	return true
}

func (term *leaderTerm) handOverTerm(now clock.Micros) {
	term.controller.executeActions(term.controller.elector.StepDown(now, handOverBackoff))
	term.controller.endTerm("handed over")
}

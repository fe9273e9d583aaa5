package controller

import (
	"firwood.dev/firwood/internal/clock"
)

// mayActUntil is the end of the entitlement to act. Unlike the rest it may be asked
// on any goroutine, right before something is sent.
func (term *leaderTerm) mayActUntil() clock.Micros {
	return clock.Micros(term.entitlement.actDeadline.Load())
}

// recordResume takes the news that the process has stood still, or was not entitled to act.
func (term *leaderTerm) recordResume(now clock.Micros) {
	term.liveness.resumedAt, term.scheduler.ResumedAt = now, now
}

// mayStartUntil is the end of the time in which tasks may be started; like until it
// may be asked on any goroutine.
func (term *leaderTerm) mayStartUntil() clock.Micros {
	return clock.Micros(term.entitlement.startDeadline.Load())
}

// updateDeadlines takes over the election's view of the entitlement, and what the age of the
// view allows.
func (term *leaderTerm) updateDeadlines() {
	until := term.controller.elector.EntitledUntil()
	term.entitlement.actDeadline.Store(int64(until))
	term.entitlement.startDeadline.Store(int64(min(until, term.entitlement.viewAge.StartTasksUntil())))
}

// resumeAfterLapse is called while the leader is entitled to act. After a time in which it
// was not, it has replied to nobody, so machines and members without heartbeats since
// then are not suspected. Added after a leader handed over for lack of heartbeats after
// an outage of the key-value store of 75 s.
func (term *leaderTerm) resumeAfterLapse(now clock.Micros) {
	if !term.entitlement.hasLapsed {
		return
	}
	term.entitlement.hasLapsed = false
	term.recordResume(now)
	// Jobs may have been cancelled by other members while the store refused only this
	// one. Added after a leader started tasks of such a job again.
	term.entitlement.viewAge.RecordEntitlementRegained(now)
	term.updateDeadlines()
}

// pauseStartsIfStale pauses starts while the view is too old for them, and has it read
// again; it tells whether tasks may be started.
func (term *leaderTerm) pauseStartsIfStale(now clock.Micros) (mayStart bool) {
	mayStart = term.entitlement.viewAge.MayStartTasks(now)
	term.tracker.SetStartsPaused(!mayStart)
	if !mayStart {
		term.refreshView(now)
	}
	return mayStart
}

// refreshView makes the view new again where it is too old to start tasks on it.
func (term *leaderTerm) refreshView(now clock.Micros) {
	if term.entitlement.isRefreshingView {
		return
	}
	term.entitlement.isRefreshingView = true
	term.controller.view.RequestSync(func(err error) {
		term.entitlement.isRefreshingView = false
		switch {
		case term.isClosed:
		case err != nil:
			term.retryDeferred() // those that have waited for too long are refused
		default:
			term.recordViewRead(now)
		}
	}, now+heartbeatInterval)
}

// recordViewRead takes the news that the view is as new as a read sent at an instant.
func (term *leaderTerm) recordViewRead(sentAt clock.Micros) {
	term.entitlement.viewAge.RecordRead(sentAt)
	term.updateDeadlines()
	term.tracker.SetStartsPaused(!term.entitlement.viewAge.MayStartTasks(clock.Now()))
	term.requestPlan()
	term.retryDeferred()
}

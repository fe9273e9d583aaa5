package leader

import "firwood.dev/firwood/internal/clock"

// mayActUntil is the end of the leader's lease as known. It may be called on any goroutine,
// right before something is sent.
func (term *Term) mayActUntil() clock.Micros {
	return clock.Micros(term.entitlement.actDeadline.Load())
}

// RecordResume has machines and members count as silent from now on at the earliest: no
// heartbeats could arrive while the process was stalled, and none were replied to while it was
// not entitled to act.
func (term *Term) RecordResume(now clock.Micros) {
	term.liveness.resumedAt, term.scheduler.ResumedAt = now, now
}

// mayStartUntil is the end of the time in which tasks may be started. It may be called on
// any goroutine.
func (term *Term) mayStartUntil() clock.Micros {
	return clock.Micros(term.entitlement.startDeadline.Load())
}

// updateDeadlines takes the end of the lock's lease from the election, and the bound that the
// age of the view sets.
func (term *Term) updateDeadlines() {
	until := term.host.EntitledUntil()
	term.entitlement.actDeadline.Store(int64(until))
	term.entitlement.startDeadline.Store(int64(min(until, term.entitlement.viewAge.StartTasksUntil())))
}

// resumeAfterLapse is called while the leader is entitled to act. After a time in which it
// was not, it has replied to nobody, so machines and members without heartbeats since
// then are not suspected. Added after a leader handed over for lack of heartbeats after
// an outage of the key-value store of 75 s.
func (term *Term) resumeAfterLapse(now clock.Micros) {
	if !term.entitlement.hasLapsed {
		return
	}
	term.entitlement.hasLapsed = false
	term.RecordResume(now)
	// Jobs may have been cancelled by other members while the store refused only this
	// one. Added after a leader started tasks of such a job again.
	term.entitlement.viewAge.RecordEntitlementRegained(now)
	term.updateDeadlines()
}

// pauseStartsIfStale pauses starts while the view is too old for them, and has it read
// again; it tells whether tasks may be started.
func (term *Term) pauseStartsIfStale(now clock.Micros) (mayStart bool) {
	mayStart = term.entitlement.viewAge.MayStartTasks(now)
	term.setStartsPaused(!mayStart, now)
	if !mayStart {
		term.refreshView(now)
	}
	return mayStart
}

// setStartsPaused pauses or resumes starts, and logs a change.
func (term *Term) setStartsPaused(isPaused bool, now clock.Micros) {
	term.tracker.SetStartsPaused(isPaused)
	if isPaused == term.logs.isPauseLogged {
		return
	}
	term.logs.isPauseLogged = isPaused
	message := "starts resumed"
	if isPaused {
		message = "starts paused: the view is too old"
	}
	term.environment.Log.Info(message, "token", term.token, "read_revision", term.environment.View.Revision, "read_age_s", term.viewAge(now).Seconds())
}

// viewAge is the time since the newest completed read of the store was sent.
func (term *Term) viewAge(now clock.Micros) clock.Micros {
	return max(now-term.entitlement.viewAge.LastReadSentAt(), 0)
}

// refreshView has the view read again, which is too old to start tasks on it, or even to renew
// leases. One read is under way at a time.
func (term *Term) refreshView(now clock.Micros) {
	if term.entitlement.isRefreshingView {
		return
	}
	term.entitlement.isRefreshingView = true
	term.environment.View.RequestSync(func(err error) {
		term.entitlement.isRefreshingView = false
		switch {
		case term.isClosed:
		case err != nil:
			term.retryDeferred() // refuses those that have waited for too long
		default:
			term.recordViewRead(now)
		}
	}, now+HeartbeatInterval)
}

// recordViewRead records that the view is as new as a read sent at an instant, and does what
// waited for that.
func (term *Term) recordViewRead(sentAt clock.Micros) {
	term.entitlement.viewAge.RecordRead(sentAt)
	term.updateDeadlines()
	now := clock.Now()
	term.setStartsPaused(!term.entitlement.viewAge.MayStartTasks(now), now)
	term.requestPlan()
	term.retryDeferred()
}

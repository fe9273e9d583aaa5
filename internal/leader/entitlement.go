package leader

import "firwood.dev/firwood/internal/clock"

// sendDeadline returns the end of the lock's lease, as far as this process knows. Nothing may be sent from
// then on. It may be called on any goroutine, right before a message is sent.
func (term *Term) sendDeadline() clock.Micros {
	return clock.Micros(term.entitlement.actDeadline.Load())
}

// ResetSilence makes the silence of machines and members count from now at the earliest. It is called
// after the process was stalled, when no heartbeat could arrive, and after the leader was not entitled to
// act, when it replied to none.
func (term *Term) ResetSilence(now clock.Micros) {
	term.liveness.resumedAt, term.scheduler.ResumedAt = now, now
}

// taskStartDeadline returns the end of the time in which tasks may be started. It may be called on any
// goroutine.
func (term *Term) taskStartDeadline() clock.Micros {
	return clock.Micros(term.entitlement.startDeadline.Load())
}

// updateDeadlines updates the deadlines from the end of the lock's lease, which the election knows, and
// from the bound set by the age of the view.
func (term *Term) updateDeadlines() {
	until := term.host.EntitledUntil()
	term.entitlement.actDeadline.Store(int64(until))
	term.entitlement.startDeadline.Store(int64(min(until, term.entitlement.viewAge.StartTasksUntil())))
}

// resumeAfterLapse is called while the leader is entitled to act. If it was not entitled before, it has
// replied to no one in that time, so machines and members without heartbeats since then must not be
// suspected. Without this, a leader handed over for lack of heartbeats after the key-value store had
// been unavailable for 75 s.
func (term *Term) resumeAfterLapse(now clock.Micros) {
	if !term.entitlement.hasLapsed {
		return
	}
	term.entitlement.hasLapsed = false
	term.ResetSilence(now)
	// Other members may have recorded cancellations while the store refused only this member. Without
	// this, a leader restarted tasks of a job that had been cancelled in that time.
	term.entitlement.viewAge.RecordEntitlementRegained(now)
	term.updateDeadlines()
}

// pauseStartsIfStale pauses starts while the view is too old for them, and requests a sync of the view.
// It reports whether tasks may be started.
func (term *Term) pauseStartsIfStale(now clock.Micros) (mayStart bool) {
	mayStart = term.entitlement.viewAge.MayStartTasks(now)
	term.setStartsPaused(!mayStart, now)
	if !mayStart {
		term.refreshView(now)
	}
	return mayStart
}

// setStartsPaused pauses or resumes starts, and logs each change.
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

// viewAge returns the time since the newest completed read of the store was sent.
func (term *Term) viewAge(now clock.Micros) clock.Micros {
	return max(now-term.entitlement.viewAge.LastReadSentAt(), 0)
}

// refreshView requests a sync of the view with the store. It is called when the view is too old to start
// tasks, or even to renew leases. At most one such sync is in flight.
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
			term.retryDeferredHeartbeats() // refuses those that have waited for too long
		default:
			term.recordViewRead(now)
		}
	}, now+HeartbeatInterval)
}

// recordViewRead records that the view is as new as a read sent at sentAt, and resumes what had to wait
// for such a read.
func (term *Term) recordViewRead(sentAt clock.Micros) {
	term.entitlement.viewAge.RecordRead(sentAt)
	term.updateDeadlines()
	now := clock.Now()
	term.setStartsPaused(!term.entitlement.viewAge.MayStartTasks(now), now)
	term.requestPlan()
	term.retryDeferredHeartbeats()
}

package controller

import (
	"firwood.dev/firwood/internal/clock"
)

// until is the end of the entitlement to act. Unlike the rest it may be asked
// on any goroutine, right before something is sent.
func (l *lead) until() clock.Micros { return clock.Micros(l.deadline.Load()) }

// woke takes the news that the process has stood still, or was not entitled to act.
func (l *lead) woke(now clock.Micros) { l.awake, l.pl.ResumedAt = now, now }

// startUntil is the end of the time in which tasks may be started; like until it
// may be asked on any goroutine.
func (l *lead) startUntil() clock.Micros { return clock.Micros(l.startDeadline.Load()) }

// renew takes over the election's view of the entitlement, and what the age of the
// view allows.
func (l *lead) renew() {
	until := l.c.el.EntitledUntil()
	l.deadline.Store(int64(until))
	l.startDeadline.Store(int64(min(until, l.view.StartTasksUntil())))
}

// read makes the view new again where it is too old to start tasks on it.
func (l *lead) read(now clock.Micros) {
	if l.reading {
		return
	}
	l.reading = true
	l.c.view.wantSync(func(err error) {
		l.reading = false
		switch {
		case l.closed:
		case err != nil:
			l.opened() // those that have waited for too long are refused
		default:
			l.hasRead(now)
		}
	}, now+beatEvery)
}

// hasRead takes the news that the view is as new as a read sent at an instant.
func (l *lead) hasRead(sentAt clock.Micros) {
	l.view.RecordRead(sentAt)
	l.renew()
	l.lg.SetStartsPaused(!l.view.MayStartTasks(clock.Now()))
	l.dirty = true
	l.opened()
}

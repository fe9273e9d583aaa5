package controller

import (
	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
)

// faults is what failed tasks tell of a machine.
type faults struct {
	first, last clock.Micros // of the failures counted so far; 0: none
	// trialAt is when a machine that was found faulty, and is still there, gets work
	// again; 0: it is not held back for faults.
	trialAt clock.Micros
	// trials and holds count how often it was held back, alone and with others.
	trials, holds int
}

const (
	// faultyJobs is how many jobs have to fail on a machine for it to be blamed.
	faultyJobs = 2
	// commonFor is for how long failures count as one trouble of many machines, of
	// more than one in commonShare.
	commonFor   = 60 * clock.Second
	commonShare = 10
	// holdFor is how long a machine gets nothing at first while others fail too,
	// trialAfter while it is blamed alone: twice as long each time it fails again,
	// holdMost times.
	holdFor    = 2 * clock.Second
	trialAfter = 15 * clock.Second
	holdMost   = 4
	// forgetAfter is how long a machine has to go without a failure for its earlier
	// ones not to count.
	forgetAfter = 300 * clock.Second
)

// blame draws the conclusion from a task that failed on a machine. One that fails
// several jobs gets no more, and is given back when it is empty; when others fail
// too, something else is at fault, and all of them get nothing for a moment.
func (l *lead) blame(m *allocation.Machine, now clock.Micros) {
	a := l.machines[m.Name]
	if a == nil {
		return
	}
	f := &a.faults
	if f.first == 0 || now-f.last > forgetAfter {
		*f = faults{first: now, trialAt: f.trialAt}
	}
	f.last = now
	if m.Draining || now < m.BackoffUntil || len(m.FailedJobs) < faultyJobs {
		return
	}
	if now-f.first < commonFor && l.othersFail(m, now) {
		m.BackoffUntil = now + holdFor<<min(f.holds, holdMost)
		f.holds++
		l.c.log.Info("tasks fail on many machines", "machine", m.Name)
		return
	}
	l.c.log.Info("machine is faulty", "machine", m.Name)
	f.trialAt = now + trialAfter<<min(f.trials, holdMost)
	f.trials++
	l.drain(m)
}

// othersFail tells whether many of the other machines have failed tasks lately too.
// All machines of a small fleet once failed what was started on them in the same
// five seconds, and all were drained.
func (l *lead) othersFail(m *allocation.Machine, now clock.Micros) bool {
	failed, others := 0, 0
	for name, a := range l.machines {
		if o := l.lg.Machines[name]; o == nil || o == m || o.FirstHeartbeatAt == 0 || a.deleting {
			continue
		}
		others++
		if a.faults.last != 0 && now-a.faults.last < commonFor {
			failed++
		}
	}
	return commonShare*failed > others
}

// tryAgain gives work to a faulty machine again that has been held back for long
// enough and cannot be given back, since work goes on there. Once two of a fleet's
// three machines, which the cloud had no others for, got nothing for eight minutes
// because of replicas that ran on them without a fault.
func (l *lead) tryAgain(m *allocation.Machine, a *machineAux, now clock.Micros) {
	f := &a.faults
	if f.trialAt == 0 || now < f.trialAt || m.IsIdle() {
		return
	}
	l.c.log.Info("faulty machine is tried again", "machine", m.Name)
	f.trialAt, f.first = 0, now
	clear(m.FailedJobs)
	m.Draining = false
}

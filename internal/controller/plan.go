package controller

import (
	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/scheduler"
)

// drain gives a machine nothing new and returns it when it is empty.
func (l *lead) drain(m *allocation.Machine) { m.Draining = true }

// Between two plans lies planPart times what the last one took, within bounds.
const (
	planPart     = 4
	leastPlanGap = 20 * clock.Millisecond
	mostPlanGap  = 500 * clock.Millisecond
)

func (l *lead) plan(now clock.Micros) {
	var pending []scheduler.PendingScaleOut
	for _, h := range l.rentals {
		if !h.resolved {
			pending = append(pending, scheduler.PendingScaleOut{
				Pool: scheduler.Pool{Type: h.rec.Type, Zone: h.rec.Zone, Spot: h.rec.Spot}, Count: h.rec.Count,
			})
		}
	}
	d := l.pl.Plan(l.lg, now, clock.WallTime(), pending)
	l.settle(now)
	for _, j := range d.RecordStarts {
		l.mark(j)
	}
	for _, r := range d.ScaleOut {
		// Few at a time: the cloud takes few requests a second, and what is
		// asked for next should rest on how these were answered.
		if len(pending) >= l.rentalsAtOnce() {
			break
		}
		pending = append(pending, scheduler.PendingScaleOut{})
		l.rent(r, now)
	}
	for _, m := range d.ScaleIn {
		l.c.log.Debug("idle machine returned", "machine", m.Name)
		l.delete(m)
	}
	if d.Drain != nil && now-l.drainedAt > drainEvery {
		l.drainedAt = now
		l.c.log.Debug("replicas move together", "from", d.Drain.Name)
		l.drain(d.Drain)
		d.Drain.ForEachPlacement(func(p *allocation.Placement) {
			l.lg.StopPlacement(p, clock.FromSeconds(p.Job.Spec.CheckpointSaveSeconds))
		})
	}
	for _, s := range []struct {
		kind string
		r    *scheduler.SpareReport
	}{{"spot", &d.SpotSpares}, {"ordinary", &d.OrdinarySpares}} {
		l.c.log.Debug("screen", "kind", s.kind, "gaps", s.r.ArrivalScreen.RejectReason, "n", s.r.ArrivalScreen.SampleCount, "runs", s.r.RunTimeScreen.RejectReason,
			"open", s.r.IsEnabled, "x", s.r.Cost.Target, "w", s.r.Cost.ExpectedWait, "e", s.r.Cost.IdleSeconds)
	}
}

// drainEvery bounds how often replicas are moved together.
const drainEvery = 10 * clock.Second

package controller

import (
	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/scheduler"
)

// drainMachine gives a machine nothing new and returns it when it is empty.
func (term *leaderTerm) drainMachine(machine *allocation.Machine) { machine.Draining = true }

// Between two plans lies planIntervalFactor times what the last one took, within bounds.
const (
	planIntervalFactor = 4
	minPlanInterval    = 20 * clock.Millisecond
	maxPlanInterval    = 500 * clock.Millisecond
)

func (term *leaderTerm) runScheduler(now clock.Micros) {
	var pending []scheduler.PendingScaleOut
	for _, request := range term.scaleOuts {
		if !request.isResolved {
			pending = append(pending, scheduler.PendingScaleOut{
				Pool: scheduler.Pool{Type: request.record.Type, Zone: request.record.Zone, Spot: request.record.Spot}, Count: request.record.Count,
			})
		}
	}
	decision := term.scheduler.Plan(term.tracker, now, clock.WallTime(), pending)
	term.processTaskEvents(now)
	for _, job := range decision.RecordStarts {
		term.recordStarts(job)
	}
	for _, wanted := range decision.ScaleOut {
		// Few at a time: the cloud takes few requests a second, and what is
		// asked for next should rest on how these were answered.
		if len(pending) >= term.maxScaleOutsInFlight() {
			break
		}
		pending = append(pending, scheduler.PendingScaleOut{})
		term.requestScaleOut(wanted, now)
	}
	for _, machine := range decision.ScaleIn {
		term.controller.log.Debug("idle machine returned", "machine", machine.Name)
		term.deleteMachine(machine)
	}
	if decision.Drain != nil && now-term.pace.consolidatedAt > consolidationInterval {
		term.pace.consolidatedAt = now
		term.controller.log.Debug("replicas move together", "from", decision.Drain.Name)
		term.drainMachine(decision.Drain)
		decision.Drain.ForEachPlacement(func(placement *allocation.Placement) {
			term.tracker.StopPlacement(placement, clock.FromSeconds(placement.Job.Spec.CheckpointSaveSeconds))
		})
	}
	for _, screen := range []struct {
		kind string
		r    *scheduler.SpareReport
	}{{"spot", &decision.SpotSpares}, {"ordinary", &decision.OrdinarySpares}} {
		term.controller.log.Debug("screen", "kind", screen.kind, "gaps", screen.r.ArrivalScreen.RejectReason, "n", screen.r.ArrivalScreen.SampleCount, "runs", screen.r.RunTimeScreen.RejectReason,
			"open", screen.r.IsEnabled, "x", screen.r.Cost.Target, "w", screen.r.Cost.ExpectedWait, "e", screen.r.Cost.IdleSeconds)
	}
}

// consolidationInterval bounds how often replicas are moved together.
const consolidationInterval = 10 * clock.Second

package leader

import (
	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/scheduler"
)

// drainMachine stops placing tasks on a machine, which is deleted once it is empty.
func (term *Term) drainMachine(machine *allocation.Machine) { machine.Draining = true }

const (
	// The interval between two plans is planIntervalFactor times the duration of the last
	// one, within bounds.
	planIntervalFactor = 4
	minPlanInterval    = 20 * clock.Millisecond
	maxPlanInterval    = 500 * clock.Millisecond
	// consolidationInterval is the minimum time between two consolidations of replicas.
	consolidationInterval = 10 * clock.Second
)

// Plan runs one plan and carries out its decisions. Tick calls it when a plan is due.
func (term *Term) Plan(now clock.Micros) {
	pending := term.pendingScaleOuts()
	decision := term.scheduler.Plan(term.tracker, now, clock.WallTime(), pending)
	term.processTaskEvents(now)
	for _, job := range decision.RecordStarts {
		term.recordStarts(job)
	}
	term.requestScaleOuts(decision.ScaleOut, len(pending), now)
	for _, machine := range decision.ScaleIn {
		term.environment.Log.Debug("deleting idle machine", "machine", machine.Name)
		term.deleteMachine(machine)
	}
	if decision.Drain != nil && now-term.periodic.consolidatedAt > consolidationInterval {
		term.periodic.consolidatedAt = now
		term.consolidateReplicas(decision.Drain)
	}
	term.logSpares("spot", &decision.SpotSpares)
	term.logSpares("on_demand", &decision.OnDemandSpares)
}

// pendingScaleOuts returns the requests that the cloud has not answered yet.
func (term *Term) pendingScaleOuts() []scheduler.PendingScaleOut {
	var pending []scheduler.PendingScaleOut
	for _, request := range term.scaleOuts {
		if !request.IsAnswered() {
			pending = append(pending, scheduler.PendingScaleOut{Pool: poolOf(request), Count: request.CloudRequest().Count})
		}
	}
	return pending
}

// requestScaleOuts requests machines, with few requests in flight: the cloud takes few requests a second,
// and later requests should be based on the responses to these.
func (term *Term) requestScaleOuts(requests []scheduler.ScaleOutRequest, pending int, now clock.Micros) {
	free := max(term.maxScaleOutsInFlight()-pending, 0)
	for _, request := range requests[:min(free, len(requests))] {
		term.requestScaleOut(request, now)
	}
}

// consolidateReplicas drains a machine and stops its tasks so that they move elsewhere and the machine
// can be deleted.
func (term *Term) consolidateReplicas(machine *allocation.Machine) {
	term.environment.Log.Debug("consolidating replicas", "machine", machine.Name)
	term.drainMachine(machine)
	machine.ForEachPlacement(func(placement *allocation.Placement) {
		term.tracker.StopPlacement(placement, clock.FromSeconds(placement.Job.Spec.CheckpointSaveSeconds))
	})
}

// logSpares logs at debug level why warm spares are kept or not kept.
func (term *Term) logSpares(kind string, report *scheduler.SpareReport) {
	term.environment.Log.Debug("warm spare screening", "kind", kind, "enabled", report.IsEnabled, "arrivals_reason", report.ArrivalScreen.RejectReason, "arrivals", report.ArrivalScreen.SampleCount,
		"run_times_reason", report.RunTimeScreen.RejectReason, "target", report.Cost.Target, "expected_wait", report.Cost.ExpectedWait, "idle_s", report.Cost.IdleSeconds)
}

// Package scheduler decides the order of waiting jobs, the machines on which their tasks run, the
// tasks that are stopped for them, the machines to request and delete, and the number of warm
// spares. It does no I/O, and takes the current time as an argument. Plan records placements and
// stops in the allocation tracker and returns what else has to be done.
//
// It follows SNF-ICON (Pulungan et al., "A Smallest-Need-First Job Scheduling Framework with
// Adaptive Optimization of Idle Node Counts for Energy-Efficient HPC Systems", "the paper"
// below). docs/design.md, "SNF-ICON, kept and changed", lists the deviations and their reasons.
// Package forecast holds the estimates and explains the paper's symbols. Numbers in parentheses
// refer to the paper's equations.
package scheduler

import (
	"maps"
	"math"
	"slices"

	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/forecast"
	"firwood.dev/firwood/wire"
)

// Scheduler plans during one leader's term and learns from what it observes. It is not safe for
// concurrent use.
type Scheduler struct {
	Settings     Settings
	MachineTypes map[string]wire.MachineType // by name
	Teams        map[string]allocation.TeamQuota
	Zones        []string

	// CompletionObjectives maps each class to the seconds within which users expect its jobs to be
	// done; it applies to jobs without a deadline of their own. WaitObjectives maps each class to
	// the seconds within which users expect its jobs to start.
	CompletionObjectives, WaitObjectives map[string]float64
	// HeartbeatWindow is the age of the last heartbeat beyond which the scheduler suspects a machine
	// and gives it no tasks. A machine is deleted as health.Suspected only after a longer silence.
	HeartbeatWindow clock.Micros
	// TermStartedAt is when this leader's term began. ResumedAt is when the leader last resumed
	// after a stall of the process or a lapse of its entitlement to lead. During those, no heartbeat
	// arrived or was answered, so a machine's silence before either time does not count.
	TermStartedAt, ResumedAt clock.Micros
	// DelegatedZones are the zones in which a controller can renew workers' leases while the
	// zone has no network; nil if there is no such zone.
	DelegatedZones map[string]bool

	models       models
	poolBackoffs map[Pool]*poolBackoff
	gangAttempts map[*allocation.Job]*gangAttempt // of gangs that the cloud could not hold
	buffers      buffers
}

// models holds what the scheduler has learned.
type models struct {
	runTimes       map[string]*forecast.RunTimeModel  // by class
	bootTimes      map[string]*forecast.BootTimeModel // by machine type
	spotDemand     forecast.DemandModel               // of jobs that may use spot machines
	onDemandDemand forecast.DemandModel               // of all other jobs
}

// buffers holds slices that each plan reuses. They are indexed by the machines' SortIndex.
type buffers struct {
	reserved     []allocation.Resources
	gangReserved []bool
	heldForGang  []bool
	busySeconds  []float64
}

// New returns a scheduler without observations.
func New(settings Settings, types []wire.MachineType, teams map[string]allocation.TeamQuota, zones []string) *Scheduler {
	scheduler := &Scheduler{
		Settings: settings, Teams: teams, Zones: zones,
		models:       models{runTimes: map[string]*forecast.RunTimeModel{}, bootTimes: map[string]*forecast.BootTimeModel{}},
		poolBackoffs: map[Pool]*poolBackoff{}, gangAttempts: map[*allocation.Job]*gangAttempt{},
	}
	scheduler.SetMachineTypes(types)
	return scheduler
}

// SetMachineTypes replaces the machine types that the cloud offers.
func (scheduler *Scheduler) SetMachineTypes(types []wire.MachineType) {
	scheduler.MachineTypes = map[string]wire.MachineType{}
	for _, machineType := range types {
		scheduler.MachineTypes[machineType.Name] = machineType
	}
}

// RunTimeModel returns the run-time model of a class, and creates it if there is none.
func (scheduler *Scheduler) RunTimeModel(class string) *forecast.RunTimeModel {
	model := scheduler.models.runTimes[class]
	if model == nil {
		model = &forecast.RunTimeModel{}
		scheduler.models.runTimes[class] = model
	}
	return model
}

// RunTimeClasses lists the classes for which RunTimeModel was called. Their models may have no
// observations.
func (scheduler *Scheduler) RunTimeClasses() []string {
	return slices.Sorted(maps.Keys(scheduler.models.runTimes))
}

// demandForJob returns the demand model that a job counts toward.
func (scheduler *Scheduler) demandForJob(job *allocation.Job) *forecast.DemandModel {
	return scheduler.demandForKind(machineKind(job.Spec.AllowsSpot))
}

// demandForKind returns the model of the demand for machines of a kind.
func (scheduler *Scheduler) demandForKind(kind machineKind) *forecast.DemandModel {
	if kind == spotMachines {
		return &scheduler.models.spotDemand
	}
	return &scheduler.models.onDemandDemand
}

// MachineCapacity is the capacity of machines of a type, or zero if the type is unknown.
func (scheduler *Scheduler) MachineCapacity(typeName string) allocation.Resources {
	machineType := scheduler.MachineTypes[typeName]
	capacity := allocation.NewCapacity(machineType.CPUs, machineType.GPUs, machineType.MemoryGB)
	capacity.ReportBytes = allocation.MachineReportBytes
	return capacity
}

// tasksPerMachine is how many tasks with the given need fit on an empty machine of a type.
func (scheduler *Scheduler) tasksPerMachine(need allocation.Resources, typeName string) int {
	return need.CountWithin(scheduler.MachineCapacity(typeName), math.MaxInt32)
}

// fractionalMachinesNeeded is how many machines a job would fill, not rounded, if they were of the
// allowed type that fits the most of its tasks on one machine.
func (scheduler *Scheduler) fractionalMachinesNeeded(job *allocation.Job) float64 {
	maxPerMachine := 0
	for typeName := range scheduler.MachineTypes {
		if job.Spec.MachineTypes == nil || slices.Contains(job.Spec.MachineTypes, typeName) {
			maxPerMachine = max(maxPerMachine, scheduler.tasksPerMachine(job.Request, typeName))
		}
	}
	return float64(len(job.Tasks)) / float64(max(maxPerMachine, 1))
}

// MachinesNeeded is fractionalMachinesNeeded rounded up, and at least 1: the number of machines that
// a job needs, r in the paper (4).
func (scheduler *Scheduler) MachinesNeeded(job *allocation.Job) int {
	return max(int(math.Ceil(scheduler.fractionalMachinesNeeded(job)-roundingMargin)), 1)
}

// ObserveArrival records the arrival of a job.
func (scheduler *Scheduler) ObserveArrival(job *allocation.Job, now clock.Micros) {
	demand := scheduler.demandForJob(job)
	if waitObjective, ok := scheduler.WaitObjectives[job.Spec.Class]; ok {
		demand.ObserveWaitObjective(waitObjective)
	}
	demand.ObserveArrival(now, scheduler.MachinesNeeded(job), scheduler.fractionalMachinesNeeded(job), &scheduler.Settings.Smoothing)
}

// ObserveTaskRun records the run time of a completed task.
func (scheduler *Scheduler) ObserveTaskRun(job *allocation.Job, seconds float64, now clock.Micros) {
	scheduler.RunTimeModel(job.Spec.Class).Observe(job.Spec.EstimatedRunSeconds, seconds, scheduler.Settings.Smoothing.RunTime)
	scheduler.demandForJob(job).ObserveTaskRun(seconds, &scheduler.Settings.Smoothing)
}

// ObserveJobRun records the mean run time of a job's tasks. screenDemand uses one run-time sample per
// job, as it does for arrivals: the tasks of one array are not independent samples, and a thousand of
// them from a few jobs would not fit any distribution.
func (scheduler *Scheduler) ObserveJobRun(job *allocation.Job, seconds float64, now clock.Micros) {
	scheduler.demandForJob(job).JobRunTimes.Add(now, seconds)
}

// bootTimeModel returns the boot-time model of a machine type, and creates it if there is none.
func (scheduler *Scheduler) bootTimeModel(typeName string) *forecast.BootTimeModel {
	model := scheduler.models.bootTimes[typeName]
	if model == nil {
		model = forecast.NewBootTimeModel()
		scheduler.models.bootTimes[typeName] = model
	}
	return model
}

// ObserveBoot records the time from a machine's creation to its first heartbeat.
func (scheduler *Scheduler) ObserveBoot(typeName string, bootTime clock.Micros) {
	scheduler.bootTimeModel(typeName).Observe(bootTime)
}

// RecentBootTimes returns the latest observed boot times of a type, to be handed to the next
// leader's RestoreBootTimes.
func (scheduler *Scheduler) RecentBootTimes(typeName string) []clock.Micros {
	return scheduler.models.bootTimes[typeName].Recent()
}

// RestoreBootTimes adopts the boot times of a type that an earlier leader observed, unless this
// scheduler has observations of its own. It ignores unknown types.
func (scheduler *Scheduler) RestoreBootTimes(typeName string, bootTimes []clock.Micros) {
	if _, ok := scheduler.MachineTypes[typeName]; ok {
		scheduler.bootTimeModel(typeName).Restore(bootTimes)
	}
}

// medianBootPercentile is the percentile of a type's boot times by which a machine is expected to
// have booted. A machine that takes longer than latestBootPercentile is no longer expected to come up.
const (
	medianBootPercentile = 50
	latestBootPercentile = 95
)

// BootTime is the given percentile, from 0 to 100, of the boot times of a type.
func (scheduler *Scheduler) BootTime(typeName string, percentile float64) clock.Micros {
	return scheduler.models.bootTimes[typeName].Percentile(percentile, clock.FromSeconds(scheduler.MachineTypes[typeName].BootSeconds))
}

// BootTimeout is how long a machine of a type may boot before it is deleted.
func (scheduler *Scheduler) BootTimeout(typeName string) clock.Micros {
	return 2*scheduler.BootTime(typeName, latestBootPercentile) + 2*clock.Second
}

// hasRecentHeartbeat reports whether a machine's last heartbeat is within HeartbeatWindow. The time
// before TermStartedAt and ResumedAt does not count as silence.
func (scheduler *Scheduler) hasRecentHeartbeat(machine *allocation.Machine, now clock.Micros) bool {
	return now-max(machine.LastHeartbeatAt, scheduler.TermStartedAt, scheduler.ResumedAt) <= scheduler.HeartbeatWindow
}

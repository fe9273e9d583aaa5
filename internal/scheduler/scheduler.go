// Package scheduler owns SNF-ICON: the order of waiting work, where it goes,
// what is rented and given back, the screen, the spare target. It is pure: it
// reads the ledger and returns decisions.
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

// Scheduler holds what is learnt.
type Scheduler struct {
	Settings     Settings
	MachineTypes map[string]wire.MachineType
	Teams        map[string]allocation.TeamQuota
	Zones        []string

	// CompletionObjectives are the times within which users expect jobs to be done, in seconds
	// by class, where a job has no deadline of its own.
	CompletionObjectives map[string]float64
	// HeartbeatWindow is how long ago a machine that can be heard may have reported last;
	// Since is when this leader took over, Awake since when it has been able to
	// hear.
	HeartbeatWindow, TermStartedAt, ResumedAt clock.Micros
	// DelegatedZones are the zones in which somebody can keep leases alive in a cut; nil
	// where nobody can anywhere.
	DelegatedZones map[string]bool
	// WaitObjectives are the shortest waits that users expect, in seconds by class.
	WaitObjectives map[string]float64

	runTimes       map[string]*forecast.RunTimeModel
	spotDemand     forecast.DemandModel
	ordinaryDemand forecast.DemandModel
	bootTimes      map[string]*forecast.BootTimeModel
	poolBackoffs   map[Pool]*poolBackoff

	// Memory that plans use again.
	reservedBuffer     []allocation.Resources
	busyBuffer         []float64
	gangReservedBuffer []bool
}

// New makes a planner that has learnt nothing.
func New(settings Settings, types []wire.MachineType, teams map[string]allocation.TeamQuota, zones []string) *Scheduler {
	scheduler := &Scheduler{
		Settings: settings, MachineTypes: map[string]wire.MachineType{}, Teams: teams, Zones: zones,
		runTimes: map[string]*forecast.RunTimeModel{}, bootTimes: map[string]*forecast.BootTimeModel{}, poolBackoffs: map[Pool]*poolBackoff{},
	}
	for _, machineType := range types {
		scheduler.MachineTypes[machineType.Name] = machineType
	}
	return scheduler
}

// RunTimeModel returns the run times of a class.
func (scheduler *Scheduler) RunTimeModel(name string) *forecast.RunTimeModel {
	model := scheduler.runTimes[name]
	if model == nil {
		model = &forecast.RunTimeModel{}
		scheduler.runTimes[name] = model
	}
	return model
}

// RunTimeClasses lists the classes of which run times are known.
func (scheduler *Scheduler) RunTimeClasses() []string {
	return slices.Sorted(maps.Keys(scheduler.runTimes))
}

func (scheduler *Scheduler) demandFor(job *allocation.Job) *forecast.DemandModel {
	return scheduler.demandOf(machineKind(job.Spec.AllowsSpot))
}

// demandOf returns the demand that a kind of machines serves.
func (scheduler *Scheduler) demandOf(kind machineKind) *forecast.DemandModel {
	if kind == spotMachines {
		return &scheduler.spotDemand
	}
	return &scheduler.ordinaryDemand
}

// MachineCapacity is what a machine of a type holds.
func (scheduler *Scheduler) MachineCapacity(typeName string) allocation.Resources {
	machineType := scheduler.MachineTypes[typeName]
	return allocation.NewResources(machineType.CPUs, machineType.GPUs, machineType.MemoryGB)
}

// tasksPerMachine is how many tasks of a job a machine of a type holds.
func (scheduler *Scheduler) tasksPerMachine(need allocation.Resources, typeName string) int {
	size := scheduler.MachineCapacity(typeName)
	n := math.MaxInt32
	for _, dimension := range [][2]int64{{need.MilliCPU, size.MilliCPU}, {need.MilliGPU, size.MilliGPU}, {need.MemoryMB, size.MemoryMB}} {
		if dimension[0] > 0 {
			n = min(n, int(dimension[1]/dimension[0]))
		}
	}
	return n
}

// machineShare is how much of machines a job takes in all, of the type that holds most
// of its tasks.
func (scheduler *Scheduler) machineShare(job *allocation.Job) float64 {
	maxPerMachine := 0
	for typeName := range scheduler.MachineTypes {
		if job.Spec.MachineTypes == nil || slices.Contains(job.Spec.MachineTypes, typeName) {
			maxPerMachine = max(maxPerMachine, scheduler.tasksPerMachine(job.Request, typeName))
		}
	}
	return float64(len(job.Tasks)) / float64(max(maxPerMachine, 1))
}

// MachinesNeeded is a job's need in machines of the type that holds most of it.
func (scheduler *Scheduler) MachinesNeeded(job *allocation.Job) int {
	return max(int(math.Ceil(scheduler.machineShare(job)-1e-9)), 1)
}

// ObserveArrival takes a new job.
func (scheduler *Scheduler) ObserveArrival(job *allocation.Job, now clock.Micros) {
	demand := scheduler.demandFor(job)
	if waitObjective, ok := scheduler.WaitObjectives[job.Spec.Class]; ok {
		demand.ObserveWaitObjective(waitObjective)
	}
	demand.ObserveArrival(now, scheduler.MachinesNeeded(job), scheduler.machineShare(job), &scheduler.Settings.Smoothing)
}

// ObserveTaskRun takes a task's run time.
func (scheduler *Scheduler) ObserveTaskRun(job *allocation.Job, seconds float64, now clock.Micros) {
	scheduler.RunTimeModel(job.Spec.Class).Observe(job.Spec.EstimatedRunSeconds, seconds, scheduler.Settings.Smoothing.RunTime)
	scheduler.demandFor(job).ObserveTaskRun(seconds, &scheduler.Settings.Smoothing)
}

// ObserveJobRun takes a job's run time, the mean of its tasks'. The screen rests on jobs, as
// arrivals do: the tasks of an array are no draws of their own, and a thousand of
// them from a few jobs never fit anything.
func (scheduler *Scheduler) ObserveJobRun(job *allocation.Job, seconds float64, now clock.Micros) {
	scheduler.demandFor(job).JobRunTimes.Add(now, seconds)
}

func (scheduler *Scheduler) bootTimeModel(typeName string) *forecast.BootTimeModel {
	model := scheduler.bootTimes[typeName]
	if model == nil {
		model = forecast.NewBootTimeModel()
		scheduler.bootTimes[typeName] = model
	}
	return model
}

// ObserveBoot takes the time that a machine took to report.
func (scheduler *Scheduler) ObserveBoot(typeName string, bootTime clock.Micros) {
	scheduler.bootTimeModel(typeName).Observe(bootTime)
}

// RecentBootTimes are the last boots of a type, for another leader to go on with.
func (scheduler *Scheduler) RecentBootTimes(typeName string) []clock.Micros {
	return scheduler.bootTimes[typeName].Recent()
}

// RestoreBootTimes takes the boots of a type that another leader has seen, unless some were
// seen here. Times that make no sense are left out.
func (scheduler *Scheduler) RestoreBootTimes(typeName string, bootTimes []clock.Micros) {
	if _, ok := scheduler.MachineTypes[typeName]; ok {
		scheduler.bootTimeModel(typeName).Restore(bootTimes)
	}
}

// medianBoot and latestBoot are the quantiles, in percent, by which a machine is expected
// to have booted, and past which it is not counted on any more.
const (
	medianBoot = 50
	latestBoot = 95
)

// BootTime is a quantile, in percent, of a type's boot time.
func (scheduler *Scheduler) BootTime(typeName string, quantile float64) clock.Micros {
	return scheduler.bootTimes[typeName].Quantile(quantile, clock.FromSeconds(scheduler.MachineTypes[typeName].BootSeconds))
}

// BootTimeout is how long a machine may boot before it is given up.
func (scheduler *Scheduler) BootTimeout(typeName string) clock.Micros {
	return 2*scheduler.BootTime(typeName, latestBoot) + 2*clock.Second
}

// hasRecentHeartbeat tells whether a machine has reported lately, as far as this leader could
// have heard it.
func (scheduler *Scheduler) hasRecentHeartbeat(machine *allocation.Machine, now clock.Micros) bool {
	return now-max(machine.LastHeartbeatAt, scheduler.TermStartedAt, scheduler.ResumedAt) <= scheduler.HeartbeatWindow
}

// SetMachineTypes takes what the cloud has on offer.
func (scheduler *Scheduler) SetMachineTypes(types []wire.MachineType) {
	scheduler.MachineTypes = map[string]wire.MachineType{}
	for _, machineType := range types {
		scheduler.MachineTypes[machineType.Name] = machineType
	}
}

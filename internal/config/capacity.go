package config

import (
	"fmt"
	"math"
)

// Shortfall is a limit of the deployment that is below what its fleet needs.
type Shortfall struct {
	// Field is the setting that gives the limit.
	Field string
	// Limit is the limit, Needs what a fleet of so many machines needs.
	Limit, Required float64
	Machines        int
	// Purpose says what it is needed for.
	Purpose string
}

// Deficit is by how much the limit falls short.
func (shortfall Shortfall) Deficit() float64 { return shortfall.Required - shortfall.Limit }

func (shortfall Shortfall) String() string {
	return fmt.Sprintf("%s: %g, and a fleet of %d machines needs %.4g (%.4g more): %s", shortfall.Field, shortfall.Limit, shortfall.Machines, shortfall.Required, shortfall.Deficit(), shortfall.Purpose)
}

// What a fleet costs a controller that leads it. docs/operations.md, "Limits", says
// where each comes from.
const (
	// socketsPerMachine: one for its reports, a sixth for users and commands.
	socketsPerMachine = 1 + 1.0/6
	// baseMemoryMB is what a process holds without machines, memoryKBPerMachine what each adds:
	// its connections, its tasks and the collector's slack.
	baseMemoryMB, memoryKBPerMachine = 20, 40
	// heartbeatCPUSeconds is the processor time of a report, from bytes to bytes, with its
	// system calls; heartbeatCPUShare is the part of the processor that reports may take.
	heartbeatCPUSeconds, heartbeatCPUShare = 150e-6, 0.5
	// leaderCloudShare and leaderStoreShare are the leader's parts of the two rates.
	leaderCloudShare, leaderStoreShare = 0.8, 0.5
	// fleetListSeconds is in what time the cloud's list has to be read, fleetScaleOutSeconds in what
	// time the whole fleet has to be rented.
	fleetListSeconds, fleetScaleOutSeconds = 10, 60
	// machinesPerListPage and machinesPerScaleOut are how many machines the cloud lists and rents at once.
	machinesPerListPage, machinesPerScaleOut = 500, 50
	// writesPerScaleOut is how often a rental's record is written.
	writesPerScaleOut = 2
)

// Shortfalls lists the limits that can't serve a fleet of so many machines.
func (platform *Platform) Shortfalls(machines int) []Shortfall {
	machineCount := float64(machines)
	deployment := &platform.Deployment
	scaleOuts := math.Ceil(machineCount / machinesPerScaleOut)
	effective := deployment.Store.Effective()
	candidates := []Shortfall{
		{"deployment.limits.max_sockets", float64(deployment.ProcessLimits.MaxSockets), math.Ceil(machineCount*socketsPerMachine) + reservedSockets, machines, "a connection for each worker, and some for users and commands"},
		{"deployment.limits.ram_mb", deployment.ProcessLimits.MemoryMB, math.Ceil(baseMemoryMB + machineCount*memoryKBPerMachine/1024), machines, "what a leader holds of each machine"},
		{"deployment.limits.cores", deployment.ProcessLimits.Cores, machineCount / deployment.Workers.HeartbeatIntervalSeconds * heartbeatCPUSeconds / heartbeatCPUShare, machines, "reports of all workers in half of the processor"},
		{"deployment.cloud.rps", deployment.Cloud.RPS, math.Max(math.Ceil(machineCount/machinesPerListPage)/fleetListSeconds, scaleOuts/fleetScaleOutSeconds) / leaderCloudShare, machines, "a list in 10 s and the whole fleet rented in 60 s, by a leader's part of the rate"},
		{"deployment.state.write_rps", effective.WriteRPS, writesPerScaleOut * scaleOuts / fleetScaleOutSeconds / leaderStoreShare, machines, "records of the whole fleet's rentals in 60 s, by a leader's part of the rate"},
	}
	var short []Shortfall
	for _, shortfall := range candidates {
		if shortfall.Limit < shortfall.Required {
			short = append(short, shortfall)
		}
	}
	return short
}

// CheckCompatibility finds what is wrong with the two files taken together.
func CheckCompatibility(platform *Platform, tuning Tuning) error {
	lease := platform.Deployment.Workers.LeaseSeconds
	return collectProblems([]check{
		{tuning.LeaderTTLS < lease, "leader_ttl_s", fmt.Sprintf("is not below deployment.workers.lease_s (%g): no leader could be replaced within a worker's lease", lease)},
	})
}

package config

import (
	"fmt"
	"math"

	"firwood.dev/firwood/wire"
)

// Shortfall is an error that reports a limit of the deployment which is too low for the planned
// fleet.
type Shortfall struct {
	// Field is the setting that gives the limit.
	Field string
	// Limit is the setting's value, and Required is the value that a fleet of Machines needs.
	Limit, Required float64
	// Machines is the number of machines in the fleet.
	Machines int
	// Purpose says why the fleet needs the required value.
	Purpose string
}

// Deficit returns the amount by which the limit is too low.
func (shortfall Shortfall) Deficit() float64 { return shortfall.Required - shortfall.Limit }

// Error returns the setting, its value, the required value and the purpose.
func (shortfall Shortfall) Error() string {
	return fmt.Sprintf("%s: %g, and a fleet of %d machines needs %.4g (%.4g more): %s",
		shortfall.Field, shortfall.Limit, shortfall.Machines, shortfall.Required, shortfall.Deficit(), shortfall.Purpose)
}

// The capacity that a leader needs for its fleet. docs/operations.md, section "Limits", explains how
// each number was obtained.
const (
	// socketsPerMachine is one connection for a worker's heartbeats, plus a sixth of a connection
	// for users and command requests.
	socketsPerMachine = 1 + 1.0/6
	// baseMemoryMB is the memory of a process without machines. memoryKBPerMachine is the memory
	// that each machine adds: its connections, its tasks and the garbage collector's slack.
	baseMemoryMB, memoryKBPerMachine = 20, 40
	// heartbeatCPUSeconds is the processor time of one heartbeat, including its system calls.
	// heartbeatCPUShare is the share of the processor that heartbeats may use.
	heartbeatCPUSeconds, heartbeatCPUShare = 150e-6, 0.5
	// leaderCloudShare and leaderStoreShare are the leader's shares of the cloud's request rate
	// and of the store's write rate.
	leaderCloudShare, leaderStoreShare = 0.8, 0.5
	// fleetListSeconds is the time within which the leader must be able to read the cloud's whole
	// list of machines. fleetScaleOutSeconds is the time within which it must be able to request
	// the whole fleet.
	fleetListSeconds, fleetScaleOutSeconds = 10, 60
	// writesPerScaleOut is how many times the record of a scale-out request is written.
	writesPerScaleOut = 2
)

// Shortfalls returns the limits that are too low for a fleet of the given number of machines.
func (platform *Platform) Shortfalls(machines int) []Shortfall {
	machineCount := float64(machines)
	deployment := &platform.Deployment
	scaleOutRequests := math.Ceil(machineCount / wire.MaxScaleOutCount)
	listPages := math.Ceil(machineCount / wire.MaxMachinesPerPage)
	heartbeatsPerSecond := machineCount / deployment.Workers.HeartbeatIntervalSeconds
	candidates := []Shortfall{
		{
			Field: "deployment.limits.max_sockets", Limit: float64(deployment.ProcessLimits.MaxSockets),
			Required: math.Ceil(machineCount*socketsPerMachine) + reservedSockets,
			Purpose:  "a connection for each worker, and some for users and commands",
		},
		{
			Field: "deployment.limits.ram_mb", Limit: deployment.ProcessLimits.MemoryMB,
			Required: math.Ceil(baseMemoryMB + machineCount*memoryKBPerMachine/1024),
			Purpose:  "what a leader holds of each machine",
		},
		{
			Field: "deployment.limits.cores", Limit: deployment.ProcessLimits.Cores,
			Required: heartbeatsPerSecond * heartbeatCPUSeconds / heartbeatCPUShare,
			Purpose:  "reports of all workers in half of the processor",
		},
		{
			Field: "deployment.cloud.rps", Limit: deployment.Cloud.RPS,
			Required: math.Max(listPages/fleetListSeconds, scaleOutRequests/fleetScaleOutSeconds) / leaderCloudShare,
			Purpose:  "a list in 10 s and the whole fleet rented in 60 s, by a leader's part of the rate",
		},
		{
			Field: "deployment.state.write_rps", Limit: deployment.Store.Effective().WriteRPS,
			Required: writesPerScaleOut * scaleOutRequests / fleetScaleOutSeconds / leaderStoreShare,
			Purpose:  "records of the whole fleet's rentals in 60 s, by a leader's part of the rate",
		},
	}
	var shortfalls []Shortfall
	for _, shortfall := range candidates {
		shortfall.Machines = machines
		if shortfall.Limit < shortfall.Required {
			shortfalls = append(shortfalls, shortfall)
		}
	}
	return shortfalls
}

// CheckCompatibility checks the constraints between the two settings files.
func CheckCompatibility(platform *Platform, tuning Tuning) error {
	lease := platform.Deployment.Workers.LeaseSeconds
	return collectProblems([]check{
		{tuning.LeaderTTLS < lease, "leader_ttl_s", fmt.Sprintf("is not below deployment.workers.lease_s (%g): no leader could be replaced within a worker's lease", lease)},
	})
}

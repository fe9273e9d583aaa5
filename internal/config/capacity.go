package config

import (
	"fmt"
	"math"
)

// Shortfall is a limit of the deployment that is below what its fleet needs.
type Shortfall struct {
	// Field is the setting that gives the limit.
	Field string
	// Has is the limit, Needs what a fleet of so many machines needs.
	Has, Needs float64
	Machines   int
	// Why says what it is needed for.
	Why string
}

// Missing is by how much the limit falls short.
func (s Shortfall) Missing() float64 { return s.Needs - s.Has }

func (s Shortfall) String() string {
	return fmt.Sprintf("%s: %g, and a fleet of %d machines needs %.4g (%.4g more): %s", s.Field, s.Has, s.Machines, s.Needs, s.Missing(), s.Why)
}

// What a fleet costs a controller that leads it. docs/operations.md, "Limits", says
// where each comes from.
const (
	// socketsPerMachine: one for its reports, a sixth for users and commands.
	socketsPerMachine = 1 + 1.0/6
	// emptyMB is what a process holds without machines, machineKB what each adds:
	// its connections, its tasks and the collector's slack.
	emptyMB, machineKB = 20, 40
	// reportSeconds is the processor time of a report, from bytes to bytes, with its
	// system calls; reportsPart is the part of the processor that reports may take.
	reportSeconds, reportsPart = 150e-6, 0.5
	// leaderCloudPart and leaderStatePart are the leader's parts of the two rates.
	leaderCloudPart, leaderStatePart = 0.8, 0.5
	// listSeconds is in what time the cloud's list has to be read, rentSeconds in what
	// time the whole fleet has to be rented.
	listSeconds, rentSeconds = 10, 60
	// listPage and rentalSize are how many machines the cloud lists and rents at once.
	listPage, rentalSize = 500, 50
	// writesPerRental is how often a rental's record is written.
	writesPerRental = 2
)

// Shortfalls lists the limits that can't serve a fleet of so many machines.
func (p *Platform) Shortfalls(machines int) []Shortfall {
	n := float64(machines)
	d := &p.Deployment
	rentals := math.Ceil(n / rentalSize)
	effective := d.State.Effective()
	all := []Shortfall{
		{"deployment.limits.max_sockets", float64(d.Limits.MaxSockets), math.Ceil(n*socketsPerMachine) + outsideSockets, machines, "a connection for each worker, and some for users and commands"},
		{"deployment.limits.ram_mb", d.Limits.RAMMB, math.Ceil(emptyMB + n*machineKB/1024), machines, "what a leader holds of each machine"},
		{"deployment.limits.cores", d.Limits.Cores, n / d.Workers.ReportS * reportSeconds / reportsPart, machines, "reports of all workers in half of the processor"},
		{"deployment.cloud.rps", d.Cloud.RPS, math.Max(math.Ceil(n/listPage)/listSeconds, rentals/rentSeconds) / leaderCloudPart, machines, "a list in 10 s and the whole fleet rented in 60 s, by a leader's part of the rate"},
		{"deployment.state.write_rps", effective.WriteRPS, writesPerRental * rentals / rentSeconds / leaderStatePart, machines, "records of the whole fleet's rentals in 60 s, by a leader's part of the rate"},
	}
	var short []Shortfall
	for _, s := range all {
		if s.Has < s.Needs {
			short = append(short, s)
		}
	}
	return short
}

// CheckTogether finds what is wrong with the two files taken together.
func CheckTogether(p *Platform, t Tuning) error {
	lease := p.Deployment.Workers.LeaseS
	return failed([]check{
		{t.LeaderTTLS < lease, "leader_ttl_s", fmt.Sprintf("is not below deployment.workers.lease_s (%g): no leader could be replaced within a worker's lease", lease)},
	})
}

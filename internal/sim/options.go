package sim

import (
	"flag"
	"log/slog"
	"slices"
	"time"

	"firwood.dev/firwood/internal/config"
)

// standbyInAllTests plays every test with replicas of the leader's allocation table.
var standbyInAllTests = flag.Bool("standby", false, "have controllers keep replicas of the leader's allocation table in every test")

// Options describe a deployment. What is not set has the default that setDefaults gives.
type Options struct {
	// Teams are the teams with their quotas.
	Teams []config.Team
	// TaskDuration is how long the first task of a job runs, TaskDurationStep by how much each
	// next one runs longer. Tasks of services run until they are stopped.
	TaskDuration, TaskDurationStep time.Duration
	// BootDuration is the time from a scale-out request to the machine's first heartbeat.
	BootDuration time.Duration
	Workers      WorkerTimes
	Limits       Limits
	Standby      StandbyOptions
	FinishedJobs FinishedJobOptions
	// Logger, if set, gets what controllers log.
	Logger *slog.Logger
}

// WorkerTimes are the times of the deployment that workers and controllers agree on.
type WorkerTimes struct {
	// LeaseTTL is how long a worker runs tasks without an answered heartbeat.
	LeaseTTL time.Duration
	// CancellationGrace is how long tasks may run on after the cancellation of their job was
	// confirmed.
	CancellationGrace time.Duration
	// HeartbeatInterval is the time between two heartbeats of a worker.
	HeartbeatInterval time.Duration
}

// Limits bound what controllers may use.
type Limits struct {
	// WriteRPS is the store's rate of writes per second, CloudRPS the cloud's of requests.
	WriteRPS, CloudRPS float64
	// MaxSockets is the limit of connections of a controller.
	MaxSockets int
	// UpcomingStore are limits of the store that are announced, nil if there are none.
	UpcomingStore *config.UpcomingStoreLimits
}

// StandbyOptions say who keeps replicas of the leader's allocation table.
type StandbyOptions struct {
	// Enabled has every controller keep a replica, apart from the members ExcludedMembers.
	Enabled         bool
	ExcludedMembers []string
}

// isEnabledFor reports whether a member keeps a replica.
func (standby StandbyOptions) isEnabledFor(member string) bool {
	return standby.Enabled && !slices.Contains(standby.ExcludedMembers, member)
}

// FinishedJobOptions say what controllers do with finished jobs.
type FinishedJobOptions struct {
	// CachedCount, if set, is how many finished jobs a controller caches.
	CachedCount int
	// ArchiveAfter, if set, is after how long finished jobs are archived. The members
	// NonArchivingMembers move them back when they lead.
	ArchiveAfter        time.Duration
	NonArchivingMembers []string
}

// archiveDelayFor is after how long a member archives finished jobs, 0 if it does not.
func (finished FinishedJobOptions) archiveDelayFor(member string) time.Duration {
	if slices.Contains(finished.NonArchivingMembers, member) {
		return 0
	}
	return finished.ArchiveAfter
}

func (options *Options) setDefaults() {
	if options.Teams == nil {
		options.Teams = []config.Team{{Name: "a"}, {Name: "b", MaxCPUs: 16}}
	}
	setIfZero(&options.TaskDuration, 20*time.Second)
	setIfZero(&options.BootDuration, 2*time.Second)
	setIfZero(&options.Workers.LeaseTTL, 36*time.Second)
	setIfZero(&options.Workers.CancellationGrace, 66*time.Second)
	setIfZero(&options.Workers.HeartbeatInterval, 3*time.Second)
	setIfZero(&options.Limits.WriteRPS, 80)
	setIfZero(&options.Limits.CloudRPS, 10)
	setIfZero(&options.Limits.MaxSockets, 900)
	options.Standby.Enabled = options.Standby.Enabled || *standbyInAllTests
}

// setIfZero sets a setting that is not set.
func setIfZero[T comparable](setting *T, value T) {
	var zero T
	if *setting == zero {
		*setting = value
	}
}

package sim

import (
	"flag"
	"log/slog"
	"slices"
	"time"

	"firwood.dev/firwood/internal/config"
)

// standbyInAllTests enables replicas of the leader's allocation table in every test.
var standbyInAllTests = flag.Bool("standby", false, "have controllers keep replicas of the leader's allocation table in every test")

// Options describe a deployment. setDefaults sets fields that are zero to their defaults.
type Options struct {
	// Teams are the teams with their quotas.
	Teams []config.Team
	// TaskDuration is how long the first task of a job runs. Each further task runs
	// TaskDurationStep longer than the one before it. Tasks of services run until they are stopped.
	TaskDuration, TaskDurationStep time.Duration
	// BootDuration is the time from a scale-out request to the machine's first heartbeat.
	BootDuration time.Duration
	// MachineCPUs is the number of CPUs of each machine.
	MachineCPUs  float64
	Workers      WorkerTimes
	Limits       Limits
	Standby      StandbyOptions
	FinishedJobs FinishedJobOptions
	// Logger, if set, receives the controllers' logs.
	Logger *slog.Logger
}

// WorkerTimes are the durations that workers and controllers agree on.
type WorkerTimes struct {
	// LeaseTTL is how long a worker runs tasks without a reply to its heartbeats.
	LeaseTTL time.Duration
	// CancellationGrace is how long tasks may keep running after the cancellation of their job was
	// confirmed.
	CancellationGrace time.Duration
	// HeartbeatInterval is the time between two heartbeats of a worker.
	HeartbeatInterval time.Duration
}

// Limits bound the controllers' use of services and connections.
type Limits struct {
	// WriteRPS is the largest number of writes per second to the store, CloudRPS of requests per
	// second to the cloud.
	WriteRPS, CloudRPS float64
	// MaxSockets is the largest number of connections of a controller.
	MaxSockets int
	// UpcomingStore are the announced future limits of the store, or nil if none are announced.
	UpcomingStore *config.UpcomingStoreLimits
}

// StandbyOptions say which controllers keep replicas of the leader's allocation table.
type StandbyOptions struct {
	// Enabled makes every controller keep a replica, except for the ExcludedMembers.
	Enabled         bool
	ExcludedMembers []string
}

// isEnabledFor reports whether a member keeps a replica.
func (standby StandbyOptions) isEnabledFor(member string) bool {
	return standby.Enabled && !slices.Contains(standby.ExcludedMembers, member)
}

// FinishedJobOptions say what controllers do with finished jobs.
type FinishedJobOptions struct {
	// CachedCount is how many finished jobs a controller caches. If it is 0, the controller derives
	// the number from its memory limit.
	CachedCount int
	// ArchiveAfter is the age at which finished jobs are archived, or 0 if they are not archived.
	// The NonArchivingMembers do not archive jobs, and move archived jobs back when they lead.
	ArchiveAfter        time.Duration
	NonArchivingMembers []string
}

// archiveDelayFor returns the age at which a member archives finished jobs, or 0 if it does not.
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
	setIfZero(&options.MachineCPUs, 8)
	setIfZero(&options.Workers.LeaseTTL, 36*time.Second)
	setIfZero(&options.Workers.CancellationGrace, 66*time.Second)
	setIfZero(&options.Workers.HeartbeatInterval, 3*time.Second)
	setIfZero(&options.Limits.WriteRPS, 80)
	setIfZero(&options.Limits.CloudRPS, 10)
	setIfZero(&options.Limits.MaxSockets, 900)
	options.Standby.Enabled = options.Standby.Enabled || *standbyInAllTests
}

// setIfZero sets a setting to a value if the setting is zero.
func setIfZero[T comparable](setting *T, value T) {
	var zero T
	if *setting == zero {
		*setting = value
	}
}

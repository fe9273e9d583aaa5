package leader

import (
	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/config"
	"firwood.dev/firwood/internal/delegation"
	"firwood.dev/firwood/internal/health"
	"firwood.dev/firwood/internal/records"
	"firwood.dev/firwood/internal/staleness"
)

// Settings are the values derived from the configuration once, when the process starts.
type Settings struct {
	Teams       map[string]allocation.TeamQuota // by name
	TasksPerKey int                             // the number of tasks in one progress key
	Staleness   staleness.Bounds                // how old a view a leader may still act on
	Delegation  delegation.Config
	Timing      health.Timing // how old a machine's last heartbeat may be
	LeaderTTL   clock.Micros  // the TTL of the leader's lock
}

// NewSettings derives the settings from the configuration and the tuning file.
func NewSettings(cfg *config.Platform, tuning *config.Tuning) Settings {
	deployment := &cfg.Deployment
	workers := &deployment.Workers
	ttl := leaderTTL(cfg, tuning.LeaderTTLS)
	cancelTimeout, leaseTTL := clock.FromSeconds(workers.CancelTimeoutSeconds), clock.FromSeconds(workers.LeaseSeconds)
	return Settings{
		Teams: teamQuotas(deployment.Teams), TasksPerKey: records.TasksPerProgressKey(deployment.Store.MaxValueKB),
		Staleness: staleness.NewBounds(cancelTimeout, leaseTTL, ttl), Delegation: newDelegationConfig(cfg, cancelTimeout, leaseTTL),
		Timing: health.NewTiming(workers.HeartbeatIntervalSeconds), LeaderTTL: ttl,
	}
}

// minLeaderTTL and maxLeaderTTL bound the TTL of the leader's lock if the tuning file sets none.
const minLeaderTTL, maxLeaderTTL = 3 * clock.Second, 6 * clock.Second

// leaderTTL returns the TTL of the leader's lock, which is a sixth of a worker's lease, within bounds,
// unless the tuning file sets it. The lock's expiry, the election and the first reply to a heartbeat must
// all fit into a worker's lease, and a leader that is cut off or stalled is replaced only when its lock
// expires.
func leaderTTL(cfg *config.Platform, tunedSeconds float64) clock.Micros {
	if ttl := clock.FromSeconds(tunedSeconds); ttl != 0 {
		return ttl
	}
	return min(max(clock.FromSeconds(cfg.Deployment.Workers.LeaseSeconds)/6, minLeaderTTL), maxLeaderTTL)
}

// teamQuotas returns the teams' quotas by name.
func teamQuotas(teams []config.Team) map[string]allocation.TeamQuota {
	quotas := map[string]allocation.TeamQuota{}
	for _, team := range teams {
		guaranteed := allocation.NewCapacity(team.GuaranteedCPUs, team.GuaranteedGPUs, 0)
		limit := allocation.NewCapacity(team.MaxCPUs, team.MaxGPUs, 0)
		quotas[team.Name] = allocation.TeamQuota{
			GuaranteedMicroCPU: guaranteed.MicroCPU, GuaranteedMicroGPU: guaranteed.MicroGPU,
			MaxMicroCPU: quotaLimit(team.MaxCPUs, limit.MicroCPU), MaxMicroGPU: quotaLimit(team.MaxGPUs, limit.MicroGPU),
		}
	}
	return quotas
}

// quotaLimit returns a limit in millionths, given the configured one and that rounded down. One that is rounded to 0 is still
// a limit, while 0 means that there is none.
func quotaLimit(configured float64, rounded int64) int64 {
	if configured > 0 {
		return max(rounded, 1)
	}
	return 0
}

// newDelegationConfig returns the delegation settings for workers that may try every other member before
// they come back to this one. A worker waits one second before each other member and tries it for four
// seconds. If there is only one zone, no partition leaves a worker with a single member: the other members
// reply at once, and grants only bridge an outage of the store.
func newDelegationConfig(cfg *config.Platform, cancelTimeout, leaseTTL clock.Micros) delegation.Config {
	attemptTime := 5 * clock.Second
	if len(cfg.Deployment.Zones) == 1 {
		attemptTime = clock.Second
	}
	roundTrip := clock.FromSeconds(1.25*cfg.Deployment.Workers.HeartbeatIntervalSeconds) + clock.Second/2 + clock.Micros(len(cfg.Peers))*attemptTime
	return delegation.NewConfig(cancelTimeout, leaseTTL, 3*HeartbeatInterval, roundTrip)
}

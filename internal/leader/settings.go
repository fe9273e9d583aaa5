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

// Settings are derived from the configuration once, at the start of the process.
type Settings struct {
	Teams       map[string]allocation.TeamQuota // by name
	TasksPerKey int                             // tasks in one progress key
	Staleness   staleness.Bounds                // what a leader may do on an old view
	Delegation  delegation.Config
	Timing      health.Timing // how old a machine's last heartbeat may be
	LeaderTTL   clock.Micros  // of the leader's lock
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

// minLeaderTTL and maxLeaderTTL bound the leader lock's TTL where the tuning sets none.
const minLeaderTTL, maxLeaderTTL = 3 * clock.Second, 6 * clock.Second

// leaderTTL is the TTL of the leader's lock. Its expiry, the election and the first answered
// heartbeat must all be inside a worker's lease, and a leader that is cut off or stalled is
// missed for as long as the lock lasts: so it is a sixth of that lease, within bounds.
func leaderTTL(cfg *config.Platform, tunedSeconds float64) clock.Micros {
	if ttl := clock.FromSeconds(tunedSeconds); ttl != 0 {
		return ttl
	}
	return min(max(clock.FromSeconds(cfg.Deployment.Workers.LeaseSeconds)/6, minLeaderTTL), maxLeaderTTL)
}

// teamQuotas are the teams' quotas by name.
func teamQuotas(teams []config.Team) map[string]allocation.TeamQuota {
	quotas := map[string]allocation.TeamQuota{}
	for _, team := range teams {
		guaranteed := allocation.NewResources(team.GuaranteedCPUs, team.GuaranteedGPUs, 0)
		limit := allocation.NewResources(team.MaxCPUs, team.MaxGPUs, 0)
		quotas[team.Name] = allocation.TeamQuota{
			GuaranteedMilliCPU: guaranteed.MilliCPU, GuaranteedMilliGPU: guaranteed.MilliGPU, MaxMilliCPU: limit.MilliCPU, MaxMilliGPU: limit.MilliGPU,
		}
	}
	return quotas
}

// newDelegationConfig is the delegation for workers that may take a whole round over the
// members before they come back to this one. A worker waits a second before each other member
// and tries it for four seconds. With one zone for all there is no cut that leaves it with
// one member alone: the others answer at once, and what grants bridge is an outage of the store.
func newDelegationConfig(cfg *config.Platform, cancelTimeout, leaseTTL clock.Micros) delegation.Config {
	attemptTime := 5 * clock.Second
	if len(cfg.Deployment.Zones) == 1 {
		attemptTime = clock.Second
	}
	roundTrip := clock.FromSeconds(1.25*cfg.Deployment.Workers.HeartbeatIntervalSeconds) + clock.Second/2 + clock.Micros(len(cfg.Peers))*attemptTime
	return delegation.NewConfig(cancelTimeout, leaseTTL, 3*HeartbeatInterval, roundTrip)
}

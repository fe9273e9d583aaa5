// Package config owns the two settings files: the platform's JSON, which says
// what the deployment is, and the operators' YAML, which says how firwood is
// to behave in it. Both are checked whole before anything is bound.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
)

// Platform is the file that the platform hands over. Unknown fields are
// ignored: new ones may come.
type Platform struct {
	Member            string           `json:"member"`
	Location          string           `json:"location"`
	ListenAddress     string           `json:"serve_on"`
	PeerListenAddress string           `json:"peer_bind"`
	Peers             []Peer           `json:"others"`
	External          ExternalServices `json:"outside"`
	Deployment        Deployment       `json:"deployment"`
}

// Peer is another controller.
type Peer struct {
	Member   string `json:"member"`
	Location string `json:"location"`
	Address  string `json:"address"`
}

// ExternalServices holds the addresses of the outside services.
type ExternalServices struct {
	CloudAddress string `json:"cloud"`
	StoreAddress string `json:"state"`
}

// Deployment is what all controllers share.
type Deployment struct {
	ControllerCount  int           `json:"nodes"`
	Zones            []string      `json:"zones"`
	Teams            []Team        `json:"teams"`
	Objectives       []Objective   `json:"objectives"`
	Workers          WorkerTimings `json:"workers"`
	Store            StoreLimits   `json:"state"`
	Cloud            Cloud         `json:"cloud"`
	ProcessLimits    ProcessLimits `json:"limits"`
	ClockErrorMillis float64       `json:"clock_error_ms"`
}

// Team is a team's guarantee and limit; 0 means none.
type Team struct {
	Name           string  `json:"name"`
	GuaranteedCPUs float64 `json:"cpus"`
	MaxCPUs        float64 `json:"cpus_max"`
	GuaranteedGPUs float64 `json:"gpus"`
	MaxGPUs        float64 `json:"gpus_max"`
}

// Objective is an aim for a class of jobs.
type Objective struct {
	Kind           string  `json:"kind"`
	Class          string  `json:"class"`
	TargetSeconds  float64 `json:"within_s"`
	TargetFraction float64 `json:"share"`
}

// WorkerTimings holds the workers' times.
type WorkerTimings struct {
	HeartbeatIntervalSeconds float64 `json:"report_s"`
	LeaseSeconds             float64 `json:"lease_s"`
	GangStartTimeoutSeconds  float64 `json:"gang_wait_s"`
	GangPeerTimeoutSeconds   float64 `json:"gang_peer_s"`
	CancelTimeoutSeconds     float64 `json:"cancel_s"`
}

// StoreLimits holds the state service's limits.
type StoreLimits struct {
	RPS               float64 `json:"rps"`
	WriteRPS          float64 `json:"write_rps"`
	MaxValueKB        float64 `json:"value_kb"`
	MaxTransactionOps int     `json:"txn_ops"`
	// Upcoming, if not nil, are limits that take force at some moment, unannounced.
	Upcoming *UpcomingStoreLimits `json:"next"`
}

// UpcomingStoreLimits holds the state service's limits to come; one that is 0 stays.
type UpcomingStoreLimits struct {
	WriteRPS          float64 `json:"write_rps"`
	MaxValueKB        float64 `json:"value_kb"`
	MaxTransactionOps int     `json:"txn_ops"`
}

// Effective are the limits to keep to: whatever is written fits those in force and
// those to come.
func (limits StoreLimits) Effective() StoreLimits {
	if limits.Upcoming == nil {
		return limits
	}
	if limits.Upcoming.WriteRPS > 0 {
		limits.WriteRPS = min(limits.WriteRPS, limits.Upcoming.WriteRPS)
	}
	if limits.Upcoming.MaxValueKB > 0 {
		limits.MaxValueKB = min(limits.MaxValueKB, limits.Upcoming.MaxValueKB)
	}
	if limits.Upcoming.MaxTransactionOps > 0 {
		limits.MaxTransactionOps = min(limits.MaxTransactionOps, limits.Upcoming.MaxTransactionOps)
	}
	limits.Upcoming = nil
	return limits
}

// Cloud holds the cloud's limits.
type Cloud struct {
	RPS            float64 `json:"rps"`
	ListLagSeconds float64 `json:"list_lag_s"`
}

// ProcessLimits are the process's own.
type ProcessLimits struct {
	Cores      float64 `json:"cores"`
	MemoryMB   float64 `json:"ram_mb"`
	MaxSockets int     `json:"max_sockets"`
}

// ConnectionLimit is how many connections workers, users, probes, other controllers and
// direct messages may have together; what is left of the limit is for calls of the
// state service and the cloud, for the listeners, and for connections that are
// being closed.
func (platform *Platform) ConnectionLimit() int {
	limit := platform.Deployment.ProcessLimits.MaxSockets
	return limit - min(reservedSockets, limit/2)
}

// reservedSockets is the part kept for everything else.
const reservedSockets = 64

// LoadPlatform reads and checks the platform's file.
func LoadPlatform(path string) (*Platform, error) {
	data, err := readFile(path)
	if err != nil {
		return nil, err
	}
	platform, err := ParsePlatform(data)
	if err != nil {
		return nil, withFilePath(path, err)
	}
	return platform, nil
}

// ParsePlatform checks the platform's settings; errors name the field.
func ParsePlatform(data []byte) (*Platform, error) {
	platform := &Platform{}
	if err := json.Unmarshal(data, platform); err != nil {
		var typeError *json.UnmarshalTypeError
		if errors.As(err, &typeError) {
			return nil, fmt.Errorf("%s: a %s where %s is expected", typeError.Field, typeError.Value, typeError.Type)
		}
		return nil, fmt.Errorf("not valid JSON: %w", err)
	}
	if problems := collectProblems(platform.checks()); problems != nil {
		return nil, problems
	}
	return platform, nil
}

// checks are what must hold of the platform's settings, in the order of reports.
func (platform *Platform) checks() []check {
	checks := []check{
		{platform.Member != "", "member", "is missing"},
		checkAddrPort("serve_on", platform.ListenAddress),
		checkAddrPort("peer_bind", platform.PeerListenAddress),
		checkAddrPort("outside.cloud", platform.External.CloudAddress),
		checkAddrPort("outside.state", platform.External.StoreAddress),
	}
	return slices.Concat(checks, platform.Deployment.checks(), platform.peerChecks(), platform.Deployment.teamChecks())
}

func (deployment *Deployment) checks() []check {
	zones := []check{
		{len(deployment.Zones) > 0, "deployment.zones", "is empty"},
		{hasDistinctNames(deployment.Zones), "deployment.zones", "names a zone twice, or one without a name"},
	}
	cloud := []check{
		checkPositive("deployment.cloud.rps", deployment.Cloud.RPS),
		checkNonNegative("deployment.cloud.list_lag_s", deployment.Cloud.ListLagSeconds),
	}
	return slices.Concat(zones, deployment.Workers.checks(), deployment.Store.checks(), cloud, deployment.ProcessLimits.checks(),
		[]check{checkNonNegative("deployment.clock_error_ms", deployment.ClockErrorMillis)})
}

func (timings *WorkerTimings) checks() []check {
	isLeaseLongEnough := timings.LeaseSeconds > timings.HeartbeatIntervalSeconds && isPositive(timings.LeaseSeconds)
	return []check{
		checkPositive("deployment.workers.report_s", timings.HeartbeatIntervalSeconds),
		{isLeaseLongEnough, "deployment.workers.lease_s", "is not above report_s"},
		checkPositive("deployment.workers.gang_wait_s", timings.GangStartTimeoutSeconds),
		checkPositive("deployment.workers.gang_peer_s", timings.GangPeerTimeoutSeconds),
		checkPositive("deployment.workers.cancel_s", timings.CancelTimeoutSeconds),
	}
}

func (limits *StoreLimits) checks() []check {
	checks := []check{
		checkPositive("deployment.state.rps", limits.RPS),
		checkPositive("deployment.state.write_rps", limits.WriteRPS),
		{isValidMaxValue(limits.MaxValueKB), "deployment.state.value_kb", "is below 1"},
		{limits.MaxTransactionOps >= 1, "deployment.state.txn_ops", "is below 1"},
	}
	if limits.Upcoming != nil {
		checks = append(checks, limits.Upcoming.checks()...)
	}
	return checks
}

func (limits *UpcomingStoreLimits) checks() []check {
	return []check{
		checkNonNegative("deployment.state.next.write_rps", limits.WriteRPS),
		{limits.MaxValueKB == 0 || isValidMaxValue(limits.MaxValueKB), "deployment.state.next.value_kb", "is below 1"},
		{limits.MaxTransactionOps >= 0, "deployment.state.next.txn_ops", "is below 0"},
	}
}

func isValidMaxValue(kilobytes float64) bool { return kilobytes >= 1 && isPositive(kilobytes) }

// The least limits of the process that a controller runs with at all.
const (
	minMemoryMB = 32
	minSockets  = 32
)

func (limits *ProcessLimits) checks() []check {
	return []check{
		checkPositive("deployment.limits.cores", limits.Cores),
		{limits.MemoryMB >= minMemoryMB && isPositive(limits.MemoryMB), "deployment.limits.ram_mb", "is below 32"},
		{limits.MaxSockets >= minSockets, "deployment.limits.max_sockets", "is below 32"},
	}
}

func (platform *Platform) peerChecks() []check {
	var checks []check
	members := map[string]bool{platform.Member: true}
	for i, peer := range platform.Peers {
		field := fmt.Sprintf("others[%d]", i)
		checks = append(checks, checkUnique(field+".member", peer.Member, members), checkAddrPort(field+".address", peer.Address))
	}
	return checks
}

func (deployment *Deployment) teamChecks() []check {
	var checks []check
	names := map[string]bool{}
	for i, team := range deployment.Teams {
		field := fmt.Sprintf("deployment.teams[%d]", i)
		checks = append(checks, checkUnique(field+".name", team.Name, names),
			check{isNonNegative(team.GuaranteedCPUs) && isNonNegative(team.GuaranteedGPUs), field, "has a guarantee below 0"},
			check{isNonNegative(team.MaxCPUs) && isNonNegative(team.MaxGPUs), field, "has a limit below 0"})
	}
	return checks
}

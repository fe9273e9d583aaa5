// Package config reads and checks the two settings files: the platform's JSON file, which describes
// the deployment, and the operators' YAML file, which tunes firwood's behavior in that deployment.
// All errors in both files are reported together, before a controller listens.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
)

// Platform holds the settings of the platform's file (DEPLOY). Unknown fields are ignored, since the
// platform may add fields.
type Platform struct {
	Member string `json:"member"`
	// Location is the controller's zone.
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

// ExternalServices holds the addresses of the cloud and the key-value store, as IP:port.
type ExternalServices struct {
	CloudAddress string `json:"cloud"`
	StoreAddress string `json:"state"`
}

// Deployment holds the settings that are the same for all controllers.
type Deployment struct {
	// ControllerCount is not used; the number of controllers follows from Platform.Peers.
	ControllerCount int           `json:"nodes"`
	Zones           []string      `json:"zones"`
	Teams           []Team        `json:"teams"`
	Objectives      []Objective   `json:"objectives"`
	Workers         WorkerTimings `json:"workers"`
	Store           StoreLimits   `json:"state"`
	Cloud           Cloud         `json:"cloud"`
	ProcessLimits   ProcessLimits `json:"limits"`
	// ClockErrorMillis bounds the difference between a process's wall-clock time and the true time.
	ClockErrorMillis float64 `json:"clock_error_ms"`
}

// Team holds a team's quota: its guarantees and its limits. A guarantee of 0 means no guarantee, and a
// limit of 0 means no limit.
type Team struct {
	Name           string  `json:"name"`
	GuaranteedCPUs float64 `json:"cpus"`
	MaxCPUs        float64 `json:"cpus_max"`
	GuaranteedGPUs float64 `json:"gpus"`
	MaxGPUs        float64 `json:"gpus_max"`
}

// Objective is a service level objective of a class of jobs.
type Objective struct {
	Kind          string  `json:"kind"`
	Class         string  `json:"class"`
	TargetSeconds float64 `json:"within_s"`
	// TargetFraction is not used.
	TargetFraction float64 `json:"share"`
}

// WorkerTimings holds the workers' intervals and timeouts (PROTOCOL, "Workers -> controller nodes").
type WorkerTimings struct {
	HeartbeatIntervalSeconds float64 `json:"report_s"`
	LeaseSeconds             float64 `json:"lease_s"`
	// GangStartTimeoutSeconds and GangPeerTimeoutSeconds are not used; workers enforce them.
	GangStartTimeoutSeconds float64 `json:"gang_wait_s"`
	GangPeerTimeoutSeconds  float64 `json:"gang_peer_s"`
	// CancelTimeoutSeconds is the time within which all tasks of a cancelled job must have ended.
	CancelTimeoutSeconds float64 `json:"cancel_s"`
}

// StoreLimits holds the key-value store's limits for all controllers together (PROTOCOL,
// "Controller nodes -> state service").
type StoreLimits struct {
	// RPS is the limit of requests per second, and WriteRPS the limit of puts and deletes per second.
	RPS               float64 `json:"rps"`
	WriteRPS          float64 `json:"write_rps"`
	MaxValueKB        float64 `json:"value_kb"`
	MaxTransactionOps int     `json:"txn_ops"`
	// Upcoming holds limits that will apply from an unknown time on, without notice, or is nil if
	// there are none. See Effective.
	Upcoming *UpcomingStoreLimits `json:"next"`
}

// UpcomingStoreLimits holds the key-value store's future limits. A limit of 0 means that it doesn't
// change.
type UpcomingStoreLimits struct {
	WriteRPS          float64 `json:"write_rps"`
	MaxValueKB        float64 `json:"value_kb"`
	MaxTransactionOps int     `json:"txn_ops"`
}

// Effective returns the stricter of the current and the upcoming limits. Every write must satisfy
// both, since the store does not announce when the upcoming limits begin to apply.
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

// Cloud holds the cloud's limit of requests per second for all controllers together, and the usual lag
// of its list of machines. At times the list lags up to twice as long (PROTOCOL, GET /hosts).
type Cloud struct {
	RPS            float64 `json:"rps"`
	ListLagSeconds float64 `json:"list_lag_s"`
}

// ProcessLimits holds the resource limits of a controller's process.
type ProcessLimits struct {
	Cores      float64 `json:"cores"`
	MemoryMB   float64 `json:"ram_mb"`
	MaxSockets int     `json:"max_sockets"`
}

// ConnectionLimit returns how many connections workers, users, probes, other controllers and command
// requests may use together. The remaining reservedSockets, or half of the sockets if there are fewer
// than twice that number, are kept for the key-value store, the cloud, the listeners and connections
// that are being closed.
func (platform *Platform) ConnectionLimit() int {
	limit := platform.Deployment.ProcessLimits.MaxSockets
	return limit - min(reservedSockets, limit/2)
}

// reservedSockets is how many sockets ConnectionLimit leaves for other uses.
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

// ParsePlatform decodes and checks the platform's settings. An error names the field that it concerns.
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

// checks returns the checks of the platform's settings, in the order in which errors are reported.
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

// The lowest limits of the process with which a controller can run.
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

// Package config owns the two settings files: the platform's JSON, which says
// what the deployment is, and the operators' YAML, which says how firwood is
// to behave in it. Both are checked whole before anything is bound.
package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"os"

	"github.com/goccy/go-yaml"
)

// Platform is the file that the platform hands over. Unknown fields are
// ignored: new ones may come.
type Platform struct {
	Member     string     `json:"member"`
	Location   string     `json:"location"`
	Serve      string     `json:"serve_on"`
	PeerBind   string     `json:"peer_bind"`
	Others     []Other    `json:"others"`
	Outside    Outside    `json:"outside"`
	Deployment Deployment `json:"deployment"`
}

// Other is another controller.
type Other struct {
	Member   string `json:"member"`
	Location string `json:"location"`
	Address  string `json:"address"`
}

// Outside holds the addresses of the outside services.
type Outside struct {
	Cloud string `json:"cloud"`
	State string `json:"state"`
}

// Deployment is what all controllers share.
type Deployment struct {
	Nodes        int         `json:"nodes"`
	Zones        []string    `json:"zones"`
	Teams        []Team      `json:"teams"`
	Objectives   []Objective `json:"objectives"`
	Workers      Workers     `json:"workers"`
	State        State       `json:"state"`
	Cloud        Cloud       `json:"cloud"`
	Limits       Limits      `json:"limits"`
	ClockErrorMs float64     `json:"clock_error_ms"`
}

// Team is a team's guarantee and limit; 0 means none.
type Team struct {
	Name    string  `json:"name"`
	CPUs    float64 `json:"cpus"`
	CPUsMax float64 `json:"cpus_max"`
	GPUs    float64 `json:"gpus"`
	GPUsMax float64 `json:"gpus_max"`
}

// Objective is an aim for a class of jobs.
type Objective struct {
	Kind    string  `json:"kind"`
	Class   string  `json:"class"`
	WithinS float64 `json:"within_s"`
	Share   float64 `json:"share"`
}

// Workers holds the workers' times.
type Workers struct {
	ReportS   float64 `json:"report_s"`
	LeaseS    float64 `json:"lease_s"`
	GangWaitS float64 `json:"gang_wait_s"`
	GangPeerS float64 `json:"gang_peer_s"`
	CancelS   float64 `json:"cancel_s"`
}

// State holds the state service's limits.
type State struct {
	RPS      float64 `json:"rps"`
	WriteRPS float64 `json:"write_rps"`
	ValueKB  float64 `json:"value_kb"`
	TxnOps   int     `json:"txn_ops"`
	// Next, if not nil, are limits that take force at some moment, unannounced.
	Next *NextState `json:"next"`
}

// NextState holds the state service's limits to come; one that is 0 stays.
type NextState struct {
	WriteRPS float64 `json:"write_rps"`
	ValueKB  float64 `json:"value_kb"`
	TxnOps   int     `json:"txn_ops"`
}

// Effective are the limits to keep to: whatever is written fits those in force and
// those to come.
func (s State) Effective() State {
	if s.Next == nil {
		return s
	}
	if s.Next.WriteRPS > 0 {
		s.WriteRPS = min(s.WriteRPS, s.Next.WriteRPS)
	}
	if s.Next.ValueKB > 0 {
		s.ValueKB = min(s.ValueKB, s.Next.ValueKB)
	}
	if s.Next.TxnOps > 0 {
		s.TxnOps = min(s.TxnOps, s.Next.TxnOps)
	}
	s.Next = nil
	return s
}

// Cloud holds the cloud's limits.
type Cloud struct {
	RPS      float64 `json:"rps"`
	ListLagS float64 `json:"list_lag_s"`
}

// Limits are the process's own.
type Limits struct {
	Cores      float64 `json:"cores"`
	RAMMB      float64 `json:"ram_mb"`
	MaxSockets int     `json:"max_sockets"`
}

// Tuning is the operators' file.
type Tuning struct {
	// Lock time of the leader, in seconds; 0 derives it from the workers' lease.
	LeaderTTLS float64 `yaml:"leader_ttl_s"`
	// Weight of a second of wait, in idle machine-seconds.
	Alpha float64 `yaml:"alpha"`
	// Weight of an idle machine-second.
	Beta float64 `yaml:"beta"`
	// How long an idle machine is kept, in seconds.
	IdleWaitS float64 `yaml:"idle_wait_s"`
	// The same where users expect no start sooner than a machine boots.
	LaxIdleWaitS float64 `yaml:"lax_idle_wait_s"`
	// Window of the screen, in seconds.
	ScreenWindowS float64 `yaml:"screen_window_s"`
	// How long an arrival counts as recent, in seconds.
	RecencyS float64 `yaml:"recency_s"`
	// Bounds of the spare target, in machines; an upper one of 0 grows with the
	// fleet.
	SpareMin int `yaml:"spare_min"`
	SpareMax int `yaml:"spare_max"`
	// The screen's tolerances, as in the paper.
	ScreenMinSamples int     `yaml:"screen_min_samples"`
	ScreenMaxSamples int     `yaml:"screen_max_samples"`
	ScreenCV         float64 `yaml:"screen_cv"`
	ScreenLag        float64 `yaml:"screen_lag"`
	ScreenKS         float64 `yaml:"screen_ks"`
	// Smoothing factors of arrivals, service and request sizes.
	SmoothArrival float64 `yaml:"smooth_arrival"`
	SmoothService float64 `yaml:"smooth_service"`
	SmoothNeed    float64 `yaml:"smooth_need"`
	// Bound of the planning horizon, in seconds.
	HorizonS float64 `yaml:"horizon_s"`
	// How long a job that may use spot machines waits for one before an
	// ordinary machine is rented for it, in seconds.
	SpotPatienceS float64 `yaml:"spot_patience_s"`
	// After how long a job of which nothing has started goes first within its
	// rank, in seconds.
	AgeAfterS float64 `yaml:"age_after_s"`
	// What a second of a gang's wait weighs, in seconds of lesser work on as many
	// machines: by it gangs wait for room, or have work stopped.
	GangWeight float64 `yaml:"gang_weight"`
}

// DefaultTuning holds the named defaults.
func DefaultTuning() Tuning {
	return Tuning{
		Alpha: 50, Beta: 1, IdleWaitS: 25, LaxIdleWaitS: 8,
		ScreenWindowS: 120, RecencyS: 60, SpareMin: 1, SpareMax: 0,
		ScreenMinSamples: 3, ScreenMaxSamples: 1000,
		ScreenCV: 0.45, ScreenLag: 0.65, ScreenKS: 3.75,
		SmoothArrival: 0.2, SmoothService: 0.1, SmoothNeed: 0.1, HorizonS: 600,
		SpotPatienceS: 40, AgeAfterS: 150, GangWeight: 5,
	}
}

// Sockets is how many connections workers, users, probes, other controllers and
// direct messages may have together; what is left of the limit is for calls of the
// state service and the cloud, for the listeners, and for connections that are
// being closed.
func (p *Platform) Sockets() int {
	limit := p.Deployment.Limits.MaxSockets
	return limit - min(outsideSockets, limit/2)
}

// outsideSockets is the part kept for everything else.
const outsideSockets = 64

func positive(f float64) bool    { return f > 0 && !math.IsInf(f, 0) }
func notNegative(f float64) bool { return f >= 0 && !math.IsInf(f, 0) }

// LoadPlatform reads and checks the platform's file.
func LoadPlatform(path string) (*Platform, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%s: cannot be read: %w", path, errors.Unwrap(err))
	}
	p, err := ParsePlatform(b)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return p, nil
}

// ParsePlatform checks the platform's settings; errors name the field.
func ParsePlatform(b []byte) (*Platform, error) {
	p := &Platform{}
	if err := json.Unmarshal(b, p); err != nil {
		var te *json.UnmarshalTypeError
		if errors.As(err, &te) {
			return nil, fmt.Errorf("%s: a %s where %s is expected", te.Field, te.Value, te.Type)
		}
		return nil, fmt.Errorf("not valid JSON: %w", err)
	}
	type check struct {
		ok           bool
		field, wants string
	}
	d := &p.Deployment
	checks := []check{
		{p.Member != "", "member", "is missing"},
		{address(p.Serve), "serve_on", "is not IP:port"},
		{address(p.PeerBind), "peer_bind", "is not IP:port"},
		{address(p.Outside.Cloud), "outside.cloud", "is not IP:port"},
		{address(p.Outside.State), "outside.state", "is not IP:port"},
		{len(d.Zones) > 0, "deployment.zones", "is empty"},
		{positive(d.Workers.ReportS), "deployment.workers.report_s", "is not above 0"},
		{d.Workers.LeaseS > d.Workers.ReportS && positive(d.Workers.LeaseS), "deployment.workers.lease_s", "is not above report_s"},
		{positive(d.Workers.GangWaitS), "deployment.workers.gang_wait_s", "is not above 0"},
		{positive(d.Workers.GangPeerS), "deployment.workers.gang_peer_s", "is not above 0"},
		{positive(d.Workers.CancelS), "deployment.workers.cancel_s", "is not above 0"},
		{positive(d.State.RPS), "deployment.state.rps", "is not above 0"},
		{positive(d.State.WriteRPS), "deployment.state.write_rps", "is not above 0"},
		{d.State.ValueKB >= 1 && positive(d.State.ValueKB), "deployment.state.value_kb", "is below 1"},
		{d.State.TxnOps >= 1, "deployment.state.txn_ops", "is below 1"},
		{d.State.Next == nil || notNegative(d.State.Next.WriteRPS), "deployment.state.next.write_rps", "is below 0"},
		{d.State.Next == nil || d.State.Next.ValueKB == 0 || d.State.Next.ValueKB >= 1 && positive(d.State.Next.ValueKB), "deployment.state.next.value_kb", "is below 1"},
		{d.State.Next == nil || d.State.Next.TxnOps >= 0, "deployment.state.next.txn_ops", "is below 0"},
		{positive(d.Cloud.RPS), "deployment.cloud.rps", "is not above 0"},
		{notNegative(d.Cloud.ListLagS), "deployment.cloud.list_lag_s", "is below 0"},
		{positive(d.Limits.Cores), "deployment.limits.cores", "is not above 0"},
		{d.Limits.RAMMB >= 32 && positive(d.Limits.RAMMB), "deployment.limits.ram_mb", "is below 32"},
		{d.Limits.MaxSockets >= 32, "deployment.limits.max_sockets", "is below 32"},
		{notNegative(d.ClockErrorMs), "deployment.clock_error_ms", "is below 0"},
	}
	members := map[string]bool{p.Member: true}
	for i, o := range p.Others {
		checks = append(checks,
			check{o.Member != "" && !members[o.Member], fmt.Sprintf("others[%d].member", i), "is missing or not unique"},
			check{address(o.Address), fmt.Sprintf("others[%d].address", i), "is not IP:port"})
		members[o.Member] = true
	}
	teams := map[string]bool{}
	for i, t := range d.Teams {
		f := fmt.Sprintf("deployment.teams[%d]", i)
		checks = append(checks,
			check{t.Name != "" && !teams[t.Name], f + ".name", "is missing or not unique"},
			check{notNegative(t.CPUs) && notNegative(t.GPUs), f, "has a guarantee below 0"},
			check{notNegative(t.CPUsMax) && notNegative(t.GPUsMax), f, "has a limit below 0"})
		teams[t.Name] = true
	}
	for _, c := range checks {
		if !c.ok {
			return nil, fmt.Errorf("%s: %s", c.field, c.wants)
		}
	}
	return p, nil
}

func address(s string) bool {
	a, err := netip.ParseAddrPort(s)
	return err == nil && a.Port() != 0
}

// LoadTuning reads and checks the operators' file; an empty path gives the
// defaults.
func LoadTuning(path string) (Tuning, error) {
	if path == "" {
		return DefaultTuning(), nil
	}
	b, err := os.ReadFile(path)
	if err != nil {
		return Tuning{}, fmt.Errorf("%s: cannot be read: %w", path, errors.Unwrap(err))
	}
	t, err := ParseTuning(b)
	if err != nil {
		return Tuning{}, fmt.Errorf("%s: %w", path, err)
	}
	return t, nil
}

// ParseTuning checks the operators' settings. An unknown key is an error.
func ParseTuning(b []byte) (Tuning, error) {
	t := DefaultTuning()
	if len(bytes.TrimSpace(b)) > 0 {
		if err := yaml.UnmarshalWithOptions(b, &t, yaml.Strict()); err != nil {
			return t, fmt.Errorf("not valid YAML: %s", yaml.FormatError(err, false, false))
		}
	}
	for _, c := range []struct {
		ok          bool
		field, want string
	}{
		{notNegative(t.LeaderTTLS) && (t.LeaderTTLS == 0 || t.LeaderTTLS >= 0.5) && t.LeaderTTLS <= 600, "leader_ttl_s", "is not 0 or between 0.5 and 600"},
		{notNegative(t.Alpha), "alpha", "is below 0"},
		{notNegative(t.Beta), "beta", "is below 0"},
		{notNegative(t.IdleWaitS), "idle_wait_s", "is below 0"},
		{notNegative(t.LaxIdleWaitS) && t.LaxIdleWaitS <= t.IdleWaitS, "lax_idle_wait_s", "is not between 0 and idle_wait_s"},
		{positive(t.ScreenWindowS), "screen_window_s", "is not above 0"},
		{notNegative(t.RecencyS), "recency_s", "is below 0"},
		{t.SpareMin >= 0, "spare_min", "is below 0"},
		{t.SpareMax == 0 || t.SpareMax >= t.SpareMin && t.SpareMax <= 1000, "spare_max", "is not 0 or between spare_min and 1000"},
		{t.ScreenMinSamples >= 3, "screen_min_samples", "is below 3"},
		{t.ScreenMaxSamples >= t.ScreenMinSamples, "screen_max_samples", "is below screen_min_samples"},
		{notNegative(t.ScreenCV), "screen_cv", "is below 0"},
		{notNegative(t.ScreenLag), "screen_lag", "is below 0"},
		{positive(t.ScreenKS), "screen_ks", "is not above 0"},
		{t.SmoothArrival > 0 && t.SmoothArrival <= 1, "smooth_arrival", "is not within (0, 1]"},
		{t.SmoothService > 0 && t.SmoothService <= 1, "smooth_service", "is not within (0, 1]"},
		{t.SmoothNeed > 0 && t.SmoothNeed <= 1, "smooth_need", "is not within (0, 1]"},
		{positive(t.HorizonS), "horizon_s", "is not above 0"},
		{notNegative(t.SpotPatienceS), "spot_patience_s", "is below 0"},
		{positive(t.AgeAfterS), "age_after_s", "is not above 0"},
		{notNegative(t.GangWeight), "gang_weight", "is below 0"},
	} {
		if !c.ok {
			return t, fmt.Errorf("%s: %s", c.field, c.want)
		}
	}
	return t, nil
}

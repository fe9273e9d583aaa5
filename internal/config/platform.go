// Package config owns the two settings files: the platform's JSON, which says
// what the deployment is, and the operators' YAML, which says how firwood is
// to behave in it. Both are checked whole before anything is bound.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
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

// LoadPlatform reads and checks the platform's file.
func LoadPlatform(path string) (*Platform, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%s: cannot be read: %w", path, errors.Unwrap(err))
	}
	p, err := ParsePlatform(b)
	if err != nil {
		return nil, inFile(path, err)
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
	if problems := failed(p.checks()); problems != nil {
		return nil, problems
	}
	return p, nil
}

// checks are what has to hold of the platform's settings.
func (p *Platform) checks() []check {
	d := &p.Deployment
	checks := []check{
		{p.Member != "", "member", "is missing"},
		{address(p.Serve), "serve_on", "is not IP:port"},
		{address(p.PeerBind), "peer_bind", "is not IP:port"},
		{address(p.Outside.Cloud), "outside.cloud", "is not IP:port"},
		{address(p.Outside.State), "outside.state", "is not IP:port"},
		{len(d.Zones) > 0, "deployment.zones", "is empty"},
		{distinct(d.Zones), "deployment.zones", "names a zone twice, or one without a name"},
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
	return checks
}

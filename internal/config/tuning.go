package config

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/goccy/go-yaml"
)

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
	// The most machines that the deployment is to have, by which its limits are
	// checked; 0: not said.
	FleetMachines int `yaml:"fleet_machines"`
	// How many finished jobs a controller remembers, beside which it asks the state
	// service; 0 derives it from its memory.
	FinishedJobs int `yaml:"finished_jobs"`
	// After how many seconds finished jobs are moved to the archive, which is not read when
	// a controller starts; 0: there is none, and what is there is moved back.
	ArchiveFinishedAfterS float64 `yaml:"archive_finished_after_s"`
	// Whether, and how, followers keep a copy of the leader's account.
	Standby Standby `yaml:"standby"`
}

// Standby are the settings of the followers' copies of the leader's account.
type Standby struct {
	// Enabled has this controller keep such a copy, and stream its account when it leads.
	Enabled bool `yaml:"enabled"`
	// Trace is a file, or "stderr", that spans of take-overs are written to; none if empty.
	Trace string `yaml:"trace"`
}

// leastArchiveAfterS is how old a finished job has to be to be archived: later than any
// late message about it.
const leastArchiveAfterS = 600

// leastFinishedJobs is how many finished jobs a controller has to remember, if it is said:
// users ask for a job until they are told of its end.
const leastFinishedJobs = 100

// DefaultTuning holds the named defaults.
func DefaultTuning() Tuning {
	return Tuning{
		Alpha: 50, Beta: 1, IdleWaitS: 25, LaxIdleWaitS: 8,
		ScreenWindowS: 120, RecencyS: 60, SpareMin: 1, SpareMax: 0,
		ScreenMinSamples: 3, ScreenMaxSamples: 1000,
		ScreenCV: 0.45, ScreenLag: 0.65, ScreenKS: 3.75,
		SmoothArrival: 0.2, SmoothService: 0.1, SmoothNeed: 0.1, HorizonS: 600,
		SpotPatienceS: 40, AgeAfterS: 150, GangWeight: 5,
		Standby: Standby{Enabled: true},
	}
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
		return Tuning{}, inFile(path, err)
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
	if problems := failed(t.checks()); problems != nil {
		return t, problems
	}
	return t, nil
}

// checks are what has to hold of the operators' settings.
func (t *Tuning) checks() []check {
	return []check{
		{notNegative(t.LeaderTTLS) && (t.LeaderTTLS == 0 || t.LeaderTTLS >= 0.5) && t.LeaderTTLS <= 600, "leader_ttl_s", "is not 0 or between 0.5 and 600"},
		{notNegative(t.Alpha), "alpha", "is below 0"},
		{notNegative(t.Beta), "beta", "is below 0"},
		{notNegative(t.IdleWaitS), "idle_wait_s", "is below 0"},
		{notNegative(t.LaxIdleWaitS) && t.LaxIdleWaitS <= t.IdleWaitS, "lax_idle_wait_s", "is not between 0 and idle_wait_s"},
		{positive(t.ScreenWindowS), "screen_window_s", "is not above 0"},
		{notNegative(t.RecencyS), "recency_s", "is below 0"},
		{t.SpareMin >= 0, "spare_min", "is below 0"},
		{t.SpareMax == 0 || t.SpareMax >= t.SpareMin && t.SpareMax <= 100_000, "spare_max", "is not 0 or between spare_min and 100000"},
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
		{t.FleetMachines >= 0, "fleet_machines", "is below 0"},
		{t.FinishedJobs == 0 || t.FinishedJobs >= leastFinishedJobs, "finished_jobs", "is not 0 or at least 100"},
		{t.ArchiveFinishedAfterS == 0 || t.ArchiveFinishedAfterS >= leastArchiveAfterS && t.ArchiveFinishedAfterS <= 1e9, "archive_finished_after_s", "is not 0 or at least 600"},
		{t.Standby.Trace == "" || t.Standby.Trace == "stderr" || filepath.IsAbs(t.Standby.Trace), "standby.trace", "is not \"stderr\" or the full path of a file"},
		{t.Standby.Trace == "" || t.Standby.Enabled, "standby.trace", "is set while standby.enabled is not"},
	}
}

package config

import (
	"bytes"
	"fmt"
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

// minArchiveAfterSeconds is how old a finished job has to be to be archived: later than any
// late message about it.
const minArchiveAfterSeconds = 600

// minFinishedJobs is how many finished jobs a controller has to remember, if it is said:
// users ask for a job until they are told of its end.
const minFinishedJobs = 100

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
	data, err := readFile(path)
	if err != nil {
		return Tuning{}, err
	}
	tuning, err := ParseTuning(data)
	if err != nil {
		return Tuning{}, withFilePath(path, err)
	}
	return tuning, nil
}

// ParseTuning checks the operators' settings. An unknown key is an error.
func ParseTuning(data []byte) (Tuning, error) {
	tuning := DefaultTuning()
	if len(bytes.TrimSpace(data)) > 0 {
		if err := yaml.UnmarshalWithOptions(data, &tuning, yaml.Strict()); err != nil {
			return tuning, fmt.Errorf("not valid YAML: %s", yaml.FormatError(err, false, false))
		}
	}
	if problems := collectProblems(tuning.checks()); problems != nil {
		return tuning, problems
	}
	return tuning, nil
}

// checks are what has to hold of the operators' settings.
func (tuning *Tuning) checks() []check {
	return []check{
		{isNonNegative(tuning.LeaderTTLS) && (tuning.LeaderTTLS == 0 || tuning.LeaderTTLS >= 0.5) && tuning.LeaderTTLS <= 600, "leader_ttl_s", "is not 0 or between 0.5 and 600"},
		checkNonNegative("alpha", tuning.Alpha),
		checkNonNegative("beta", tuning.Beta),
		checkNonNegative("idle_wait_s", tuning.IdleWaitS),
		{isNonNegative(tuning.LaxIdleWaitS) && tuning.LaxIdleWaitS <= tuning.IdleWaitS, "lax_idle_wait_s", "is not between 0 and idle_wait_s"},
		checkPositive("screen_window_s", tuning.ScreenWindowS),
		checkNonNegative("recency_s", tuning.RecencyS),
		{tuning.SpareMin >= 0, "spare_min", "is below 0"},
		{tuning.SpareMax == 0 || tuning.SpareMax >= tuning.SpareMin && tuning.SpareMax <= 100_000, "spare_max", "is not 0 or between spare_min and 100000"},
		{tuning.ScreenMinSamples >= 3, "screen_min_samples", "is below 3"},
		{tuning.ScreenMaxSamples >= tuning.ScreenMinSamples, "screen_max_samples", "is below screen_min_samples"},
		checkNonNegative("screen_cv", tuning.ScreenCV),
		checkNonNegative("screen_lag", tuning.ScreenLag),
		checkPositive("screen_ks", tuning.ScreenKS),
		checkFraction("smooth_arrival", tuning.SmoothArrival),
		checkFraction("smooth_service", tuning.SmoothService),
		checkFraction("smooth_need", tuning.SmoothNeed),
		checkPositive("horizon_s", tuning.HorizonS),
		checkNonNegative("spot_patience_s", tuning.SpotPatienceS),
		checkPositive("age_after_s", tuning.AgeAfterS),
		checkNonNegative("gang_weight", tuning.GangWeight),
		{tuning.FleetMachines >= 0, "fleet_machines", "is below 0"},
		{tuning.FinishedJobs == 0 || tuning.FinishedJobs >= minFinishedJobs, "finished_jobs", "is not 0 or at least 100"},
		{tuning.ArchiveFinishedAfterS == 0 || tuning.ArchiveFinishedAfterS >= minArchiveAfterSeconds && tuning.ArchiveFinishedAfterS <= 1e9, "archive_finished_after_s", "is not 0 or at least 600"},
		{tuning.Standby.Trace == "" || tuning.Standby.Trace == "stderr" || filepath.IsAbs(tuning.Standby.Trace), "standby.trace", "is not \"stderr\" or the full path of a file"},
		{tuning.Standby.Trace == "" || tuning.Standby.Enabled, "standby.trace", "is set while standby.enabled is not"},
	}
}

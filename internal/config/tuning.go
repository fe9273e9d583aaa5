package config

import (
	"bytes"
	"errors"
	"fmt"
	"path/filepath"
	"slices"
	"strings"

	"github.com/goccy/go-yaml"
)

// Tuning holds the settings of the operators' file, which tune firwood's behavior. A setting whose
// name ends in _s is in seconds. The file is flat: the groups exist only in Go.
type Tuning struct {
	// LeaderTTLS is the TTL of the leader lock, or 0 to derive it from the workers' lease.
	LeaderTTLS       float64 `yaml:"leader_ttl_s"`
	Costs            `yaml:",inline"`
	ArrivalWindows   `yaml:",inline"`
	WarmSpares       `yaml:",inline"`
	ScreenTolerances `yaml:",inline"`
	Smoothing        `yaml:",inline"`
	// HorizonS bounds the time over which the cost of idle machines is counted.
	HorizonS float64 `yaml:"horizon_s"`
	// SpotPatienceS is how long a job that allows spot machines waits for one before an
	// on-demand machine is requested for it.
	SpotPatienceS float64 `yaml:"spot_patience_s"`
	// AgeAfterS is the threshold of priority aging: a job that has waited this long for its first
	// start goes before the other jobs of its priority.
	AgeAfterS float64 `yaml:"age_after_s"`
	// GangWeight is the cost of one second of a gang's wait, in seconds of lower-priority work on as
	// many machines as the gang needs. It decides whether the gang waits for free machines or
	// preempts work.
	GangWeight float64 `yaml:"gang_weight"`
	// FleetMachines is the largest planned number of machines, for which the deployment's limits
	// are checked, or 0 for no check.
	FleetMachines int `yaml:"fleet_machines"`
	// FinishedJobs is the capacity of a controller's cache of finished jobs, or 0 to derive it from
	// the memory limit. Other finished jobs are looked up in the key-value store.
	FinishedJobs int `yaml:"finished_jobs"`
	// ArchiveFinishedAfterS is the age at which finished jobs are moved to the archive, which is not
	// read when a controller starts. If it is 0 there is no archive, and jobs in an existing archive
	// are moved back.
	ArchiveFinishedAfterS float64 `yaml:"archive_finished_after_s"`
	// Standby holds the settings of replicas of the leader's allocation table.
	Standby Standby `yaml:"standby"`
}

// Costs holds the settings that weigh the wait of jobs against idle machines.
type Costs struct {
	// Alpha is the weight of a second of wait, in idle machine-seconds if Beta is 1.
	Alpha float64 `yaml:"alpha"`
	// Beta is the weight of an idle machine-second.
	Beta float64 `yaml:"beta"`
	// IdleWaitS is how long an idle machine is kept before it is deleted.
	IdleWaitS float64 `yaml:"idle_wait_s"`
	// LaxIdleWaitS applies instead of IdleWaitS where users do not expect jobs to start sooner than
	// a machine boots.
	LaxIdleWaitS float64 `yaml:"lax_idle_wait_s"`
}

// ArrivalWindows holds how far back arrivals of jobs are considered.
type ArrivalWindows struct {
	// ScreenWindowS is the window of the screen, which is the test of whether the intervals between
	// arrivals and the run times fit an exponential distribution.
	ScreenWindowS float64 `yaml:"screen_window_s"`
	// RecencyS is how recent the last arrival must be for warm spares to be kept.
	RecencyS float64 `yaml:"recency_s"`
}

// WarmSpares bounds the target number of warm spare machines.
type WarmSpares struct {
	SpareMin int `yaml:"spare_min"`
	// SpareMax is the upper bound, or 0 for a bound that grows with the fleet.
	SpareMax int `yaml:"spare_max"`
}

// ScreenTolerances holds the tolerances of the screen, as in the paper on SNF-ICON (PAPER, section
// IV-A): how far the intervals between arrivals, and the run times, may deviate from an exponential
// distribution.
type ScreenTolerances struct {
	// ScreenMinSamples is the number of samples below which the screen rejects a series. Of more
	// than ScreenMaxSamples samples, only the newest are used.
	ScreenMinSamples int `yaml:"screen_min_samples"`
	ScreenMaxSamples int `yaml:"screen_max_samples"`
	// ScreenCV is the largest accepted deviation of the coefficient of variation from 1.
	ScreenCV float64 `yaml:"screen_cv"`
	// ScreenLag is the largest accepted absolute correlation of successive samples.
	ScreenLag float64 `yaml:"screen_lag"`
	// ScreenKS is the largest accepted Kolmogorov-Smirnov distance, multiplied by the square root
	// of the number of samples.
	ScreenKS float64 `yaml:"screen_ks"`
}

// Smoothing holds the factors of exponential smoothing, each within (0, 1]: of the intervals between
// arrivals, of run times, and of the sizes of jobs.
type Smoothing struct {
	SmoothArrival float64 `yaml:"smooth_arrival"`
	SmoothService float64 `yaml:"smooth_service"`
	SmoothNeed    float64 `yaml:"smooth_need"`
}

// Standby holds the settings of replicas of the leader's allocation table on the followers.
type Standby struct {
	// Enabled makes this controller keep a replica as a follower, and stream its table as leader.
	Enabled bool `yaml:"enabled"`
	// Trace is the file to which spans of failovers are written, or "stderr" for standard error. If
	// it is empty, no spans are written.
	Trace string `yaml:"trace"`
}

const (
	// minLeaderTTLSeconds and maxLeaderTTLSeconds bound the TTL of the leader lock.
	minLeaderTTLSeconds = 0.5
	maxLeaderTTLSeconds = 600
	// maxSpares is the highest value that spare_max may have.
	maxSpares = 100_000
	// minScreenSamples is the smallest number of samples for which the screen's statistics are
	// defined.
	minScreenSamples = 3
	// minArchiveAfterSeconds is the lowest age for archiving. Late messages about a finished job no
	// longer arrive at that age.
	minArchiveAfterSeconds = 600
	maxArchiveAfterSeconds = 1e9
	// minFinishedJobs is the smallest capacity of the cache. Users poll a job until they have seen
	// its final state, so recently finished jobs are requested often.
	minFinishedJobs = 100
)

// DefaultTuning returns the default settings.
func DefaultTuning() Tuning {
	return Tuning{
		Costs:            Costs{Alpha: 50, Beta: 1, IdleWaitS: 25, LaxIdleWaitS: 8},
		ArrivalWindows:   ArrivalWindows{ScreenWindowS: 120, RecencyS: 60},
		WarmSpares:       WarmSpares{SpareMin: 1, SpareMax: 0},
		ScreenTolerances: ScreenTolerances{ScreenMinSamples: 3, ScreenMaxSamples: 1000, ScreenCV: 0.45, ScreenLag: 0.65, ScreenKS: 3.75},
		Smoothing:        Smoothing{SmoothArrival: 0.2, SmoothService: 0.1, SmoothNeed: 0.1},
		HorizonS:         600, SpotPatienceS: 40, AgeAfterS: 150, GangWeight: 5,
		Standby: Standby{Enabled: true},
	}
}

// LoadTuning reads and checks the operators' file. For an empty path it returns the defaults.
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

// ParseTuning decodes and checks the operators' settings. An unknown setting is an error, and a missing
// one gets its default.
func ParseTuning(data []byte) (Tuning, error) {
	tuning := DefaultTuning()
	if len(bytes.TrimSpace(data)) > 0 {
		if err := yaml.UnmarshalWithOptions(data, &tuning, yaml.Strict()); err != nil {
			removeGroupName(err)
			const isColored, withSource = false, false
			return tuning, fmt.Errorf("not valid YAML: %s", yaml.FormatError(err, isColored, withSource))
		}
	}
	if problems := collectProblems(tuning.checks()); problems != nil {
		return tuning, problems
	}
	return tuning, nil
}

// removeGroupName removes the name of the embedded group from a YAML type error, which names a field by
// its Go name. Operators then see "Tuning.Alpha", as they did before the settings were grouped.
func removeGroupName(err error) {
	var typeError *yaml.TypeError
	if !errors.As(err, &typeError) || typeError.StructFieldName == nil {
		return
	}
	if names := strings.Split(*typeError.StructFieldName, "."); len(names) > 2 {
		name := names[0] + "." + names[len(names)-1]
		typeError.StructFieldName = &name
	}
}

// checks returns the checks of the operators' settings, in the order in which errors are reported.
func (tuning *Tuning) checks() []check {
	return slices.Concat(
		[]check{{isValidLeaderTTL(tuning.LeaderTTLS), "leader_ttl_s", "is not 0 or between 0.5 and 600"}},
		tuning.Costs.checks(), tuning.ArrivalWindows.checks(), tuning.WarmSpares.checks(),
		tuning.ScreenTolerances.checks(), tuning.Smoothing.checks(),
		[]check{
			checkPositive("horizon_s", tuning.HorizonS),
			checkNonNegative("spot_patience_s", tuning.SpotPatienceS),
			checkPositive("age_after_s", tuning.AgeAfterS),
			checkNonNegative("gang_weight", tuning.GangWeight),
			{tuning.FleetMachines >= 0, "fleet_machines", "is below 0"},
			{tuning.FinishedJobs == 0 || tuning.FinishedJobs >= minFinishedJobs, "finished_jobs", "is not 0 or at least 100"},
			{isValidArchiveAge(tuning.ArchiveFinishedAfterS), "archive_finished_after_s", "is not 0 or at least 600"},
		},
		tuning.Standby.checks(),
	)
}

func isValidLeaderTTL(seconds float64) bool {
	return seconds == 0 || seconds >= minLeaderTTLSeconds && seconds <= maxLeaderTTLSeconds
}

func isValidArchiveAge(seconds float64) bool {
	return seconds == 0 || seconds >= minArchiveAfterSeconds && seconds <= maxArchiveAfterSeconds
}

func (costs *Costs) checks() []check {
	isValidLaxIdleWait := isNonNegative(costs.LaxIdleWaitS) && costs.LaxIdleWaitS <= costs.IdleWaitS
	return []check{
		checkNonNegative("alpha", costs.Alpha),
		checkNonNegative("beta", costs.Beta),
		checkNonNegative("idle_wait_s", costs.IdleWaitS),
		{isValidLaxIdleWait, "lax_idle_wait_s", "is not between 0 and idle_wait_s"},
	}
}

func (windows *ArrivalWindows) checks() []check {
	return []check{
		checkPositive("screen_window_s", windows.ScreenWindowS),
		checkNonNegative("recency_s", windows.RecencyS),
	}
}

func (spares *WarmSpares) checks() []check {
	isValidSpareMax := spares.SpareMax == 0 || spares.SpareMax >= spares.SpareMin && spares.SpareMax <= maxSpares
	return []check{
		{spares.SpareMin >= 0, "spare_min", "is below 0"},
		{isValidSpareMax, "spare_max", "is not 0 or between spare_min and 100000"},
	}
}

func (tolerances *ScreenTolerances) checks() []check {
	return []check{
		{tolerances.ScreenMinSamples >= minScreenSamples, "screen_min_samples", "is below 3"},
		{tolerances.ScreenMaxSamples >= tolerances.ScreenMinSamples, "screen_max_samples", "is below screen_min_samples"},
		checkNonNegative("screen_cv", tolerances.ScreenCV),
		checkNonNegative("screen_lag", tolerances.ScreenLag),
		checkPositive("screen_ks", tolerances.ScreenKS),
	}
}

func (smoothing *Smoothing) checks() []check {
	return []check{
		checkSmoothingFactor("smooth_arrival", smoothing.SmoothArrival),
		checkSmoothingFactor("smooth_service", smoothing.SmoothService),
		checkSmoothingFactor("smooth_need", smoothing.SmoothNeed),
	}
}

func (standby *Standby) checks() []check {
	isValidTrace := standby.Trace == "" || standby.Trace == "stderr" || filepath.IsAbs(standby.Trace)
	return []check{
		{isValidTrace, "standby.trace", "is not \"stderr\" or the full path of a file"},
		{standby.Trace == "" || standby.Enabled, "standby.trace", "is set while standby.enabled is not"},
	}
}

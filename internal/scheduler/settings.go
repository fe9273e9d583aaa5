package scheduler

import (
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/forecast"
)

// Settings configures the scheduler. The values come from the operators' settings file.
type Settings struct {
	Screen    forecast.ScreenSettings
	Smoothing forecast.Smoothing
	Spares    SpareSettings
	// IdleTimeout is how long a machine may be idle before it is deleted; planScaleIn halves it in
	// a large fleet. RelaxedIdleTimeout applies instead where users do not expect jobs to start
	// sooner than a machine boots.
	IdleTimeout, RelaxedIdleTimeout clock.Micros
	// SpotWaitTimeout is how long a task of a job that may use spot machines waits for one before an
	// on-demand machine is requested for it. Tasks of arrays that run wait longer, see activeArraySpotWaitFactor.
	SpotWaitTimeout clock.Micros
	// AgingThreshold is how long a job waits for its first start before it goes before the other
	// jobs of its priority. 0 disables aging.
	AgingThreshold clock.Micros
	// GangWaitWeight is the cost of one second of a gang's wait, in seconds of other work on as
	// many machines as the gang needs.
	GangWaitWeight float64
}

// SpareSettings configures the choice of the number of warm spares (paper, IV-E to IV-I).
type SpareSettings struct {
	WaitWeight float64 // alpha (39), the cost of a second of waiting
	IdleWeight float64 // beta (39), the cost of a second of an idle machine
	Min, Max   int     // Smin, Smax (30); with a Max of 0 the bound depends on the size of the fleet
	// IdleCostHorizon, Hmax (24), bounds the time over which the cost of idle machines is counted.
	IdleCostHorizon clock.Micros
	// ArrivalRecencyWindow is how recent the last arrival has to be for spares to be kept
	// (Definition 7).
	ArrivalRecencyWindow clock.Micros
}

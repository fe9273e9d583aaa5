package scheduler

import (
	"firwood.dev/firwood/internal/clock"
	"firwood.dev/firwood/internal/forecast"
)

// Settings are the settings of the model, from the operators' file of tuning.
type Settings struct {
	Screen    forecast.ScreenSettings
	Smoothing forecast.Smoothing
	Spares    SpareSettings
	// IdleTimeout is how long a machine may be idle before it is deleted (half of it in a
	// large fleet, see planScaleIn), RelaxedIdleTimeout the same where users expect no start
	// sooner than a machine boots.
	IdleTimeout, RelaxedIdleTimeout clock.Micros
	// SpotWaitTimeout is how long a job that may use spot machines waits for one before an
	// ordinary machine is requested for it; see mayWaitForSpot for jobs that wait on.
	SpotWaitTimeout clock.Micros
	// AgingThreshold is how long a job waits for its first start before it goes first
	// within its priority; 0: never.
	AgingThreshold clock.Micros
	// GangWaitWeight is what a second of a gang's wait weighs, in seconds of other work
	// on as many machines.
	GangWaitWeight float64
}

// SpareSettings bound the number of warm spares (paper, IV-E to IV-I).
type SpareSettings struct {
	WaitWeight float64 // alpha (39), the cost of a second of waiting
	IdleWeight float64 // beta (39), the cost of a second of an idle machine
	Min, Max   int     // Smin, Smax (30); a Max of 0: by the size of the fleet
	// IdleCostHorizon bounds the time over which idle machines are counted, Hmax (24).
	IdleCostHorizon clock.Micros
	// ArrivalRecencyWindow is how recent the last arrival has to be (Definition 7).
	ArrivalRecencyWindow clock.Micros
}

package clock

// The monotonic clocks of two machines drift apart by up to 0.05% (PROTOCOL, first section). The
// allowances here are larger, so that a clock with somewhat more drift does no harm.
const (
	// storeDriftDivisor sets the allowed drift between a member's clock and the key-value store's: 0.1%.
	storeDriftDivisor = 1000
	// mutualDriftDivisor sets the allowed drift between the clocks of any two processes: 0.2%.
	mutualDriftDivisor = 500
)

// StoreDrift returns the most by which a member's monotonic clock and the key-value store's may
// differ in measuring duration.
func StoreDrift(duration Micros) Micros { return duration / storeDriftDivisor }

// MutualDrift returns the most by which the monotonic clocks of two processes may differ in measuring
// duration.
func MutualDrift(duration Micros) Micros { return duration / mutualDriftDivisor }

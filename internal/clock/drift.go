package clock

// The steady clocks of two machines drift apart by up to 0.05% (PROTOCOL, first section).
// The allowances here are larger, so that a clock which is somewhat worse does no harm.
const (
	// storeDriftDivisor bounds the drift between a member's clock and the key-value store's: 0.1%.
	storeDriftDivisor = 1000
	// mutualDriftDivisor bounds the drift between the clocks of any two processes: 0.2%.
	mutualDriftDivisor = 500
)

// StoreDrift bounds by how much a member's steady clock and the key-value store's may
// differ about a duration.
func StoreDrift(duration Micros) Micros { return duration / storeDriftDivisor }

// MutualDrift bounds by how much the steady clocks of two processes may differ about a duration.
func MutualDrift(duration Micros) Micros { return duration / mutualDriftDivisor }

package fake

import "time"

// MachineFault is a fault that a test injects into a machine.
type MachineFault uint8

// The faults of machines.
const (
	// MachineHealthy is the absence of a fault.
	MachineHealthy MachineFault = iota
	// MachineHanging makes a machine neither finish tasks nor send heartbeats or responses. The
	// worker's lease still expires. When the fault ends, the worker handles the requests that it
	// received meanwhile, and executes their commands if their token and incarnation are still valid.
	MachineHanging
	// MachineCommandsLost loses the replies to a machine's heartbeats and every request to the machine.
	// The heartbeats themselves arrive, so controllers find the machine unreachable.
	MachineCommandsLost
	// MachineHeartbeatsLost keeps a machine from sending heartbeats, while command requests still reach
	// it, so controllers suspect the machine.
	MachineHeartbeatsLost
	// MachineSlow makes a machine execute command requests after slowCommandDelay, without a response.
	MachineSlow
)

// slowCommandDelay is the delay with which a slow machine executes command requests.
const slowCommandDelay = 8 * time.Second

// String returns the name of the fault, as it appears in test names and messages.
func (fault MachineFault) String() string {
	switch fault {
	case MachineHealthy:
		return "healthy"
	case MachineHanging:
		return "hanging"
	case MachineCommandsLost:
		return "commands_lost"
	case MachineHeartbeatsLost:
		return "heartbeats_lost"
	case MachineSlow:
		return "slow"
	default:
		return "unknown"
	}
}

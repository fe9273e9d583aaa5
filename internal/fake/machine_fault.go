package fake

import "time"

// MachineFault is a fault of a machine, injected by a test.
type MachineFault uint8

// The faults of machines.
const (
	// MachineHealthy is the absence of a fault.
	MachineHealthy MachineFault = iota
	// MachineHanging machines neither finish tasks nor answer; their lease runs out all the same.
	// Requests sent to them are carried out when the fault ends, if the worker still accepts them.
	MachineHanging
	// MachineCommandsLost machines send heartbeats that arrive, but replies and command
	// requests to them are lost: controllers find them unreachable.
	MachineCommandsLost
	// MachineHeartbeatsLost machines reach no controller, but command requests reach them:
	// controllers suspect them.
	MachineHeartbeatsLost
	// MachineSlow machines carry out command requests slowCommandDelay late and do not answer
	// them.
	MachineSlow
)

// slowCommandDelay is how late a slow machine carries command requests out.
const slowCommandDelay = 8 * time.Second

// String is the fault's name in test names and messages.
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

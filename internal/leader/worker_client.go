package leader

import (
	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/client"
	"firwood.dev/firwood/wire"
)

// maxWorkerResponseBytes is the maximum size of the body of a worker's response.
const maxWorkerResponseBytes = 4 * wire.MaxBodyBytes

// workerHost returns the client of the worker on a machine. It creates the client at its first use.
func (term *Term) workerHost(machine *allocation.Machine, machineInfo *machineState) *client.Host {
	if machineInfo.workerHost == nil {
		machineInfo.workerHost = term.environment.WorkerRequests.Pool.NewHost(machine.Address, 1, maxWorkerResponseBytes)
	}
	return machineInfo.workerHost
}

// decodeHeartbeatOf decodes the heartbeat in a response from a machine's worker. It returns nil if the
// response has none, or has that of another machine, which may have got the machine's address.
func decodeHeartbeatOf(machine string, body []byte) *wire.Heartbeat {
	decoded := &wire.Heartbeat{}
	if decoded.UnmarshalJSON(body) != nil || decoded.MachineID != machine {
		return nil
	}
	return decoded
}

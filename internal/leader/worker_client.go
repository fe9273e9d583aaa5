package leader

import (
	"firwood.dev/firwood/internal/allocation"
	"firwood.dev/firwood/internal/client"
	"firwood.dev/firwood/wire"
)

// maxWorkerResponseBytes bounds the body of a worker's response.
const maxWorkerResponseBytes = 4 * wire.MaxBodyBytes

// workerHost is the connection to the worker on a machine, made at its first use.
func (term *Term) workerHost(machine *allocation.Machine, machineInfo *machineState) *client.Host {
	if machineInfo.workerHost == nil {
		machineInfo.workerHost = term.environment.WorkerRequests.Pool.NewHost(machine.Address, 1, maxWorkerResponseBytes)
	}
	return machineInfo.workerHost
}

// decodeHeartbeatOf reads the heartbeat in a response of a machine's worker; nil if there is
// none, or that of another machine, which may have got its address.
func decodeHeartbeatOf(machine string, body []byte) *wire.Heartbeat {
	decoded := &wire.Heartbeat{}
	if decoded.UnmarshalJSON(body) != nil || decoded.MachineID != machine {
		return nil
	}
	return decoded
}

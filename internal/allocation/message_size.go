package allocation

import "firwood.dev/firwood/wire"

// A worker's heartbeat lists every task on its machine, and no message may be larger than the protocol allows. So
// the room in a machine's heartbeats is one of its resources: each task takes as much of it as its longest status,
// or the command that stops it, whichever is longer. Then the heartbeat and the stops of all tasks fit.

// heartbeatHeadBytes is the room for what a heartbeat or a message with commands has besides its tasks. Names in it
// have up to 200 bytes.
const heartbeatHeadBytes = 2 << 10

// MachineReportBytes is the room in a machine's heartbeats for its tasks, in bytes.
const MachineReportBytes = wire.MaxBodyBytes - heartbeatHeadBytes

// taskReportBytes returns the room that a task of a job takes in its machine's heartbeats, in bytes.
func taskReportBytes(spec *wire.Job) int64 {
	longestTaskID := wire.TaskID(spec.ID, max(spec.TaskCount-1, 0))
	return int64(wire.MaxTaskBytes(longestTaskID, spec.CheckpointSaveSeconds))
}

// maxCommandBytes bounds the commands of one message, in bytes.
const maxCommandBytes = min(wire.MaxBodyBytes, wire.MaxLineBytes) - heartbeatHeadBytes

// commandBatch collects the commands of one message, as many as fit.
type commandBatch struct {
	commands  []wire.Command
	usedBytes int
}

// add appends commands that belong together, and reports whether it did. It appends none if they don't all fit; the
// caller sends them with a later message.
func (batch *commandBatch) add(commands ...wire.Command) bool {
	size := 0
	for i := range commands {
		size += commands[i].EncodedBytes()
	}
	if batch.usedBytes+size > maxCommandBytes {
		return false
	}
	batch.usedBytes += size
	batch.commands = append(batch.commands, commands...)
	return true
}

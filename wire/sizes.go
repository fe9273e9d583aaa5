package wire

import (
	"math"
	"strconv"
)

// MaxLineBytes is the maximum size of a line in a response to workers or users (PROTOCOL, first section).
const MaxLineBytes = 64 << 10

// The sizes below are of messages as other programs may encode them: with a space after each comma and colon.
const separatorBytes = 2

// fieldsOfTaskStatus and fieldsOfCommand are the numbers of fields of an element of a list in a message.
const (
	fieldsOfTaskStatus = 5
	fieldsOfCommand    = 4
)

// maxStatusBytes and maxStopBytes are the largest sizes in bytes of a task's status and of the command that stops it,
// without the task's ID and the grace period.
var (
	maxStatusBytes = encodedBytes(TaskStatus{Attempt: math.MaxUint64, State: TaskExited, ExitCause: ExitGangIncomplete, Saved: true}.MarshalJSON) + fieldsOfTaskStatus*separatorBytes
	maxStopBytes   = encodedBytes(Command{Action: ActionStop, Attempt: math.MaxUint64, GracePeriodSeconds: new(float64)}.MarshalJSON) + fieldsOfCommand*separatorBytes
)

// MaxTaskBytes returns the largest size in bytes that a task takes in a message to or from a worker: of its status
// in a heartbeat, in any state and with any attempt number, and of the command that stops it with the given grace
// period or none. The ID has the form that TaskID gives it.
func MaxTaskBytes(taskID string, gracePeriodSeconds float64) int {
	gracePeriod := strconv.FormatFloat(gracePeriodSeconds, 'g', -1, 64)
	return len(taskID) + max(maxStatusBytes, maxStopBytes+len(gracePeriod))
}

// commandBytes is the size in bytes of a command without a grace period, with an attempt of one digit, and with
// empty strings. gracePeriodKeyBytes is the size of the key of the grace period.
var (
	commandBytes        = encodedBytes(Command{}.MarshalJSON)
	gracePeriodKeyBytes = len(`,"windS":`)
)

// maxNumberBytes is more than the digits of any number in a command.
const maxNumberBytes = 32

// EncodedBytes returns the size in bytes of the command as an element of a message's list, with a comma. The ID has the
// form that TaskID gives it.
func (command *Command) EncodedBytes() int {
	var buffer [maxNumberBytes]byte
	size := commandBytes + len(command.Action) + len(command.TaskID) + len(strconv.AppendUint(buffer[:0], command.Attempt, 10)) - 1
	if command.GracePeriodSeconds != nil {
		size += gracePeriodKeyBytes + len(strconv.AppendFloat(buffer[:0], *command.GracePeriodSeconds, 'g', -1, 64))
	}
	return size
}

// encodedBytes returns the size of what marshal returns and a comma. The types of messages to workers can always be
// encoded.
func encodedBytes(marshal func() ([]byte, error)) int {
	encoded, err := marshal()
	if err != nil {
		return math.MaxInt32
	}
	return len(encoded) + 1
}

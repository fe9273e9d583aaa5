package scaleout

import "fmt"

// State is where a request is in its life.
type State uint8

const (
	// Recording means that the first record is being written. Nothing is sent yet.
	Recording State = iota
	// Requesting means that the record is durable; the request is sent until the cloud answers.
	Requesting
	// Granted means that the cloud gave machines, whose names are being written. They get no tasks yet.
	Granted
	// Refused means that the cloud gave nothing; the record is being deleted.
	Refused
	// Resolved means that the answer is durable. The record is deleted with the last of the machines.
	Resolved
)

var stateNames = [...]string{Recording: "recording", Requesting: "requesting", Granted: "granted", Refused: "refused", Resolved: "resolved"}

// String is the state's name for logs and tests.
func (state State) String() string {
	if int(state) < len(stateNames) {
		return stateNames[state]
	}
	return fmt.Sprintf("State(%d)", uint8(state))
}

// Step is what is due after a write of a request's record.
type Step uint8

const (
	// StepNone means that nothing is due.
	StepNone Step = iota
	// StepWriteAgain means that the record has changed since the write began, and is to be written again.
	StepWriteAgain
	// StepSend means that the request is to be sent to the cloud.
	StepSend
	// StepAdmitMachines means that the request's machines may get tasks.
	StepAdmitMachines
)

var stepNames = [...]string{StepNone: "none", StepWriteAgain: "write again", StepSend: "send", StepAdmitMachines: "admit machines"}

// String is the step's name for logs and tests.
func (step Step) String() string {
	if int(step) < len(stepNames) {
		return stepNames[step]
	}
	return fmt.Sprintf("Step(%d)", uint8(step))
}

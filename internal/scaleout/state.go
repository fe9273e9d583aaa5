package scaleout

import "fmt"

// State is the state of a request.
type State uint8

const (
	// Recording means that the first record is being written, and that nothing has been sent yet.
	Recording State = iota
	// Requesting means that the record is durable, and that the request is sent until the cloud answers.
	Requesting
	// Granted means that the cloud granted machines, and that their names are being written. The
	// machines get no tasks yet.
	Granted
	// Refused means that the cloud granted no machines, and that the record is being deleted.
	Refused
	// Resolved means that the answer is durable. The record is deleted once the last machine is deleted.
	Resolved
)

var stateNames = [...]string{Recording: "recording", Requesting: "requesting", Granted: "granted", Refused: "refused", Resolved: "resolved"}

// String returns the state's name in logs and test failures.
func (state State) String() string {
	if int(state) < len(stateNames) {
		return stateNames[state]
	}
	return fmt.Sprintf("State(%d)", uint8(state))
}

// Step is what the caller has to do after a write of a request's record.
type Step uint8

const (
	// StepNone means that there is nothing to do.
	StepNone Step = iota
	// StepWriteAgain means that the record has changed since the write began, and has to be written
	// again.
	StepWriteAgain
	// StepSend means that the request has to be sent to the cloud.
	StepSend
	// StepAdmitMachines means that the request's machines may get tasks.
	StepAdmitMachines
)

var stepNames = [...]string{StepNone: "none", StepWriteAgain: "write again", StepSend: "send", StepAdmitMachines: "admit machines"}

// String returns the step's name in logs and test failures.
func (step Step) String() string {
	if int(step) < len(stepNames) {
		return stepNames[step]
	}
	return fmt.Sprintf("Step(%d)", uint8(step))
}

package metrics

import "fmt"

// HeartbeatReply is the kind of reply to a worker's heartbeat.
type HeartbeatReply uint8

// Replies to heartbeats, as values of the label.
const (
	// ReplyRenewed renewed the lease. ReplyRenewedWithCommands also carried commands.
	ReplyRenewed HeartbeatReply = iota
	ReplyRenewedWithCommands
	// ReplyUnknownMachine renewed the lease of a machine that the leader has no record of.
	ReplyUnknownMachine
	// ReplyAsDelegate was sent by a member that renewed the lease on behalf of an unreachable leader.
	ReplyAsDelegate
	// ReplyDeferred counts a heartbeat whose reply is delayed. The heartbeat is counted again, under
	// another kind, when the reply is sent.
	ReplyDeferred
	// ReplyRefused told the worker to retry.
	ReplyRefused
	// ReplyRedirected sent the worker to another member.
	ReplyRedirected
	// ReplyFenced was sent to a worker that has seen a later leader's token.
	ReplyFenced
	heartbeatReplyCount
)

// String returns the label's value.
func (reply HeartbeatReply) String() string {
	switch reply {
	case ReplyRenewed:
		return "renewed"
	case ReplyRenewedWithCommands:
		return "renewed_with_commands"
	case ReplyUnknownMachine:
		return "unknown_machine"
	case ReplyAsDelegate:
		return "as_delegate"
	case ReplyDeferred:
		return "deferred"
	case ReplyRefused:
		return "refused"
	case ReplyRedirected:
		return "redirected"
	case ReplyFenced:
		return "fenced"
	}
	return fmt.Sprintf("HeartbeatReply(%d)", uint8(reply))
}

// CommandChannel is the way by which a command is sent to a worker.
type CommandChannel uint8

// Channels of commands, as values of the label.
const (
	// ChannelReply is the leader's reply to the worker's heartbeat, ChannelRequest is a command
	// request to the worker, and ChannelDelegate is a delegate's reply to a heartbeat.
	ChannelReply CommandChannel = iota
	ChannelRequest
	ChannelDelegate
)

// String returns the label's value.
func (channel CommandChannel) String() string {
	switch channel {
	case ChannelReply:
		return "heartbeat_reply"
	case ChannelRequest:
		return "command_request"
	case ChannelDelegate:
		return "delegate_reply"
	}
	return fmt.Sprintf("CommandChannel(%d)", uint8(channel))
}

// CommandOutcome is what the controller knows about the execution of a command.
type CommandOutcome uint8

// Outcomes of commands, as values of the label.
const (
	// OutcomeSent is the outcome of every command in a heartbeat reply, since nothing more is known.
	OutcomeSent CommandOutcome = iota
	OutcomeExecuted
	OutcomeRejected
	// OutcomeNotSent means that the command certainly did not arrive. OutcomeUnknown means that it is
	// not known whether the worker executed the command, for example because there was no response.
	OutcomeNotSent
	OutcomeUnknown
)

// String returns the label's value.
func (outcome CommandOutcome) String() string {
	switch outcome {
	case OutcomeSent:
		return "sent"
	case OutcomeExecuted:
		return "executed"
	case OutcomeRejected:
		return "rejected"
	case OutcomeNotSent:
		return "not_sent"
	case OutcomeUnknown:
		return "unknown"
	}
	return fmt.Sprintf("CommandOutcome(%d)", uint8(outcome))
}

// FailoverPart is a part of a failover whose duration is observed.
type FailoverPart uint8

// Parts of a failover, as values of the label.
const (
	// FailoverLock is from the previous leader's last heartbeat until the new leader has the lock.
	FailoverLock FailoverPart = iota
	// FailoverRebuild is from the lock until the allocation table is rebuilt.
	FailoverRebuild
	// FailoverFirstDecision is from the rebuilt table until the first task is placed.
	FailoverFirstDecision
	// FailoverReconciled is from the start of the term until nine in ten of the machines of earlier
	// leaders may be sent commands or are gone.
	FailoverReconciled
	failoverPartCount
)

// String returns the label's value.
func (part FailoverPart) String() string {
	switch part {
	case FailoverLock:
		return "lock"
	case FailoverRebuild:
		return "rebuild"
	case FailoverFirstDecision:
		return "first_decision"
	case FailoverReconciled:
		return "reconciled_90"
	}
	return fmt.Sprintf("FailoverPart(%d)", uint8(part))
}

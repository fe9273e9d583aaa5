package metrics

import "fmt"

// HeartbeatReply is how a worker's heartbeat was answered.
type HeartbeatReply uint8

// Replies to heartbeats.
const (
	// ReplyRenewed renewed the lease, ReplyRenewedWithCommands had commands as well.
	ReplyRenewed HeartbeatReply = iota
	ReplyRenewedWithCommands
	// ReplyUnknownMachine renewed the lease of a machine that no record names.
	ReplyUnknownMachine
	// ReplyAsDelegate renewed the lease on behalf of an unreachable leader.
	ReplyAsDelegate
	// ReplyDeferred is no reply yet: the heartbeat waits, and is counted again when it is answered.
	ReplyDeferred
	// ReplyRefused told the worker to try again.
	ReplyRefused
	// ReplyRedirected sent the worker to another member.
	ReplyRedirected
	// ReplyFenced was to a worker that has seen a later leader's token.
	ReplyFenced
	heartbeatReplyCount
)

// String returns the value of the label.
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

// CommandChannel is the way that a command goes to a worker.
type CommandChannel uint8

// Channels of commands.
const (
	// ChannelReply is the reply to the worker's heartbeat, ChannelRequest a request to the worker,
	// ChannelDelegate a delegate's reply.
	ChannelReply CommandChannel = iota
	ChannelRequest
	ChannelDelegate
)

// String returns the value of the label.
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

// CommandOutcome is what became of a command.
type CommandOutcome uint8

// Outcomes of commands.
const (
	// OutcomeSent is all that is known of a command in a reply.
	OutcomeSent CommandOutcome = iota
	OutcomeExecuted
	OutcomeRejected
	// OutcomeNotSent means that it certainly has not arrived, OutcomeUnknown that there was no answer.
	OutcomeNotSent
	OutcomeUnknown
)

// String returns the value of the label.
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

// Parts of a failover.
const (
	// FailoverLock is from the last heartbeat of the leader before to the lock.
	FailoverLock FailoverPart = iota
	// FailoverRebuild is from the lock to the rebuilt allocation table.
	FailoverRebuild
	// FailoverFirstDecision is from there to the first task placed.
	FailoverFirstDecision
	// FailoverReconciled is from the rebuilt table until nine machines in ten may be commanded.
	FailoverReconciled
	failoverPartCount
)

// String returns the value of the label.
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

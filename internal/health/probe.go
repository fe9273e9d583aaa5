package health

import "firwood.dev/firwood/internal/clock"

const (
	// ProbeInterval is how often a machine with replicas is probed while it sends nothing.
	ProbeInterval = 2 * clock.Second
	// ProbeTimeout bounds a probe; a lost packet is retransmitted within it.
	ProbeTimeout = 1500 * clock.Millisecond
	// maxProbeResultDelay is how long after ProbeTimeout the controller may handle a probe's result
	// for a miss to count; see IsResultTooLate.
	maxProbeResultDelay = clock.Second / 2
	// missRetryInterval is how soon a machine is probed again after a miss.
	missRetryInterval = clock.Second / 2
	// allowedProbeMisses is how many probes in a row may stay unanswered.
	allowedProbeMisses = 1
)

// Probes is the record of probes of one machine.
type Probes struct {
	IsInFlight      bool
	Misses          int          // in a row
	AnsweredAt      clock.Micros // the last answer
	sentAt          clock.Micros // the last probe
	firstMissSentAt clock.Micros // the first probe of the misses in a row
}

// RecordSent records that a probe is sent.
func (probes *Probes) RecordSent(now clock.Micros) { probes.IsInFlight, probes.sentAt = true, now }

// RecordAnswer records the answer to a probe.
func (probes *Probes) RecordAnswer(now clock.Micros) { probes.Misses, probes.AnsweredAt = 0, now }

// RecordMiss records that a probe sent at an instant stayed unanswered. reachableSince is since
// when this process has run without a stall and most of the machine's zone has been reachable; a
// probe sent before that proves nothing, and neither do the misses before it.
func (probes *Probes) RecordMiss(sentAt, reachableSince clock.Micros) {
	if sentAt < reachableSince {
		probes.Misses = 0
		return
	}
	if probes.Misses == 0 {
		probes.firstMissSentAt = sentAt
	}
	probes.Misses++
}

// HasTooManyMisses reports whether the machine is to be deleted, provided that most of its zone
// answers; see ZoneAnswers.
func (probes *Probes) HasTooManyMisses() bool { return probes.Misses > allowedProbeMisses }

// FirstMissSentAt is when the first of the misses in a row was sent.
func (probes *Probes) FirstMissSentAt() clock.Micros { return probes.firstMissSentAt }

// IsResultTooLate reports whether the controller itself was too late to handle a probe's result,
// as after a stall: then a missing answer says nothing about the machine.
func IsResultTooLate(sentAt, now clock.Micros) bool {
	return now-sentAt > ProbeTimeout+maxProbeResultDelay
}

// NeedsProbe reports whether a machine, with or without replicas, is probed out of turn: it left a
// probe unanswered, or its heartbeat is overdue, and the last probe is long enough ago.
func (probes *Probes) NeedsProbe(lastHeartbeatAt, resumedAt, now clock.Micros, timing Timing) bool {
	if probes.Misses > 0 {
		return probes.silence(lastHeartbeatAt, now) >= missRetryInterval
	}
	return now-max(lastHeartbeatAt, resumedAt) >= timing.ProbeAfter && probes.IsRoundProbeDue(lastHeartbeatAt, now)
}

// IsRoundProbeDue reports whether a machine with replicas is due in its turn.
func (probes *Probes) IsRoundProbeDue(lastHeartbeatAt, now clock.Micros) bool {
	return probes.silence(lastHeartbeatAt, now) >= ProbeInterval
}

// silence is how long ago the last heartbeat came or the last probe was sent.
func (probes *Probes) silence(lastHeartbeatAt, now clock.Micros) clock.Micros {
	return now - max(lastHeartbeatAt, probes.sentAt)
}

// ZoneAnswers counts the machines of a zone that have answered, or missed, probes since
// some machine there began to miss them.
type ZoneAnswers struct{ answered, missed int }

// Add counts one machine of the zone. since is when the first unanswered probe was sent to the
// machine in question; another one counts as answering only if it was heard some time after that.
func (answers *ZoneAnswers) Add(probes *Probes, lastHeartbeatAt, firstMissSentAt clock.Micros) {
	switch {
	case max(probes.AnsweredAt, lastHeartbeatAt) > firstMissSentAt+ProbeTimeout/2:
		answers.answered++
	case probes.Misses > 0:
		answers.missed++
	}
}

// IsMostlyAnswering reports whether the network to the zone works: at least two in three of the
// machines counted have answered. In a partition nobody answers, and nothing may be deleted.
func (answers ZoneAnswers) IsMostlyAnswering() bool { return answers.answered >= 2*answers.missed }
